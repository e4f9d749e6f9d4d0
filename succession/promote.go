package succession

import (
	"context"
	"errors"
	"fmt"

	"amaranthsill/pool"
)

// promote chooses a candidate and has the platform promote it, until a target
// leads or the promotion window is over. It returns the new leader's ID.
func (v *move) promote(ctx context.Context) (string, error) {
	for {
		if v.Now()-v.startedAt > promotionWindow {
			return "", ErrWindowExpired
		}
		target, err := v.chooseCandidate(ctx)
		if err == nil {
			err = v.callPromotion(ctx, target)
		}
		if err == nil || errors.Is(err, ErrOutdated) {
			return target, err
		}
		v.Log.Info("promotion failed; retrying", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryInterval); err != nil {
			return "", err
		}
	}
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
			return v.awaitPrimary(ctx, target)
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
	v.called = true
	begun := v.Now()
	err := v.Promoter.Promote(ctx, v.group, target, v.token)
	result := "accepted"
	if err != nil {
		result = err.Error()
	}
	v.Log.Info("called for a promotion", "group", v.group, "target", target, "token", v.token, "result", result, "took", (v.Now() - begun).String())
	return err
}

// awaitPrimary waits until a promoted target reports that it is the primary.
func (v *move) awaitPrimary(ctx context.Context, target string) error {
	deadline := v.Now() + leadershipTimeout
	for v.Now() < deadline {
		r, err := v.sendOrder(ctx, target, pool.Status{})
		if err == nil && r.Role == pool.RolePrimary {
			v.Log.Info("target reports that it is the primary", "group", v.group, "target", target, "term", r.Term, "received", r.Received.String())
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s did not report itself as primary after its promotion: %w", target, ErrNoAnswer)
}
