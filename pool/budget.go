package pool

import (
	"time"
)

// idleLimit is how long a connection may go unused. Those that are closed
// leave room for VMs that start while a target still counts their former
// connections.
const idleLimit = 500 * time.Millisecond

// keepLimit is how long the connections that a VM may keep go unused. A new
// one takes the target the time of a statement; one that is older than a few
// seconds may have gone silent unnoticed.
const keepLimit = 4 * time.Second

// Keep sets how many connections to each target may go unused for longer.
func (g *Group) Keep(count int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.kept = count
}

// trim closes idle connections above the budget or unused for long, and all
// of a target that is draining.
func (g *Group) trim(s *server) {
	now := g.Now()
	for len(s.idle) > 0 && (s.open+s.dialing > g.budgetOf(s, now) || s.Draining || now-s.idle[0].used > g.idleLimit(s)) {
		s.idle[0].link.Close()
		s.idle = s.idle[1:]
		s.open--
	}
}

// idleLimit returns how long the connection unused for longest may stay.
func (g *Group) idleLimit(s *server) time.Duration {
	if s.open <= g.kept {
		return keepLimit
	}
	return idleLimit
}

// grantLife is how long a granted budget counts.
const grantLife = time.Second

// budgetOf returns how many connections to a target this VM may hold.
func (g *Group) budgetOf(s *server, now time.Duration) int {
	if s.granted != 0 && now-s.granted < grantLife {
		return s.budget
	}
	return g.budget
}

// Grant sets how many connections to a target this VM may hold for a while.
func (g *Group) Grant(target string, budget int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[target]
	if s == nil {
		return
	}
	s.budget = budget
	s.granted = g.Now()
	g.trim(s)
	g.dispatch()
}

// Claims returns what this VM holds and wants of each target for which its base
// is too little.
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
