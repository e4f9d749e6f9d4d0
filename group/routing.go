package group

import (
	"slices"
	"time"
)

// dispatch gives waiting requests to targets, oldest first.
func (m *Machine) dispatch() {
	for _, v := range m.views {
		v.wanted = 0
	}
	for _, w := range slices.Clone(m.waiting) {
		w.awaits = nil
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

// retired reports whether no target may get new work.
func (m *Machine) retired() bool {
	return !slices.ContainsFunc(m.Members, func(n Member) bool { return !n.Leaving })
}

// placeWrite sends a request to the primary, if a majority can acknowledge
// it there.
func (m *Machine) placeWrite(w *work) {
	if m.hopeless() {
		m.refuse(w, ReasonNoMajority)
		return
	}
	v := m.writable()
	if v == nil || w.sent && w.sentTo == v.Name {
		// A first run that is still under way on the same target could take
		// effect after the second one, and after later writes.
		return
	}
	m.send(w, v)
}

// writable returns the primary if it can take and acknowledge work now.
func (m *Machine) writable() *view {
	v := m.leader()
	if v == nil || v.lost || v.Leaving || !v.status.Opened() || m.deposed(v.status.Term()) {
		return nil
	}
	if m.reachable() < m.quorum() {
		return nil
	}
	return v
}

// send runs a request on a free slot of the target, or opens one for it.
func (m *Machine) send(w *work, v *view) {
	if s := v.freeSlot(); s != nil {
		m.waiting = slices.DeleteFunc(m.waiting, func(o *work) bool { return o == w })
		m.startRun(w, s)
		return
	}
	v.wanted++
	if v.dialing() < v.wanted && m.canDial(v) {
		m.dial(v)
	}
}

func (m *Machine) canDial(v *view) bool {
	return len(v.slots) < v.Connections && !v.Leaving && m.now >= v.dialAgain
}

// placeRead sends a read to the target with the lowest expected cost among
// those that show, or will soon show, what the session must see.
func (m *Machine) placeRead(w *work) {
	need, ready := m.needOf(w)
	if !ready {
		if m.hopeless() {
			m.refuse(w, ReasonNoMajority)
		}
		return
	}
	w.need = need
	best, wait := m.cheapest(w)
	if best == nil {
		if m.hopeless() {
			m.refuse(w, ReasonNoMajority)
		}
		return
	}
	if wait > 0 {
		w.awaits = best
		if w.waitFrom == 0 {
			w.waitFrom = m.now
		}
		return
	}
	m.send(w, best)
}

// needOf returns the lowest position that a target must show for the read.
// It is not ready while a majority has still to be asked.
func (m *Machine) needOf(w *work) (Position, bool) {
	if w.Age > 0 && w.Known {
		if s, ok := m.samples.since(m.now - w.Age + w.Age/4); ok {
			return Max(w.Floor, s.index), true
		}
		m.demand = max(m.demand, w.since)
	}
	if w.indexed {
		return Max(w.Floor, w.index), true
	}
	m.demand = max(m.demand, w.since)
	p, ok := m.index(w.since)
	if !ok {
		return Position{}, false
	}
	w.index = p
	w.indexed = true
	return Max(w.Floor, p), true
}

// cheapest weighs the targets for a read. It returns how long the target
// will probably take to apply what the read needs.
func (m *Machine) cheapest(w *work) (*view, time.Duration) {
	var best *view
	var bestCost, bestWait time.Duration
	for _, v := range m.views {
		cost, wait, ok := m.costOf(w, v)
		if !ok {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestWait = v, cost, wait
		}
	}
	return best, bestWait
}

func (m *Machine) costOf(w *work, v *view) (cost, wait time.Duration, ok bool) {
	cost = v.trip + m.slotCost(v)
	if v == m.writable() {
		return cost + m.patience(w), 0, v.status.Last().Reaches(w.Floor)
	}
	if !v.serves() {
		return 0, 0, false
	}
	if v.status.Applied().Reaches(w.need) {
		return cost, 0, true
	}
	wait = max(v.lag, m.Limits.Tick)
	if w.waitFrom > 0 && m.now-w.waitFrom > m.patience(w) && m.writable() != nil {
		return 0, 0, false
	}
	return cost + wait, wait, true
}

// patience is how much longer than the primary's trip a read waits.
func (m *Machine) patience(w *work) time.Duration {
	if w.Patience > 0 {
		return w.Patience
	}
	return m.Limits.Patience
}

// slotCost estimates how long a new request waits for a slot of the target.
func (m *Machine) slotCost(v *view) time.Duration {
	if v.freeSlot() != nil {
		return 0
	}
	if v.dialing() > v.wanted || m.canDial(v) {
		return m.Limits.Dial
	}
	return m.Limits.Dial + time.Duration(v.wanted+1)*(v.trip+m.Limits.Tick)
}
