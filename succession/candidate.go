package succession

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// candidateReport is a target with its report.
type candidateReport struct {
	pool.Target
	pool.Report
	// leads reports that the platform has promoted the target already.
	leads bool
}

// chooseCandidate returns the target to promote: the one whose log reaches
// furthest. If the old leader has stepped down, it waits up to
// catchUpTimeout for a target to reach the old leader's last position, unless the
// old leader is gone from the store: it is cut off then, and can neither pass on its
// log nor lead again. A target that leads already is taken as it is: the others have
// nothing that it lacks for long, since they copy its log.
//
// In a group that commits synchronously, it waits until a target certainly has every
// acknowledged commit. Its error wraps ErrTooFewReports if none has within the promotion
// window.
func (v *move) chooseCandidate(ctx context.Context) (candidateReport, error) {
	deadline := v.Now() + catchUpTimeout
	for {
		v.recall(ctx)
		reports := v.collectReports(ctx)
		if len(reports) == 0 && !v.isSynchronous() {
			return candidateReport{}, ErrNoCandidate
		}
		if c, ok := v.presentPrimary(ctx, reports); ok {
			return c, nil
		}
		if c, ok := v.sufficientCandidate(reports, v.Now() > deadline); ok {
			return c, nil
		}
		if err := v.awaitReports(ctx); err != nil {
			return candidateReport{}, err
		}
	}
}

// sufficientCandidate returns the target to promote; false if a better one may turn up.
// If late is true, the move waits for the old leader's last position no longer.
func (v *move) sufficientCandidate(reports []candidateReport, late bool) (candidateReport, bool) {
	if len(reports) == 0 {
		return candidateReport{}, false
	}
	best := v.bestOf(reports)
	switch {
	case v.reachesOldLeader(best) || v.oldLeaderIsGone():
	case late:
		best = v.fallbackCandidate(best)
	default:
		return candidateReport{}, false
	}
	return best, v.holdsAcknowledged(best)
}

// reachesOldLeader reports whether a target has all that the old leader had when it
// stepped down. It is true if the old leader has not, so that its position is unknown.
func (v *move) reachesOldLeader(c candidateReport) bool {
	v.lock.Lock()
	defer v.lock.Unlock()
	return !v.steppedDown || c.Received.Reaches(v.oldPosition)
}

// bestOf returns the report of the target to promote. Among equals it is the one that was
// called for before, so that no other is promoted beside it.
func (v *move) bestOf(reports []candidateReport) candidateReport {
	compare := compareCandidates
	if v.isSynchronous() {
		compare = compareLogs
	}
	best := slices.MaxFunc(reports, compare)
	i := slices.IndexFunc(reports, func(r candidateReport) bool { return r.ID == v.called })
	if i >= 0 && compare(reports[i], best) == 0 {
		return reports[i]
	}
	return best
}

