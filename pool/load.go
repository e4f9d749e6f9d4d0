package pool

import "time"

// Load is what a group's targets and those who wait for them look like from one
// VM.
type Load struct {
	// Waiting counts the statements that wait for a target.
	Waiting int
	// Open counts the connections, Idle those that nobody uses, and Active the
	// statements that are under way.
	Open, Idle, Active int
	// Down counts the targets that are not reached.
	Down int
	// Lag is how far the last replica is behind, as far as known.
	Lag time.Duration
}

// Load returns the group's load.
func (g *Group) Load() Load {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	l := Load{Waiting: len(g.waiting)}
	for id, s := range g.servers {
		l.Open += s.open
		l.Idle += len(s.idle)
		l.Active += s.window.active
		if s.down() {
			l.Down++
		}
		if id != g.leader {
			l.Lag = max(l.Lag, s.lagNow(now))
		}
	}
	return l
}
