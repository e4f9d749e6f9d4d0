package pool

import (
	"slices"
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

// customerIdleTimeout replaces idleTimeout for a customer's own connection while a
// target has no more open connections than an equal share, which is twice the idle
// allowance. Most customers use a target less than once in keptIdleTimeout.
const customerIdleTimeout = 30 * time.Second

// customerLinkIdleTimeout replaces idleTimeout for links that customers share. To open
// one takes two round trips, up to 80 ms between regions. It is shorter than the time
// after which the other VM closes an unused link.
const customerLinkIdleTimeout = 12 * time.Second

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
	for len(s.idle) > 0 {
		i := slices.IndexFunc(s.idle, func(c *connection) bool { return s.Draining || now-c.lastUsed > g.idleTimeoutOf(s, c) })
		if s.open+s.dialing > g.budgetOf(s, now) {
			i = g.leastNeeded(s, now)
		}
		if i < 0 {
			return
		}
		s.closeIdle(i)
	}
}

// leastNeeded returns the index of the idle connection that will not be needed for
// the longest time; without customers, of the one that has been idle for longest.
func (g *Group) leastNeeded(s *server, now time.Duration) int {
	if !slices.ContainsFunc(s.idle, func(c *connection) bool { return c.customer != "" }) {
		return 0
	}
	idle := g.idleConnections(s, nil, now, func(*connection) bool { return true })
	for i := range idle {
		idle[i].yields = true
	}
	return chooseVictim(idle)
}

// idleTimeoutOf returns the idle timeout that applies to an idle connection to a
// target.
func (g *Group) idleTimeoutOf(s *server, c *connection) time.Duration {
	if c.isKept(s) && s.open <= 2*g.idleAllowance {
		return customerIdleTimeout
	}
	if c.customer != "" && c.isShared() {
		return customerLinkIdleTimeout
	}
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

// wanted returns how many connections to a target this VM needs now: those in use,
// those that statements wait for, and the customers' idle ones that are to be kept
// within an equal share. The caller holds the lock.
func (g *Group) wanted(s *server) int {
	used, kept := s.open-len(s.idle), 0
	for _, c := range s.idle {
		if c.isKept(s) {
			kept++
		}
	}
	return used + s.unserved + min(kept, max(2*g.idleAllowance-used, 0))
}

// isKept reports whether a connection to a target belongs to a customer and is kept for
// it. A direct connection of a VM that else reaches the target through another one is
// not: it is reserved for the other VM.
func (c *connection) isKept(s *server) bool {
	return c.customer != "" && !c.isShared() && !s.relayed[c.affinity]
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
