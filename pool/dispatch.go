package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthsill/customer"
	"amaranthsill/query"
)

// The errors of Acquire.
var (
	// ErrNoTarget reports that no target could take a statement before its
	// deadline.
	ErrNoTarget = errors.New("no target could take the statement")
	// ErrOverloaded reports that too many statements are queued for this one
	// to be served in time.
	ErrOverloaded = errors.New("too many statements wait for a target")
)

// Need states the requirements of a statement for its target.
type Need struct {
	// Leader requires the group's leader.
	Leader bool
	// Target requires the target with this ID, whatever its role; empty leaves
	// the choice.
	Target string
	// Floor is the log position that the target must have reached.
	Floor query.Position
	// FloorAge is the time since the leader reached Floor.
	FloorAge time.Duration
	// Priority orders waiting statements; lower values are served first. Those of equal
	// priority are ordered by the priority of their customers, then in turn by customer
	// in proportion to the customers' rates.
	Priority int
	// Until is the deadline for waiting, on the clock of Group.Now.
	Until time.Duration
	// QueueDeadline is an earlier deadline, on the same clock, that applies only
	// while the required target, or else the leader, is reachable but occupied
	// by other statements. Zero means Until.
	QueueDeadline time.Duration
	// Tried holds the IDs of targets that have refused this statement.
	Tried []string
	// Customer is the customer that sent the statement; nil if the deployment has
	// none.
	Customer *customer.Customer
	// Locate states that only Locate orders will be sent, which run no statement of a
	// customer. Any idle connection to the target is suitable, whoever it was opened
	// for; the slot refuses other orders with ErrNotLocate.
	Locate bool
	// StateHash is the hash of the session's values; a connection with the same
	// hash already holds them.
	StateHash uint64
	// Route names the statement's route, for the average size of its statements.
	Route string
	// Remote reports that the statement comes from a VM of another zone. It is served
	// after the others of its priority if Group.Traffic is set.
	Remote bool
}

// Acquire waits for a connection to a suitable target. Its error wraps
// ErrNoTarget after Need.Until or if the context ends. It wraps ErrOverloaded
// after Need.QueueDeadline, or at once if the queue is too long for the statement
// to be served in time. A customer's statement is also refused with ErrOverloaded
// while it waits, once statements that come before it leave too little time, and at
// once if its customer has more than its share of the queue.
func (g *Group) Acquire(ctx context.Context, n Need) (*Slot, error) {
	g.lock.Lock()
	now := g.Now()
	if n.Customer == nil && g.queueTooLong(n, now) {
		g.countRefused(&n)
		g.lock.Unlock()
		return nil, fmt.Errorf("group %s: %w", g.Name, ErrOverloaded)
	}
	w := g.newWaiter(n, now)
	g.enqueue(w)
	g.dispatch()
	g.boundShare(w, now)
	g.lock.Unlock()
	select {
	case s := <-w.slot:
		return s, nil
	default:
	}
	return g.await(ctx, w)
}

// queueTooLong reports whether a new statement would wait beyond its deadline,
// judged by the recent throughput of the queue. The caller holds the lock.
func (g *Group) queueTooLong(n Need, now time.Duration) bool {
	if !g.reachable(cmp.Or(n.Target, g.leader)) {
		return false
	}
	ahead := 0
	for _, w := range g.waiting {
		if w.need.Priority <= n.Priority {
			ahead++
		}
	}
	return ahead >= minEstimateQueue && g.throughput.estimateWait(now, ahead) > max(n.deadline()-now, 0)
}

// minEstimateQueue is the queue length below which the estimated wait is too
// inaccurate to refuse a statement.
const minEstimateQueue = 4

// shortestTimer keeps a timer from having expired when it is made: the race detector crashes
// on such a timer's channel in a bubble of package synctest.
const shortestTimer = time.Nanosecond

