package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"amaranthsill/pool"
	"amaranthsill/succession"
)

const (
	// conflictInterval is the time between two comparisons of the terms of a group's
	// primaries.
	conflictInterval = 100 * time.Millisecond
	// conflictTimeout bounds one comparison: round trips between regions, a new
	// connection and a wait in the target's queue.
	conflictTimeout = 500 * time.Millisecond
	// deposedFor is how long a leader that was found deposed is not used, unless that
	// is found again. By then a move has begun.
	deposedFor = 2 * time.Second
	// deposedRankDelay replaces rankDelay for a leader that was deposed without a move,
	// for the first deposedRanks VMs; the rest wait as long as the last of these.
	deposedRankDelay = 30 * time.Millisecond
	deposedRanks     = 3
)

// causeDeposed is why a leader that was deposed without a move has to be replaced.
const causeDeposed = "another target was promoted"

// conflicts is what the supervisor tracks of targets that report themselves as primaries
// although another one leads.
type conflicts struct {
	conflicting []string
	// checkedAt is when a comparison of their terms last began.
	checkedAt time.Duration
	// checking reports that one is under way; nil before the first.
	checking *atomic.Bool
}

// conflictingPrimaries returns the targets of a group that report themselves as primaries
// although the lead names another one.
func conflictingPrimaries(targets []pool.Target, l succession.Lead) []string {
	list := []string{}
	for _, t := range targets {
		if t.Role == pool.RolePrimary && t.ID != l.Target && !t.Absent {
			list = append(list, t.ID)
		}
	}
	return list
}

// checkConflicts looks for targets that report themselves as primaries although another
// one leads. Such a target either was deposed and does not know it yet, or was promoted by
// a call that was given up and took effect later. The terms tell which; in the latter case
// the leader that the record names is not used any more.
func (s *supervisor) checkConflicts(ctx context.Context, name string, st *groupState, targets []pool.Target) {
	now := conflictingPrimaries(targets, st.lead)
	for _, id := range now {
		if !slices.Contains(st.conflicting, id) {
			s.Log.Info("target that does not lead reports itself as the primary", "group", name, "target", id, "leader", st.lead.Target, "mover", st.lead.Mover)
		}
	}
	st.conflicting = now
	if len(now) == 0 || st.lead.Moving() || st.lead.Target == "" || s.Now()-st.checkedAt < conflictInterval {
		return
	}
	if st.checking == nil {
		st.checking = &atomic.Bool{}
	}
	if !st.checking.CompareAndSwap(false, true) {
		return
	}
	st.checkedAt = s.Now()
	checking, lead := st.checking, st.lead
	go func() {
		defer checking.Store(false)
		s.compareTerms(ctx, name, lead, now)
	}()
}

// compareTerms asks the leader that the record names and other targets for their terms.
// If one of them is a primary of a higher term, the leader counts as deposed, unless another
// leadership has begun since.
func (s *supervisor) compareTerms(ctx context.Context, group string, lead succession.Lead, others []string) {
	ctx, cancel := context.WithTimeout(ctx, conflictTimeout)
	defer cancel()
	leader := lead.Target
	reports := s.reportsOf(ctx, group, append([]string{leader}, others...))
	leaderTerm, known := termOf(lead, reports)
	for _, id := range others {
		r := reports[id]
		if !known || r.Role != pool.RolePrimary || r.Term <= leaderTerm || s.grants.Lead(group) != lead {
			continue
		}
		if !s.grants.Deposed(group, leader) {
			s.Log.Info("leader was deposed without a move; not using it any more", "group", group, "leader", leader, "term", leaderTerm, "primary", id, "primaryterm", r.Term)
		}
		s.grants.Depose(group, leader, s.Now()+deposedFor)
		s.wakeSupervisor()
		return
	}
}

// termOf returns the term in which a leader reports that it leads, zero if it does not: an
// order to step down may have raised the term of a replica to that of its successor. The
// term of a leader which did not answer is that in the record; false if that has none. The
// term of its log tells nothing: it stays that of an earlier leader until the first commit.
func termOf(lead succession.Lead, reports map[string]pool.Report) (uint64, bool) {
	r, answered := reports[lead.Target]
	switch {
	case !answered:
		return lead.Term, lead.Term != 0
	case r.Role != pool.RolePrimary:
		return 0, true
	default:
		return r.Term, true
	}
}

// reportsOf returns the reports of the targets that answer, by ID.
func (s *supervisor) reportsOf(ctx context.Context, group string, targets []string) map[string]pool.Report {
	type answer struct {
		target string
		report pool.Report
		err    error
	}
	answers := make(chan answer, len(targets))
	for _, id := range targets {
		go func() {
			r, err := s.control.Order(ctx, group, id, pool.Status{})
			if err != nil {
				s.Log.V(1).Info("target did not return its status", "group", group, "target", id, "reason", err.Error())
			}
			answers <- answer{id, r, err}
		}()
	}
	reports := map[string]pool.Report{}
	for range targets {
		if a := <-answers; a.err == nil {
			reports[a.target] = a.report
		}
	}
	return reports
}
