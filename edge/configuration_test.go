package edge

import (
	"math"
	"testing"
	"time"

	"amaranthsill/peer/peerpb"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// TestNewestConfiguration guards against VMs that serve a key although it may have been
// revoked 6 s ago without their knowledge, and against VMs that refuse all customers while
// the store is away for a short time. Neither depends on the leader record.
func TestNewestConfiguration(t *testing.T) {
	const start = time.Hour
	cases := map[string]struct {
		// confirmed is the age of the last confirmation of the configuration; negative
		// if there was none.
		confirmed time.Duration
		// record is the age of the last confirmation of the leader record, by the store or by
		// VMs; negative if there was none.
		record time.Duration
		want   bool
	}{
		"never confirmed":                          {-1, 0, false},
		"confirmed just now":                       {0, 0, true},
		"store away for a short time":              {5500 * time.Millisecond, 10 * time.Second, true},
		"before there is a leader record":          {5500 * time.Millisecond, -1, true},
		"store away for longer":                    {5501 * time.Millisecond, 1100 * time.Millisecond, false},
		"store away for longer, confirmed by VMs":  {5501 * time.Millisecond, 0, false},
		"record confirmed for longer than the VMs": {time.Second, 5 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := start
			clock := func() time.Duration { return now }
			v := &VM{Now: clock, grants: &succession.Grants{Length: time.Second, Now: clock}}
			if c.record >= 0 {
				v.grants.ConfirmRecord(succession.Record{Revision: 7, Stored: store.Revision(7)}, start-c.record)
			}
			if c.confirmed >= 0 {
				v.confirmConfiguration(start - c.confirmed)
				v.confirmConfiguration(start - c.confirmed - time.Minute)
			}
			if got := v.hasNewestConfiguration(); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// TestConfigurationAgeOfAnotherVM guards against a revoked key that is served for longer
// than 6 s by VMs that follow one whose watch hangs while its lease is renewed.
func TestConfigurationAgeOfAnotherVM(t *testing.T) {
	cases := map[string]struct {
		answer *peerpb.RecallResponse
		age    time.Duration
		known  bool
	}{
		"record newer than the configuration": {&peerpb.RecallResponse{Age: 100, ConfigurationAge: 4000}, 4 * time.Second, true},
		"no configuration":                    {&peerpb.RecallResponse{Age: 100, ConfigurationAge: -1}, 0, false},
		"former build":                        {&peerpb.RecallResponse{Age: 100}, 100 * time.Millisecond, true},
		"former build without a record":       {&peerpb.RecallResponse{Age: -1}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if age, known := configurationAgeOf(c.answer); known != c.known || known && age != c.age {
				t.Errorf("got %s, %t, want %s, %t", age, known, c.age, c.known)
			}
		})
	}
	v := &VM{Now: func() time.Duration { return time.Hour }}
	if got := v.configurationAgeMessage(); got >= 0 {
		t.Errorf("a VM without a configuration tells an age of %d", got)
	}
	v.confirmConfiguration(time.Hour - 4*time.Second)
	if age, _ := configurationAgeOf(&peerpb.RecallResponse{ConfigurationAge: v.configurationAgeMessage()}); age < 4*time.Second || age > 4010*time.Millisecond {
		t.Errorf("a configuration of 4 s is told as of %s", age)
	}
}

// TestAgesThatOverflow guards against a VM that another one takes for current, or whose
// confirmations count from a later time than now, since a number that it tells overflows a
// duration.
func TestAgesThatOverflow(t *testing.T) {
	for name, age := range map[string]int64{
		"wraps to 448 us":          18446744073710,
		"wraps to a negative time": math.MaxInt64/int64(time.Millisecond) + 1,
		"largest":                  math.MaxInt64,
	} {
		t.Run(name, func(t *testing.T) {
			if isCurrent(&peerpb.RecallResponse{Age: age, ConfigurationAge: 100}) {
				t.Error("a VM with an old record is taken for current")
			}
			if isCurrent(&peerpb.RecallResponse{Age: 100, ConfigurationAge: age}) {
				t.Error("a VM with an old configuration is taken for current")
			}
			if (&fleet{}).isFresh(&peerpb.RecallResponse{Age: age, Valid: uint64(age)}) {
				t.Error("an old record is taken for fresh")
			}
			if got := toldTime(uint64(age) * 2); got < time.Hour {
				t.Errorf("taken for %s", got)
			}
		})
	}
}

// TestAnswerTime guards against a confirmation that counts from a later time than now, since
// the VM that passed it on says that it waited for longer than the call took.
func TestAnswerTime(t *testing.T) {
	const sent, now = time.Hour, time.Hour + time.Second
	for waited, want := range map[uint32]time.Duration{0: sent, 450: sent + 450*time.Millisecond, 1000: now, math.MaxUint32: now} {
		if got := answerTime(sent, waited, now); got != want {
			t.Errorf("waited %d ms: got %s, want %s", waited, got, want)
		}
	}
}

// TestWatchedUntil guards against a VM that was suspended between the store's answer and
// its reading, and that takes what it read for the state of now.
func TestWatchedUntil(t *testing.T) {
	const sent, wait = time.Minute, 2 * time.Second
	cases := map[string]struct {
		now     time.Duration
		changes int
		want    time.Duration
	}{
		"no changes, the whole wait":        {sent + wait + 8*time.Millisecond, 0, sent + wait},
		"no changes, suspended after that":  {sent + wait + 5*time.Second, 0, sent + wait},
		"changes, suspended after that":     {sent + 5*time.Second, 1, sent},
		"no changes, answered before that":  {sent + time.Second, 0, sent},
		"changes at the end of the wait":    {sent + wait, 2, sent},
		"changes that come without waiting": {sent + 8*time.Millisecond, 1, sent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := watchedUntil(sent, wait, c.now, c.changes); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestRevocationTimeLeft guards against transactions that go on later than 6 s after the
// version that revokes their key, on a VM that learns of it late.
func TestRevocationTimeLeft(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		0: 2 * time.Second, 3700 * time.Millisecond: 2 * time.Second,
		5300 * time.Millisecond: 450 * time.Millisecond, time.Minute: 0,
	} {
		if got := revocationTimeLeft(age); got != want {
			t.Errorf("after %s: got %s, want %s", age, got, want)
		}
	}
}
