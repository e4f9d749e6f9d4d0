package pool

import (
	"testing"
	"time"
)

// TestChooseVictim guards against closing a connection that will be needed sooner than
// another, or so soon that opening it again costs more.
func TestChooseVictim(t *testing.T) {
	second := idleConnection{nextUse: time.Second}
	soon := idleConnection{nextUse: openingTime}
	cases := map[string]struct {
		idle []idleConnection
		want int
	}{
		"none idle":                                  {want: -1},
		"longest time to the next use":               {idle: []idleConnection{second, {nextUse: never}, second}, want: 1},
		"first of equals":                            {idle: []idleConnection{soon, second, second}, want: 1},
		"all needed within the time of an opening":   {idle: []idleConnection{soon, {}}, want: -1},
		"needed by a customer that had its turn":     {idle: []idleConnection{soon, {yields: true}}, want: 1},
		"unneeded rather than one that had its turn": {idle: []idleConnection{{yields: true}, second}, want: 1},
		"fixed": {idle: []idleConnection{{nextUse: never, fixed: true, yields: true}}, want: -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := chooseVictim(c.idle); got != c.want {
				t.Errorf("victim is %d, want %d", got, c.want)
			}
		})
	}
}

// TestExpectedNextUse guards against an estimate from idle time alone: it follows the
// customer's rate, its other idle connections, and the statements that wait.
func TestExpectedNextUse(t *testing.T) {
	u := usageRate{}
	now := time.Hour
	for range 3000 {
		u.add(now)
		now += 10 * time.Millisecond
	}
	first, third := expectedNextUse(u.at(now), 1, 0), expectedNextUse(u.at(now), 3, 0)
	if first < 9*time.Millisecond || first > 12*time.Millisecond || third < 27*time.Millisecond || third > 36*time.Millisecond {
		t.Errorf("at 100 uses a second the first of three idle connections is needed in %s and the third in %s", first, third)
	}
	if got := expectedNextUse(u.at(now), 2, 2); got != 0 {
		t.Errorf("a connection for which a statement waits is needed in %s", got)
	}
	if got := expectedNextUse(u.at(now+usageTimeConstant), 1, 0); got < 25*time.Millisecond || got > 35*time.Millisecond {
		t.Errorf("a time constant later the first is needed in %s", got)
	}
	if got := expectedNextUse(0, 1, 0); got != never {
		t.Errorf("an unused connection is needed in %s", got)
	}
}
