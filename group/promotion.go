package group

import (
	"fmt"
	"time"
)

// promotion is one attempt to promote a target. Each attempt has its own
// identity, so that no two attempts share a fence.
type promotion struct {
	term    Term
	attempt string
	cause   cause
	stage   stage
	// stageSince is when the current stage began.
	stageSince time.Duration
	// fenced holds the statuses of the targets that accepted the fence, and
	// refused the names of those that refused it or could not be reached.
	fenced  map[string]Status
	refused map[string]bool
	// majorityAt is when a majority had accepted the fence; zero before that.
	majorityAt time.Duration
	// target is the target to promote, once it is chosen.
	target string
}

// stage is the step of a promotion whose answers are pending.
type stage uint8

const (
	stageLease stage = iota
	stageFence
	stagePromote
)

// startPromotion starts an attempt in a term above all known ones by
// requesting the promotion lease.
func (m *Machine) startPromotion(c cause) {
	m.attempts++
	term := Term(0)
	for _, v := range m.views {
		term = max(term, v.status.Term())
	}
	m.promotion = &promotion{
		term:       term + 1,
		attempt:    fmt.Sprintf("%s/%x/%d", m.VM, m.Incarnation, m.attempts),
		cause:      c,
		stageSince: m.now,
		fenced:     map[string]Status{},
		refused:    map[string]bool{},
	}
	m.emitNote(PromotionStarted{Term: term + 1, Reason: c.String()})
	m.emit(AcquireLease{Attempt: m.promotion.attempt})
}

// advancePromotion ends or continues an attempt whose current stage has timed
// out.
func (m *Machine) advancePromotion() {
	p := m.promotion
	switch p.stage {
	case stageLease:
		if m.now-p.stageSince >= m.Limits.LeaseTimeout {
			m.sendFences()
		}
	case stageFence:
		if p.majorityAt > 0 && m.now-p.majorityAt >= m.Limits.FenceWait {
			m.promoteBest()
			return
		}
		if m.now-p.stageSince >= m.Limits.StepTimeout {
			m.endPromotion("", "no majority accepted the fence")
		}
	case stagePromote:
		if m.now-p.stageSince >= m.Limits.StepTimeout {
			m.endPromotion("", "the target did not answer the promotion")
		}
	default:
		panic(fmt.Sprintf("group: unknown stage %d", p.stage))
	}
}

// leaseAnswered continues the promotion unless another VM holds the lease.
// The lease is not needed for safety; it only keeps VMs from promoting at the
// same time. After a few denials it is ignored, so that a holder that makes
// no progress cannot block the failover.
func (m *Machine) leaseAnswered(e LeaseAnswered) {
	const maxDenials = 2
	p := m.promotion
	if p == nil || p.attempt != e.Attempt || p.stage != stageLease {
		return
	}
	if e.Outcome == LeaseDenied && m.leaseDenials < maxDenials {
		m.leaseDenials++
		m.endPromotion("", "another VM holds the promotion lease")
		return
	}
	m.sendFences()
}

// sendFences starts the fence stage.
func (m *Machine) sendFences() {
	p := m.promotion
	p.stage = stageFence
	p.stageSince = m.now
	for _, v := range m.views {
		if !v.removed {
			m.emit(Fence{Target: v.Name, Term: p.term, Attempt: p.attempt})
		}
	}
}

// commandAnswered merges the status in the answer into the target's view, and
// passes the answer on if it belongs to the current attempt.
func (m *Machine) commandAnswered(e CommandAnswered) {
	v := findView(m.views, e.Target)
	if v == nil {
		return
	}
	if e.Done {
		v.observe(e.Status)
	}
	p := m.promotion
	if p == nil || e.Attempt != p.attempt {
		return
	}
	switch p.stage {
	case stageLease:
		// This attempt has not sent any command yet.
	case stageFence:
		m.fenceAnswered(e)
	case stagePromote:
		m.promoteAnswered(e)
	default:
		panic(fmt.Sprintf("group: unknown stage %d", p.stage))
	}
}

