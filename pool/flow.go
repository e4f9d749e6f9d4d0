package pool

import "time"

const (
	// flowWindow is the time over which connections that came free are counted.
	flowWindow = 500 * time.Millisecond
	// leastBusy is the time for which statements must have waited before a rate
	// says anything.
	leastBusy = 100 * time.Millisecond
)

// flow counts the connections that were handed out in the last one to two
// windows while statements waited for one, and for how long they did. What is
// handed out while nobody waits tells of the demand, not of the targets.
type flow struct {
	from   time.Duration
	marked time.Duration
	// waiting reports that statements have waited since the last mark.
	waiting      bool
	now, earlier span
}

// span is a time in which statements waited, and how many were served in it.
type span struct {
	served int
	busy   time.Duration
}

// mark notes whether statements wait from now on.
func (f *flow) mark(now time.Duration, waiting bool) {
	if f.waiting {
		f.now.busy += now - f.marked
	}
	f.marked = now
	f.waiting = waiting
	f.turn(now)
}

// add notes that a connection was handed out.
func (f *flow) add() {
	if f.waiting {
		f.now.served++
	}
}

// wait returns how long those who wait will probably take to be served; zero if
// nothing is known.
func (f *flow) wait(now time.Duration, waiting int) time.Duration {
	f.mark(now, f.waiting)
	busy := f.now.busy + f.earlier.busy
	if busy < leastBusy {
		return 0
	}
	// The one that is being served counts as half.
	served := float64(f.now.served+f.earlier.served) + 0.5
	return time.Duration(float64(waiting) / served * float64(busy))
}

func (f *flow) turn(now time.Duration) {
	switch {
	case now-f.from < flowWindow:
		return
	case now-f.from < 2*flowWindow:
		f.earlier = f.now
	default:
		f.earlier = span{}
		if f.waiting {
			f.earlier = f.now
		}
	}
	f.from = now
	f.now = span{}
}
