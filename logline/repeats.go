package logline

import (
	"sync"
	"time"
)

// Limits of Repeats.
const (
	// repeatPeriod is the time in which each subject has at most one line.
	repeatPeriod = time.Minute
	// subjectsPerPeriod is the number of subjects that have a line in it.
	subjectsPerPeriod = 20
)

// Repeats limits the lines about subjects that may come back any number of times, as the
// keys that another process writes: to one a minute for each subject, and to 20 a minute
// in all. The zero value is ready for use, and safe for concurrent use.
type Repeats struct {
	lock     sync.Mutex
	begun    time.Duration
	subjects map[string]bool
	leftOut  int
}

// Allow reports whether a line about a subject may be written, given the time on a
// monotonic clock. If so, it also returns the number of lines that were left out since
// the last one.
func (r *Repeats) Allow(subject string, now time.Duration) (allowed bool, leftOut int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.subjects == nil || now-r.begun >= repeatPeriod {
		r.begun = now
		r.subjects = map[string]bool{}
	}
	if r.subjects[subject] || len(r.subjects) >= subjectsPerPeriod {
		r.leftOut++
		return false, 0
	}
	r.subjects[subject] = true
	leftOut, r.leftOut = r.leftOut, 0
	return true, leftOut
}
