package group

import "time"

// watch is what a VM that watches the group knows of its primary's health.
type watch struct {
	doubt     doubt
	quiet     time.Duration
	denied    int
	promotion *promotion
	attempts  uint64
	askedPeer time.Duration
}

// doubt is a reason to promote and since when it has held.
type doubt struct {
	ground ground
	since  time.Duration
	delay  time.Duration
}

// ground is why a group needs a promotion.
type ground uint8

const (
	groundNone ground = iota
	// groundSilent: this VM and a majority of targets lost the primary.
	groundSilent
	// groundCutOff: a majority of targets lost the primary, this VM did not.
	groundCutOff
	// groundUnreachable: the VMs of a majority of zones lost the primary.
	groundUnreachable
	// groundVacant: no target is the primary.
	groundVacant
	// groundOvertaken: a majority of targets has left the primary's term.
	groundOvertaken
	// groundStuck: a target is fenced above the primary's term and cannot
	// follow it.
	groundStuck
	// groundLeaving: the primary is to get no new work.
	groundLeaving
)

// String returns the ground in words for an operator.
func (g ground) String() string {
	switch g {
	case groundNone:
		return "none"
	case groundSilent:
		return "the primary is silent to this VM and to a majority of targets"
	case groundCutOff:
		return "the primary is cut off from a majority of targets"
	case groundUnreachable:
		return "the primary is unreachable from a majority of availability zones"
	case groundVacant:
		return "the group has no primary"
	case groundOvertaken:
		return "a majority of targets is fenced above the primary's term"
	case groundStuck:
		return "a target is fenced above the primary's term"
	case groundLeaving:
		return "the primary is leaving"
	default:
		panic("group: unknown ground")
	}
}

// guard watches the primary and promotes another target when it must.
func (m *Machine) guard() {
	if m.Rank < 0 {
		return
	}
	if m.promotion != nil {
		m.checkPromotion()
		return
	}
	m.recruit()
	g := m.findGround()
	if g != m.doubt.ground {
		m.doubt = doubt{ground: g, since: m.now, delay: m.delayOf(g)}
	}
	if g == groundNone || m.now < m.quiet {
		return
	}
	if m.now-m.doubt.since >= m.doubt.delay {
		m.startPromotion(g)
	}
}

// delayOf returns how long a ground must hold before this VM acts on it.
// Lower-ranked watchers wait longer, so that they seldom duel.
func (m *Machine) delayOf(g ground) time.Duration {
	const stuckFactor = 5
	hold := time.Duration(0)
	switch g {
	case groundNone, groundSilent, groundCutOff, groundUnreachable:
	case groundVacant, groundOvertaken, groundLeaving:
		hold = m.Limits.Grace
	case groundStuck:
		hold = m.Limits.Grace * stuckFactor
	default:
		panic("group: unknown ground")
	}
	return hold + time.Duration(m.Rank)*m.Limits.Rank + m.jitter()
}

func (m *Machine) jitter() time.Duration {
	return time.Duration(m.random.Int64N(int64(m.Limits.Jitter) + 1))
}

func (m *Machine) findGround() ground {
	if m.reachable() < m.quorum() {
		return groundNone
	}
	v := m.leader()
	switch {
	case v == nil:
		return groundVacant
	case m.deposed(v.status.Term()):
		return groundOvertaken
	case v.lost && m.silentTo(v, m.Limits.Stream):
		return groundSilent
	case m.silentTo(v, m.Limits.StreamAlone):
		return groundCutOff
	case v.lost:
		return m.askZones(v)
	case m.stuck(v):
		return groundStuck
	case v.Leaving && m.successor(v):
		return groundLeaving
	default:
		return groundNone
	}
}

// silentTo reports whether a majority of the targets has not heard the
// primary for that long. A target whose own answer is old does not count.
func (m *Machine) silentTo(leader *view, limit time.Duration) bool {
	n := 0
	for _, v := range m.views {
		if v == leader || v.removed || v.lost || !v.known || m.now-v.asked > m.Limits.Ask+m.Limits.Alert {
			continue
		}
		if v.status.Role() == RoleReplica && v.silence(m.now) < limit {
			continue
		}
		n++
	}
	return n >= m.quorum()
}

// askZones asks the other zones for a primary that only this VM may have
// lost.
func (m *Machine) askZones(leader *view) ground {
	if m.now-m.askedPeer >= m.Limits.Alert {
		m.askedPeer = m.now
		m.act(AskPeers{Target: leader.Name})
	}
	zones := map[string]bool{m.Zone: true}
	for _, v := range m.views {
		zones[v.Zone] = true
	}
	lost := 1
	for zone, p := range leader.peers {
		if zone == m.Zone || m.now-p.at > m.Limits.StreamAlone {
			continue
		}
		if p.hears {
			return groundNone
		}
		lost++
	}
	if lost > len(zones)/2 {
		return groundUnreachable
	}
	return groundNone
}

func (m *Machine) peerSaw(e PeerSaw) {
	if v := findView(m.views, e.Target); v != nil {
		v.peers[e.Zone] = peerView{hears: e.Hears, at: m.now}
	}
}

func (m *Machine) stuck(leader *view) bool {
	for _, v := range m.views {
		if !v.removed && v.known && !v.lost && v.status.Term() > leader.status.Term() {
			return true
		}
	}
	return false
}

// successor reports whether another target could take over without loss.
func (m *Machine) successor(leader *view) bool {
	for _, v := range m.views {
		if v != leader && v.serves() && v.status.Last().Reaches(leader.status.Last()) {
			return true
		}
	}
	return false
}

// recruit makes reachable targets that are behind or detached follow the
// primary. An old primary that returns cuts its divergent tail that way.
func (m *Machine) recruit() {
	leader := m.writable()
	if leader == nil {
		return
	}
	term := leader.status.Term()
	for _, v := range m.views {
		if v == leader || v.removed || v.lost || !v.known || m.now-v.followed < m.Limits.Step {
			continue
		}
		behind := v.status.Term() < term
		idle := v.status.Term() == term && v.status.Role() == RoleDetached
		if behind || idle {
			v.followed = m.now
			m.act(Follow{Target: v.Name, Term: term, Primary: leader.Name})
		}
	}
}
