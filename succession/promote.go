package succession

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/pool"
)

// promote chooses a candidate and has the platform promote it, until a target
// leads or the promotion window is over. It returns the new leader's ID. It first
// waits until no promotion that earlier moves called for can still take effect.
func (v *move) promote(ctx context.Context) (string, error) {
	if err := sleep(ctx, v.settledAt-v.Now()); err != nil {
		return "", err
	}
	for {
		if v.Now()-v.startedAt > promotionWindow {
			return "", ErrWindowExpired
		}
		target, err := v.promoteCandidate(ctx)
		if err == nil || errors.Is(err, ErrOutdated) || errors.Is(err, ErrTooFewReports) {
			return target, err
		}
		v.Log.Info("promotion failed; retrying", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryInterval); err != nil {
			return "", err
		}
	}
}

// promoteCandidate makes one attempt to have a target promoted, and returns its ID. The
// target is another one than that of the last attempt only if the promotion of that one
// can no longer take effect.
func (v *move) promoteCandidate(ctx context.Context) (string, error) {
	c, err := v.chooseCandidate(ctx)
	if err != nil {
		return "", err
	}
	if v.pending && c.ID != v.called {
		if v.awaitPrimary(ctx, v.called, v.settledAt) == nil {
			return v.called, nil
		}
		if c, err = v.chooseCandidate(ctx); err != nil {
			return "", err
		}
	}
	if c.leads {
		v.term = c.Report.Term
		v.Log.Info("target leads already; recording it", "group", v.group, "target", c.ID, "term", c.Report.Term, "received", c.Received.String())
		return c.ID, nil
	}
	if v.pending && c.ID == v.called && v.isPromoted(c.Report) {
		v.term = c.Report.Term
		return c.ID, nil
	}
	if c.ID != v.prepared {
		if err := v.prepare(ctx, c); err != nil {
			return c.ID, err
		}
	}
	return c.ID, v.callPromotion(ctx, c.ID)
}

// prepare makes sure that a target has been promoted by the calls to come if it reports
// itself as the primary of a higher term than any other, and that the old leader leads
// no more. A target that is a primary already may have been deposed without knowing it.
// The call for its promotion would change nothing if it has not, so that only a target
// that has stepped down shows the effect. This does not concern an old leader if no
// promotion was called for since it was recorded.
func (v *move) prepare(ctx context.Context, c candidateReport) error {
	ctx, cancel := context.WithTimeout(ctx, leadershipTimeout)
	defer cancel()
	if v.pending && v.called == v.oldLeader {
		if err := v.fenceAgain(ctx); err != nil {
			return err
		}
	}
	v.pending, v.prepared = false, ""
	v.leadsOn = c.ID == v.oldLeader && v.settledAt == 0
	if c.Report.Role != pool.RoleReplica && !v.leadsOn {
		if _, err := v.demote(ctx, c.ID); err != nil {
			return err
		}
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	v.prepared, v.formerTerm = c.ID, v.highestTerm
	return nil
}

// callPromotion asks the platform to promote a target and waits until the
// target leads. The promotion window is checked right before each call, on a
// clock that includes suspended time, because another VM may take the move
// over afterwards.
func (v *move) callPromotion(ctx context.Context, target string) error {
	deadline := v.Now() + leadershipTimeout
	for {
		if v.Now()-v.startedAt > promotionWindow {
			return ErrWindowExpired
		}
		if era, _, _ := v.Grants.Era(); era != v.record.Era {
			// The fencing token is of an earlier era, and other VMs may have
			// been told that no promotion under it follows.
			return ErrOutdated
		}
		err := v.callPromotionOnce(ctx, target)
		if err == nil {
			return v.awaitPrimary(ctx, target, v.Now()+leadershipTimeout)
		}
		if errors.Is(err, ErrRejected) || v.Now() > deadline {
			return err
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}

func (v *move) callPromotionOnce(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	v.called = target
	begun := v.Now()
	err := v.Promoter.Promote(ctx, v.group, target, v.token)
	if !errors.Is(err, ErrRejected) && !errors.Is(err, ErrBusy) {
		v.pending = true
		v.settledAt = v.Now() + effectTime
	}
	result := "accepted"
	if err != nil {
		result = err.Error()
	}
	v.Log.Info("called for a promotion", "group", v.group, "target", target, "token", v.token, "result", result, "took", (v.Now() - begun).String())
	return err
}

// awaitPrimary waits until a target reports that it leads by a promotion that was called
// for, or until a time on the clock of Now. It asks at least once after that time, since
// the VM may have been suspended meanwhile.
func (v *move) awaitPrimary(ctx context.Context, target string, until time.Duration) error {
	for late := false; !late; {
		late = v.Now() >= until
		r, err := v.sendOrder(ctx, target, pool.Status{})
		if err == nil && v.isPromoted(r) {
			v.term = r.Term
			v.Log.Info("target reports that it is the primary", "group", v.group, "target", target, "term", r.Term, "received", r.Received.String())
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s did not report itself as primary after its promotion: %w", target, ErrNoAnswer)
}

// isPromoted reports whether the report is that of a primary whose term is above those
// of all others, and above its own before the call unless it leads on.
func (v *move) isPromoted(r pool.Report) bool {
	v.lock.Lock()
	defer v.lock.Unlock()
	return r.Role == pool.RolePrimary && r.Term >= v.highestTerm && (r.Term > v.formerTerm || v.leadsOn)
}
