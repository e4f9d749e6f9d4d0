package world

import (
	"fmt"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// operation is what one request does.
type operation uint8

const (
	opRead operation = iota
	opAged
	opWrite
	opRepeat
	opBegin
	opPut
	opCommit
)

// request is one request of a session.
type request struct {
	id      uint64
	session *session
	vm      *vm
	op      operation
	key     string
	value   string
	results map[uint64]result
	called  time.Duration
	ended   bool
	// puts are the requests of the transaction that a commit ends.
	puts []*request
}

// result is what a target read.
type result struct {
	value string
	found bool
}

// session is one caller's session: one request after the other.
type session struct {
	world   *World
	id      uint64
	vm      *vm
	count   int
	floor   group.Position
	known   bool
	plan    []*request
	private string
	// last is the acknowledged value of the private row; maybe are those
	// whose outcome is unknown.
	last  string
	maybe map[string]bool
	// began is the open transaction's requests so far.
	began []*request
	lived uint64
	// life is the VM's life that the session is connected to.
	life int
}

func newSession(w *World, i int) *session {
	s := &session{world: w, id: uint64(i + 1), private: fmt.Sprintf("p%d", i), maybe: map[string]bool{}}
	s.vm = w.vms[i%len(w.vms)]
	s.life = s.vm.life
	return s
}

// next sends the session's next request.
func (s *session) next() {
	w := s.world
	if w.stopped && len(s.plan) == 0 {
		return
	}
	if len(s.plan) == 0 {
		s.roam()
		s.plan = s.choose()
	}
	q := s.plan[0]
	s.plan = s.plan[1:]
	q.vm = s.vm
	q.called = w.now
	if q.op == opBegin {
		s.began = nil
	}
	w.after(w.Shape.Client, func() { s.submit(q) })
	w.after(w.Shape.Timeout+callerPatience, func() { s.lost(q) })
}

// callerPatience is how much longer than a request's timeout a caller waits
// before it gives the VM up.
const callerPatience = 500 * time.Millisecond

func (s *session) submit(q *request) {
	w := s.world
	v := q.vm
	if v.down || v.life != s.life {
		s.lost(q)
		return
	}
	w.wake(&v.place, 0, func() {
		if q.ended {
			return
		}
		v.requests[q.id] = q
		v.step(group.Arrived{Request: s.describe(q)})
	})
}

func (s *session) describe(q *request) group.Request {
	w := s.world
	r := group.Request{
		ID:       q.id,
		Session:  s.id<<20 | s.lived,
		Floor:    s.floor,
		Known:    s.known,
		Deadline: w.now + w.Shape.Timeout,
		Patience: w.Shape.Patience,
	}
	switch q.op {
	case opRead:
		r.Read = true
	case opAged:
		r.Read = true
		r.Age = w.Shape.Age
	case opRepeat:
		r.Repeat = true
	case opWrite, opBegin, opPut, opCommit:
	default:
		panic(fmt.Sprintf("world: unknown operation %d", q.op))
	}
	s.route(&r)
	return r
}

// route changes a read as the policy under comparison wants it.
func (s *session) route(r *group.Request) {
	const ever = 24 * time.Hour
	switch s.world.Shape.Policy {
	case PolicyFull:
	case PolicyPrimary:
		r.Read = false
	case PolicyFloor:
		r.Known = true
		if r.Read {
			r.Age = ever
		}
	default:
		panic(fmt.Sprintf("world: unknown policy %d", s.world.Shape.Policy))
	}
}

// roam moves the session to another VM now and then.
func (s *session) roam() {
	w := s.world
	s.count++
	if w.Shape.Roam == 0 || s.count%w.Shape.Roam != 0 {
		return
	}
	s.move()
	if !w.Shape.Token {
		s.floor, s.known = group.Position{}, false
	}
}

// move leaves the session's VM for another one that is up.
func (s *session) move() {
	w := s.world
	old := s.vm
	left := s.id<<20 | s.lived
	s.lived++
	if !old.down {
		w.wake(&old.place, w.Shape.Client, func() { old.step(group.Vanished{Session: left}) })
	}
	for range len(w.vms) * 4 {
		s.vm = w.vms[w.random.IntN(len(w.vms))]
		if s.vm != old && !s.vm.down {
			break
		}
	}
	s.life = s.vm.life
}

func (s *session) choose() []*request {
	const shared = 5
	w := s.world
	key := fmt.Sprintf("k%d", w.random.IntN(shared))
	if w.random.IntN(2) == 0 {
		key = s.private
	}
	dice := w.random.Float64()
	switch {
	case dice < w.Shape.Reads:
		return []*request{s.request(opRead, key)}
	case dice < w.Shape.Reads+w.Shape.Aged:
		return []*request{s.request(opAged, key)}
	case w.random.Float64() < w.Shape.Transactions:
		puts := []*request{s.request(opPut, key), s.request(opPut, "k0")}
		commit := s.request(opCommit, "")
		commit.puts = puts
		return []*request{s.request(opBegin, ""), puts[0], puts[1], commit}
	case key == s.private && w.random.IntN(2) == 0:
		return []*request{s.request(opRepeat, key)}
	default:
		return []*request{s.request(opWrite, key)}
	}
}

func (s *session) request(op operation, key string) *request {
	id := s.world.id()
	return &request{id: id, session: s, op: op, key: key, value: fmt.Sprintf("r%d", id), results: map[uint64]result{}}
}

// execute runs a request on the target, in the slot's open transaction if
// there is one.
func (t *target) execute(s *slot, q *request) (group.Reply, result) {
	first := t.replica.Applied()
	out := result{}
	reply := group.Reply{First: first}
	switch q.op {
	case opRead, opAged:
		out.value, out.found = t.read(s, q)
	case opBegin:
		if t.replica.Role() != group.RolePrimary {
			reply.Rejected = true
			break
		}
		s.tx = t.replica.Begin()
		s.session = q.session.id
	case opPut:
		if s.tx == nil && s.gone {
			reply.Rejected = true
			break
		}
		if s.tx == nil {
			t.world.fail("request %d ran outside its transaction", q.id)
			break
		}
		s.tx.Put(row(q.key), q.value)
	case opWrite, opRepeat, opCommit:
		reply.Wrote, reply.Rejected = t.commit(s, q)
	default:
		panic(fmt.Sprintf("world: unknown operation %d", q.op))
	}
	reply.Open = s.tx != nil
	reply.Status = t.status()
	return reply, out
}

func row(key string) replica.Row { return replica.Row{Table: "t", Key: key} }

func (t *target) read(s *slot, q *request) (string, bool) {
	tx := s.tx
	if tx == nil {
		tx = t.replica.Begin()
	}
	return tx.Get(row(q.key))
}

func (t *target) commit(s *slot, q *request) (wrote, rejected bool) {
	tx := s.tx
	s.tx = nil
	if q.op != opCommit {
		tx = t.replica.Begin()
		tx.Put(row(q.key), q.value)
	}
	if tx == nil && s.gone {
		return false, true
	}
	if tx == nil {
		t.world.fail("request %d committed no transaction", q.id)
		return false, true
	}
	if _, err := t.replica.Commit(tx, t.world.now); err != nil {
		return false, true
	}
	t.executed[q.id]++
	t.changed()
	return true, false
}

// answer takes a machine's ending back to the caller.
func (v *vm) answer(a group.Answer) {
	q := v.requests[a.Request]
	if q == nil {
		return
	}
	delete(v.requests, a.Request)
	released := v.world.now
	v.world.after(v.world.Shape.Client, func() {
		if !q.ended {
			q.ended = true
			q.session.answered(q, a.Ending, released)
		}
	})
}

// lost is a request whose VM went away.
func (s *session) lost(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	if q.vm != nil {
		delete(q.vm.requests, q.id)
	}
	s.move()
	s.answered(q, group.Unknown{Reason: "the VM went away"}, s.world.now)
}

// answered records how a request ended and goes on.
func (s *session) answered(q *request, e group.Ending, released time.Duration) {
	w := s.world
	w.history.add(w, s, q, e, released)
	switch e := e.(type) {
	case group.Done:
		s.done(q, e)
	case group.Refused:
		s.plan = nil
	case group.Unknown:
		s.plan = nil
		s.unsure(q)
	default:
		panic(fmt.Sprintf("world: unknown ending %T", e))
	}
	think := w.chance(w.Shape.Think)
	if len(s.plan) > 0 {
		think = 0
	}
	w.after(think, s.next)
}

// unsure notes values that may appear in the private row from now on.
func (s *session) unsure(q *request) {
	for _, o := range append([]*request{q}, q.puts...) {
		writes := o.op == opWrite || o.op == opRepeat || o.op == opPut
		if writes && o.key == s.private {
			s.maybe[o.value] = true
		}
	}
}

func (s *session) done(q *request, e group.Done) {
	w := s.world
	if e.Position.Compare(s.floor) < 0 && w.Shape.Policy == PolicyFull {
		w.fail("session %d went back from %s to %s", s.id, s.floor, e.Position)
	}
	s.floor = group.Max(s.floor, e.Position)
	s.known = true
	switch q.op {
	case opRead, opAged:
		s.checkOwn(q, q.results[e.Run])
	case opWrite, opRepeat:
		s.wrote(q)
	case opCommit:
		for _, p := range q.puts {
			s.wrote(p)
		}
	case opBegin, opPut:
	default:
		panic(fmt.Sprintf("world: unknown operation %d", q.op))
	}
}

func (s *session) wrote(q *request) {
	if q.key == s.private {
		s.last = q.value
	}
}

// checkOwn checks that a session sees its own last write.
func (s *session) checkOwn(q *request, r result) {
	if q.key != s.private || r.value == s.last || s.maybe[r.value] {
		return
	}
	if s.world.Shape.Policy == PolicyFloor && !s.world.Shape.Token {
		s.world.history.Broken++
		return
	}
	s.world.fail("session %d wrote %s and read %q", s.id, s.last, r.value)
}
