package pool

import (
	"time"
)

// idleTimeout is how long a connection may stay idle before it is closed.
// Closing idle connections makes room for VMs that start while the target
// still counts the connections of their previous run.
const idleTimeout = 500 * time.Millisecond

// keptIdleTimeout replaces idleTimeout while a target has no more open
// connections than the idle allowance. Opening a connection takes the target
// as long as a statement; one that has been idle for more than a few seconds
// may be dead without this VM having noticed.
const keptIdleTimeout = 4 * time.Second

// SetIdleAllowance sets the idle allowance: the number of connections to each
// target up to which idle ones are kept for keptIdleTimeout instead of
// idleTimeout.
func (g *Group) SetIdleAllowance(count int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.idleAllowance = count
}

// trim closes idle connections that exceed the budget or their idle timeout,
// and all idle connections of a draining target. The caller holds the lock.
func (g *Group) trim(s *server) {
	now := g.Now()
	for len(s.idle) > 0 && (s.open+s.dialing > g.budgetOf(s, now) || s.Draining || now-s.idle[0].lastUsed > g.idleTimeoutOf(s)) {
		s.idle[0].link.Close()
		s.idle = s.idle[1:]
		s.open--
	}
}

// idleTimeoutOf returns the idle timeout that applies to the longest idle
// connection of a target.
func (g *Group) idleTimeoutOf(s *server) time.Duration {
	if s.open <= g.idleAllowance {
		return keptIdleTimeout
	}
	return idleTimeout
}

// budgetTTL is how long a budget set by SetBudget is valid.
const budgetTTL = time.Second

// budgetOf returns how many connections to a target this VM may hold: the
// budget of SetBudget while it is valid, else the one of Configure.
func (g *Group) budgetOf(s *server, now time.Duration) int {
	if s.budgetSetAt != 0 && now-s.budgetSetAt < budgetTTL {
		return s.budget
	}
	return g.budget
}

// SetBudget sets how many connections to a target this VM may hold for the next
// budgetTTL. After that the budget of Configure applies again.
func (g *Group) SetBudget(target string, budget int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[target]
	if s == nil {
		return
	}
	s.budget = budget
	s.budgetSetAt = g.Now()
	g.trim(s)
	g.dispatch()
}

// Claims returns, for each target where the budget of Configure is not enough,
// how many connections this VM holds and needs.
func (g *Group) Claims() []Claim {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	list := []Claim{}
	for id, s := range g.servers {
		c := Claim{Target: id, Open: s.open + s.dialing, Wanted: s.demand.peak(now)}
		if c.Open > g.budget || c.Wanted >= g.budget {
			list = append(list, c)
		}
	}
	return list
}
