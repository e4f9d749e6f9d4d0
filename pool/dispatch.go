package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"amaranthsill/query"
)

// The errors of Acquire.
var (
	// ErrNoTarget reports that no target could take a statement in time.
	ErrNoTarget = errors.New("no target could take the statement")
	// ErrOverloaded reports that so many wait that the time would not suffice.
	ErrOverloaded = errors.New("too many statements wait for a target")
)

// Need says what a statement needs of a target.
type Need struct {
	// Leader demands the group's primary.
	Leader bool
	// Target demands one target, whatever its role; empty leaves the choice.
	Target string
	// Floor is the position that the target must show.
	Floor query.Position
	// FloorAge is how long ago the primary reached the floor.
	FloorAge time.Duration
	// Priority orders waiters; zero comes first.
	Priority int
	// Until is when waiting ends.
	Until time.Duration
	// Patience is when waiting ends if the targets that could take the
	// statement answer, but are at work for others; zero if it is Until.
	Patience time.Duration
	// Tried names targets that refused this statement.
	Tried []string
	// Mark is the session's mark; a connection with the same needs no
	// change.
	Mark uint64
}

type waiter struct {
	need Need
	slot chan *Slot
	// since orders waiters of the same priority.
	since time.Duration
}

// Acquire waits for a connection to a suitable target. Its error wraps
// ErrNoTarget once the need's time is over, and ErrOverloaded once its patience
// is, or at once if it is certain to be in vain.
func (g *Group) Acquire(ctx context.Context, n Need) (*Slot, error) {
	g.lock.Lock()
	now := g.Now()
	if g.hopeless(n, now) {
		g.lock.Unlock()
		return nil, fmt.Errorf("group %s: %w", g.Name, ErrOverloaded)
	}
	w := &waiter{need: n, slot: make(chan *Slot, 1), since: now}
	g.enqueue(w)
	g.dispatch()
	g.lock.Unlock()
	select {
	case s := <-w.slot:
		return s, nil
	default:
	}
	return g.await(ctx, w)
}

// hopeless reports whether those who wait already will take longer than the
// need's patience, as far as connections came free lately while some waited.
func (g *Group) hopeless(n Need, now time.Duration) bool {
	if !g.reached(cmp.Or(n.Target, g.leader)) {
		return false
	}
	ahead := 0
	for _, w := range g.waiting {
		if w.need.Priority <= n.Priority {
			ahead++
		}
	}
	until := cmp.Or(n.Patience, n.Until)
	return ahead >= leastQueue && g.flow.wait(now, ahead) > max(until-now, 0)
}

// leastQueue is the number of waiters below which an estimate says little.
const leastQueue = 4

func (g *Group) await(ctx context.Context, w *waiter) (*Slot, error) {
	timer := time.NewTimer(max(w.need.Until-g.Now(), 0))
	defer timer.Stop()
	patience, stop := g.patience(w.need)
	defer stop()
	reason := ErrNoTarget
	for waiting := true; waiting; {
		select {
		case s := <-w.slot:
			return s, nil
		case <-patience:
			if g.crowded(&w.need) {
				waiting, reason = false, ErrOverloaded
			}
			patience = time.After(patiencePause)
		case <-ctx.Done():
			waiting = false
		case <-timer.C:
			waiting = false
		}
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
	select {
	case s := <-w.slot:
		return s, nil
	default:
		return nil, fmt.Errorf("group %s: %w", g.Name, reason)
	}
}

// patiencePause is the time between two looks whether the targets still
// answer, once a statement has waited for long.
const patiencePause = 50 * time.Millisecond

// patience returns a channel that delivers when the need's patience ends, and
// what releases it.
func (g *Group) patience(n Need) (<-chan time.Time, func()) {
	if n.Patience == 0 || n.Patience >= n.Until {
		return nil, func() {}
	}
	t := time.NewTimer(max(n.Patience-g.Now(), 0))
	return t.C, func() { t.Stop() }
}

// crowded reports whether a need waits for a target that is reached, and not
// for one that is being replaced or has gone silent.
func (g *Group) crowded(n *Need) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	id := cmp.Or(n.Target, g.leader)
	return g.reached(id) && !g.servers[id].silent(g.Now())
}

// reached reports whether a target is in use and can be connected to.
func (g *Group) reached(id string) bool {
	s := g.servers[id]
	return s != nil && !s.gone && !s.down() && !s.Draining
}

