package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
)

// Timing of claims on target connections.
const (
	// claimInterval is the time between two claims of a VM. A change in demand is
	// answered within it.
	claimInterval = 250 * time.Millisecond
	// claimTimeout bounds one call that claims connections.
	claimTimeout = 300 * time.Millisecond
	// unresponsiveBackoff is how long a VM that did not answer a claim is not
	// asked again.
	unresponsiveBackoff = 3 * time.Second
)

// errNoAllocator reports that no VM is left that could allocate connections.
var errNoAllocator = errors.New("no VM answers claims on target connections")

// claimer periodically claims target connections from each group's allocator: the VM
// that divides the connections to the group's targets.
type claimer struct {
	*fleet
	// unresponsive holds, by VM, when a claim last went unanswered.
	unresponsive map[string]time.Duration
}

// run claims connections until the context ends.
func (c *claimer) run(ctx context.Context) {
	c.unresponsive = map[string]time.Duration{}
	for ctx.Err() == nil {
		sleep(ctx, claimInterval)
		err := c.claim(ctx)
		c.unallocated.Store(err != nil)
		if err != nil {
			c.Log.V(1).Info("connection budgets were not renewed; falling back to an equal share", "reason", err.Error())
		}
	}
}

// allocator returns the first of a group's allocators that has not left a claim
// unanswered within unresponsiveBackoff; false if there is none.
func (c *claimer) allocator(group string) (Peer, bool) {
	return c.firstResponsive(c.holdersOf(group).allocators)
}

// firstResponsive returns the first VM of a list that has not left a claim unanswered
// within unresponsiveBackoff; false if there is none.
func (c *claimer) firstResponsive(list []Peer) (Peer, bool) {
	now := c.Now()
	for _, p := range list {
		if at, ok := c.unresponsive[p.Name]; !ok || now-at > unresponsiveBackoff {
			return p, true
		}
	}
	return Peer{}, false
}

// claim asks the allocators for connections to the targets of all groups that this
// VM connects to itself, in one call to each, and passes the budgets to the pools.
func (c *claimer) claim(ctx context.Context) error {
	pools := c.pools()
	requests := map[Peer]*peerpb.DivideRequest{}
	errs := []error{}
	for name, g := range pools {
		h := c.holdersOf(name)
		if !h.Self {
			continue
		}
		claims := g.Claims()
		if h.targets != nil {
			errs = append(errs, c.addTargetClaims(requests, name, h.targets, claims))
			continue
		}
		if len(claims) == 0 {
			continue
		}
		allocator, ok := c.allocator(name)
		if !ok {
			errs = append(errs, errNoAllocator)
			continue
		}
		for _, n := range claims {
			c.addClaim(requests, allocator, &peerpb.Claim{Group: name, Target: n.Target, Open: uint32(n.Open), Wanted: uint32(n.Wanted)})
		}
	}
	failed := make(chan error, len(requests))
	lock := sync.Mutex{}
	for allocator, q := range requests {
		go func() {
			err := c.claimFrom(ctx, allocator, q, pools)
			if err != nil {
				lock.Lock()
				c.unresponsive[allocator.Name] = c.Now()
				lock.Unlock()
			}
			failed <- err
		}()
	}
	for range requests {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

// claimFrom sends claims to one allocator and passes its budgets to the pools.
func (c *claimer) claimFrom(ctx context.Context, allocator Peer, q *peerpb.DivideRequest, pools map[string]*pool.Group) error {
	budgets, err := c.requestBudgets(ctx, allocator, q)
	if err != nil {
		return err
	}
	for i, b := range budgets {
		if i < len(q.GetClaims()) {
			n := q.GetClaims()[i]
			c.setBudget(pools[n.GetGroup()], n.GetGroup(), n.GetTarget(), int(b))
		}
	}
	return nil
}

// requestBudgets returns the allocator's budgets, in the order of the claims. The
// allocator may be this VM.
func (c *claimer) requestBudgets(ctx context.Context, p Peer, q *peerpb.DivideRequest) ([]uint32, error) {
	if p.Name == c.Settings.VM() {
		return c.allocate(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := c.client(p.Address).Divide(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, fmt.Errorf("claim connections at %s: %w", p.Name, err)
	}
	return r.Msg.GetBudgets(), nil
}

// allocate returns the number of connections that a VM may hold, in the order of
// its claims.
func (f *fleet) allocate(q *peerpb.DivideRequest) []uint32 {
	budgets := make([]uint32, 0, len(q.GetClaims()))
	conf := f.catalog.Current()
	f.lock.Lock()
	defer f.lock.Unlock()
	now := f.Now()
	for _, c := range q.GetClaims() {
		connections := 0
		if conf != nil {
			connections = conf.Groups[c.GetGroup()].ConnectionLimit
		}
		claim := pool.Claim{Target: c.GetTarget(), Open: int(c.GetOpen()), Wanted: int(c.GetWanted())}
		l := f.limits(c.GetGroup(), connections)
		if h := f.holdersOf(c.GetGroup()).targets[c.GetTarget()]; h != nil {
			l = h.limits(connections)
		}
		budgets = append(budgets, uint32(f.shares.Divide(now, q.GetVm(), claim, l)))
	}
	return budgets
}

// Divide implements peerpbconnect.FleetHandler.
func (s fleetServer) Divide(_ context.Context, q *connect.Request[peerpb.DivideRequest]) (*connect.Response[peerpb.DivideResponse], error) {
	return connect.NewResponse(&peerpb.DivideResponse{Budgets: s.allocate(q.Msg)}), nil
}
