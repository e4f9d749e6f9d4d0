package group

import (
	"slices"
	"time"
)

// dispatch places the waiting requests on targets, oldest first.
func (m *Machine) dispatch() {
	for _, v := range m.views {
		v.slotsWanted = 0
	}
	for _, w := range slices.Clone(m.waiting) {
		w.awaitedReplica = nil
		if m.retired() {
			m.refuse(w, ReasonRetired)
			continue
		}
		if m.now < w.notBefore {
			continue
		}
		if w.Read {
			m.placeRead(w)
			continue
		}
		m.placeWrite(w)
	}
}

// retired reports whether every target is leaving, so that none may get new
// requests.
func (m *Machine) retired() bool {
	return !slices.ContainsFunc(m.Members, func(n Member) bool { return !n.Leaving })
}

// placeWrite sends a request to the primary if a majority is reachable to
// acknowledge it.
func (m *Machine) placeWrite(w *workItem) {
	if m.majorityLost() {
		m.refuse(w, ReasonNoMajority)
		return
	}
	v := m.writablePrimary()
	if v == nil || w.mayHaveRun && w.lastTarget == v.Name {
		// A first run that is still in flight on the same target could take
		// effect after the second one, and after later writes.
		return
	}
	m.send(w, v)
}

// writablePrimary returns the primary if it can currently run and acknowledge
// writes, and nil otherwise.
func (m *Machine) writablePrimary() *view {
	v := m.newestPrimary()
	if v == nil || v.lost || v.Leaving || !v.status.HasTermEntry() || m.deposed(v.status.Term()) {
		return nil
	}
	if m.reachableCount() < m.quorum() {
		return nil
	}
	return v
}

// send runs a request on a free slot of the target, or opens a slot for it if
// the target's connections allow that.
func (m *Machine) send(w *workItem, v *view) {
	if s := v.freeSlot(); s != nil {
		m.waiting = slices.DeleteFunc(m.waiting, func(o *workItem) bool { return o == w })
		m.startRun(w, s)
		return
	}
	v.slotsWanted++
	if v.dialingCount() < v.slotsWanted && m.canDial(v) {
		m.dial(v)
	}
}

func (m *Machine) canDial(v *view) bool {
	return len(v.slots) < v.Connections && !v.Leaving && m.now >= v.dialNotBefore
}

// placeRead sends a read to the target with the lowest expected cost among
// those that show the required position or will soon apply it.
func (m *Machine) placeRead(w *workItem) {
	required, ready := m.requiredPosition(w)
	if !ready {
		if m.majorityLost() {
			m.refuse(w, ReasonNoMajority)
		}
		return
	}
	w.required = required
	best, wait := m.cheapestTarget(w)
	if best == nil {
		if m.majorityLost() {
			m.refuse(w, ReasonNoMajority)
		}
		return
	}
	if wait > 0 {
		w.awaitedReplica = best
		if w.waitingSince == 0 {
			w.waitingSince = m.now
		}
		return
	}
	m.send(w, best)
}

// requiredPosition returns the lowest position that a target must show for
// the read. It reports false while a majority has yet to be asked.
func (m *Machine) requiredPosition(w *workItem) (Position, bool) {
	if w.MaxStaleness > 0 && w.FloorKnown {
		if s, ok := m.samples.firstSince(m.now - w.MaxStaleness + w.MaxStaleness/4); ok {
			return Max(w.Floor, s.index), true
		}
		m.probeSince = max(m.probeSince, w.currentSince)
	}
	if w.hasReadIndex {
		return Max(w.Floor, w.readIndex), true
	}
	m.probeSince = max(m.probeSince, w.currentSince)
	p, ok := m.readIndex(w.currentSince)
	if !ok {
		return Position{}, false
	}
	w.readIndex = p
	w.hasReadIndex = true
	return Max(w.Floor, p), true
}

// cheapestTarget returns the target with the lowest expected cost for a read,
// and how long that target will probably take to apply the required position.
func (m *Machine) cheapestTarget(w *workItem) (*view, time.Duration) {
	var best *view
	var bestCost, bestWait time.Duration
	for _, v := range m.views {
		cost, wait, ok := m.readCost(w, v)
		if !ok {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestWait = v, cost, wait
		}
	}
	return best, bestWait
}

// readCost returns the expected latency of a read on the target, the part of
// it that is spent waiting for replication, and whether the target may be
// used at all. The primary costs extra, by the time that a read may wait for
// a replica.
func (m *Machine) readCost(w *workItem, v *view) (cost, wait time.Duration, ok bool) {
	cost = v.roundTrip + m.slotCost(v)
	if v == m.writablePrimary() {
		return cost + m.replicaWait(w), 0, v.status.Last().Reaches(w.Floor)
	}
	if !v.servesReads() {
		return 0, 0, false
	}
	if v.status.Applied().Reaches(w.required) {
		return cost, 0, true
	}
	wait = max(v.lag, m.Limits.Tick)
	if w.waitingSince > 0 && m.now-w.waitingSince > m.replicaWait(w) && m.writablePrimary() != nil {
		return 0, 0, false
	}
	return cost + wait, wait, true
}

// replicaWait returns how much longer than a round trip to the primary a read
// may wait for a replica.
func (m *Machine) replicaWait(w *workItem) time.Duration {
	if w.ReplicaWait > 0 {
		return w.ReplicaWait
	}
	return m.Limits.ReplicaWait
}

// slotCost estimates how long a new request waits for a slot of the target.
func (m *Machine) slotCost(v *view) time.Duration {
	if v.freeSlot() != nil {
		return 0
	}
	if v.dialingCount() > v.slotsWanted || m.canDial(v) {
		return m.Limits.DialTime
	}
	return m.Limits.DialTime + time.Duration(v.slotsWanted+1)*(v.roundTrip+m.Limits.Tick)
}
