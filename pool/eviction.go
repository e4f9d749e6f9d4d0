package pool

import (
	"math"
	"time"
)

// The parameters of the choice of a connection that is closed in place of another.
const (
	// usageTimeConstant is the time constant of the average rate at which a customer
	// uses a target. It is longer than a burst of 5 to 8 s, so that the rates from
	// before a burst are still known after it.
	usageTimeConstant = 10 * time.Second
	// openingTime is what it costs to open a connection, in time of one of the
	// target's slots.
	openingTime = 12 * time.Millisecond
	// evictionTurn is how long a statement waits before it takes a connection that
	// another customer needs, and how long that customer has it at least. openingTime
	// is then about a fifth of the time when customers take turns.
	evictionTurn = 50 * time.Millisecond
	// never is the expected time to the next use of a connection that has none.
	never = time.Duration(math.MaxInt64)
)

// usageRate is a decaying average of the number of uses a second.
type usageRate struct {
	perSecond  float64
	measuredAt time.Duration
}

// add counts a use.
func (u *usageRate) add(now time.Duration) {
	u.perSecond = u.at(now) + 1/usageTimeConstant.Seconds()
	u.measuredAt = now
}

// at returns the average rate, in uses a second.
func (u *usageRate) at(now time.Duration) float64 {
	return u.perSecond * math.Exp(-float64(now-u.measuredAt)/float64(usageTimeConstant))
}

// expectedNextUse returns the expected time until a customer needs one of its idle
// connections. The connection is the one at a position among them, from 1 for the
// one that is used next. A number of the customer's statements wait already.
func expectedNextUse(perSecond float64, position, waiting int) time.Duration {
	if position <= waiting {
		return 0
	}
	seconds := float64(position-waiting) / perSecond
	if seconds >= never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// idleConnection is what the choice of a victim depends on for one idle connection.
type idleConnection struct {
	// nextUse is the expected time until the connection is needed.
	nextUse time.Duration
	// yields reports that the connection's customer has more than its part, or has had
	// its turn: the customer has had the connection for evictionTurn, and the statement
	// that needs one has waited as long and comes before all that wait for this one.
	yields bool
	// fixed reports that the connection must stay for another reason.
	fixed bool
}

// chooseVictim returns the index of the connection that will not be needed for the
// longest time, the first of several. It is -1 if each will be needed within
// openingTime, unless its customer has had its turn.
func chooseVictim(idle []idleConnection) int {
	best := -1
	for i, c := range idle {
		if c.fixed || c.nextUse <= openingTime && !c.yields {
			continue
		}
		if best < 0 || c.nextUse > idle[best].nextUse {
			best = i
		}
	}
	return best
}
