package front

import (
	"math/rand/v2"
	"time"

	"amaranthsill/catalog"
)

// Limits on the time in which a statement waits for a target, and on when a refused
// caller is told to come back.
const (
	// dispatchShare is the fraction of a statement's timeout in which a target
	// has to be found. The rest is left for the target's work, so that no
	// statement is sent that cannot be answered in time.
	dispatchShare = 0.7
	// maxDispatchTime bounds the same time where timeouts are long. Nearly every
	// change of leader is over by then; a caller whose statement waited longer is
	// better off with another VM.
	maxDispatchTime = 3 * time.Second
	// queueShare is the fraction of a route's latency objective for which a
	// statement waits while all suitable targets are busy. A caller that is
	// refused by then has time for one more try at another VM, and statements
	// that are served can still meet the objective.
	queueShare = 0.5
	// minRetryAfter and maxRetryAfter are the bounds of the delay after which a
	// refused caller is told to retry. Each caller gets another one, so that those
	// who are refused together do not come back together.
	minRetryAfter = 125 * time.Millisecond
	maxRetryAfter = 375 * time.Millisecond
)

// dispatchTime returns how long a statement on a route may wait for a target.
func dispatchTime(r *catalog.Route) time.Duration {
	return min(time.Duration(dispatchShare*float64(r.Timeout)), maxDispatchTime)
}

// queueTime returns how long a statement on a route may wait while all suitable
// targets are busy.
func queueTime(r *catalog.Route) time.Duration {
	return time.Duration(queueShare * float64(r.LatencyObjective))
}

// retryAfter returns the delay after which one refused caller is told to retry.
func retryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}