func (g *Group) enqueue(w *waiter) {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].need.Priority > w.need.Priority {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, w)
}

// Waiting returns how many statements wait for a target.
func (g *Group) Waiting() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.waiting)
}

// dispatch hands free connections to waiters, in order. The lock is held.
func (g *Group) dispatch() {
	now := g.Now()
	for _, s := range g.servers {
		s.wanted = 0
	}
	left := g.waiting[:0]
	for _, w := range g.waiting {
		if !g.place(w, now) {
			left = append(left, w)
		}
	}
	clear(g.waiting[len(left):])
	g.waiting = left
	g.flow.mark(now, len(left) > 0 && g.reached(g.leader))
	for _, s := range g.servers {
		s.demand.add(now, s.open-len(s.idle)+s.wanted)
	}
}

// place gives a waiter a connection of the cheapest suitable target, or opens
// one for it. It reports whether the waiter is served.
func (g *Group) place(w *waiter, now time.Duration) bool {
	s := g.choose(&w.need, now)
	if s == nil {
		return false
	}
	if c := s.take(w.need.Mark); c != nil {
		if s.ID != g.leader && !s.shows(w.need.Floor, w.need.FloorAge, now) {
			s.lagTried = now
		}
		g.flow.add()
		w.slot <- g.newSlot(s, c, now)
		return true
	}
	s.wanted++
	if s.dialing < s.wanted && s.open+s.dialing < g.budgetOf(s, now) && now >= s.retryAt {
		g.dial(s)
	}
	return false
}

func (g *Group) newSlot(s *server, c *connection, now time.Duration) *Slot {
	n := &Slot{group: g, target: s.ID, server: s, conn: c, leader: s.ID == g.leader}
	s.pending[n] = now
	s.window.occupy(n)
	return n
}

// take returns an idle connection, at best one that holds the session's
// values already.
func (s *server) take(mark uint64) *connection {
	best := -1
	for i, c := range s.idle {
		if c.mirror.Mark() == mark {
			best = i
		}
		if best < 0 && c.mirror.Mark() == 0 {
			best = i
		}
	}
	if best < 0 {
		best = len(s.idle) - 1
	}
	if best < 0 {
		return nil
	}
	c := s.idle[best]
	s.idle = slices.Delete(s.idle, best, best+1)
	return c
}

// choose returns the target with the lowest expected time, or nil while none
// is suitable.
func (g *Group) choose(n *Need, now time.Duration) *server {
	if id := g.demanded(n); id != "" || n.Leader {
		s := g.servers[id]
		if s == nil || !s.usable(now) || !s.window.open() || slices.Contains(n.Tried, s.ID) {
			return nil
		}
		return s
	}
	var best *server
	var lowest time.Duration
	for _, s := range g.servers {
		c, ok := g.costOf(s, n, now)
		if ok && (best == nil || c < lowest) {
			best, lowest = s, c
		}
	}
	return best
}

// demanded returns the one target that a need allows; empty if there is a
// choice, or if nobody leads.
func (g *Group) demanded(n *Need) string {
	if n.Leader {
		return g.leader
	}
	return n.Target
}

// costOf weighs a target for a read.
func (g *Group) costOf(s *server, n *Need, now time.Duration) (time.Duration, bool) {
	if !s.usable(now) || !s.window.open() || slices.Contains(n.Tried, s.ID) {
		return 0, false
	}
	c := s.cost(now, g.Zone)
	if len(s.idle) == 0 {
		// Every connection is at work, or a new one has to be opened.
		c += s.expected(now, g.Zone)
	}
	if s.silent(now) || s.down() {
		c += time.Second
	}
	if s.ID == g.leader {
		return time.Duration(leaderPenalty * float64(c)), true
	}
	if s.behind(n.Floor, n.FloorAge, now) {
		return 0, false
	}
	if !s.shows(n.Floor, n.FloorAge, now) {
		c += s.lagNow(now)
	}
	return c, true
}

func (g *Group) wake() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.dispatch()
}

func (g *Group) release(s *Slot) {
	g.lock.Lock()
	defer g.lock.Unlock()
	v := s.server
	delete(v.pending, s)
	v.window.vacate(s)
	if s.broken || v.gone || s.conn.wiring != g.wiring {
		s.conn.link.Close()
		v.open--
		g.dispatch()
		return
	}
	s.conn.used = g.Now()
	v.idle = append(v.idle, s.conn)
	g.trim(v)
	g.dispatch()
}
