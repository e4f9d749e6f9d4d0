package pool

import (
	"math"
	"time"
)

// Course says where a read that must be current is run.
type Course uint8

// The courses of a read.
const (
	// CourseNone is for statements whose target is not chosen by latency.
	CourseNone Course = iota
	// CourseLeader runs the read on the leader.
	CourseLeader
	// CourseReplica asks the leader for its position and runs the read on a
	// replica that has reached it.
	CourseReplica
	readPathCount
)

// The parameters of the average latency of a course.
const (
	// pathLatencyWeight is the weight of a new sample in the moving average.
	pathLatencyWeight = 0.2
	// pathLatencyHalfLife is the half-life of an average without new samples,
	// so that the slower course is tried again.
	pathLatencyHalfLife = 2 * time.Second
)

// pathLatencies holds a moving average of the latency of current reads for
// each course.
type pathLatencies struct {
	average    [readPathCount]time.Duration
	measuredAt [readPathCount]time.Duration
}

func (l *pathLatencies) observe(p Course, now, d time.Duration) {
	if p == CourseNone {
		return
	}
	old := l.estimate(p, now)
	if l.average[p] == 0 {
		old = d
	}
	l.average[p] = old + time.Duration(pathLatencyWeight*float64(d-old))
	l.measuredAt[p] = now
}

// estimate returns the average latency of a course, decayed by its age. It is
// zero if the course has not been taken yet, and tends to zero if it has not
// been taken for long.
func (l *pathLatencies) estimate(p Course, now time.Duration) time.Duration {
	age := float64(now-l.measuredAt[p]) / float64(pathLatencyHalfLife)
	return time.Duration(float64(l.average[p]) * math.Exp2(-age))
}

// Course returns the course with the lowest estimated latency for a current
// read. Replicas win ties, because only the leader can run writes.
func (g *Group) Course() Course {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	if g.pathLatencies.estimate(CourseLeader, now) < g.pathLatencies.estimate(CourseReplica, now) {
		return CourseLeader
	}
	return CourseReplica
}

// Took records the latency of a current read on a course. For a refused read,
// the caller passes the latency objective.
func (g *Group) Took(c Course, d time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.pathLatencies.observe(c, g.Now(), d)
}
