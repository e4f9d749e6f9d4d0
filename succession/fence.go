package succession

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/pool"
)

// fence returns once no VM can release an answer of the old leader, and says
// what made sure of it.
func (v *move) fence(ctx context.Context) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepped := make(chan struct{})
	go func() {
		if v.stepDown(ctx) == nil {
			close(stepped)
		}
	}()
	ended := make(chan struct{})
	go func() {
		if v.endFormer(ctx) == nil {
			close(ended)
		}
	}()
	// The old leader is given a moment to step down, which loses nothing.
	patience := time.NewTimer(stepDownLimit)
	defer patience.Stop()
	outage := time.NewTimer(v.outage())
	defer outage.Stop()
	var lapse <-chan time.Time
	others, yields := v.Fleet.Yield(ctx, v.record)
	c := newConsent(others, v.Known())
	for {
		if lapse == nil && c.mayWait() {
			lapse = time.After(v.Grants.Length + grantMargin)
		}
		select {
		case <-stepped:
			return "it stepped down", nil
		case m := <-yields:
			c.add(m)
		case <-patience.C:
			c.patient = true
		case <-ended:
			c.ended = true
			ended = nil
		case <-lapse:
			return "the grants of VMs that did not yield ran out", nil
		case <-outage.C:
			return "all VMs stopped vouching", nil
		case <-ctx.Done():
			return "", fmt.Errorf("fence old leader: %w", ctx.Err())
		}
		if c.complete() {
			return "every VM yielded", nil
		}
	}
}

// outage returns the time until no VM can vouch for an older record.
func (v *move) outage() time.Duration {
	return max(v.begun+OutageLength+writeMargin-v.Now(), 0)
}

// consent is what a move knows of the other VMs. This VM counts as one that
// is established and has yielded.
type consent struct {
	vms, yielded            int
	established, consenting int
	// known reports that every VM knows of this one and asks it before it
	// vouches.
	known bool
	// patient reports that the old leader had time to step down, and ended that
	// the leases of older records have ended.
	patient, ended bool
}

func newConsent(others []Member, known bool) *consent {
	c := &consent{vms: 1, yielded: 1, established: 1, consenting: 1, known: known}
	for _, m := range others {
		c.vms++
		if m.Established {
			c.established++
		}
	}
	return c
}

func (c *consent) add(m Member) {
	c.yielded++
	if m.Established {
		c.consenting++
	}
}

// complete reports whether no VM relies on an older record any more.
func (c *consent) complete() bool {
	return c.known && c.patient && c.yielded >= c.vms
}

// mayWait reports whether no VM can begin to rely on an older record from now
// on, so that those that do are waited out. The store confirms none whose
// lease has ended. VMs that vouch for one another need more than two thirds of
// the established ones; a third, having yielded, leaves too few. What they
// vouched for before they yielded still counts, so the wait begins afterwards.
func (c *consent) mayWait() bool {
	return c.known && c.ended && 3*c.consenting >= c.established
}

// endFormer ends the leases of older records.
func (v *move) endFormer(ctx context.Context) error {
	for _, l := range v.record.Former {
		for v.end(ctx, l) != nil {
			if err := sleep(ctx, retryPause); err != nil {
				return err
			}
		}
	}
	return nil
}

// stepDown makes the old leader a replica, which is the surest fence.
func (v *move) stepDown(ctx context.Context) error {
	if v.old == "" {
		return ErrNoCandidate
	}
	for ctx.Err() == nil {
		r, err := v.order(ctx, v.old, pool.Status{})
		if err == nil && r.Role == pool.RolePrimary {
			r, err = v.order(ctx, v.old, pool.StepDown{Term: r.Term + 1})
		}
		if err == nil && r.Role == pool.RoleReplica {
			v.lock.Lock()
			v.stepped = true
			v.last = r.Received
			v.lock.Unlock()
			return nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return fmt.Errorf("step down %s: %w", v.old, ctx.Err())
}
