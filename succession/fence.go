package succession

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/pool"
)

// fence waits until no VM can release a commit of the old leader. It returns the reason
// why this is certain, for the log. An old leader that has stepped down makes no more
// commits; other VMs may still read from it until awaitGrants returns. It is told to
// step down only once half of the VMs have yielded: a VM that is split from most of the
// others would otherwise stop a leader that serves those, and could not replace it.
func (v *move) fence(ctx context.Context) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settledAt := v.settledAt
	go func() {
		select {
		case <-v.backed:
		case <-ctx.Done():
			return
		}
		if v.stepDown(ctx, settledAt) == nil {
			close(v.stepped)
		}
	}()
	late := time.NewTimer(backingTimeout)
	defer late.Stop()
	select {
	case <-v.backed:
	case <-v.grantsGone:
		return v.grantsReason, nil
	case <-late.C:
		return "", ErrNotBacked
	case <-ctx.Done():
		return "", fmt.Errorf("await yields: %w", ctx.Err())
	}
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
	ballots := make(chan ballot, 1)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		members, yields := v.Fleet.Yield(ctx, v.record)
		ballots <- ballot{members, yields}
	}()
	if reason, ok := v.awaitGrants(ctx, ballots); ok {
		v.grantsReason = reason
		close(v.grantsGone)
	}
	<-asked
}

// ballot is what Fleet.Yield returns.
type ballot struct {
	members []Member
	yields  <-chan string
}

// awaitGrants waits until no VM can rely on an older record, and returns the reason why
// this is certain; false if the context ends first.
func (v *move) awaitGrants(ctx context.Context, ballots <-chan ballot) (string, bool) {
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
	stepped := v.stepped
	var grantsExpired, outageOver <-chan time.Time
	var yields <-chan string
	c := &yieldCount{}
	for {
		if c.backed() {
			v.closeBacked()
		}
		if grantsExpired == nil && c.expiryIsSafe() {
			grantsExpired = time.After(v.Grants.Length + clockRateMargin)
		}
		select {
		case <-stepped:
			c.leaderHadTime = true
			stepped = nil
		case b := <-ballots:
			c.open(b.members, v.Known())
			yields = b.yields
		case name := <-yields:
			c.add(name)
		case <-stepDownTimer.C:
			c.leaderHadTime = true
		case <-leasesEnded:
			c.leasesEnded = true
			leasesEnded = nil
			outageOver = time.After(v.outageRemaining())
		case <-grantsExpired:
			return "grants of VMs that did not yield expired", true
		case <-outageOver:
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
// the old leader leads has certainly expired, once the leases of older records have ended.
// Unfinished moves before this one count: since the first of them no record names the old
// leader as leading. A VM that renewed an older lease until it ended holds a grant still.
func (v *move) outageRemaining() time.Duration {
	return max(min(v.movingSince, v.startedAt)+OutageLength+writeMargin-v.Now(), v.Grants.Length+clockRateMargin)
}

// closeBacked closes backed unless it is closed.
func (v *move) closeBacked() {
	select {
	case <-v.backed:
	default:
		close(v.backed)
	}
}

// yieldCount counts the VMs that have yielded, which means that they have
// taken in the record of this move. This VM is included as established and
// yielded.
type yieldCount struct {
	// members holds the other VMs by name; nil until they are known.
	members                         map[string]Member
	vms, yielded                    int
	established, establishedYielded int
	// starting counts the VMs that are neither established nor have yielded.
	starting int
	// knownToAll reports that every VM knows this one, and so asks it before
	// peers confirm a record.
	knownToAll bool
	// leaderHadTime reports that the old leader has stepped down or had its time to
	// do so, and leasesEnded that the leases of older records have ended.
	leaderHadTime, leasesEnded bool
}

// open begins the count.
func (c *yieldCount) open(others []Member, knownToAll bool) {
	c.members = map[string]Member{}
	c.knownToAll = knownToAll
	c.vms, c.yielded, c.established, c.establishedYielded = 1, 1, 1, 1
	for _, m := range others {
		c.members[m.Name] = m
		c.vms++
		if m.Established {
			c.established++
		} else {
			c.starting++
		}
	}
}

// add counts the yield of a VM. That of a silent one is no vote.
func (c *yieldCount) add(name string) {
	m, counted := c.members[name]
	if !counted {
		return
	}
	c.yielded++
	switch {
	case !m.Established:
		c.starting--
	case !m.Silent:
		c.establishedYielded++
	}
}

// backed reports whether no older record can be confirmed by peers any more, since
// that takes more than half of the established VMs. VMs that are not established may be
// known to those that confirm a record, or not: only their refusal counts.
func (c *yieldCount) backed() bool {
	return c.members != nil && 2*c.establishedYielded >= c.established+c.starting
}

// allYielded reports whether no VM relies on an older record any more, and the
// old leader had its time to step down.
func (c *yieldCount) allYielded() bool {
	return c.members != nil && c.knownToAll && c.leaderHadTime && c.yielded >= c.vms
}

// expiryIsSafe reports whether from now on no VM can get an older record
// confirmed, so that waiting for the running grants to expire is enough. The
// store confirms no record whose lease has ended. What VMs confirmed before they yielded
// is still valid, so the wait must begin after this is true.
func (c *yieldCount) expiryIsSafe() bool {
	return c.knownToAll && c.leasesEnded && c.backed()
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

// fenceAgain is like fence for an old leader that may have been promoted again by this
// move.
func (v *move) fenceAgain(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settledAt := v.settledAt
	stepped := make(chan error, 1)
	go func() { stepped <- v.stepDown(ctx, settledAt) }()
	select {
	case err := <-stepped:
		return err
	case <-v.grantsGone:
		return nil
	}
}

// stepDown demotes the old leader to a replica, the strongest fence, and
// retries until it succeeds or the context ends. Before the time settledAt, the old
// leader may be about to be promoted again by an earlier call, so that it is demoted
// again after that; its position is known from the first time on.
func (v *move) stepDown(ctx context.Context, settledAt time.Duration) error {
	if v.oldLeader == "" {
		return ErrNoCandidate
	}
	for {
		asked := v.Now()
		r, err := v.demote(ctx, v.oldLeader)
		if err != nil {
			return err
		}
		v.setSteppedDown(r)
		if asked >= settledAt {
			return nil
		}
		if err := sleep(ctx, settledAt-v.Now()); err != nil {
			return err
		}
	}
}

// demote tells a target to step down until it reports itself as a replica, and returns
// that report.
func (v *move) demote(ctx context.Context, target string) (pool.Report, error) {
	for ctx.Err() == nil {
		if r, err := v.demoteOnce(ctx, target); err == nil && r.Role == pool.RoleReplica {
			return r, nil
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return pool.Report{}, err
		}
	}
	return pool.Report{}, fmt.Errorf("step down %s: %w", target, ctx.Err())
}

// demoteOnce tells a target to step down if it reports itself as the primary, and returns
// its last report.
func (v *move) demoteOnce(ctx context.Context, target string) (pool.Report, error) {
	r, err := v.sendOrder(ctx, target, pool.Status{})
	if err == nil && r.Role == pool.RolePrimary {
		r, err = v.sendOrder(ctx, target, pool.StepDown{Term: r.Term + 1})
	}
	return r, err
}
