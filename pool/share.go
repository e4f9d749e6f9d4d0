package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Claim is what one VM holds and wants of a target's connections.
type Claim struct {
	Target string
	// Open counts the connections that are open or being opened.
	Open int
	// Wanted counts those that were at work at a time lately, and the
	// statements that waited for one.
	Wanted int
}

// The times after which a VM that is not heard counts for less.
const (
	// claimLife is how long a claim stands. A VM whose claims go unanswered
	// falls back on its fixed part before that.
	claimLife = 1500 * time.Millisecond
	// claimMemory is how long a silent VM is remembered.
	claimMemory = 5 * time.Second
)

// Shares divides the connections of targets among VMs by what they want. Each
// VM may use a base without asking; the rest is lent to those that claim more.
// A VM is given more only out of what no other may be using, so that the limit
// holds while the division changes. One VM divides for all; the others fall
// back on their base while they do not reach it.
type Shares struct {
	targets map[string]map[string]*share
}

// share is one VM's part of a target.
type share struct {
	Claim
	granted int
	at      time.Duration
}

// holds is how many connections the VM may have open.
func (s *share) holds(now time.Duration, base int) int {
	if now-s.at > claimLife {
		return base
	}
	return max(s.Open, s.granted, base)
}

// Limits bound the division of one target's connections.
type Limits struct {
	// Connections may be held by all VMs together.
	Connections int
	// VMs is how many VMs there are, those that have not claimed included.
	VMs int
}

// Base is how many connections a VM may use without asking: half of an equal
// part.
func (l Limits) Base() int { return max(l.Connections/max(2*l.VMs, 1), 1) }

// Kept is how many connections a VM may keep without using them: none if that
// took another VM's base.
func (l Limits) Kept() int { return l.Connections / max(2*l.VMs, 1) }

// Divide takes in a VM's claim on a target and returns how many connections
// it may hold, at least one.
func (s *Shares) Divide(now time.Duration, vm string, c Claim, l Limits) int {
	if s.targets == nil {
		s.targets = map[string]map[string]*share{}
	}
	vms := s.targets[c.Target]
	if vms == nil {
		vms = map[string]*share{}
		s.targets[c.Target] = vms
	}
	maps.DeleteFunc(vms, func(_ string, n *share) bool { return now-n.at > claimMemory })
	own := vms[vm]
	if own == nil {
		own = &share{}
		vms[vm] = own
	}
	own.Claim = c
	own.at = now
	base := l.Base()
	silent := max(l.VMs-len(vms), 0)
	free := l.Connections - base*silent
	lent := free
	for name, n := range vms {
		if name != vm {
			free -= n.holds(now, base)
		}
	}
	own.granted = max(min(wish(vms, vm, lent), free), base)
	return own.granted
}

// wish returns a VM's part of a limit: every VM gets what it wants while that
// fits, and half of the rest is divided equally, so that a VM whose demand
// grows finds the other half free. Otherwise the smallest wishes are met
// first.
func wish(vms map[string]*share, vm string, limit int) int {
	names := slices.SortedFunc(maps.Keys(vms), func(a, b string) int {
		return cmp.Or(cmp.Compare(vms[a].Wanted, vms[b].Wanted), cmp.Compare(a, b))
	})
	parts := map[string]int{}
	left := limit
	for i, name := range names {
		part := min(max(vms[name].Wanted, 1), left/(len(names)-i))
		parts[name] = part
		left -= part
	}
	return parts[vm] + (left/2+len(names)-1)/len(names)
}
