// Package lease is the kernel driver for promotion leases. A VM acquires the
// group's lease from the platform before it promotes a target, so that two VMs
// rarely attempt a promotion at the same time. Safety does not depend on the
// lease.
//
// # Usage
//
//	import _ "amaranthsill/lease" // registers the driver with the kernel
package lease

import (
	"context"
	"errors"
	"time"

	"amaranthsill/group"
	"amaranthsill/kernel"
	"amaranthsill/store"
)

// leaseDuration is how long a promotion lease lasts unless it is released.
const leaseDuration = 2 * time.Second

// callTimeout limits one lease call to the platform.
const callTimeout = time.Second

func init() {
	kernel.Register("lease", func(_ context.Context, _ *kernel.Kernel, p kernel.Dependencies) (kernel.Driver, error) {
		return &driver{store: p.Store}, nil
	})
}

// driver acquires and releases promotion leases in the platform's store.
type driver struct {
	store store.Store
}

// Perform implements kernel.Driver.
func (d *driver) Perform(ctx context.Context, g *kernel.Group, a group.Action) bool {
	switch a := a.(type) {
	case group.AcquireLease:
		go d.acquire(ctx, g, a.Attempt)
	case group.ReleaseLease:
		go d.release(ctx, g, a.Attempt)
	default:
		return false
	}
	return true
}

// leaseName returns the name of a group's promotion lease in the platform's
// store.
func leaseName(g *kernel.Group) string { return "promote-" + g.Name() }

// acquire requests the lease for one promotion attempt and posts the outcome:
// LeaseDenied while another attempt holds it, LeaseUnavailable if the platform
// fails or does not answer within callTimeout.
func (d *driver) acquire(ctx context.Context, g *kernel.Group, attempt string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.store.Acquire(callCtx, leaseName(g), attempt, leaseDuration)
	outcome := group.LeaseHeld
	switch {
	case errors.Is(err, store.ErrConflict):
		outcome = group.LeaseDenied
	case err != nil:
		outcome = group.LeaseUnavailable
	}
	g.Post(ctx, group.LeaseAnswered{Attempt: attempt, Outcome: outcome})
}

// release gives the lease of a promotion attempt back.
func (d *driver) release(ctx context.Context, g *kernel.Group, attempt string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A lease that is not released expires after leaseDuration.
	_ = d.store.Release(callCtx, leaseName(g), attempt)
}
