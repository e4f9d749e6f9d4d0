package pool

import (
	"math"
	"time"
)

// ReadPath says where a read that must be current is run.
type ReadPath uint8

// The paths of a read.
const (
	// ReadPathNone is for statements whose target is not chosen by latency.
	ReadPathNone ReadPath = iota
	// ReadPathLeader runs the read on the leader.
	ReadPathLeader
	// ReadPathReplica asks the leader for its position and runs the read on a
	// replica that has reached it.
	ReadPathReplica
	readPathCount
)

// The parameters of the average latency of a path.
const (
	// pathLatencyWeight is the weight of a new sample in the moving average.
	pathLatencyWeight = 0.2
	// pathLatencyHalfLife is the half-life of an average without new samples,
	// so that the slower path is tried again.
	pathLatencyHalfLife = 2 * time.Second
)

// pathLatencies holds a moving average of the latency of current reads for
// each path.
type pathLatencies struct {
	average    [readPathCount]time.Duration
	measuredAt [readPathCount]time.Duration
}

func (l *pathLatencies) observe(p ReadPath, now, d time.Duration) {
	if p == ReadPathNone {
		return
	}
	old := l.estimate(p, now)
	if l.average[p] == 0 {
		old = d
	}
	l.average[p] = old + time.Duration(pathLatencyWeight*float64(d-old))
	l.measuredAt[p] = now
}

// estimate returns the average latency of a path, decayed by its age. It is
// zero if the path has not been taken yet, and tends to zero if it has not
// been taken for long.
func (l *pathLatencies) estimate(p ReadPath, now time.Duration) time.Duration {
	age := float64(now-l.measuredAt[p]) / float64(pathLatencyHalfLife)
	return time.Duration(float64(l.average[p]) * math.Exp2(-age))
}

// ReadPath returns the path with the lowest estimated latency for a current
// read. Replicas win ties, because only the leader can run writes.
func (g *Group) ReadPath() ReadPath {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	if g.pathLatencies.estimate(ReadPathLeader, now) < g.pathLatencies.estimate(ReadPathReplica, now) {
		return ReadPathLeader
	}
	return ReadPathReplica
}

// RecordReadLatency records the latency of a current read on a path. For a
// refused read, the caller passes the latency objective.
func (g *Group) RecordReadLatency(p ReadPath, d time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.pathLatencies.observe(p, g.Now(), d)
}
