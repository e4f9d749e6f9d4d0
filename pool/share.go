package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Claim states how many of a target's connections one VM holds and needs.
type Claim struct {
	Target string
	// Open is the number of connections that are open or being opened.
	Open int
	// Wanted is the recent peak number of connections in use plus statements
	// waiting for one.
	Wanted int
}

// The times after which the claims of a VM expire.
const (
	// claimTTL is how long a claim is valid. A VM whose claims are not
	// answered falls back to the base share before that.
	claimTTL = 1500 * time.Millisecond
	// claimRetention is how long a VM without new claims is remembered.
	claimRetention = 5 * time.Second
)

// Shares divides the connection limits of targets among VMs by demand. Each VM
// may use a base share without asking; the rest goes to the VMs that claim
// more. A VM gets more only out of connections that no other VM may be using,
// so the limit also holds while the division changes. One VM, the allocator,
// divides for all; the others fall back to the base share while they do not
// reach it. The zero Shares has no claims.
type Shares struct {
	targets map[string]*division
}

// division is the division of one target's connections.
type division struct {
	vms map[string]*share
	// since is when the first claim arrived, and claimedAt when the last did.
	since, claimedAt time.Duration
}

// share is the part of a target's connections that one VM has been granted,
// with its last claim.
type share struct {
	Claim
	granted   int
	claimedAt time.Duration
}

// maxOpen returns the number of connections that the VM may have open at most:
// the base share once its claim has expired, because the VM has fallen back to
// that by then; otherwise the largest of what it said it has open, what it was
// granted, and the base share.
func (s *share) maxOpen(now time.Duration, base int) int {
	if now-s.claimedAt > claimTTL {
		return base
	}
	return max(s.Open, s.granted, base)
}

// Limits bounds the division of one target's connections.
type Limits struct {
	// Connections is the number that all VMs together may hold.
	Connections int
	// VMs is the number of VMs, including those without a claim.
	VMs int
	// Since is when this VM began to be the allocator that the others ask first;
	// zero if it is not, so that it was asked since the first claim.
	Since time.Duration
}

// Base returns the base share, which a VM may use without a claim: half of an
// equal share, at least one. The other half goes to VMs that claim more.
func (l Limits) Base() int { return max(l.Connections/max(2*l.VMs, 1), 1) }

// IdleAllowance returns how many idle connections a VM may keep: half of an equal
// share, and none if that would use up another VM's base share.
func (l Limits) IdleAllowance() int { return l.Connections / max(2*l.VMs, 1) }

// Divide records one VM's claim on a target and returns how many of the target's
// connections that VM may hold: its part by demand, as far as no other VM may be
// using those connections, but at least the base share.
//
// An allocator that has just begun to divide a target's connections does not know
// what its predecessor granted. Until such grants and the claims for them have
// expired, a VM gets no more than it has open.
func (s *Shares) Divide(now time.Duration, vm string, c Claim, l Limits) int {
	d := s.division(now, c.Target)
	vms := d.vms
	maps.DeleteFunc(vms, func(_ string, n *share) bool { return now-n.claimedAt > claimRetention })
	own := vms[vm]
	if own == nil {
		own = &share{}
		vms[vm] = own
	}
	own.Claim = c
	own.claimedAt = now
	base := l.Base()
	// A VM without a claim may use its base share at any time. The VMs with a
	// claim divide the rest by demand (divisible), but this one gets only what
	// the others cannot have open at present (free).
	withoutClaim := max(l.VMs-len(vms), 0)
	free := l.Connections - base*withoutClaim
	divisible := free
	for name, n := range vms {
		if name != vm {
			free -= n.maxOpen(now, base)
		}
	}
	own.granted = max(min(demandShare(vms, vm, divisible), free), base)
	if now-cmp.Or(l.Since, d.since) < claimTTL {
		own.granted = max(min(own.granted, c.Open), base)
	}
	return own.granted
}

// division returns the division of a target's connections, a new one if there has
// been no claim for claimRetention.
func (s *Shares) division(now time.Duration, target string) *division {
	if s.targets == nil {
		s.targets = map[string]*division{}
	}
	d := s.targets[target]
	if d == nil || now-d.claimedAt > claimRetention {
		d = &division{vms: map[string]*share{}, since: now}
		s.targets[target] = d
	}
	d.claimedAt = now
	return d
}

// demandShare returns the part of a limit that a VM gets by demand. If all
// demands fit, every VM gets its demand, and half of the remainder is divided
// equally, so that a VM whose demand grows finds the other half free.
// Otherwise the smallest demands are met first.
func demandShare(vms map[string]*share, vm string, limit int) int {
	names := slices.SortedFunc(maps.Keys(vms), func(a, b string) int {
		return cmp.Or(cmp.Compare(vms[a].Wanted, vms[b].Wanted), cmp.Compare(a, b))
	})
	parts := map[string]int{}
	remaining := limit
	for i, name := range names {
		part := min(max(vms[name].Wanted, 1), remaining/(len(names)-i))
		parts[name] = part
		remaining -= part
	}
	return parts[vm] + (remaining/2+len(names)-1)/len(names)
}