func (m *Machine) fenceAnswered(e CommandAnswered) {
	p := m.promotion
	if !e.Done {
		p.refused[e.Target] = true
		if len(m.Members)-len(p.refused) < m.quorum() {
			m.endPromotion("", "too many targets refused the fence")
		}
		return
	}
	p.fenced[e.Target] = e.Status
	if len(p.fenced)+len(p.refused) == len(m.Members) {
		m.promoteBest()
		return
	}
	if len(p.fenced) >= m.quorum() && p.majorityAt == 0 {
		p.majorityAt = m.now
	}
}

// promoteBest promotes the fenced target with the highest log. An old primary
// that failed is left out if the other fenced targets are a majority, because
// the highest log among them then holds every acknowledged entry.
func (m *Machine) promoteBest() {
	p := m.promotion
	_, oldFenced := p.fenced[m.primaryName]
	skipOld := oldFenced && !p.cause.primaryHealthy() && len(p.fenced) > m.quorum()
	var best *view
	for _, v := range m.views {
		s, ok := p.fenced[v.Name]
		if !ok || v.removed || skipOld && v.Name == m.primaryName {
			continue
		}
		if best == nil || m.preferred(v, s, best, p.fenced[best.Name]) {
			best = v
		}
	}
	p.stage = stagePromote
	p.stageSince = m.now
	p.target = best.Name
	m.emit(Promote{Target: best.Name, Term: p.term, Attempt: p.attempt})
}

// preferred reports whether v is a better choice than best. The higher log
// wins. Among equal logs a target that is not leaving wins, then the old
// primary if it is healthy, or any other target if it is not, then the target
// with the shorter round trip.
func (m *Machine) preferred(v *view, s Status, best *view, t Status) bool {
	if c := s.Last().Compare(t.Last()); c != 0 {
		return c > 0
	}
	if v.Leaving != best.Leaving {
		return best.Leaving
	}
	if isPrimary := v.Name == m.primaryName; isPrimary != (best.Name == m.primaryName) {
		return isPrimary == m.promotion.cause.primaryHealthy()
	}
	return v.roundTrip < best.roundTrip
}

// primaryHealthy reports whether the cause leaves the old primary healthy, so
// that it may be promoted again.
func (c cause) primaryHealthy() bool {
	return c == causeFencedAbove || c == causeSuperseded || c == causeNoPrimary
}

func (m *Machine) promoteAnswered(e CommandAnswered) {
	p := m.promotion
	if e.Target != p.target {
		return
	}
	if !e.Done {
		m.endPromotion("", "the target refused the promotion")
		return
	}
	for _, v := range m.views {
		if v.removed || v.Name == p.target {
			continue
		}
		v.followSentAt = m.now
		m.emit(Follow{Target: v.Name, Term: p.term, Primary: p.target})
	}
	m.updatePrimary()
	m.endPromotion(p.target, p.cause.String())
}

// endPromotion ends the attempt; an empty target means that it failed. A cause
// must then last for its whole delay again before the next attempt. That
// attempt also starts no sooner than PrimarySilence after a success, so that the
// replicas can hear from the new primary before they count as cut off from it.
// After a failure the pause is one RankDelay, whatever this VM's rank, plus up
// to twice MaxJitter at random, so that VMs whose attempts collided do not
// start the next ones at the same time.
func (m *Machine) endPromotion(target, reason string) {
	p := m.promotion
	m.emit(ReleaseLease{Attempt: p.attempt})
	m.emitNote(PromotionEnded{Term: p.term, Target: target, Reason: reason})
	m.promotion = nil
	m.suspicion = suspicion{}
	if target != "" {
		m.leaseDenials = 0
		m.holdOffUntil = m.now + m.Limits.PrimarySilence
		return
	}
	m.holdOffUntil = m.now + m.Limits.RankDelay + 2*m.jitter()
}
