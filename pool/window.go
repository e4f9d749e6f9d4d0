package pool

import "time"

// The bounds of a window.
const (
	// firstWindow is about the number of a target's slots.
	firstWindow = 4
	// leastWindow lets a target be tried that is full all the time.
	leastWindow = 1
	// mostWindow is far above what one VM needs of a target.
	mostWindow = 256
	// windowCut is the part of a window that is left when its target was full.
	windowCut = 0.5
)

// window limits how many of a VM's statements are on a target at a time. A
// target's queue serves all VMs in turn and turns away what it cannot hold; what
// waits here instead is served by priority, and need not come back. The limit
// grows by one for each round of answers and is halved when the target was full.
type window struct {
	size   float64
	active int
}

func newWindow() window { return window{size: firstWindow} }

// open reports whether another statement may go to the target.
func (w *window) open() bool { return w.active < int(w.size) }

func (w *window) answered() { w.size = min(w.size+1/w.size, mostWindow) }

func (w *window) full() { w.size = max(w.size*windowCut, leastWindow) }

// occupy notes that a slot's statement is under way, or about to be.
func (w *window) occupy(s *Slot) {
	if !s.active {
		s.active = true
		w.active++
	}
}

// vacate notes that nothing of a slot is under way.
func (w *window) vacate(s *Slot) {
	if s.active {
		s.active = false
		w.active--
	}
}

// lagProbe is the least time between two tries of a replica that probably lags
// too far, which show when it has caught up.
const lagProbe = 250 * time.Millisecond

// lagShare is the share of a replica's lag after which it is tried again: one
// that is far behind needs long to catch up.
const lagShare = 0.125

// probePause returns the time until a lagging replica is tried again.
func (s *server) probePause(now time.Duration) time.Duration {
	return max(lagProbe, time.Duration(lagShare*float64(s.lagNow(now))))
}
