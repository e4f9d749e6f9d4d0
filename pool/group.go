package pool

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/query"
	"amaranthsill/zones"
)

// Group shares the connections to the targets of one database group. Set the
// exported fields before the first call of Configure.
type Group struct {
	Name string
	// Zone is the availability zone of this VM.
	Zone   string
	Dialer Dialer
	// Traffic prices the traffic between zones, and enables routing by it. If it is
	// nil, targets are chosen by latency alone.
	Traffic *zones.Traffic
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	Log logr.Logger

	lock    sync.Mutex
	servers map[string]*server
	waiting []*waiter
	fair    fairQueue
	leader  string
	// leaderlessSince is when the group's last leader ceased to be known, or when it was
	// first configured without one; zero while it has one.
	leaderlessSince time.Duration
	budget          int
	idleAllowance   int
	// linkGeneration is incremented by ReplaceLinks; connections of an older
	// generation are closed instead of being reused.
	linkGeneration int
	// redispatchPending reports that a timer will run dispatch (redispatchAfter).
	redispatchPending bool
	// opens and evictions count the connections that were opened, and those that
	// were closed to open another.
	opens, evictions int
	samples          Samples
	throughput       throughput
	pathLatencies    pathLatencies
	crossing         crossing
	lastCommit       Commit
	answeredCommits  query.Position
	// unplacedCommitAt is when a target last answered a commit without a position, unless
	// a later position of the leader is known; zero if none did.
	unplacedCommitAt time.Duration
}

// Configure sets the registered targets, and the number of connections to each
// that this VM may hold while no budget of SetBudget is valid. It also closes idle
// connections that are no longer allowed, and gives up on answers that are
// probably lost. It is meant to be called again and again.
func (g *Group) Configure(targets []Target, budget int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.servers == nil {
		g.servers = map[string]*server{}
	}
	if g.leader == "" && g.leaderlessSince == 0 {
		g.leaderlessSince = max(g.Now(), 1)
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
		s.forgetUsage(g.Now())
		g.trim(s)
		s.abandonLostAnswers(g.Now())
	}
	g.dispatch()
	g.probeDistances()
}

// IsEmpty reports whether the group has no targets.
func (g *Group) IsEmpty() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.servers) == 0
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

// drop removes a target and closes its idle connections. Statements that run
// on it may finish.
func (g *Group) drop(s *server) {
	s.removed = true
	for _, c := range s.idle {
		c.link.Close()
		s.open--
	}
	s.idle = nil
	delete(g.servers, s.ID)
}

// ReplaceLinks closes all connections: idle ones at once, the others when they are
// released, and those that are being opened as soon as they are open. New ones
// are opened as statements need them. It is to be called when the Dialer reaches
// the targets in another way than before, directly or through another VM.
func (g *Group) ReplaceLinks() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.linkGeneration++
	for _, s := range g.servers {
		for _, c := range s.idle {
			c.link.Close()
			s.open--
		}
		s.idle = nil
		clear(s.relayed)
	}
	g.dispatch()
}

// SetLeader sets the ID of the target that leads the group; empty if the group
// has no leader.
func (g *Group) SetLeader(id string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.leader == id {
		return
	}
	g.leaderlessSince = g.nextLeaderlessSince(id)
	g.leader = id
	g.dispatch()
}

// nextLeaderlessSince returns leaderlessSince for a new leader, or for none: the time
// since which the last one was not reached, or since now. The caller holds the lock.
func (g *Group) nextLeaderlessSince(id string) time.Duration {
	if id != "" {
		return 0
	}
	if s := g.servers[g.leader]; s != nil && s.unreachable() {
		return s.failingSince
	}
	return max(g.Now(), 1)
}

// Targets returns the registered targets, sorted by ID.
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

// Target returns the registered target with an ID, and whether there is one.
func (g *Group) Target(id string) (Target, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil {
		return Target{}, false
	}
	return s.Target, true
}
