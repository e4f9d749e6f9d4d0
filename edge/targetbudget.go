package edge

import (
	"slices"
	"sync"
	"time"

	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
)

// Timing of budgets by target.
const (
	// grantTTL is how long a granted budget is valid, as in package pool. The
	// allocator counts it for longer.
	grantTTL = time.Second
	// budgetRenewInterval is the time after which a budget without a grant is passed to
	// the pool again. It is below the pool's own limit of one second.
	budgetRenewInterval = 400 * time.Millisecond
)

// targetBudgets passes the budgets of single targets to the pools, so that a budget
// without a grant never replaces a granted one that is still valid.
type targetBudgets struct {
	lock sync.Mutex
	// granted and base hold by target the last granted budget, and the last one
	// without a grant.
	granted, base map[string]targetBudget
}

// targetBudget is a number of connections, passed to the pool at a time.
type targetBudget struct {
	connections int
	at          time.Duration
}

// grant passes a granted budget to the pool.
func (b *targetBudgets) grant(g *pool.Group, target string, connections int, now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.granted == nil {
		b.granted = map[string]targetBudget{}
	}
	b.granted[target] = targetBudget{connections, now}
	delete(b.base, target)
	g.SetBudget(target, connections)
}

// renew passes the budget without a grant to the pool, unless a granted one is valid
// and held is true.
func (b *targetBudgets) renew(g *pool.Group, target string, held bool, connections int, now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if n, ok := b.granted[target]; ok && held && now-n.at < grantTTL {
		return
	}
	delete(b.granted, target)
	if n, ok := b.base[target]; ok && n.connections == connections && now-n.at < budgetRenewInterval {
		return
	}
	if b.base == nil {
		b.base = map[string]targetBudget{}
	}
	b.base[target] = targetBudget{connections, now}
	g.SetBudget(target, connections)
}

// configurePool passes the targets of a group to its pool, with the budgets and the
// idle allowance of this VM.
func (s *supervisor) configurePool(group string, connections int, g *pool.Group, targets []pool.Target) {
	h := s.holdersOf(group)
	if h.targets == nil {
		g.SetIdleAllowance(s.idleBudget(group, connections))
		g.Configure(targets, s.baseBudget(group, connections))
		return
	}
	notPlaced := func(t pool.Target) bool { return h.targets[t.ID] == nil }
	if slices.ContainsFunc(targets, notPlaced) {
		// Targets that have come since the holders were evaluated wait for the next
		// evaluation, which precedes the next call.
		targets = slices.DeleteFunc(slices.Clone(targets), notPlaced)
	}
	budgets := make([]int, 0, usualTargets)
	lowest, allowance := 0, 0
	for _, t := range targets {
		n := h.targets[t.ID]
		budget, idle := s.targetBudget(t, n, connections)
		budgets = append(budgets, budget)
		if n.self && (lowest == 0 || budget < lowest) {
			lowest = budget
		}
		allowance = max(allowance, idle)
	}
	if lowest == 0 {
		lowest = maxRelayedLinks
	}
	// The pool falls back to the budget of Configure for a target that it has just
	// got to know. The lowest of all is safe for each.
	g.SetIdleAllowance(max(allowance/keptShare, 1))
	g.Configure(targets, lowest)
	for i, t := range targets {
		s.budgets.renew(g, t.ID, h.targets[t.ID].self, budgets[i], s.Now())
		s.endFallback(g, t)
	}
}

// keptShare divides the idle allowance of a holder. The pool keeps customers' idle
// connections up to twice its allowance, half of an equal share: after a loss of power the
// target counts what was open for 3 s more, and the VMs that start need the other half.
const keptShare = 2

// usualTargets is a number of targets that few groups exceed.
const usualTargets = 8

// targetBudget returns how many connections to a target this VM may hold without a
// grant, and how many of them it may keep idle. Links through holders use no connection
// of the target. A VM that reaches no holder has one direct connection, for whichever
// customer needs it.
func (s *supervisor) targetBudget(t pool.Target, h *targetHolders, connections int) (budget, idle int) {
	if h.self {
		l := h.limits(connections)
		return l.Base(), equalShare(l)
	}
	if s.dialer.IsFallback(t) {
		s.fallbacks[t.ID] = true
		return 1, 1
	}
	links := maxRelayedLinks * max(len(h.holders), 1)
	return links, links
}

// equalShare returns the number of a target's connections that each of the VMs would
// hold if all had as many.
func equalShare(l pool.Limits) int { return max(l.Connections/max(l.VMs, 1), 1) }

// endFallback replaces the direct connection to a target, once a holder answers again.
func (s *supervisor) endFallback(g *pool.Group, t pool.Target) {
	if s.fallbacks[t.ID] && !s.dialer.IsFallback(t) {
		delete(s.fallbacks, t.ID)
		g.ReplaceLinksTo(t.ID)
	}
}

// addTargetClaims adds to the requests the claims on the connections to those targets
// of a group that this VM holds. It returns errNoAllocator if a target has no holder
// that answers.
//
// There is a claim for each, also for one without connections, so that the allocator
// reserves no more for the VM than it needs. Connections that are open count as wanted
// up to an equal share, since they are kept for the customers for which they were
// opened.
func (c *claimer) addTargetClaims(requests map[Peer]*peerpb.DivideRequest, group string, targets map[string]*targetHolders, claims []pool.Claim) error {
	connections := 0
	if conf := c.catalog.Current(); conf != nil {
		connections = conf.Groups[group].ConnectionLimit
	}
	byTarget := map[string]pool.Claim{}
	for _, n := range claims {
		byTarget[n.Target] = n
	}
	err := error(nil)
	for id, h := range targets {
		if !h.self {
			continue
		}
		allocator, ok := c.firstResponsive(h.holders)
		if !ok {
			err = errNoAllocator
			continue
		}
		n := byTarget[id]
		wanted := max(n.Wanted, min(n.Open, equalShare(h.limits(connections))))
		c.addClaim(requests, allocator, &peerpb.Claim{Group: group, Target: id, Open: uint32(n.Open), Wanted: uint32(wanted)})
	}
	return err
}

// addClaim adds a claim to the request to an allocator.
func (c *claimer) addClaim(requests map[Peer]*peerpb.DivideRequest, allocator Peer, n *peerpb.Claim) {
	if requests[allocator] == nil {
		requests[allocator] = &peerpb.DivideRequest{Vm: c.Settings.VM()}
	}
	requests[allocator].Claims = append(requests[allocator].Claims, n)
}

// setBudget passes the allocator's budget for a target to the pool.
func (c *claimer) setBudget(g *pool.Group, group, target string, connections int) {
	h := c.holdersOf(group)
	if h.targets == nil {
		g.SetBudget(target, connections)
		return
	}
	if t := h.targets[target]; t != nil && t.self {
		c.budgets.grant(g, target, connections, c.Now())
	}
}
