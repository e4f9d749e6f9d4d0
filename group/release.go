package group

import (
	"fmt"
	"slices"
	"time"
)

// decision says what to do with a reply that is held.
type decision uint8

const (
	// decisionHold means that the reply is not yet known to be safe.
	decisionHold decision = iota
	// decisionRelease means that the reply may go to the caller.
	decisionRelease
	// decisionStale means that the reply does not show all that the request
	// must see.
	decisionStale
	// decisionDeposed means that the reply can no longer be confirmed,
	// because its target was deposed.
	decisionDeposed
)

// replyArrived holds the reply of a run until it may be released.
func (m *Machine) replyArrived(w *workItem, r *run, reply Reply) {
	w.run = nil
	if reply.Rejected {
		m.replyRejected(w, r)
		return
	}
	w.state = workHeld
	w.reply = reply
	w.source = r.slot.view
	w.replyRun = r.id
	m.heldReplies = append(m.heldReplies, w)
}

// replyRejected handles a request that the target refused to run.
func (m *Machine) replyRejected(w *workItem, r *run) {
	w.mayHaveRun = r.mayHaveRunBefore
	if m.pinned[w.Session] == r.slot {
		m.closeSlot(r.slot)
		m.refuse(w, ReasonTransactionLost)
		return
	}
	if m.rerun(w) {
		return
	}
	m.refuse(w, ReasonRejected)
}

// releaseReplies releases, reruns or gives up the held replies about which
// enough is known.
func (m *Machine) releaseReplies() {
	for _, w := range slices.Clone(m.heldReplies) {
		switch d := m.decide(w); d {
		case decisionHold:
			m.probeSince = max(m.probeSince, w.currentSince)
		case decisionRelease:
			m.release(w)
		case decisionStale:
			m.rerunHeld(w, ReasonUnacknowledged)
		case decisionDeposed:
			m.rerunHeld(w, ReasonDeposed)
		default:
			panic(fmt.Sprintf("group: unknown decision %d", d))
		}
	}
}

// decide applies the rule for the role in which the target answered.
func (m *Machine) decide(w *workItem) decision {
	switch s := w.reply.Status; s.Role() {
	case RolePrimary:
		return m.decidePrimary(w, s)
	case RoleReplica:
		return m.decideReplica(w, s)
	case RoleDetached:
		return decisionDeposed
	default:
		panic(fmt.Sprintf("group: unknown role %d", s.Role()))
	}
}

func (m *Machine) decidePrimary(w *workItem, s Status) decision {
	withinMaxStaleness := m.withinMaxStaleness(w, w.reply.First)
	current := w.reply.Wrote || m.majorityConfirmed(w.source, s.Term(), w.currentSince) || withinMaxStaleness
	switch {
	case m.majorityHolds(w.source, s) && current:
		if w.exceededMaxStaleness(m.now) && !withinMaxStaleness {
			return decisionStale
		}
		if w.Read && !w.reply.First.Reaches(w.Floor) {
			return decisionStale
		}
		return decisionRelease
	case m.deposed(s.Term()):
		return decisionDeposed
	default:
		return decisionHold
	}
}

func (m *Machine) decideReplica(w *workItem, s Status) decision {
	first := w.reply.First
	if !s.HasTermEntry() || !first.Reaches(w.required) || !first.Reaches(w.Floor) {
		return decisionStale
	}
	if (!w.hasReadIndex || w.exceededMaxStaleness(m.now)) && !m.withinMaxStaleness(w, first) {
		return decisionStale
	}
	if !m.majorityHolds(w.source, s) {
		if m.deposed(s.Term()) {
			return decisionDeposed
		}
		return decisionHold
	}
	return decisionRelease
}

// exceededMaxStaleness reports whether a read's MaxStaleness has passed since
// currentSince. A reply that was current then may be too old by now.
func (w *workItem) exceededMaxStaleness(now time.Duration) bool {
	return w.Read && w.MaxStaleness > 0 && now-w.currentSince > w.MaxStaleness
}

// withinMaxStaleness reports whether a reply that shows p is within the
// staleness that a read accepts, and at or above the floor of its session.
func (m *Machine) withinMaxStaleness(w *workItem, p Position) bool {
	return w.Read && w.MaxStaleness > 0 && w.FloorKnown && p.Reaches(w.Floor) && m.samples.reachedWithin(p, w.MaxStaleness, m.now)
}

// release ends a request with its held reply, which then goes to the caller. The
// position that the session has then seen is the last one of a primary, where a
// request that wrote ends with its commit. Of a replica it is the applied one,
// because a replica may hold entries that reads on it do not show yet.
func (m *Machine) release(w *workItem) {
	s := w.reply.Status
	position := s.Last()
	if s.Role() == RoleReplica {
		position = s.Applied()
	}
	m.checkRelease(w, s)
	m.end(w, Done{
		Run:      w.replyRun,
		Position: position,
		Replica:  s.Role() == RoleReplica,
	})
}

// checkRelease reports a breach if a reply is released although no majority
// holds the last position of its status, or if a read is released below the
// floor of its session. It does not stop the release unless Strict is set.
func (m *Machine) checkRelease(w *workItem, s Status) {
	if !m.majorityHolds(w.source, s) {
		m.reportBreach("request %d released at %s without a majority", w.ID, s)
	}
	if w.Read && !Max(s.Last(), s.Applied()).Reaches(w.Floor) {
		m.reportBreach("request %d released at %s below its session's floor %s", w.ID, s, w.Floor)
	}
}

// rerunHeld reruns a request whose reply cannot be released. If it cannot run
// again, its outcome is unknown.
func (m *Machine) rerunHeld(w *workItem, reason Reason) {
	if m.pinned[w.Session] == nil && m.rerun(w) {
		if w.exceededMaxStaleness(m.now) {
			w.currentSince = m.now
			w.hasReadIndex = false
		}
		return
	}
	m.abandonHeld(w, reason)
}

// abandonHeld ends a request with an unknown outcome and closes the slot of
// its session's open transaction.
func (m *Machine) abandonHeld(w *workItem, reason Reason) {
	if s := m.pinned[w.Session]; s != nil {
		m.closeSlot(s)
	}
	m.end(w, Unknown{Reason: reason})
}

// lowestUnreplicated returns the lowest position of a held reply that the
// target is not known to hold.
func (m *Machine) lowestUnreplicated(v *view) (Position, bool) {
	lowest := Position{}
	found := false
	for _, w := range m.heldReplies {
		p := w.reply.Status.Last()
		if w.source == v || v.status.Term() > p.Term() || v.heldByTerm[p.Term()].Reaches(p) {
			continue
		}
		if !found || lowest.Compare(p) > 0 {
			lowest = p
			found = true
		}
	}
	return lowest, found
}

// lowestAwaited returns the lowest position that a read waits for the replica
// to apply.
func (m *Machine) lowestAwaited(v *view) (Position, bool) {
	lowest := Position{}
	found := false
	for _, w := range m.waiting {
		if w.awaitedReplica != v || v.status.Applied().Reaches(w.required) {
			continue
		}
		if !found || lowest.Compare(w.required) > 0 {
			lowest = w.required
			found = true
		}
	}
	return lowest, found
}
