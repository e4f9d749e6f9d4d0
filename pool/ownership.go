package pool

import (
	"errors"
	"maps"
	"slices"
	"time"

	"amaranthsill/query"
)

// identity states for whom a connection is opened and how it reaches its target.
type identity struct{ customer, affinity string }

// identity returns the identity of a connection to a target for a need. The caller
// holds the lock.
func (g *Group) identity(s *server, customer string) identity {
	return identity{customer: customer, affinity: g.Dialer.Affinity(s.Target, customer)}
}

// openKey returns the key under which connection opens are counted. Without a
// customer all are counted as one: each connection suits each statement, however
// the target is reached.
func (i identity) openKey() identity {
	if i.customer == "" {
		return identity{}
	}
	return i
}

// user identifies whose use of a connection is expected: a customer's, or that of
// all customers with an affinity if the connection is shared.
type user struct {
	identity
	shared bool
}

// customerName returns the name of the statement's customer; empty if there is none.
func (n *Need) customerName() string {
	if n.Customer == nil {
		return ""
	}
	return n.Customer.Name
}

// isShared reports whether the connection may be used by several customers.
func (c *connection) isShared() bool {
	_, ok := c.link.(CustomerLink)
	return ok
}

func (c *connection) user() user {
	if c.isShared() {
		return user{identity: identity{affinity: c.affinity}, shared: true}
	}
	return user{identity: identity{customer: c.customer}}
}

// serves reports whether a statement with an identity may run on the connection. One
// that was opened without a customer serves each statement without one, however the
// target is reached by now; ReplaceLinks closes those that must not be used.
func (c *connection) serves(i identity) bool {
	if c.customer == "" && i.customer == "" {
		return true
	}
	return c.affinity == i.affinity && (c.customer == i.customer || c.isShared())
}

// hasIdle reports whether a target has an idle connection for a need. The caller
// holds the lock.
func (g *Group) hasIdle(s *server, n *Need) bool {
	if len(s.idle) == 0 {
		return false
	}
	if n.Locate {
		return true
	}
	i := g.identity(s, n.customerName())
	return slices.ContainsFunc(s.idle, func(c *connection) bool { return c.serves(i) })
}

// openFor opens a connection for a waiter that found no idle one, if the budget, the
// bound on opens and the backoff allow it. With no budget left it closes another
// idle connection first. The caller holds the lock.
func (g *Group) openFor(s *server, w *waiter, i identity, now time.Duration) {
	key := i.openKey()
	s.unserved++
	s.unservedBy[key]++
	if s.openings.by[key] >= s.unservedBy[key] || now < s.retryAt || !s.mayOpen(i) {
		return
	}
	if s.open+s.dialing >= g.budgetOf(s, now) && (!g.makeRoom(s, w, i, now) || s.open+s.dialing >= g.budgetOf(s, now)) {
		return
	}
	g.dial(s, i)
}

// makeRoom evicts a connection for a waiter that needs one of its own. It does not if
// the waiter's customer has its part already, or if none could be evicted for a waiter
// that came before this one in the queue and has waited longer.
func (g *Group) makeRoom(s *server, w *waiter, i identity, now time.Duration) bool {
	key := i.openKey()
	if len(s.idle) == 0 || w.enqueuedAt >= s.triedSince || s.atPart[key] {
		return false
	}
	if s.held(user{identity: identity{customer: i.customer}})+s.openings.by[key] >= g.partOf(s, now) {
		s.atPart[key] = true
		return false
	}
	if g.evict(s, w, now, func(*connection) bool { return true }) {
		return true
	}
	s.triedSince = w.enqueuedAt
	return false
}

// partOf returns how many connections to a target a user may have while others need
// them: as many as the target has slots, since with more of them its statements only
// wait at the target instead of here, and no more than half of the budget. The caller
// holds the lock.
func (g *Group) partOf(s *server, now time.Duration) int {
	return max(min(s.Slots, g.budgetOf(s, now)/2), 1)
}

// held returns the number of connections that a user has, without those on which a
// transaction is open but no statement runs.
func (s *server) held(u user) int {
	n := 0
	for _, c := range s.idle {
		if c.user() == u {
			n++
		}
	}
	for slot := range s.pending {
		if slot.inWindow && slot.conn.user() == u {
			n++
		}
	}
	return n
}

// mayOpen reports whether the target has a slot to spare for opening a connection.
// One through another VM needs none. Without customers the number is not bounded.
func (s *server) mayOpen(i identity) bool {
	return i.customer == "" || s.relayed[i.affinity] || s.openings.inSlots < s.openings.pace.limit(s.Slots)
}

// beginOpening counts a connection that is being opened.
func (s *server) beginOpening(i identity, now time.Duration) opening {
	o := opening{identity: i, inSlot: !s.relayed[i.affinity], begun: now}
	s.dialing++
	s.openings.begin(o)
	return o
}

// endOpening ends what beginOpening began.
func (s *server) endOpening(o opening, now time.Duration, err error) {
	s.dialing--
	s.openings.end(o)
	if o.inSlot && err == nil {
		s.openings.pace.record(now-o.begun, s.Slots)
	}
}

// recordPath records whether connections with an affinity lead through another VM.
func (s *server) recordPath(c *connection) {
	if c.isShared() {
		s.relayed[c.affinity] = true
	} else {
		delete(s.relayed, c.affinity)
	}
}

// evict closes the idle connection, among those for which candidate is true, that
// will not be needed for the longest time. It returns false if there is none that
// can be closed for the waiter, which is nil if none waits. The caller holds the
// lock.
func (g *Group) evict(s *server, w *waiter, now time.Duration, candidate func(*connection) bool) bool {
	if len(s.idle) == 0 {
		return false
	}
	v := chooseVictim(g.idleConnections(s, w, now, candidate))
	if v < 0 {
		g.awaitTurn(s, w, now, candidate)
		return false
	}
	s.closeIdle(v)
	g.evictions++
	return true
}