func (g *Group) await(ctx context.Context, w *waiter) (*Slot, error) {
	timer := time.NewTimer(max(w.need.Until-g.Now(), shortestTimer))
	defer timer.Stop()
	queueDeadline, stop := g.queueDeadlineTimer(w.need)
	defer stop()
	reason := ErrNoTarget
	for waiting := true; waiting; {
		select {
		case s := <-w.slot:
			return s, nil
		case <-queueDeadline:
			if g.waitsForReachableTarget(&w.need) {
				waiting, reason = false, ErrOverloaded
			}
			queueDeadline = time.After(reachabilityRecheckInterval)
		case <-w.refused:
			waiting, reason = false, ErrOverloaded
		case <-ctx.Done():
			waiting = false
		case <-timer.C:
			waiting = false
		}
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.withdraw(w)
	select {
	case s := <-w.slot:
		return s, nil
	default:
		return nil, fmt.Errorf("group %s: %w", g.Name, reason)
	}
}

// reachabilityRecheckInterval is the time between two checks whether the
// target still answers, for a statement that has waited beyond Need.QueueDeadline.
const reachabilityRecheckInterval = 50 * time.Millisecond

// queueDeadlineTimer returns a channel that delivers at Need.QueueDeadline, and a
// function that stops the timer. The channel is nil if Need.QueueDeadline does not
// apply.
func (g *Group) queueDeadlineTimer(n Need) (<-chan time.Time, func()) {
	if n.QueueDeadline == 0 || n.QueueDeadline >= n.Until {
		return nil, func() {}
	}
	t := time.NewTimer(max(n.QueueDeadline-g.Now(), shortestTimer))
	return t.C, func() { t.Stop() }
}

// waitsForReachableTarget reports whether the statement waits for a target
// that is occupied, as opposed to one that is being replaced or no longer
// answers.
func (g *Group) waitsForReachableTarget(n *Need) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	id := cmp.Or(n.Target, g.leader)
	return g.reachable(id) && !g.servers[id].silent(g.Now())
}

// reachable reports whether a target is registered, accepts new work, and is
// not marked unreachable. The caller holds the lock.
func (g *Group) reachable(id string) bool {
	s := g.servers[id]
	return s != nil && !s.removed && !s.unreachable() && !s.Draining
}

// Waiting returns the number of statements that wait for a target.
func (g *Group) Waiting() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.waiting)
}

// dispatch hands idle connections to waiters, in queue order. The caller holds
// the lock.
func (g *Group) dispatch() {
	now := g.Now()
	for _, s := range g.servers {
		s.unserved = 0
		clear(s.unservedBy)
		clear(s.atPart)
		s.triedSince = never
	}
	g.beginCrossing(now)
	for _, w := range g.waiting {
		w.served = g.assign(w, now)
		if w.served {
			g.fair.serve(w.ticket)
		}
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool { return w.served })
	g.displace(now)
	open, _ := g.connections()
	g.throughput.setConnections(now, open)
	g.throughput.setQueued(now, len(g.waiting) > 0 && g.reachable(g.leader))
	for _, s := range g.servers {
		s.demand.add(now, g.wanted(s))
	}
}

// assign gives a waiter an idle connection to the target with the lowest cost,
// or dials that target. It reports whether the waiter got a connection.
func (g *Group) assign(w *waiter, now time.Duration) bool {
	s := g.chooseServer(&w.need, now)
	if s == nil {
		return false
	}
	i := g.identity(s, w.need.customerName())
	if !g.hasRoomFor(s, &w.need) {
		return false
	}
	if c := s.takeIdle(i, &w.need); c != nil {
		if s.ID != g.leader && !s.probablyShows(w.need.Floor, w.need.FloorAge, now) {
			s.lagProbedAt = now
		}
		g.throughput.countServed()
		slot := g.newSlot(s, c, &w.need, now)
		g.countCrossing(&w.need, slot)
		w.slot <- slot
		return true
	}
	g.openFor(s, w, i, now)
	return false
}

// hasRoomFor reports whether a target that this VM connects to itself may run another
// statement of the need's customer.
func (g *Group) hasRoomFor(s *server, n *Need) bool {
	i := g.identity(s, n.customerName())
	return s.relayed[i.affinity] || s.window.hasRoomFor(i.customer, s.Slots)
}

