package group

import (
	"slices"
	"time"
)

// indexSample is a read index: every position acknowledged before takenAt is
// at or below index.
type indexSample struct {
	takenAt time.Duration
	index   Position
}

// maxSamples bounds the history; when it is exceeded, older samples are
// thinned out.
const maxSamples = 512

// indexHistory is a history of read indexes, oldest first.
type indexHistory struct {
	list []indexSample
}

// add appends a sample unless it is no newer than the last one.
func (s *indexHistory) add(n indexSample) {
	if len(s.list) > 0 && n.takenAt <= s.list[len(s.list)-1].takenAt {
		return
	}
	s.list = append(s.list, n)
	if len(s.list) > maxSamples {
		s.thin()
	}
}

// thin drops every second sample of the older half.
func (s *indexHistory) thin() {
	half := len(s.list) / 2
	kept := s.list[:0]
	for i, e := range s.list {
		if i >= half || i%2 == 0 {
			kept = append(kept, e)
		}
	}
	s.list = kept
}

// firstSince returns the oldest sample taken at or after t.
func (s *indexHistory) firstSince(t time.Duration) (indexSample, bool) {
	i, _ := slices.BinarySearchFunc(s.list, t, func(e indexSample, t time.Duration) int {
		return int(e.takenAt - t)
	})
	if i == len(s.list) {
		return indexSample{}, false
	}
	return s.list[i], true
}

// reachedWithin reports whether p reaches an index that was taken at most age
// before now.
func (s *indexHistory) reachedWithin(p Position, age, now time.Duration) bool {
	for _, e := range slices.Backward(s.list) {
		if e.takenAt < now-age {
			return false
		}
		if p.Reaches(e.index) {
			return true
		}
	}
	return false
}

// lag returns the time since the first index was taken that a target at p has
// not applied; zero if it has applied all.
func (s *indexHistory) lag(p Position, now time.Duration) time.Duration {
	i := len(s.list)
	for i > 0 && !p.Reaches(s.list[i-1].index) {
		i--
	}
	if i == len(s.list) {
		return 0
	}
	return now - s.list[i].takenAt
}