// awaitTurn runs dispatch again when a waiter may take the turn of another customer.
func (g *Group) awaitTurn(s *server, w *waiter, now time.Duration, candidate func(*connection) bool) {
	turn := never
	for _, c := range s.idle {
		if w != nil && candidate(c) {
			turn = min(turn, max(w.enqueuedAt, c.openedAt)+evictionTurn)
		}
	}
	if turn != never && turn > now {
		g.redispatchAfter(turn - now)
	}
}

// idleConnections describes a target's idle connections for the choice of a victim.
func (g *Group) idleConnections(s *server, w *waiter, now time.Duration, candidate func(*connection) bool) []idleConnection {
	waiting := g.waitingUsers(s, w)
	list := make([]idleConnection, len(s.idle))
	position, held := map[user]int{}, map[user]int{}
	part := g.partOf(s, now)
	// The connection that was used last is the one that is used next (takeIdle).
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		u := c.user()
		position[u]++
		if position[u] == 1 {
			held[u] = s.held(u)
		}
		list[i] = idleConnection{
			nextUse: expectedNextUse(s.usageOf(u, now), position[u], waiting[u].count),
			yields:  held[u] > part || w != nil && now-max(w.enqueuedAt, c.openedAt) >= evictionTurn && !waiting[u].first,
			fixed:   !candidate(c),
		}
		if !u.shared && u.customer != "" && c.affinity != g.Dialer.Affinity(s.Target, u.customer) {
			// The customer's statements reach the target in another way now.
			list[i].nextUse = never
		}
	}
	return list
}

// waitingStatements counts the statements that wait for connections of one user.
type waitingStatements struct {
	count int
	// first reports that one of them comes before the waiter that needs a connection.
	first bool
}

// waitingUsers counts the statements that wait and that could run on a target, by
// the user whose connection they need.
func (g *Group) waitingUsers(s *server, before *waiter) map[user]waitingStatements {
	users := map[user]waitingStatements{}
	passed := false
	count := func(u user) {
		n := users[u]
		n.count++
		n.first = n.first || !passed
		users[u] = n
	}
	for _, w := range g.waiting {
		if w == before {
			passed = true
			continue
		}
		if w.served || !g.mayRunOn(&w.need, s) {
			continue
		}
		name := w.need.customerName()
		count(user{identity: identity{customer: name}})
		if len(s.relayed) > 0 {
			count(user{identity: identity{affinity: g.Dialer.Affinity(s.Target, name)}, shared: true})
		}
	}
	return users
}

func (s *server) usageOf(u user, now time.Duration) float64 {
	if r := s.usage[u]; r != nil {
		return r.at(now)
	}
	return 0
}

// recordUse counts a use of a connection.
func (s *server) recordUse(c *connection, now time.Duration) {
	u := c.user()
	r := s.usage[u]
	if r == nil {
		r = &usageRate{}
		s.usage[u] = r
	}
	r.add(now)
}

const (
	// forgottenUsage is the rate below which a user is forgotten: one use, 60 s ago.
	forgottenUsage = 0.00025
	// usageCheckInterval is the time between two searches for users to forget.
	usageCheckInterval = 10 * time.Second
)

// forgetUsage drops the rates of users that have not used the target for long.
func (s *server) forgetUsage(now time.Duration) {
	if now-s.usageCheckedAt < usageCheckInterval {
		return
	}
	s.usageCheckedAt = now
	maps.DeleteFunc(s.usage, func(_ user, r *usageRate) bool { return r.at(now) < forgottenUsage })
}

// closeIdle closes the idle connection at an index.
func (s *server) closeIdle(i int) {
	s.idle[i].link.Close()
	s.idle = slices.Delete(s.idle, i, i+1)
	s.open--
}

// mayRunOn reports whether a need allows a target by its role or ID.
func (g *Group) mayRunOn(n *Need, s *server) bool {
	id := g.requiredTarget(n)
	return id == s.ID || id == "" && !n.Leader
}

// evictReserved closes an idle connection of another customer after a dial was not
// attempted because this VM has its only direct connection to the target already, or was
// refused because the target has too many connections.
// It returns false if no statement of the customer waits any more, or no connection can
// be closed. The caller holds the lock.
func (g *Group) evictReserved(s *server, i identity, err error, now time.Duration) bool {
	f := (*query.Failure)(nil)
	full := errors.As(err, &f) && f.Code == query.CodeTooManyConnections
	if !errors.Is(err, ErrReserved) && (!full || i.customer == "") {
		return false
	}
	var first *waiter
	for _, w := range g.waiting {
		if w.need.customerName() == i.customer && g.mayRunOn(&w.need, s) {
			first = w
			break
		}
	}
	if first == nil || !g.evict(s, first, now, func(c *connection) bool { return !c.isShared() && c.customer != i.customer }) {
		return false
	}
	if full {
		// Other VMs may have taken the place that was freed.
		s.retryAt = now + firstBackoff
		g.redispatchAfter(firstBackoff)
	}
	return true
}

// redispatchAfter runs dispatch after a time, unless it is to run anyway. The caller
// holds the lock.
func (g *Group) redispatchAfter(d time.Duration) {
	if g.redispatchPending {
		return
	}
	g.redispatchPending = true
	time.AfterFunc(d, func() {
		g.lock.Lock()
		defer g.lock.Unlock()
		g.redispatchPending = false
		g.dispatch()
	})
}
