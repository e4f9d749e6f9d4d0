package pool

import "time"

const (
	// throughputWindow is the time over which served statements are counted.
	throughputWindow = 500 * time.Millisecond
	// minQueuedTime is how long statements must have been queued within the
	// counted time for the rate to be meaningful.
	minQueuedTime = 100 * time.Millisecond
)

// throughput measures how fast queued statements get connections. It counts
// the connections handed out in the last one to two windows while statements
// were queued, and for how long they were. Connections handed out to an empty
// queue reflect the demand instead of the targets' capacity and are not
// counted.
type throughput struct {
	windowStart time.Duration
	updatedAt   time.Duration
	// queued reports whether statements have been queued since updatedAt.
	queued            bool
	current, previous queuedInterval
	// connections is the number that were open since updatedAt.
	connections int
}

// queuedInterval is the time within a window during which statements were
// queued, and the number served in it.
type queuedInterval struct {
	served   int
	duration time.Duration
	// connectionTime is the time for which connections were open meanwhile, added up
	// over the connections.
	connectionTime time.Duration
}

// setConnections records how many connections are open from now on.
func (t *throughput) setConnections(now time.Duration, n int) {
	t.setQueued(now, t.queued)
	t.connections = n
}

// setQueued records whether statements are queued from now on.
func (t *throughput) setQueued(now time.Duration, queued bool) {
	if t.queued {
		t.current.duration += now - t.updatedAt
		t.current.connectionTime += time.Duration(t.connections) * (now - t.updatedAt)
	}
	t.updatedAt = now
	t.queued = queued
	t.rotate(now)
}

// countServed records that a statement got a connection.
func (t *throughput) countServed() {
	if t.queued {
		t.current.served++
	}
}

// estimateWait returns how long a queue of the given length will probably take
// to be served; zero if too little is known.
func (t *throughput) estimateWait(now time.Duration, ahead int) time.Duration {
	t.setQueued(now, t.queued)
	duration := t.current.duration + t.previous.duration
	if duration < minQueuedTime {
		return 0
	}
	// The statement that is being served counts as half.
	served := float64(t.current.served+t.previous.served) + 0.5
	return time.Duration(float64(ahead) / served * float64(duration))
}

// estimateWaitOn returns what estimateWait does, given the number of connections on which
// the queue will be served. A VM that starts serves little while it opens its first
// connections, which says nothing about the time after that.
func (t *throughput) estimateWaitOn(now time.Duration, ahead, connections int) time.Duration {
	wait := t.estimateWait(now, ahead)
	duration := t.current.duration + t.previous.duration
	if wait == 0 || connections == 0 {
		return wait
	}
	average := float64(t.current.connectionTime+t.previous.connectionTime) / float64(duration)
	return time.Duration(float64(wait) * average / float64(connections))
}

// servable returns how many statements of the queue will probably be served within a
// time; false if too little is known.
func (t *throughput) servable(now, within time.Duration) (int, bool) {
	t.setQueued(now, t.queued)
	duration := t.current.duration + t.previous.duration
	if duration < minQueuedTime {
		return 0, false
	}
	served := float64(t.current.served+t.previous.served) + 0.5
	return int(served * float64(max(within, 0)) / float64(duration)), true
}

// rotate starts a new window once the current one is over.
func (t *throughput) rotate(now time.Duration) {
	switch {
	case now-t.windowStart < throughputWindow:
		return
	case now-t.windowStart < 2*throughputWindow:
		t.previous = t.current
	default:
		t.previous = queuedInterval{}
		if t.queued {
			t.previous = t.current
		}
	}
	t.windowStart = now
	t.current = queuedInterval{}
}
