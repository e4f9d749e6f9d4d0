package group

import (
	"slices"
	"time"
)

// slot is one connection to a target. During a transaction it is reserved for
// that transaction's session, until the target reports that no transaction is
// open.
type slot struct {
	id   uint64
	view *view
	// ready reports that the connection is open.
	ready bool
	run   *run
	// session owns the transaction that is open on the slot; zero if none is
	// open.
	session uint64
	// stateSince is when the slot was dialed, became ready or ended its last
	// run.
	stateSince time.Duration
}

// free reports whether the slot can take a request outside a transaction.
func (s *slot) free() bool { return s.ready && s.run == nil && s.session == 0 }

// run is one execution of a request, or a rollback, on a slot.
type run struct {
	id   uint64
	slot *slot
	// work is nil for a rollback and for a run whose session has ended.
	work     *workItem
	session  uint64
	deadline time.Duration
	rollback bool
	// mayHaveRunBefore is the request's mayHaveRun before this run. It is
	// restored if the run turns out not to have been executed.
	mayHaveRunBefore bool
}

func (v *view) freeSlot() *slot {
	for _, s := range v.slots {
		if s.free() {
			return s
		}
	}
	return nil
}

// dialingCount returns the number of slots that are being opened.
func (v *view) dialingCount() int {
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
		if v.dialingCount() > 0 {
			return true
		}
	}
	return false
}

func (m *Machine) dial(v *view) {
	s := &slot{id: m.nextID(), view: v, stateSince: m.now}
	v.slots = append(v.slots, s)
	m.slots[s.id] = s
	m.emit(Dial{Target: v.Name, Slot: s.id})
}

func (m *Machine) slotDialed(id uint64) {
	s := m.slots[id]
	if s == nil {
		return
	}
	s.ready = true
	s.stateSince = m.now
}

// closeSlot closes a slot's connection and removes the slot. The caller must
// first have ended or requeued the request that runs on it.
func (m *Machine) closeSlot(s *slot) {
	m.emit(CloseSlot{Slot: s.id})
	m.removeSlot(s)
}

func (m *Machine) removeSlot(s *slot) {
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
		m.lostTransactions[s.session] = true
	}
	if !s.ready {
		s.view.dialNotBefore = m.now + m.Limits.DialTime
	}
	m.removeSlot(s)
}

// checkSlots closes slots that did not open in time, free slots above the
// target's share or of a leaving target, and slots whose transaction has been
// idle for too long.
func (m *Machine) checkSlots() {
	for _, v := range slices.Clone(m.views) {
		surplus := len(v.slots) - v.Connections
		for _, s := range slices.Clone(v.slots) {
			switch {
			case !s.ready && m.now-s.stateSince > m.Limits.ReconnectTimeout:
				m.closeSlot(s)
				v.dialNotBefore = m.now + m.Limits.DialTime
			case s.free() && (v.Leaving || surplus > 0):
				m.closeSlot(s)
				surplus--
			case s.session != 0 && s.run == nil && m.now-s.stateSince > m.Limits.TransactionIdleTimeout:
				m.lostTransactions[s.session] = true
				m.closeSlot(s)
			}
		}
	}
}

// startRun sends a request over a free slot or the slot of its transaction.
func (m *Machine) startRun(w *workItem, s *slot) {
	if s.run != nil || s.session != 0 && s.session != w.Session {
		m.reportBreach("slot %d given to session %d while in use", s.id, w.Session)
		m.refuse(w, ReasonInvariant)
		return
	}
	if s.view.Leaving && s.session == 0 {
		m.reportBreach("request %d sent to leaving target %s", w.ID, s.view.Name)
	}
	if w.mayHaveRun && !w.Read && !w.Repeatable {
		m.reportBreach("request %d that must run once is sent again", w.ID)
		m.end(w, Unknown{Reason: ReasonInvariant})
		return
	}
	r := &run{id: m.nextID(), slot: s, work: w, session: w.Session, deadline: w.Deadline, mayHaveRunBefore: w.mayHaveRun}
	m.runs[r.id] = r
	s.run = r
	w.run = r
	w.state = workRunning
	w.mayHaveRun = true
	w.lastTarget = s.view.Name
	w.runCount++
	m.emit(Run{Run: r.id, Slot: s.id, Request: w.ID})
}

// runFinished frees the slot of a run, unless a transaction is open on it,
// and holds the reply until it may be released.
func (m *Machine) runFinished(e Finished) {
	r := m.runs[e.Run]
	if r == nil {
		return
	}
	s := r.slot
	delete(m.runs, r.id)
	s.run = nil
	s.stateSince = m.now
	s.view.observe(e.Reply.Status)
	m.updatePrimary()
	m.pin(s, r, e.Reply.Open)
	if r.work == nil {
		m.rollbackOrphan(s)
		return
	}
	m.replyArrived(r.work, r, e.Reply)
}

// pin reserves the slot for the session of the run if a transaction is open
// after it, and ends the reservation otherwise.
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

// unpin detaches a session from the slot of its transaction.
func (m *Machine) unpin(s *slot) {
	if s.session != 0 && m.pinned[s.session] == s {
		delete(m.pinned, s.session)
	}
}

// rollbackOrphan rolls back the transaction that was left open on a slot
// because its session has ended, or has abandoned the transaction and goes
// on. Later requests of the session run on another slot.
func (m *Machine) rollbackOrphan(s *slot) {
	if s.session == 0 {
		return
	}
	m.unpin(s)
	r := &run{id: m.nextID(), slot: s, session: s.session, rollback: true, deadline: m.now + m.Limits.ReconnectTimeout}
	m.runs[r.id] = r
	s.run = r
	m.emit(Rollback{Run: r.id, Slot: s.id})
}

func (m *Machine) runFailed(e RunFailed) {
	r := m.runs[e.Run]
	if r == nil {
		return
	}
	inTransaction := r.slot.session != 0
	m.removeSlot(r.slot)
	w := r.work
	if w == nil {
		return
	}
	w.run = nil
	if !e.Sent {
		w.mayHaveRun = r.mayHaveRunBefore
		w.runCount--
		m.runNotSent(w, inTransaction)
		return
	}
	if inTransaction || !m.rerun(w) {
		m.end(w, Unknown{Reason: ReasonConnectionLost})
	}
}

// runNotSent handles a run of which nothing reached the target. Within a
// transaction the request is refused, because the transaction is lost;
// otherwise it is queued again.
func (m *Machine) runNotSent(w *workItem, inTransaction bool) {
	if inTransaction {
		m.refuse(w, ReasonTransactionLost)
		return
	}
	m.requeue(w)
}
