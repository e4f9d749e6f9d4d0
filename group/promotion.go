package group

import (
	"fmt"
	"time"
)

// promotion is one attempt to make a target the primary. Its identity is
// fresh, so that no two attempts share a fence.
type promotion struct {
	term    Term
	attempt string
	ground  ground
	stage   stage
	since   time.Duration
	fenced  map[string]Status
	refused map[string]bool
	enough  time.Duration
	target  string
}

// stage is how far a promotion has come.
type stage uint8

const (
	stageLease stage = iota
	stageFence
	stagePromote
)

func (m *Machine) startPromotion(g ground) {
	m.attempts++
	term := Term(0)
	for _, v := range m.views {
		term = max(term, v.status.Term())
	}
	m.promotion = &promotion{
		term:    term + 1,
		attempt: fmt.Sprintf("%s/%x/%d", m.VM, m.Incarnation, m.attempts),
		ground:  g,
		since:   m.now,
		fenced:  map[string]Status{},
		refused: map[string]bool{},
	}
	m.note(PromotionStarted{Term: term + 1, Reason: g.String()})
	m.act(AcquireLease{Attempt: m.promotion.attempt})
}

func (m *Machine) checkPromotion() {
	p := m.promotion
	switch p.stage {
	case stageLease:
		if m.now-p.since >= m.Limits.Lease {
			m.fence()
		}
	case stageFence:
		if p.enough > 0 && m.now-p.enough >= m.Limits.Settle {
			m.promoteBest()
			return
		}
		if m.now-p.since >= m.Limits.Step {
			m.endPromotion("", "no majority accepted the fence")
		}
	case stagePromote:
		if m.now-p.since >= m.Limits.Step {
			m.endPromotion("", "the target did not answer the promotion")
		}
	default:
		panic(fmt.Sprintf("group: unknown stage %d", p.stage))
	}
}

// leaseAnswered goes on with or without the lease: it only keeps promoters
// from duelling, and after some denials it is ignored.
func (m *Machine) leaseAnswered(e LeaseAnswered) {
	const patience = 2
	p := m.promotion
	if p == nil || p.attempt != e.Attempt || p.stage != stageLease {
		return
	}
	if e.Outcome == LeaseDenied && m.denied < patience {
		m.denied++
		m.endPromotion("", "another VM holds the promotion lease")
		return
	}
	m.fence()
}

func (m *Machine) fence() {
	p := m.promotion
	p.stage = stageFence
	p.since = m.now
	for _, v := range m.views {
		if !v.removed {
			m.act(Fence{Target: v.Name, Term: p.term, Attempt: p.attempt})
		}
	}
}

func (m *Machine) commanded(e Commanded) {
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
	case stageFence:
		m.fenceAnswered(e)
	case stagePromote:
		m.promoteAnswered(e)
	default:
		panic(fmt.Sprintf("group: unknown stage %d", p.stage))
	}
}

func (m *Machine) fenceAnswered(e Commanded) {
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
	if len(p.fenced) >= m.quorum() && p.enough == 0 {
		p.enough = m.now
	}
}

// promoteBest promotes the fenced target with the highest log. An old primary
// that was found wanting is passed over if the others are a majority: theirs
// is then the highest log that could have been acknowledged.
func (m *Machine) promoteBest() {
	p := m.promotion
	_, both := p.fenced[m.leading]
	pass := both && !p.ground.keepsPrimary() && len(p.fenced) > m.quorum()
	var best *view
	for _, v := range m.views {
		s, ok := p.fenced[v.Name]
		if !ok || v.removed || pass && v.Name == m.leading {
			continue
		}
		if best == nil || m.better(v, s, best, p.fenced[best.Name]) {
			best = v
		}
	}
	p.stage = stagePromote
	p.since = m.now
	p.target = best.Name
	m.act(Promote{Target: best.Name, Term: p.term, Attempt: p.attempt})
}

// better prefers the higher log; among equal ones a target that stays, then
// the old primary if only the fence was stuck, then the nearer target.
func (m *Machine) better(v *view, s Status, best *view, t Status) bool {
	if c := s.Last().Compare(t.Last()); c != 0 {
		return c > 0
	}
	if v.Leaving != best.Leaving {
		return best.Leaving
	}
	if leads := v.Name == m.leading; leads != (best.Name == m.leading) {
		return leads == m.promotion.ground.keepsPrimary()
	}
	return v.trip < best.trip
}

// keepsPrimary reports whether the old primary is healthy and may go on.
func (g ground) keepsPrimary() bool {
	return g == groundStuck || g == groundOvertaken || g == groundVacant
}

func (m *Machine) promoteAnswered(e Commanded) {
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
		v.followed = m.now
		m.act(Follow{Target: v.Name, Term: p.term, Primary: p.target})
	}
	m.seeLeader()
	m.endPromotion(p.target, p.ground.String())
}

func (m *Machine) endPromotion(target, reason string) {
	p := m.promotion
	m.act(ReleaseLease{Attempt: p.attempt})
	m.note(PromotionEnded{Term: p.term, Target: target, Reason: reason})
	m.promotion = nil
	m.doubt = doubt{}
	if target != "" {
		m.denied = 0
		m.quiet = m.now + m.Limits.Stream
		return
	}
	m.quiet = m.now + m.Limits.Rank + 2*m.jitter()
}
