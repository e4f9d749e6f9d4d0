package group

import (
	"fmt"
	"slices"
	"time"
)

// verdict is what may become of a reply that is held.
type verdict uint8

const (
	// verdictHold means that not enough is known yet.
	verdictHold verdict = iota
	// verdictRelease means that the reply may go to the caller.
	verdictRelease
	// verdictStale means that the reply shows too little.
	verdictStale
	// verdictDeposed means that the reply can no longer be confirmed.
	verdictDeposed
)

// replied takes a run's reply and holds it until it may be released.
func (m *Machine) replied(w *work, r *run, reply Reply) {
	w.run = nil
	if reply.Rejected {
		m.rejected(w, r)
		return
	}
	w.state = workHeld
	w.reply = reply
	w.source = r.slot.view
	w.replied = r.id
	m.held = append(m.held, w)
}

// rejected handles a request that the target itself did not run.
func (m *Machine) rejected(w *work, r *run) {
	w.sent = r.before
	if m.pinned[w.Session] == r.slot {
		m.hang(r.slot)
		m.refuse(w, ReasonTransactionLost)
		return
	}
	if m.rerun(w) {
		return
	}
	m.refuse(w, ReasonRejected)
}

func (m *Machine) releaseHeld() {
	for _, w := range slices.Clone(m.held) {
		switch v := m.judge(w); v {
		case verdictHold:
			m.demand = max(m.demand, w.since)
		case verdictRelease:
			m.release(w)
		case verdictStale:
			m.repeatHeld(w, ReasonUnacknowledged)
		case verdictDeposed:
			m.repeatHeld(w, ReasonDeposed)
		default:
			panic(fmt.Sprintf("group: unknown verdict %d", v))
		}
	}
}

// judge decides on a held reply by the role in which its target answered.
func (m *Machine) judge(w *work) verdict {
	switch s := w.reply.Status; s.Role() {
	case RolePrimary:
		return m.judgePrimary(w, s)
	case RoleReplica:
		return m.judgeReplica(w, s)
	case RoleDetached:
		return verdictDeposed
	default:
		panic(fmt.Sprintf("group: unknown role %d", s.Role()))
	}
}

func (m *Machine) judgePrimary(w *work, s Status) verdict {
	young := m.youngEnough(w, w.reply.First)
	current := w.reply.Wrote || m.confirmed(w.source, s.Term(), w.since) || young
	switch {
	case m.covered(w.source, s) && current:
		if w.outlived(m.now) && !young {
			return verdictStale
		}
		if w.Read && !w.reply.First.Reaches(w.Floor) {
			return verdictStale
		}
		return verdictRelease
	case m.deposed(s.Term()):
		return verdictDeposed
	default:
		return verdictHold
	}
}

func (m *Machine) judgeReplica(w *work, s Status) verdict {
	first := w.reply.First
	if !s.Opened() || !first.Reaches(w.need) || !first.Reaches(w.Floor) {
		return verdictStale
	}
	if (!w.indexed || w.outlived(m.now)) && !m.youngEnough(w, first) {
		return verdictStale
	}
	if !m.covered(w.source, s) {
		if m.deposed(s.Term()) {
			return verdictDeposed
		}
		return verdictHold
	}
	return verdictRelease
}

// outlived reports whether a read that was current when it came has been held
// for longer than its stated age.
func (w *work) outlived(now time.Duration) bool {
	return w.Read && w.Age > 0 && now-w.since > w.Age
}

// youngEnough reports whether a read with a stated age may see a target that
// has applied p.
func (m *Machine) youngEnough(w *work, p Position) bool {
	return w.Read && w.Age > 0 && w.Known && p.Reaches(w.Floor) && m.samples.fresh(p, w.Age, m.now)
}

func (m *Machine) release(w *work) {
	s := w.reply.Status
	position := s.Last()
	if s.Role() == RoleReplica {
		position = s.Applied()
	}
	m.checkRelease(w, s)
	m.end(w, Done{
		Run:      w.replied,
		Position: position,
		Replica:  s.Role() == RoleReplica,
	})
}

// checkRelease asserts what every released reply must satisfy.
func (m *Machine) checkRelease(w *work, s Status) {
	if !m.covered(w.source, s) {
		m.breach("request %d released at %s without a majority", w.ID, s)
	}
	if w.Read && !Max(s.Last(), s.Applied()).Reaches(w.Floor) {
		m.breach("request %d released at %s below its session's floor %s", w.ID, s, w.Floor)
	}
}

// repeatHeld runs a request again whose reply cannot be released, if it may
// run again; otherwise its outcome is unknown.
func (m *Machine) repeatHeld(w *work, reason Reason) {
	if m.pinned[w.Session] == nil && m.rerun(w) {
		if w.outlived(m.now) {
			w.since = m.now
			w.indexed = false
		}
		return
	}
	m.abandonHeld(w, reason)
}

func (m *Machine) abandonHeld(w *work, reason Reason) {
	if s := m.pinned[w.Session]; s != nil {
		m.hang(s)
	}
	m.end(w, Unknown{Reason: reason})
}

// lowestUncovered returns the lowest position that a held reply needs of a
// target and that the target is not known to hold.
func (m *Machine) lowestUncovered(v *view) (Position, bool) {
	lowest := Position{}
	found := false
	for _, w := range m.held {
		p := w.reply.Status.Last()
		if w.source == v || v.status.Term() > p.Term() || v.holds[p.Term()].Reaches(p) {
			continue
		}
		if !found || lowest.Compare(p) > 0 {
			lowest = p
			found = true
		}
	}
	return lowest, found
}

// lowestAwaited returns the lowest position that a waiting read needs a
// replica to apply.
func (m *Machine) lowestAwaited(v *view) (Position, bool) {
	lowest := Position{}
	found := false
	for _, w := range m.waiting {
		if w.awaits != v || v.status.Applied().Reaches(w.need) {
			continue
		}
		if !found || lowest.Compare(w.need) > 0 {
			lowest = w.need
			found = true
		}
	}
	return lowest, found
}
