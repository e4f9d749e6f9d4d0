package pool

import (
	"math"
	"time"
)

// Course is how a read that must be current gets there.
type Course uint8

// The courses.
const (
	// CourseNone is that of statements that have no choice.
	CourseNone Course = iota
	// CourseLeader runs the read on the leader.
	CourseLeader
	// CourseReplica asks the leader for its position and runs the read on a
	// replica that shows it.
	CourseReplica
	courseCount
)

const (
	// courseWeight is the share of a new read in the average of its course.
	courseWeight = 0.2
	// forgetCourse is the half-life of an average without new reads, so that
	// the slower course is tried again.
	forgetCourse = 2 * time.Second
)

// courses average how long current reads took by each course.
type courses struct {
	average  [courseCount]time.Duration
	measured [courseCount]time.Duration
}

func (c *courses) took(course Course, now, d time.Duration) {
	if course == CourseNone {
		return
	}
	old := c.estimate(course, now)
	if c.average[course] == 0 {
		old = d
	}
	c.average[course] = old + time.Duration(courseWeight*float64(d-old))
	c.measured[course] = now
}

// estimate is zero for a course that was never taken, or not for long.
func (c *courses) estimate(course Course, now time.Duration) time.Duration {
	age := float64(now-c.measured[course]) / float64(forgetCourse)
	return time.Duration(float64(c.average[course]) * math.Exp2(-age))
}

// Course returns how a current read probably gets its answer soonest; the
// replicas are preferred where it makes no difference, since the leader alone
// takes writes.
func (g *Group) Course() Course {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	if g.courses.estimate(CourseLeader, now) < g.courses.estimate(CourseReplica, now) {
		return CourseLeader
	}
	return CourseReplica
}

// Took notes how long a current read took by its course. One that was refused
// counts as long as its caller would have liked it to take at most.
func (g *Group) Took(c Course, d time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.courses.took(c, g.Now(), d)
}
