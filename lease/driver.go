// Package lease is the driver for promotion leases: it takes the platform's
// lease of a group so that two VMs seldom try to promote at once. Safety
// does not rest on it.
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

// life is how long a promotion lease lasts unless it is released.
const life = 2 * time.Second

// callLimit bounds one call to the platform.
const callLimit = time.Second

func init() {
	kernel.Register("lease", func(_ context.Context, _ *kernel.Kernel, p kernel.Parts) (kernel.Driver, error) {
		return &driver{store: p.Store}, nil
	})
}

type driver struct {
	store store.Store
}

// Carry implements kernel.Driver.
func (d *driver) Carry(ctx context.Context, g *kernel.Group, a group.Action) bool {
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

func name(g *kernel.Group) string { return "promote-" + g.Name() }

func (d *driver) acquire(ctx context.Context, g *kernel.Group, attempt string) {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	err := d.store.Acquire(limited, name(g), attempt, life)
	outcome := group.LeaseHeld
	switch {
	case errors.Is(err, store.ErrConflict):
		outcome = group.LeaseDenied
	case err != nil:
		outcome = group.LeaseUnavailable
	}
	g.Post(ctx, group.LeaseAnswered{Attempt: attempt, Outcome: outcome})
}

func (d *driver) release(ctx context.Context, g *kernel.Group, attempt string) {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	// A lease that cannot be released lapses on its own.
	_ = d.store.Release(limited, name(g), attempt)
}
