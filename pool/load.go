package pool

import "time"

// Load is a snapshot of a group's queue and connections on this VM.
type Load struct {
	// Waiting is the number of statements that wait for a target.
	Waiting int
	// Open is the number of open connections, Idle the number of unused ones
	// among them, and Active the number of statements that are in flight.
	Open, Idle, Active int
	// Down is the number of targets that this VM does not reach.
	Down int
	// Lag is the estimated replication lag of the replica that is furthest
	// behind; zero if unknown.
	Lag time.Duration
}

// Load returns the current load of the group.
func (g *Group) Load() Load {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	l := Load{Waiting: len(g.waiting)}
	for id, s := range g.servers {
		l.Open += s.open
		l.Idle += len(s.idle)
		l.Active += s.window.active
		if s.unreachable() {
			l.Down++
		}
		if id != g.leader {
			l.Lag = max(l.Lag, s.estimatedLag(now))
		}
	}
	return l
}
