package group

import "time"

// watch is the state of a VM that monitors the group's primary.
type watch struct {
	suspicion suspicion
	// holdOffUntil is the time before which no promotion is started.
	holdOffUntil time.Duration
	// leaseDenials counts the attempts since the last change of primary that
	// were given up because another VM held the lease.
	leaseDenials int
	promotion    *promotion
	// attempts counts the promotions that this VM has started.
	attempts uint64
	// peersAskedAt is when the other zones were last asked about the primary.
	peersAskedAt time.Duration
}

// suspicion is a cause of promotion, since when it has been present, and how
// long it must last before a promotion is started.
type suspicion struct {
	cause cause
	since time.Duration
	delay time.Duration
}

// cause says why a group needs a promotion.
type cause uint8

const (
	causeNone cause = iota
	// causeSilent: this VM and a majority of the targets have lost the
	// primary.
	causeSilent
	// causeCutOff: a majority of the targets has lost the primary, this VM
	// has not.
	causeCutOff
	// causeUnreachable: the VMs of a majority of the availability zones have
	// lost the primary.
	causeUnreachable
	// causeNoPrimary: no target is the primary.
	causeNoPrimary
	// causeSuperseded: a majority of the targets has accepted a term above
	// the primary's.
	causeSuperseded
	// causeFencedAbove: a target was fenced in a term above the primary's and
	// cannot follow the primary.
	causeFencedAbove
	// causeLeaving: the primary must not get new requests.
	causeLeaving
)

// String returns the cause as operators see it.
func (c cause) String() string {
	switch c {
	case causeNone:
		return "none"
	case causeSilent:
		return "the primary is silent to this VM and to a majority of targets"
	case causeCutOff:
		return "the primary is cut off from a majority of targets"
	case causeUnreachable:
		return "the primary is unreachable from a majority of availability zones"
	case causeNoPrimary:
		return "the group has no primary"
	case causeSuperseded:
		return "a majority of targets is fenced above the primary's term"
	case causeFencedAbove:
		return "a target is fenced above the primary's term"
	case causeLeaving:
		return "the primary is leaving"
	default:
		panic("group: unknown cause of promotion")
	}
}

// watchPrimary continues the promotion in progress, or starts one when a
// cause has lasted long enough. It does nothing on a VM that does not monitor
// the primary.
func (m *Machine) watchPrimary() {
	if m.Rank < 0 {
		return
	}
	if m.promotion != nil {
		m.advancePromotion()
		return
	}
	m.sendFollows()
	c := m.findCause()
	if c != m.suspicion.cause {
		m.suspicion = suspicion{cause: c, since: m.now, delay: m.promotionDelay(c)}
	}
	if c == causeNone || m.now < m.holdOffUntil {
		return
	}
	if m.now-m.suspicion.since >= m.suspicion.delay {
		m.startPromotion(c)
	}
}

// promotionDelay returns how long a cause must last before this VM starts a
// promotion. A higher rank waits longer, so that two VMs seldom promote at
// the same time.
func (m *Machine) promotionDelay(c cause) time.Duration {
	const fencedAboveFactor = 5
	minimum := time.Duration(0)
	switch c {
	case causeNone, causeSilent, causeCutOff, causeUnreachable:
	case causeNoPrimary, causeSuperseded, causeLeaving:
		minimum = m.Limits.Grace
	case causeFencedAbove:
		minimum = m.Limits.Grace * fencedAboveFactor
	default:
		panic("group: unknown cause of promotion")
	}
	return minimum + time.Duration(m.Rank)*m.Limits.RankDelay + m.jitter()
}

func (m *Machine) jitter() time.Duration {
	return time.Duration(m.random.Int64N(int64(m.Limits.MaxJitter) + 1))
}

// findCause returns the cause for a promotion, if there is one. Without a
// reachable majority there is none, because a promotion would fail.
func (m *Machine) findCause() cause {
	if m.reachableCount() < m.quorum() {
		return causeNone
	}
	v := m.newestPrimary()
	switch {
	case v == nil:
		return causeNoPrimary
	case m.deposed(v.status.Term()):
		return causeSuperseded
	case v.lost && m.majorityLostPrimary(v, m.Limits.PrimarySilence):
		return causeSilent
	case m.majorityLostPrimary(v, m.Limits.PrimarySilenceIfReachable):
		return causeCutOff
	case v.lost:
		return m.checkOtherZones(v)
	case m.fencedAbove(v):
		return causeFencedAbove
	case v.Leaving && m.hasSuccessor(v):
		return causeLeaving
	default:
		return causeNone
	}
}

// majorityLostPrimary reports whether a majority of the targets has not heard
// from the primary for the given time. A target that is not a replica counts
// as not hearing from it. A target whose own status is old does not count.
func (m *Machine) majorityLostPrimary(primary *view, limit time.Duration) bool {
	n := 0
	for _, v := range m.views {
		if v == primary || v.removed || v.lost || !v.known || m.now-v.askedAt > m.Limits.StatusTimeout+m.Limits.AlertInterval {
			continue
		}
		if v.status.Role() == RoleReplica && v.silence(m.now) < limit {
			continue
		}
		n++
	}
	return n >= m.quorum()
}

// checkOtherZones asks the other zones about a primary that this VM has lost.
// It returns causeUnreachable once a majority of the zones, this one
// included, has lost it and no other zone reports that it still reaches it.
// Otherwise it returns causeNone.
func (m *Machine) checkOtherZones(primary *view) cause {
	if m.now-m.peersAskedAt >= m.Limits.AlertInterval {
		m.peersAskedAt = m.now
		m.emit(AskPeers{Target: primary.Name})
	}
	zones := map[string]bool{m.Zone: true}
	for _, v := range m.views {
		zones[v.Zone] = true
	}
	lost := 1
	for zone, p := range primary.peerReports {
		if zone == m.Zone || m.now-p.reportedAt > m.Limits.PrimarySilenceIfReachable {
			continue
		}
		if p.reachable {
			return causeNone
		}
		lost++
	}
	if lost > len(zones)/2 {
		return causeUnreachable
	}
	return causeNone
}

func (m *Machine) peerReported(e PeerReported) {
	if v := findView(m.views, e.Target); v != nil {
		v.peerReports[e.Zone] = peerReport{reachable: e.Responsive, reportedAt: m.now}
	}
}

// fencedAbove reports whether a reachable target has a term above the
// primary's.
func (m *Machine) fencedAbove(primary *view) bool {
	for _, v := range m.views {
		if !v.removed && v.known && !v.lost && v.status.Term() > primary.status.Term() {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a replica holds all of the primary's log, so
// that it could be promoted without loss.
func (m *Machine) hasSuccessor(primary *view) bool {
	for _, v := range m.views {
		if v != primary && v.servesReads() && v.status.Last().Reaches(primary.status.Last()) {
			return true
		}
	}
	return false
}

// sendFollows sends Follow to the reachable targets that have a lower term
// than the primary or are detached in its term. A former primary that returns
// discards its divergent log entries when it follows.
func (m *Machine) sendFollows() {
	primary := m.writablePrimary()
	if primary == nil {
		return
	}
	term := primary.status.Term()
	for _, v := range m.views {
		if v == primary || v.removed || v.lost || !v.known || m.now-v.followSentAt < m.Limits.StepTimeout {
			continue
		}
		behind := v.status.Term() < term
		detached := v.status.Term() == term && v.status.Role() == RoleDetached
		if behind || detached {
			v.followSentAt = m.now
			m.emit(Follow{Target: v.Name, Term: term, Primary: primary.Name})
		}
	}
}
