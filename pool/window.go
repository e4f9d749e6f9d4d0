package pool

import "time"

// The parameters of a window, in statements.
const (
	// initialWindow is about the number of statements that a target runs
	// concurrently.
	initialWindow = 4
	// minWindow still lets one statement test a target that is always full.
	minWindow = 1
	// maxWindow is far above what one VM needs of a target.
	maxWindow = 256
	// windowDecrease multiplies the window when the target's queue was full.
	windowDecrease = 0.5
)

// window limits the number of this VM's statements in flight on a target. A
// target's queue serves all VMs in turn and refuses what it cannot hold;
// statements that wait in the pool instead are served by priority and need no
// retry. The limit grows by one per round of answers, and is halved when the
// target's queue was full.
type window struct {
	size   float64
	active int
	// by counts the statements in flight by customer.
	by map[string]int
}

func newWindow() window { return window{size: initialWindow, by: map[string]int{}} }

// hasRoom reports whether another statement may be sent to the target.
func (w *window) hasRoom() bool { return w.active < int(w.size) }

// hasRoomFor reports whether another statement of a customer may be sent to a target
// with a number of slots. One statement for each slot keeps the target busy; with more,
// the customer's queue would be at the target, where it delays the customers of all VMs.
// Statements without a customer are not limited.
func (w *window) hasRoomFor(customer string, slots int) bool {
	return customer == "" || slots == 0 || w.by[customer] < slots
}

func (w *window) grow() { w.size = min(w.size+1/w.size, maxWindow) }

func (w *window) shrink() { w.size = max(w.size*windowDecrease, minWindow) }

// add counts a slot whose statement is in flight or about to be sent.
func (w *window) add(s *Slot) {
	if !s.inWindow {
		s.inWindow = true
		w.active++
		w.by[s.customer]++
	}
}

// remove stops counting a slot without a statement in flight.
func (w *window) remove(s *Slot) {
	if s.inWindow {
		s.inWindow = false
		w.active--
		if w.by[s.customer]--; w.by[s.customer] == 0 {
			delete(w.by, s.customer)
		}
	}
}

// minLagProbeInterval is the least time between two reads sent to a replica
// that probably lags too far. Such reads show whether the replica has caught
// up.
const minLagProbeInterval = 250 * time.Millisecond

// lagProbeFraction is the fraction of a replica's lag after which it is probed
// again: the further behind a replica is, the longer it takes to catch up.
const lagProbeFraction = 0.125

// lagProbeInterval returns the time between two probes of a lagging replica.
func (s *server) lagProbeInterval(now time.Duration) time.Duration {
	return max(minLagProbeInterval, time.Duration(lagProbeFraction*float64(s.estimatedLag(now))))
}
