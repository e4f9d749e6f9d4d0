package world

import (
	"fmt"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// operation is what a request does.
type operation uint8

const (
	// opRead is a current read.
	opRead operation = iota
	// opAged is a read with the stated age Scenario.MaxStaleness.
	opAged
	// opWrite is a write that must not run twice.
	opWrite
	// opRepeat is a write that may run more than once.
	opRepeat
	// opBegin, opPut and opCommit start, write in and commit a transaction.
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
	// results has what each run of the request returned, by the ID of the run.
	results map[uint64]result
	sentAt  time.Duration
	ended   bool
	// puts are, for opCommit, the writes of the transaction.
	puts []*request
}

// result is the row's value that a read returned.
type result struct {
	value string
	found bool
}

// session is a caller's session. It has one request in flight at a time.
type session struct {
	world      *World
	id         uint64
	vm         *vm
	operations int
	floor      group.Position
	floorKnown bool
	planned    []*request
	privateRow string
	// lastAcknowledged is the value of the last acknowledged write to the
	// private row, which only this session writes; possible are the values of
	// writes to it whose outcome is unknown.
	lastAcknowledged string
	possible         map[string]bool
	// transaction is cleared when a transaction begins and not used otherwise.
	transaction []*request
	// reconnects counts the calls of switchVM. It is part of the session
	// ID that the VMs see, so that each connection has an ID of its own.
	reconnects uint64
	// generationAtConnect is vm.generation at the time when the session
	// connected. A VM of another generation has restarted and lost the
	// connection.
	generationAtConnect int
}

func newSession(w *World, i int) *session {
	s := &session{world: w, id: uint64(i + 1), privateRow: fmt.Sprintf("p%d", i), possible: map[string]bool{}}
	s.vm = w.vms[i%len(w.vms)]
	s.generationAtConnect = s.vm.generation
	return s
}

// sendNext sends the session's next request. When the planned ones are used up
// it plans a new operation first, unless the run is draining.
func (s *session) sendNext() {
	w := s.world
	if w.draining && len(s.planned) == 0 {
		return
	}
	if len(s.planned) == 0 {
		s.roam()
		s.planned = s.chooseRequests()
	}
	q := s.planned[0]
	s.planned = s.planned[1:]
	q.vm = s.vm
	q.sentAt = w.now
	if q.op == opBegin {
		s.transaction = nil
	}
	w.schedule(w.Scenario.ClientDelay, func() { s.submit(q) })
	w.schedule(w.Scenario.Timeout+callerTimeoutMargin, func() { s.vmLost(q) })
}

// callerTimeoutMargin is how much longer than Scenario.Timeout a caller waits for
// the VM's answer before it treats the VM as lost.
const callerTimeoutMargin = 500 * time.Millisecond

func (s *session) submit(q *request) {
	w := s.world
	v := q.vm
	if v.down || v.generation != s.generationAtConnect {
		s.vmLost(q)
		return
	}
	w.scheduleOn(&v.node, 0, func() {
		if q.ended {
			return
		}
		v.requests[q.id] = q
		v.step(group.Arrived{Request: s.groupRequest(q)})
	})
}

func (s *session) groupRequest(q *request) group.Request {
	w := s.world
	r := group.Request{
		ID:          q.id,
		Session:     s.id<<20 | s.reconnects,
		Floor:       s.floor,
		FloorKnown:  s.floorKnown,
		Deadline:    w.now + w.Scenario.Timeout,
		ReplicaWait: w.Scenario.ReplicaWait,
	}
	switch q.op {
	case opRead:
		r.Read = true
	case opAged:
		r.Read = true
		r.MaxStaleness = w.Scenario.MaxStaleness
	case opRepeat:
		r.Repeatable = true
	case opWrite, opBegin, opPut, opCommit:
	default:
		panic(fmt.Sprintf("world: unknown operation %d", q.op))
	}
	s.applyPolicy(&r)
	return r
}

// applyPolicy changes a read request so that package group routes it as
// Scenario.Policy says.
func (s *session) applyPolicy(r *group.Request) {
	const unbounded = 24 * time.Hour
	switch s.world.Scenario.Policy {
	case PolicyFull:
	case PolicyPrimary:
		r.Read = false
	case PolicyFloor:
		r.FloorKnown = true
		if r.Read {
			r.MaxStaleness = unbounded
		}
	default:
		panic(fmt.Sprintf("world: unknown policy %d", s.world.Scenario.Policy))
	}
}

// roam counts an operation and, at every multiple of Scenario.Roam, switches the
// session to another VM.
func (s *session) roam() {
	w := s.world
	s.operations++
	if w.Scenario.Roam == 0 || s.operations%w.Scenario.Roam != 0 {
		return
	}
	s.switchVM()
	if !w.Scenario.KeepToken {
		s.floor, s.floorKnown = group.Position{}, false
	}
}

// switchVM disconnects the session from its VM and connects it to another VM
// that is up, chosen at random. The VMs see a new session ID for each
// connection: the session's own ID, and reconnects in the low 20 bits.
//
// The number of draws is bounded, since possibly no other VM is up. The last draw
// then stands, which is the old VM or one that is down. If one other VM is up,
// four draws for each VM all miss it with a probability below 2%.
func (s *session) switchVM() {
	w := s.world
	old := s.vm
	oldSession := s.id<<20 | s.reconnects
	s.reconnects++
	if !old.down {
		w.scheduleOn(&old.node, w.Scenario.ClientDelay, func() { old.step(group.SessionEnded{Session: oldSession}) })
	}
	for range len(w.vms) * 4 {
		s.vm = w.vms[w.random.IntN(len(w.vms))]
		if s.vm != old && !s.vm.down {
			break
		}
	}
	s.generationAtConnect = s.vm.generation
}

func (s *session) chooseRequests() []*request {
	const sharedRows = 5
	w := s.world
	key := fmt.Sprintf("k%d", w.random.IntN(sharedRows))
	if w.random.IntN(2) == 0 {
		key = s.privateRow
	}
	draw := w.random.Float64()
	switch {
	case draw < w.Scenario.ReadShare:
		return []*request{s.newRequest(opRead, key)}
	case draw < w.Scenario.ReadShare+w.Scenario.AgedReadShare:
		return []*request{s.newRequest(opAged, key)}
	case w.random.Float64() < w.Scenario.TransactionShare:
		puts := []*request{s.newRequest(opPut, key), s.newRequest(opPut, "k0")}
		commit := s.newRequest(opCommit, "")
		commit.puts = puts
		return []*request{s.newRequest(opBegin, ""), puts[0], puts[1], commit}
	case key == s.privateRow && w.random.IntN(2) == 0:
		return []*request{s.newRequest(opRepeat, key)}
	default:
		return []*request{s.newRequest(opWrite, key)}
	}
}

func (s *session) newRequest(op operation, key string) *request {
	id := s.world.newID()
	return &request{id: id, session: s, op: op, key: key, value: fmt.Sprintf("r%d", id), results: map[uint64]result{}}
}

// execute runs a request on the target, in the slot's open transaction if it
// has one, and returns the reply and the value read.
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
		s.txSession = q.session.id
	case opPut:
		if s.tx == nil && s.closedAtTarget {
			reply.Rejected = true
			break
		}
		if s.tx == nil {
			t.world.recordViolation("request %d of a transaction ran without an open transaction", q.id)
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
	if tx == nil && s.closedAtTarget {
		return false, true
	}
	if tx == nil {
		t.world.recordViolation("request %d committed without an open transaction", q.id)
		return false, true
	}
	if _, err := t.replica.Commit(tx, t.world.now); err != nil {
		return false, true
	}
	t.executions[q.id]++
	t.answerPolls()
	return true, false
}

// answer delivers a request's ending from the group machine to the caller.
func (v *vm) answer(a group.Answer) {
	q := v.requests[a.Request]
	if q == nil {
		return
	}
	delete(v.requests, a.Request)
	answerSentAt := v.world.now
	v.world.schedule(v.world.Scenario.ClientDelay, func() {
		if !q.ended {
			q.ended = true
			q.session.answered(q, a.Ending, answerSentAt)
		}
	})
}

// vmLost ends a request as unknown, because its VM died or did not answer in
// time, and switches the session to another VM. The caller got no answer, so the
// present time is recorded as the time at which it was sent.
func (s *session) vmLost(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	if q.vm != nil {
		delete(q.vm.requests, q.id)
	}
	s.switchVM()
	s.answered(q, group.Unknown{Reason: "the VM was lost before it answered"}, s.world.now)
}

// answered records how a request ended and schedules the session's next one:
// at once within a transaction, otherwise after the think time. The VM sent the
// answer at answerSentAt; the caller gets it now.
func (s *session) answered(q *request, e group.Ending, answerSentAt time.Duration) {
	w := s.world
	w.history.add(w, s, q, e, answerSentAt)
	switch e := e.(type) {
	case group.Done:
		s.recordDone(q, e)
	case group.Refused:
		s.planned = nil
	case group.Unknown:
		s.planned = nil
		s.recordUnknown(q)
	default:
		panic(fmt.Sprintf("world: unknown ending %T", e))
	}
	think := w.randomDuration(w.Scenario.Think)
	if len(s.planned) > 0 {
		think = 0
	}
	w.schedule(think, s.sendNext)
}

// recordUnknown adds the values that a request of unknown outcome wrote to the
// private row to s.possible.
func (s *session) recordUnknown(q *request) {
	for _, o := range append([]*request{q}, q.puts...) {
		writes := o.op == opWrite || o.op == opRepeat || o.op == opPut
		if writes && o.key == s.privateRow {
			s.possible[o.value] = true
		}
	}
}

func (s *session) recordDone(q *request, e group.Done) {
	w := s.world
	if e.Position.Compare(s.floor) < 0 && w.Scenario.Policy == PolicyFull {
		w.recordViolation("session %d went back from %s to %s", s.id, s.floor, e.Position)
	}
	s.floor = group.Max(s.floor, e.Position)
	s.floorKnown = true
	switch q.op {
	case opRead, opAged:
		s.checkReadYourWrites(q, q.results[e.Run])
	case opWrite, opRepeat:
		s.recordWrite(q)
	case opCommit:
		for _, p := range q.puts {
			s.recordWrite(p)
		}
	case opBegin, opPut:
	default:
		panic(fmt.Sprintf("world: unknown operation %d", q.op))
	}
}

func (s *session) recordWrite(q *request) {
	if q.key == s.privateRow {
		s.lastAcknowledged = q.value
	}
}

// checkReadYourWrites checks that a read of the private row returned the
// session's last acknowledged write or one whose outcome is unknown. PolicyFloor
// without a token cannot guarantee that, so there it only counts.
func (s *session) checkReadYourWrites(q *request, r result) {
	if q.key != s.privateRow || r.value == s.lastAcknowledged || s.possible[r.value] {
		return
	}
	if s.world.Scenario.Policy == PolicyFloor && !s.world.Scenario.KeepToken {
		s.world.history.StaleOwnReads++
		return
	}
	s.world.recordViolation("session %d wrote %s and read %q", s.id, s.lastAcknowledged, r.value)
}
