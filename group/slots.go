package group

import (
	"slices"
	"time"
)

// slot is one connection to a target. It belongs to one transaction from its
// first statement until the target reports that no transaction is open.
type slot struct {
	id    uint64
	view  *view
	ready bool
	run   *run
	// session owns the slot's open transaction; zero if none is open.
	session uint64
	since   time.Duration
}

func (s *slot) free() bool { return s.ready && s.run == nil && s.session == 0 }

// run is one request, or a rollback, on a slot.
type run struct {
	id   uint64
	slot *slot
	// work is nil once the caller has gone or been answered.
	work     *work
	session  uint64
	deadline time.Duration
	rollback bool
	// before is the request's mark that it may have run, as it was before
	// this run.
	before bool
}

func (v *view) freeSlot() *slot {
	for _, s := range v.slots {
		if s.free() {
			return s
		}
	}
	return nil
}

func (v *view) dialing() int {
	n := 0
	for _, s := range v.slots {
		if !s.ready {
			n++
		}
	}
	return n
}

func (m *Machine) dialing() bool {
	for _, v := range m.views {
		if v.dialing() > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) dial(v *view) {
	s := &slot{id: m.nextID(), view: v, since: m.now}
	v.slots = append(v.slots, s)
	m.slots[s.id] = s
	m.act(Dial{Target: v.Name, Slot: s.id})
}

func (m *Machine) dialed(id uint64) {
	s := m.slots[id]
	if s == nil {
		return
	}
	s.ready = true
	s.since = m.now
}

// hang closes a slot's connection. A run on it must have been dealt with.
func (m *Machine) hang(s *slot) {
	m.act(Hang{Slot: s.id})
	m.drop(s)
}

func (m *Machine) drop(s *slot) {
	m.unpin(s)
	if s.run != nil {
		delete(m.runs, s.run.id)
	}
	delete(m.slots, s.id)
	v := s.view
	v.slots = slices.DeleteFunc(v.slots, func(o *slot) bool { return o == s })
	if v.removed && len(v.slots) == 0 {
		m.views = slices.DeleteFunc(m.views, func(o *view) bool { return o == v })
	}
}

func (m *Machine) slotLost(e SlotLost) {
	s := m.slots[e.Slot]
	if s == nil {
		return
	}
	if s.session != 0 && m.pinned[s.session] == s {
		m.aborted[s.session] = true
	}
	if !s.ready {
		s.view.dialAgain = m.now + m.Limits.Dial
	}
	m.drop(s)
}

// checkSlots closes slots that must not be kept: surplus ones, those of
// leaving targets, transactions left idle, connections that do not open.
func (m *Machine) checkSlots() {
	for _, v := range slices.Clone(m.views) {
		surplus := len(v.slots) - v.Connections
		for _, s := range slices.Clone(v.slots) {
			switch {
			case !s.ready && m.now-s.since > m.Limits.Fresh:
				m.hang(s)
				v.dialAgain = m.now + m.Limits.Dial
			case s.free() && (v.Leaving || surplus > 0):
				m.hang(s)
				surplus--
			case s.session != 0 && s.run == nil && m.now-s.since > m.Limits.Transaction:
				m.aborted[s.session] = true
				m.hang(s)
			}
		}
	}
}

// startRun sends a request over a free slot or the one of its transaction.
func (m *Machine) startRun(w *work, s *slot) {
	if s.run != nil || s.session != 0 && s.session != w.Session {
		m.breach("slot %d given to session %d while in use", s.id, w.Session)
		m.refuse(w, ReasonInvariant)
		return
	}
	if s.view.Leaving && s.session == 0 {
		m.breach("request %d sent to leaving target %s", w.ID, s.view.Name)
	}
	if w.sent && !w.Read && !w.Repeat {
		m.breach("request %d that must run once is sent again", w.ID)
		m.end(w, Unknown{Reason: ReasonInvariant})
		return
	}
	r := &run{id: m.nextID(), slot: s, work: w, session: w.Session, deadline: w.Deadline, before: w.sent}
	m.runs[r.id] = r
	s.run = r
	w.run = r
	w.state = workRunning
	w.sent = true
	w.sentTo = s.view.Name
	w.runs++
	m.act(Run{Run: r.id, Slot: s.id, Request: w.ID})
}

// finished frees a slot and holds the reply until it may be released.
func (m *Machine) finished(e Finished) {
	r := m.runs[e.Run]
	if r == nil {
		return
	}
	s := r.slot
	delete(m.runs, r.id)
	s.run = nil
	s.since = m.now
	s.view.observe(e.Reply.Status)
	m.seeLeader()
	m.pin(s, r, e.Reply.Open)
	if r.work == nil {
		m.endOrphan(s)
		return
	}
	m.replied(r.work, r, e.Reply)
}

func (m *Machine) pin(s *slot, r *run, open bool) {
	m.unpin(s)
	s.session = 0
	if open {
		s.session = r.session
	}
	if open && !r.rollback {
		m.pinned[r.session] = s
	}
}

// unpin ends a session's claim on the slot of its transaction, if it has one.
func (m *Machine) unpin(s *slot) {
	if s.session != 0 && m.pinned[s.session] == s {
		delete(m.pinned, s.session)
	}
}

// endOrphan cleans a slot whose caller is gone, or has failed its transaction and
// goes on: what the caller asks next runs elsewhere.
func (m *Machine) endOrphan(s *slot) {
	if s.session == 0 {
		return
	}
	m.unpin(s)
	r := &run{id: m.nextID(), slot: s, session: s.session, rollback: true, deadline: m.now + m.Limits.Fresh}
	m.runs[r.id] = r
	s.run = r
	m.act(Rollback{Run: r.id, Slot: s.id})
}

func (m *Machine) broke(e Broke) {
	r := m.runs[e.Run]
	if r == nil {
		return
	}
	inside := r.slot.session != 0
	m.drop(r.slot)
	w := r.work
	if w == nil {
		return
	}
	w.run = nil
	if !e.Sent {
		w.sent = r.before
		w.runs--
		m.unsent(w, inside)
		return
	}
	if inside || !m.rerun(w) {
		m.end(w, Unknown{Reason: ReasonConnectionLost})
	}
}

func (m *Machine) unsent(w *work, inside bool) {
	if inside {
		m.refuse(w, ReasonTransactionLost)
		return
	}
	m.requeue(w)
}
