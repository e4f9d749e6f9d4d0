package succession

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/pool"
)

// fence waits until no VM can release a commit of the old leader. It returns the reason
// why this is certain, for the log. An old leader that has stepped down makes no more
// commits; other VMs may still read from it until awaitGrants returns.
func (v *move) fence(ctx context.Context) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if v.stepDown(ctx) == nil {
			close(v.stepped)
		}
	}()
	select {
	case <-v.stepped:
		return "old leader stepped down", nil
	case <-v.grantsGone:
		return v.grantsReason, nil
	case <-ctx.Done():
		return "", fmt.Errorf("fence old leader: %w", ctx.Err())
	}
}

// watchGrants asks all VMs to yield, and closes grantsGone once no VM can rely on an
// older record.
func (v *move) watchGrants(ctx context.Context) {
	if reason, ok := v.awaitGrants(ctx); ok {
		v.grantsReason = reason
		close(v.grantsGone)
	}
}

// awaitGrants waits until no VM can rely on an older record, and returns the reason why
// this is certain; false if the context ends first.
func (v *move) awaitGrants(ctx context.Context) (string, bool) {
	leasesEnded := make(chan struct{})
	go func() {
		if v.endFormerLeases(ctx) == nil {
			close(leasesEnded)
		}
	}()
	// The old leader gets some time to step down, because then no acknowledged
	// commit can be lost.
	stepDownTimer := time.NewTimer(stepDownTimeout)
	defer stepDownTimer.Stop()
	outageTimer := time.NewTimer(v.outageRemaining())
	defer outageTimer.Stop()
	stepped := v.stepped
	var grantsExpired <-chan time.Time
	others, yields := v.Fleet.Yield(ctx, v.record)
	c := newYieldCount(others, v.Known())
	for {
		if grantsExpired == nil && c.expiryIsSafe() {
			grantsExpired = time.After(v.Grants.Length + clockRateMargin)
		}
		select {
		case <-stepped:
			c.leaderHadTime = true
			stepped = nil
		case m := <-yields:
			c.add(m)
		case <-stepDownTimer.C:
			c.leaderHadTime = true
		case <-leasesEnded:
			c.leasesEnded = true
			leasesEnded = nil
		case <-grantsExpired:
			return "grants of VMs that did not yield expired", true
		case <-outageTimer.C:
			return "last confirmation of an older record by peers expired", true
		case <-ctx.Done():
			return "", false
		}
		if c.allYielded() {
			return "all VMs yielded", true
		}
	}
}

// outageRemaining returns the time until any confirmation by peers of a record in which
// the old leader leads has certainly expired. Unfinished moves before this one count:
// since the first of them no record names the old leader as leading.
func (v *move) outageRemaining() time.Duration {
	return max(min(v.movingSince, v.startedAt)+OutageLength+writeMargin-v.Now(), 0)
}

// yieldCount counts the VMs that have yielded, which means that they have
// taken in the record of this move. This VM is included as established and
// yielded.
type yieldCount struct {
	vms, yielded                    int
	established, establishedYielded int
	// knownToAll reports that every VM knows this one, and so asks it before
	// peers confirm a record.
	knownToAll bool
	// leaderHadTime reports that the old leader has stepped down or had its time to
	// do so, and leasesEnded that the leases of older records have ended.
	leaderHadTime, leasesEnded bool
}

func newYieldCount(others []Member, knownToAll bool) *yieldCount {
	c := &yieldCount{vms: 1, yielded: 1, established: 1, establishedYielded: 1, knownToAll: knownToAll}
	for _, m := range others {
		c.vms++
		if m.Established {
			c.established++
		}
	}
	return c
}

func (c *yieldCount) add(m Member) {
	c.yielded++
	if m.Established {
		c.establishedYielded++
	}
}

// allYielded reports whether no VM relies on an older record any more, and the
// old leader had its time to step down.
func (c *yieldCount) allYielded() bool {
	return c.knownToAll && c.leaderHadTime && c.yielded >= c.vms
}

// expiryIsSafe reports whether from now on no VM can get an older record
// confirmed, so that waiting for the running grants to expire is enough. The
// store confirms no record whose lease has ended. Confirmation by peers needs
// more than half of the established VMs, which is out of reach once half of them
// have yielded. What those VMs confirmed before they yielded is still
// valid, so the wait must begin after this is true.
func (c *yieldCount) expiryIsSafe() bool {
	// VMs that are not established may be known to those that confirm a record, or
	// not: only their refusal counts.
	startedNotYielded := (c.vms - c.established) - (c.yielded - c.establishedYielded)
	return c.knownToAll && c.leasesEnded && 2*c.establishedYielded >= c.established+startedNotYielded
}

// endFormerLeases ends the leases of older records, and retries until each has
// ended.
func (v *move) endFormerLeases(ctx context.Context) error {
	for _, l := range v.record.Former {
		for v.endLease(ctx, l, v.record.Era) != nil {
			if err := sleep(ctx, retryInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// stepDown demotes the old leader to a replica, the strongest fence, and
// retries until it succeeds or the context ends.
func (v *move) stepDown(ctx context.Context) error {
	if v.oldLeader == "" {
		return ErrNoCandidate
	}
	for ctx.Err() == nil {
		r, err := v.sendOrder(ctx, v.oldLeader, pool.Status{})
		if err == nil && r.Role == pool.RolePrimary {
			r, err = v.sendOrder(ctx, v.oldLeader, pool.StepDown{Term: r.Term + 1})
		}
		if err == nil && r.Role == pool.RoleReplica {
			v.lock.Lock()
			v.steppedDown = true
			v.oldPosition = r.Received
			v.lock.Unlock()
			return nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("step down %s: %w", v.oldLeader, ctx.Err())
}
