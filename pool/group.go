package pool

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/query"
)

// dialLimit bounds the opening of a connection: two round trips between
// zones, and a queue of statements at the target.
const dialLimit = 1200 * time.Millisecond

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
	// Floor is the position that the target must show.
	Floor query.Position
	// FloorAge is how long ago the primary reached the floor.
	FloorAge time.Duration
	// Priority orders waiters; zero comes first.
	Priority int
	// Until is when waiting ends.
	Until time.Duration
	// Tried names targets that refused this statement.
	Tried []string
	// Mark is the session's mark; a connection with the same needs no
	// change.
	Mark uint64
}

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
	samples Samples
	flow    flow
}

type waiter struct {
	need Need
	slot chan *Slot
	// since orders waiters of the same priority.
	since time.Duration
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

// idleLimit is how long a connection may go unused. Those that are closed
// leave room for VMs that start while a target still counts their former
// connections.
const idleLimit = 500 * time.Millisecond

// trim closes idle connections above the budget or unused for long, and all
// of a target that is draining.
func (g *Group) trim(s *server) {
	now := g.Now()
	for len(s.idle) > 0 && (s.open+s.dialing > g.budgetOf(s, now) || s.Draining || now-s.idle[0].used > idleLimit) {
		s.idle[0].link.Close()
		s.idle = s.idle[1:]
		s.open--
	}
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

// Warm opens a connection to the leader and to the targets of the own zone,
// so that the first statements find one.
func (g *Group) Warm() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, s := range g.servers {
		near := s.Zone == g.Zone || s.ID == g.leader
		if near && !s.Draining && s.open+s.dialing == 0 {
			g.dial(s)
		}
	}
}

// Targets returns the registered targets by ID.
func (g *Group) Targets() []Target {
	g.lock.Lock()
	defer g.lock.Unlock()
	list := []Target{}
	for _, s := range g.servers {
		list = append(list, s.Target)
	}
	slices.SortFunc(list, func(a, b Target) int { return compareText(a.ID, b.ID) })
	return list
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
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

// Health is what this VM has seen of a target.
type Health struct {
	// Failing is for how long connections could not be opened and nothing
	// was heard; zero if the target is reached.
	Failing time.Duration
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
	}
	if s.readOnly != 0 {
		h.ReadOnly = max(now-s.readOnly, 1)
	}
	return h
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

// Acquire waits for a connection to a suitable target. Its error wraps
// ErrNoTarget once the need's time is over, and ErrOverloaded at once if that
// is certain.
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
// need's time, as far as connections came free lately.
func (g *Group) hopeless(n Need, now time.Duration) bool {
	ahead := 0
	for _, w := range g.waiting {
		if w.need.Priority <= n.Priority {
			ahead++
		}
	}
	rate := g.flow.rate(now)
	return ahead >= leastQueue && rate > 0 && time.Duration(float64(ahead)/rate*float64(time.Second)) > n.Until-now
}

// leastQueue is the number of waiters below which an estimate says little.
const leastQueue = 12

func (g *Group) await(ctx context.Context, w *waiter) (*Slot, error) {
	timer := time.NewTimer(max(w.need.Until-g.Now(), 0))
	defer timer.Stop()
	select {
	case s := <-w.slot:
		return s, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
	select {
	case s := <-w.slot:
		return s, nil
	default:
		return nil, fmt.Errorf("group %s: %w", g.Name, ErrNoTarget)
	}
}

func (g *Group) enqueue(w *waiter) {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].need.Priority > w.need.Priority {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, w)
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
		g.flow.add(now)
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
	if n.Leader {
		s := g.servers[g.leader]
		if s == nil || !s.usable(now) || slices.Contains(n.Tried, s.ID) {
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

// costOf weighs a target for a read.
func (g *Group) costOf(s *server, n *Need, now time.Duration) (time.Duration, bool) {
	if !s.usable(now) || slices.Contains(n.Tried, s.ID) {
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

// dial opens a connection in the background. The lock is held.
func (g *Group) dial(s *server) {
	s.dialing++
	t := s.Target
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
		defer cancel()
		link, p, err := g.Dialer.Dial(ctx, t)
		g.dialed(s, link, p, err)
	}()
}

func (g *Group) dialed(s *server, link Link, p query.Position, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.dialing--
	now := g.Now()
	if err != nil {
		s.failed(now, err)
		g.Log.V(1).Info("connection to target failed", "group", g.Name, "target", s.ID, "reason", err.Error())
		time.AfterFunc(s.retryAt-now, g.wake)
		return
	}
	s.heard = now
	s.alive()
	if s.gone {
		link.Close()
		return
	}
	if p.Reaches(s.position) {
		s.position = p
	}
	s.open++
	s.idle = append(s.idle, &connection{link: link, used: now})
	g.trim(s)
	g.dispatch()
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
	if s.broken || v.gone {
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

// started notes that a statement is under way.
func (g *Group) started(s *Slot, now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.server.pending[s] = now
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

// Probe opens a connection to a target that has gone silent, so that a dead
// one is told from a dead connection.
func (g *Group) Probe(id string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil || s.probing || s.gone || g.Now() < s.retryAt {
		return
	}
	s.probing = true
	t := s.Target
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
		defer cancel()
		link, _, err := g.Dialer.Dial(ctx, t)
		if err == nil {
			link.Close()
		}
		g.probed(s, err)
	}()
}

// heardLately is how long ago an answer of a target is proof that it runs.
const heardLately = 250 * time.Millisecond

// Reaches reports whether a target answers this VM, and tries it if it has not
// done so a moment ago.
func (g *Group) Reaches(ctx context.Context, id string) bool {
	g.lock.Lock()
	s := g.servers[id]
	now := g.Now()
	if s == nil || now-s.heard < heardLately || s.down() {
		reached := s != nil && !s.down()
		g.lock.Unlock()
		return reached
	}
	t := s.Target
	g.lock.Unlock()
	link, _, err := g.Dialer.Dial(ctx, t)
	g.lock.Lock()
	defer g.lock.Unlock()
	if err != nil {
		return false
	}
	link.Close()
	s.heard = g.Now()
	s.alive()
	return true
}

// probeLimit bounds a probe; a target that is slow to start a session is not
// one that cannot be reached.
const probeLimit = 1500 * time.Millisecond

func (g *Group) probed(s *server, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.probing = false
	now := g.Now()
	if err != nil {
		s.failed(now, err)
		return
	}
	s.alive()
	s.heard = now
}