// presentPrimary returns the target that a promotion made the primary which no move has
// recorded: the only primary, if all targets of the group answer and none knows of a higher
// term, and if no promotion that was called for can still take effect. A primary of a lower
// term was deposed, even if the target that deposed it has stepped down since.
func (v *move) presentPrimary(ctx context.Context, reports []candidateReport) (candidateReport, bool) {
	i := slices.IndexFunc(reports, func(r candidateReport) bool { return r.Report.Role == pool.RolePrimary })
	if i < 0 || reports[i].ID == v.oldLeader || reports[i].Target.Draining || v.Now() < v.settledAt {
		return candidateReport{}, false
	}
	others := slices.DeleteFunc(slices.Clone(v.Targets.Candidates(v.group)), func(t pool.Target) bool { return t.ID == reports[i].ID })
	answers := v.collectReportsFrom(ctx, others, 1).reports
	c := reports[i]
	conflicts := func(r candidateReport) bool {
		return r.Report.Role != pool.RoleReplica || r.Report.Term > c.Report.Term
	}
	if len(answers) < len(others) || slices.ContainsFunc(answers, conflicts) {
		return candidateReport{}, false
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	if c.Report.Term < v.highestTerm {
		return candidateReport{}, false
	}
	c.leads = true
	return c, true
}

// compareCandidates orders targets that are not draining above those that are,
// then by the length of the received log.
func compareCandidates(a, b candidateReport) int {
	if a.Target.Draining != b.Target.Draining {
		if a.Target.Draining {
			return -1
		}
		return 1
	}
	return a.Received.Compare(b.Received)
}

// compareLogs orders targets by the length of the received log, and those that are not
// draining above those that are among equals. A draining target receives the log and
// counts toward synchronous commits until it ends, so that it may be the only one with an
// acknowledged commit.
func compareLogs(a, b candidateReport) int {
	return cmp.Or(a.Received.Compare(b.Received), compareCandidates(a, b))
}

// collectReports returns the reports of the targets that answer. The old leader
// is asked only if no other target answers.
func (v *move) collectReports(ctx context.Context) []candidateReport {
	old, others := []pool.Target{}, []pool.Target{}
	for _, t := range v.Targets.Candidates(v.group) {
		if t.ID == v.oldLeader {
			old = append(old, t)
			continue
		}
		others = append(others, t)
	}
	v.askDeparted(ctx)
	defer v.awaitDeparted()
	c := v.collectReportsFrom(ctx, others, v.reportsNeeded(len(others)))
	if !v.isSynchronous() {
		c.awaitReached(ctx, v.Targets.Reached(v.group, v.oldLeader))
	}
	if len(c.reports) > 0 {
		v.remember(c.reports)
		return c.reports
	}
	return v.collectReportsFrom(ctx, old, 1).reports
}

// collection is a round of questions to targets for their reports. One goroutine uses it.
type collection struct {
	*move
	answers chan reportAnswer
	// pending is the number of questions without an answer.
	pending int
	reports []candidateReport
	// refused are the targets that refused the question.
	refused []pool.Target
}

// reportAnswer is a target's report, or why there is none.
type reportAnswer struct {
	candidateReport
	err error
}

// collectReportsFrom asks targets for their reports in parallel. It returns when all have
// answered or failed, or when stragglerTimeout has passed since the latest answer and as many
// as needed have answered.
func (v *move) collectReportsFrom(ctx context.Context, targets []pool.Target, needed int) *collection {
	c := &collection{move: v, answers: make(chan reportAnswer)}
	for _, t := range targets {
		c.ask(ctx, t)
	}
	var stragglers <-chan time.Time
	for c.pending > 0 {
		select {
		case a := <-c.answers:
			if c.take(a) && len(c.reports) >= needed {
				stragglers = time.After(stragglerTimeout)
			}
		case <-stragglers:
			return c
		}
	}
	return c
}

// ask asks a target for its report in the background.
func (c *collection) ask(ctx context.Context, t pool.Target) {
	c.pending++
	go func() {
		r, err := c.sendOrder(ctx, t.ID, pool.Status{})
		select {
		case c.answers <- reportAnswer{candidateReport{Target: t, Report: r}, err}:
		case <-ctx.Done():
		}
	}()
}

// take takes in one answer, and reports whether it is a report.
func (c *collection) take(a reportAnswer) bool {
	c.pending--
	if a.err == nil {
		c.reports = append(c.reports, a.candidateReport)
		return true
	}
	c.Log.Info("target did not return its status; leaving it out of the candidates", "group", c.group, "target", a.ID, "reason", a.err.Error())
	if f := (*query.Failure)(nil); errors.As(a.err, &f) {
		c.refused = append(c.refused, a.Target)
	}
	return false
}

// awaitReached waits for the reports of the other targets, up to lateReportTimeout, if none so
// far has all that this VM knows the old leader to have reached. Those that refused are asked
// again.
func (c *collection) awaitReached(ctx context.Context, reached query.Position) {
	limit := time.NewTimer(lateReportTimeout)
	defer limit.Stop()
	again := time.NewTicker(reportInterval)
	defer again.Stop()
	for len(c.reports) > 0 && c.lacks(reached) && c.pending+len(c.refused) > 0 {
		select {
		case a := <-c.answers:
			c.take(a)
		case <-again.C:
			refused := c.refused
			c.refused = nil
			for _, t := range refused {
				c.ask(ctx, t)
			}
		case <-limit.C:
			return
		}
	}
}

// lacks reports whether no log that a target told of reaches a position.
func (c *collection) lacks(p query.Position) bool {
	return !slices.ContainsFunc(c.reports, func(r candidateReport) bool { return r.Received.Reaches(p) })
}

// oldLeaderIsGone reports whether the old leader is not in the store's list of targets.
func (v *move) oldLeaderIsGone() bool {
	return !slices.ContainsFunc(v.Targets.Candidates(v.group), func(t pool.Target) bool { return t.ID == v.oldLeader && !t.Absent })
}

// fallbackCandidate is used if no other target reaches the position at which the old
// leader stepped down. It returns the old leader, whose promotion loses nothing, unless
// that target is draining or no longer registered. Its present role is not known.
func (v *move) fallbackCandidate(best candidateReport) candidateReport {
	targets := v.Targets.Candidates(v.group)
	i := slices.IndexFunc(targets, func(t pool.Target) bool { return t.ID == v.oldLeader })
	if i < 0 || targets[i].Draining {
		return best
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	return candidateReport{Target: targets[i], Report: pool.Report{Received: v.oldPosition}}
}
