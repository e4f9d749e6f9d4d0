package pool

import "time"

// flowWindow is the time over which connections that came free are counted.
const flowWindow = 500 * time.Millisecond

// flow counts the connections that were handed out in the last one to two
// windows.
type flow struct {
	from         time.Duration
	now, earlier int
}

func (f *flow) add(now time.Duration) {
	f.turn(now)
	f.now++
}

// rate returns the connections handed out a second; zero if nothing is known.
func (f *flow) rate(now time.Duration) float64 {
	f.turn(now)
	span := flowWindow + now - f.from
	return float64(f.now+f.earlier) / span.Seconds()
}

func (f *flow) turn(now time.Duration) {
	switch {
	case now-f.from < flowWindow:
		return
	case now-f.from < 2*flowWindow:
		f.earlier = f.now
	default:
		f.earlier = 0
	}
	f.from = now
	f.now = 0
}
