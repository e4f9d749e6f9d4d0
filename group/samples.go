package group

import (
	"slices"
	"time"
)

// sample says that every position acknowledged before at is at or below
// index.
type sample struct {
	at    time.Duration
	index Position
}

// maxSamples bounds the samples kept; older ones are thinned out.
const maxSamples = 512

// samples is a history of read indexes, oldest first.
type samples struct {
	list []sample
}

func (s *samples) add(n sample) {
	if len(s.list) > 0 && n.at <= s.list[len(s.list)-1].at {
		return
	}
	s.list = append(s.list, n)
	if len(s.list) > maxSamples {
		s.thin()
	}
}

// thin drops every second sample of the older half.
func (s *samples) thin() {
	half := len(s.list) / 2
	kept := s.list[:0]
	for i, e := range s.list {
		if i >= half || i%2 == 0 {
			kept = append(kept, e)
		}
	}
	s.list = kept
}

// since returns the oldest sample taken at or after t.
func (s *samples) since(t time.Duration) (sample, bool) {
	i, _ := slices.BinarySearchFunc(s.list, t, func(e sample, t time.Duration) int {
		return int(e.at - t)
	})
	if i == len(s.list) {
		return sample{}, false
	}
	return s.list[i], true
}

// fresh reports whether a target that has applied p is no older than age at
// the time now.
func (s *samples) fresh(p Position, age, now time.Duration) bool {
	for _, e := range slices.Backward(s.list) {
		if e.at < now-age {
			return false
		}
		if p.Reaches(e.index) {
			return true
		}
	}
	return false
}

// lag returns how long ago the first index was taken that a target at p has
// not applied; zero if it has applied all.
func (s *samples) lag(p Position, now time.Duration) time.Duration {
	i := len(s.list)
	for i > 0 && !p.Reaches(s.list[i-1].index) {
		i--
	}
	if i == len(s.list) {
		return 0
	}
	return now - s.list[i].at
}