func (g *Group) newSlot(s *server, c *connection, need *Need, now time.Duration) *Slot {
	if l, ok := c.link.(CustomerLink); ok {
		l.SetCustomer(need.customerName(), need.Priority)
	}
	if !need.Locate {
		s.recordUse(c, now)
	}
	n := &Slot{group: g, target: s.ID, server: s, conn: c, leader: s.ID == g.leader, locateOnly: need.Locate, customer: need.customerName()}
	s.pending[n] = now
	s.window.add(n)
	return n
}

// takeIdle removes and returns an idle connection that the statement may use, or
// nil if there is none. It prefers one that already holds the session's values, then
// one without any values.
func (s *server) takeIdle(id identity, n *Need) *connection {
	best, last := -1, -1
	for i, c := range s.idle {
		if !n.Locate && !c.serves(id) {
			continue
		}
		last = i
		if c.state.Hash() == n.StateHash {
			best = i
		}
		if best < 0 && c.state.Hash() == 0 {
			best = i
		}
	}
	if best < 0 {
		best = last
	}
	if best < 0 {
		return nil
	}
	c := s.idle[best]
	s.idle = slices.Delete(s.idle, best, best+1)
	return c
}

// chooseServer returns the suitable target with the lowest expected latency,
// or nil if none is suitable now.
func (g *Group) chooseServer(n *Need, now time.Duration) *server {
	if id := g.requiredTarget(n); id != "" || n.Leader {
		s := g.servers[id]
		if s == nil || !s.usable(now) || !s.window.hasRoom() || slices.Contains(n.Tried, s.ID) {
			return nil
		}
		return s
	}
	if g.Traffic != nil {
		return g.chooseByCost(n, now)
	}
	return g.cheapest(n, now)
}

// cheapest returns the target with the lowest readCost; nil if none is suitable.
func (g *Group) cheapest(n *Need, now time.Duration) *server {
	var best *server
	var lowest time.Duration
	for _, s := range g.servers {
		c, ok := g.readCost(s, n, now)
		if ok && (best == nil || c < lowest) {
			best, lowest = s, c
		}
	}
	return best
}

// requiredTarget returns the ID of the only target that a need allows. It is
// empty if several are allowed, or if the leader is needed and unknown.
func (g *Group) requiredTarget(n *Need) string {
	if n.Leader {
		return g.leader
	}
	return n.Target
}

// readCost returns the expected latency of a read on a target, with penalties,
// and whether the target may run the read at all.
func (g *Group) readCost(s *server, n *Need, now time.Duration) (time.Duration, bool) {
	if !s.usable(now) || !s.window.hasRoom() || slices.Contains(n.Tried, s.ID) || !g.hasRoomFor(s, n) {
		return 0, false
	}
	c := s.cost(now, g.Zone)
	if !g.hasIdle(s, n) {
		// All connections are in use, or a new one has to be opened.
		c += s.expectedLatency(now, g.Zone)
	}
	if s.silent(now) || s.unreachable() {
		c += time.Second
	}
	if s.ID == g.leader {
		return time.Duration(leaderPenalty * float64(c)), true
	}
	if s.excludedByLag(n.Floor, n.FloorAge, now) {
		return 0, false
	}
	if !s.probablyShows(n.Floor, n.FloorAge, now) {
		c += s.estimatedLag(now)
	}
	return c, true
}

// redispatch runs dispatch from a timer.
func (g *Group) redispatch() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.dispatch()
}

// release returns a connection to the pool, or closes it if it is broken or no
// longer wanted.
func (g *Group) release(s *Slot) {
	g.lock.Lock()
	defer g.lock.Unlock()
	v := s.server
	delete(v.pending, s)
	v.window.remove(s)
	if s.broken || v.removed || s.conn.generation != g.linkGeneration || s.conn.spent() {
		s.conn.link.Close()
		v.open--
		g.dispatch()
		return
	}
	s.conn.lastUsed = g.Now()
	v.idle = append(v.idle, s.conn)
	g.trim(v)
	g.dispatch()
}
