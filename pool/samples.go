package pool

import (
	"time"

	"amaranthsill/query"
)

// Samples records log positions of a group's leader with their times, as
// reported in the answers to this VM's own statements. The zero Samples is
// empty.
type Samples struct {
	entries []sample
}

// sample states that position includes every commit acknowledged before the
// time at.
type sample struct {
	at       time.Duration
	position query.Position
}

// The bounds of the recorded samples.
const (
	// minSampleInterval is the least time between two samples that are kept.
	minSampleInterval = 10 * time.Millisecond
	// maxSamples holds samples of 5 s at minSampleInterval, twice the longest
	// staleness in use of 2.5 s.
	maxSamples = 512
)

// Add records the position in the answer to a statement that was sent at the
// given time. The target must have led the group throughout. A zero position,
// as in an answer without one, is ignored.
func (s *Samples) Add(sent time.Duration, p query.Position) {
	if p.IsZero() {
		return
	}
	n := len(s.entries)
	if n > 0 {
		last := s.entries[n-1]
		if sent <= last.at || !p.Reaches(last.position) {
			return
		}
		if n > 1 && last.at < s.entries[n-2].at+minSampleInterval {
			s.entries = s.entries[:n-1]
		}
	}
	if len(s.entries) == maxSamples {
		copy(s.entries, s.entries[1:])
		s.entries = s.entries[:maxSamples-1]
	}
	s.entries = append(s.entries, sample{at: sent, position: p})
}

// Covering returns the lowest recorded position that includes every commit
// acknowledged before t, and the time of its sample. The last result is false
// if no sample is late enough.
func (s *Samples) Covering(t time.Duration) (query.Position, time.Duration, bool) {
	for _, n := range s.entries {
		if n.at >= t {
			return n.position, n.at, true
		}
	}
	return query.Position{}, 0, false
}

// Age returns the time since the leader was first seen beyond a position. It
// is zero for a position at or above all samples.
func (s *Samples) Age(p query.Position, now time.Duration) time.Duration {
	for _, n := range s.entries {
		if !p.Reaches(n.position) {
			return now - n.at
		}
	}
	return 0
}
