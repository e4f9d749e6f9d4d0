package pool

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Group is a database group's targets as one VM uses them. Set the exported
// fields before Configure.
type Group struct {
	Name string
	// Zone is this VM's availability zone.
	Zone   string
	Dialer Dialer
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	Log logr.Logger

	lock    sync.Mutex
	servers map[string]*server
	waiting []*waiter
	leader  string
	budget  int
	kept    int
	// wiring grows when links opened before are to be replaced.
	wiring  int
	samples Samples
	flow    flow
	courses courses
}

// Configure sets the targets that are registered, and how many connections to
// each this VM may hold while Grant says nothing else.
func (g *Group) Configure(targets []Target, budget int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.servers == nil {
		g.servers = map[string]*server{}
	}
	g.budget = max(budget, 1)
	seen := map[string]bool{}
	for _, t := range targets {
		seen[t.ID] = true
		g.register(t)
	}
	for id, s := range g.servers {
		if !seen[id] {
			g.drop(s)
		}
	}
	for _, s := range g.servers {
		g.trim(s)
		s.cutLost(g.Now())
	}
	g.dispatch()
}

func (g *Group) register(t Target) {
	old := g.servers[t.ID]
	if old == nil || old.Incarnation != t.Incarnation || old.Address != t.Address {
		if old != nil {
			g.drop(old)
		}
		g.servers[t.ID] = newServer(t, g.Now())
		return
	}
	old.Target = t
}

// drop forgets a target; what runs on it goes on.
func (g *Group) drop(s *server) {
	s.gone = true
	for _, c := range s.idle {
		c.link.Close()
		s.open--
	}
	s.idle = nil
	delete(g.servers, s.ID)
}

// Rewire replaces the links that are open: those that are idle at once, the
// others as soon as they are given back.
func (g *Group) Rewire() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.wiring++
	for _, s := range g.servers {
		for _, c := range s.idle {
			c.link.Close()
			s.open--
		}
		s.idle = nil
	}
	g.dispatch()
}

// SetLeader names the target that leads the group; empty if none does.
func (g *Group) SetLeader(id string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.leader == id {
		return
	}
	g.leader = id
	g.dispatch()
}

// Targets returns the registered targets by ID.
func (g *Group) Targets() []Target {
	g.lock.Lock()
	defer g.lock.Unlock()
	list := []Target{}
	for _, s := range g.servers {
		list = append(list, s.Target)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Target returns a registered target.
func (g *Group) Target(id string) (Target, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil {
		return Target{}, false
	}
	return s.Target, true
}
