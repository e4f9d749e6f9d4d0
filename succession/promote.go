package succession

import (
	"context"
	"errors"
	"fmt"

	"amaranthsill/pool"
)

// promote asks the platform until a target leads.
func (v *move) promote(ctx context.Context) (string, error) {
	for {
		if v.Now()-v.begun > callWindow {
			return "", ErrLate
		}
		target, err := v.candidate(ctx)
		if err == nil {
			err = v.call(ctx, target)
		}
		if err == nil {
			return target, nil
		}
		v.Log.Info("promotion did not succeed yet", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryPause); err != nil {
			return "", err
		}
	}
}

// call asks the platform to promote a target and waits until it leads. The
// window is checked right before each call, on a clock that counts suspended
// time, since another VM may have taken the move over after it.
func (v *move) call(ctx context.Context, target string) error {
	deadline := v.Now() + settleLimit
	for {
		if v.Now()-v.begun > callWindow {
			return ErrLate
		}
		err := v.callOnce(ctx, target)
		if err == nil {
			return v.settled(ctx, target)
		}
		if errors.Is(err, ErrRejected) || v.Now() > deadline {
			return err
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
}

func (v *move) callOnce(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, promoteLimit)
	defer cancel()
	return v.Promoter.Promote(ctx, v.group, target, v.token)
}

// settled waits until a promoted target says that it leads.
func (v *move) settled(ctx context.Context, target string) error {
	deadline := v.Now() + settleLimit
	for v.Now() < deadline {
		r, err := v.order(ctx, target, pool.Status{})
		if err == nil && r.Role == pool.RolePrimary {
			return nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s does not lead after its promotion: %w", target, ErrNoAnswer)
}
