package pool

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a statement that waits in Acquire for a connection.
type waiter struct {
	need Need
	*ticket
	slot chan *Slot
	// refused is closed when the statement is taken out of the queue because it cannot
	// be served in time; nil if the statement has no customer.
	refused chan struct{}
	// enqueuedAt is when Acquire was called.
	enqueuedAt time.Duration
	// served reports that the statement got a connection in this dispatch run.
	served bool
}

func (g *Group) newWaiter(n Need, now time.Duration) *waiter {
	w := &waiter{need: n, ticket: newTicket(&n), slot: make(chan *Slot, 1), enqueuedAt: now}
	// Statements of other zones go behind where that costs anything.
	w.remote = g.Traffic != nil && n.Remote
	if n.Customer != nil {
		w.refused = make(chan struct{})
	}
	return w
}

// deadline returns when the statement is refused if its target is occupied.
func (n *Need) deadline() time.Duration { return cmp.Or(n.QueueDeadline, n.Until) }

// enqueue inserts a waiter in the order of the tickets, behind those that are equal.
func (g *Group) enqueue(w *waiter) {
	g.fair.enter(w.ticket)
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].compare(w.ticket) > 0 {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, w)
}

// withdraw removes a waiter that will not be served. The caller holds the lock.
func (g *Group) withdraw(w *waiter) {
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	if g.fair.withdraw(w.ticket) && w.need.Customer != nil {
		slices.SortStableFunc(g.waiting, func(a, b *waiter) int { return a.compare(b.ticket) })
	}
}

// refuse withdraws a waiter and has Acquire return ErrOverloaded. The caller holds the
// lock.
func (g *Group) refuse(w *waiter) {
	g.withdraw(w)
	g.countRefused(&w.need)
	close(w.refused)
}

// displace refuses the statements of customers that can no longer be served in time
// because others come before them. The caller holds the lock.
func (g *Group) displace(now time.Duration) {
	if len(g.waiting) <= minEstimateQueue || !slices.ContainsFunc(g.waiting, func(w *waiter) bool { return w.refused != nil }) {
		return
	}
	queue := make([]queued, len(g.waiting))
	for i, w := range g.waiting {
		queue[i] = queued{left: w.need.deadline() - now, kept: w.refused == nil || !g.occupied(&w.need, now)}
	}
	refused := []*waiter{}
	open, dialing := g.connections()
	for _, i := range displaced(queue, func(ahead int) time.Duration { return g.throughput.estimateWaitOn(now, ahead, open+dialing) }) {
		refused = append(refused, g.waiting[i])
	}
	for _, w := range refused {
		g.refuse(w)
	}
}

// connections returns the number of connections that are open, and of those being
// opened. The caller holds the lock.
func (g *Group) connections() (open, dialing int) {
	for _, s := range g.servers {
		open, dialing = open+s.open, dialing+s.dialing
	}
	return open, dialing
}

// occupied reports whether a statement's target, or else the leader, is reached and
// answers, so that the queue's throughput tells when the statement will be served. The
// caller holds the lock.
func (g *Group) occupied(n *Need, now time.Duration) bool {
	id := cmp.Or(n.Target, g.leader)
	return g.reachable(id) && !g.servers[id].silent(now)
}

// boundShare refuses a statement that has just arrived if its customer has more than
// its share of the queue. The caller holds the lock.
func (g *Group) boundShare(w *waiter, now time.Duration) {
	if w.refused == nil || w.served || !g.occupied(&w.need, now) {
		return
	}
	servable, known := g.throughput.servable(now, w.need.deadline()-now)
	if !known {
		return
	}
	own, total := 0, 0.0
	seen := map[string]bool{}
	for _, o := range g.waiting {
		if o.need.Customer == nil {
			continue
		}
		if o.need.Customer.Name == w.need.Customer.Name {
			own++
		}
		if !seen[o.need.Customer.Name] {
			seen[o.need.Customer.Name] = true
			total += weight(o.need.Customer)
		}
	}
	if slices.Contains(g.waiting, w) && own > queueShare(servable, weight(w.need.Customer), total) {
		g.refuse(w)
	}
}
