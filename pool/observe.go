package pool

import (
	"fmt"
	"time"

	"amaranthsill/query"
)

// Health is what this VM has seen of a target.
type Health struct {
	// Failing is for how long connections could not be opened and nothing
	// was heard; zero if the target is reached.
	Failing time.Duration
	// Failed is how long ago a connection was last tried in vain.
	Failed time.Duration
	// Refused reports that its machine answered that nobody listens.
	Refused bool
	// Unanswered is for how long it has owed an answer.
	Unanswered time.Duration
	// Heard is how long ago it last answered.
	Heard time.Duration
	// ReadOnly is for how long it has refused writes; zero if it does not.
	ReadOnly time.Duration
}

// Health returns what this VM has seen of a target.
func (g *Group) Health(id string) Health {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil {
		return Health{}
	}
	now := g.Now()
	h := Health{Unanswered: s.unanswered(now), Heard: now - s.heard, Refused: s.refused}
	if s.failing != 0 {
		h.Failing = max(now-s.failing, 1)
		h.Failed = now - s.failedAt
	}
	if s.readOnly != 0 {
		h.ReadOnly = max(now-s.readOnly, 1)
	}
	return h
}

// Position returns the highest position that a target has shown.
func (g *Group) Position(id string) query.Position {
	g.lock.Lock()
	defer g.lock.Unlock()
	if s := g.servers[id]; s != nil {
		return s.position
	}
	return query.Position{}
}

// Sample records a position that the group's primary had reached; the caller
// knows that the target still led when it answered.
func (g *Group) Sample(sent time.Duration, p query.Position) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.samples.Add(sent, p)
}

// Covering returns the lowest known position that shows everything
// acknowledged before t, and how old it is.
func (g *Group) Covering(t time.Duration) (query.Position, time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	p, at, ok := g.samples.Covering(t)
	return p, g.Now() - at, ok
}

// Unreachable returns for how long the leader could not be reached; zero if
// it can be, or if nobody leads.
func (g *Group) Unreachable() time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[g.leader]
	if s == nil || !s.down() {
		return 0
	}
	return g.Now() - s.failing
}

// Behind returns how long the replica that shows a position soonest will
// probably need to do so; zero if one probably shows it now, or if none is in
// use. Replicas of the own zone count alone if there are any.
func (g *Group) Behind(p query.Position, age time.Duration) time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	least, found, near := time.Duration(0), false, false
	for _, s := range g.servers {
		if s.ID == g.leader || !s.usable(now) || near && s.Zone != g.Zone {
			continue
		}
		wait := time.Duration(0)
		if !s.shows(p, age, now) {
			wait = s.lagNow(now) - age
		}
		if !found || wait < least || !near && s.Zone == g.Zone {
			least, found, near = wait, true, near || s.Zone == g.Zone
		}
	}
	return least
}

// Describe returns the state of the targets for logs: of the leader alone, or
// of all.
func (g *Group) Describe(leader bool) string {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	text := fmt.Sprintf("leader=%s waiting=%d", g.leader, len(g.waiting))
	for id, s := range g.servers {
		if leader && id != g.leader {
			continue
		}
		text += fmt.Sprintf(" %s:open=%d,idle=%d,dialing=%d,budget=%d,latency=%dms,lag=%dms", id, s.open, len(s.idle), s.dialing, g.budgetOf(s, now),
			s.expected(now, g.Zone).Milliseconds(), s.lagNow(now).Milliseconds())
		if s.down() {
			text += ",unreachable"
		}
		if s.Draining {
			text += ",draining"
		}
	}
	return text
}

// started notes that a statement is under way.
func (g *Group) started(s *Slot, now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.server.pending[s] = now
	s.server.window.occupy(s)
	s.overtaken = 0
	s.running = true
}

// ended takes in how a statement went.
func (g *Group) ended(s *Slot, o Order, r query.Reply, sent time.Duration, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	v := s.server
	now := g.Now()
	// Between the statements of a transaction the target owes nothing.
	v.pending[s] = now + time.Hour
	s.running = false
	v.window.vacate(s)
	if len(g.waiting) > 0 {
		defer g.dispatch()
	}
	if err != nil {
		return
	}
	v.overtake(sent)
	v.heard = now
	v.alive()
	switch {
	case r.Failure != nil && r.Failure.Code == query.CodeBusy:
		v.full(now)
		time.AfterFunc(v.fullUntil-now, g.wake)
	case isWork(o):
		v.fulls = 0
		v.window.answered()
		v.answered(now, now-sent)
	}
	if r.Failure != nil && r.Failure.Code == query.CodeReadOnly && s.leader {
		if v.readOnly == 0 {
			v.readOnly = max(now, 1)
		}
	} else if r.Receipt != "" && s.leader {
		v.readOnly = 0
	}
	if !r.Position.IsZero() {
		v.showed(r.Position, now, g.samples.Age(r.Position, now))
	}
}

// isWork reports whether an order takes a target the time of a statement.
func isWork(o Order) bool {
	switch o.(type) {
	case Forward, ForwardPlan:
		return true
	default:
		return false
	}
}

// LeadsNear reports whether the group's leader is in this VM's zone.
func (g *Group) LeadsNear() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[g.leader]
	return s != nil && s.Zone == g.Zone
}

// Lagged notes that a target lacked a position of the given age.
func (g *Group) Lagged(id string, age time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if s := g.servers[id]; s != nil {
		s.lagged(g.Now(), age)
	}
}
