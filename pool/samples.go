package pool

import (
	"time"

	"amaranthsill/query"
)

// Samples remembers which position a group's primary had reached at which
// time, as far as this VM's own statements showed it.
type Samples struct {
	ring []sample
}

// sample says that everything acknowledged before at is at or below position.
type sample struct {
	at       time.Duration
	position query.Position
}

// The bounds of the memory of positions.
const (
	// samplePause is the least time between two samples that are kept.
	samplePause = 10 * time.Millisecond
	// sampleCount covers the longest staleness in use, 2.5 s, with room.
	sampleCount = 512
)

// Add records the position of an answer whose statement was sent at a time
// and during which the target led. An answer without a position shows nothing.
func (s *Samples) Add(sent time.Duration, p query.Position) {
	if p.IsZero() {
		return
	}
	n := len(s.ring)
	if n > 0 {
		last := s.ring[n-1]
		if sent <= last.at || !p.Reaches(last.position) {
			return
		}
		if n > 1 && last.at < s.ring[n-2].at+samplePause {
			s.ring = s.ring[:n-1]
		}
	}
	if len(s.ring) == sampleCount {
		copy(s.ring, s.ring[1:])
		s.ring = s.ring[:sampleCount-1]
	}
	s.ring = append(s.ring, sample{at: sent, position: p})
}

// Covering returns the lowest known position that shows everything
// acknowledged before t, and the time for which it was sampled.
func (s *Samples) Covering(t time.Duration) (query.Position, time.Duration, bool) {
	for _, n := range s.ring {
		if n.at >= t {
			return n.position, n.at, true
		}
	}
	return query.Position{}, 0, false
}

// Age returns how far behind a position is: the time since the primary first
// showed more. It is zero for a position at or above all samples.
func (s *Samples) Age(p query.Position, now time.Duration) time.Duration {
	for _, n := range s.ring {
		if !p.Reaches(n.position) {
			return now - n.at
		}
	}
	return 0
}
