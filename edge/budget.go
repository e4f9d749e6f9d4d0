package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
)

// Timing of claims on target connections, and the key that picks the allocator.
const (
	// claimInterval is the time between two claims of a VM. A change in demand is
	// answered within it.
	claimInterval = 250 * time.Millisecond
	// claimTimeout bounds one call that claims connections.
	claimTimeout = 300 * time.Millisecond
	// unresponsiveBackoff is how long a VM that did not answer a claim is not
	// asked again.
	unresponsiveBackoff = 3 * time.Second
	// allocatorOrderKey ranks the VMs; the first one that answers is the
	// allocator for all.
	allocatorOrderKey = "divide"
)

// errNoAllocator reports that no VM is left that could allocate connections.
var errNoAllocator = errors.New("no VM answers claims on target connections")

// claimer periodically claims target connections from the allocator: the VM that
// divides the targets' connections among all VMs.
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

// allocator returns the first VM in the ranking that has not left a claim
// unanswered within unresponsiveBackoff; false if there is none.
func (c *claimer) allocator() (Peer, bool) {
	now := c.Now()
	for _, p := range c.rankedPeers(allocatorOrderKey) {
		if at, ok := c.unresponsive[p.Name]; !ok || now-at > unresponsiveBackoff {
			return p, true
		}
	}
	return Peer{}, false
}

// claim asks the allocator for connections to the targets of all groups that this
// VM connects to itself, and passes the budgets to the pools.
func (c *claimer) claim(ctx context.Context) error {
	allocator, ok := c.allocator()
	if !ok {
		return errNoAllocator
	}
	q := &peerpb.DivideRequest{Vm: c.Settings.VM()}
	pools := c.pools()
	for name, g := range pools {
		if !c.holdersOf(name).Self {
			continue
		}
		for _, n := range g.Claims() {
			q.Claims = append(q.Claims, &peerpb.Claim{Group: name, Target: n.Target, Open: uint32(n.Open), Wanted: uint32(n.Wanted)})
		}
	}
	if len(q.GetClaims()) == 0 {
		return nil
	}
	budgets, err := c.requestBudgets(ctx, allocator, q)
	if err != nil {
		c.unresponsive[allocator.Name] = c.Now()
		return err
	}
	for i, b := range budgets {
		if i < len(q.GetClaims()) {
			pools[q.GetClaims()[i].GetGroup()].SetBudget(q.GetClaims()[i].GetTarget(), int(b))
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
		budgets = append(budgets, uint32(f.shares.Divide(now, q.GetVm(), claim, f.limits(c.GetGroup(), connections))))
	}
	return budgets
}

// Divide implements peerpbconnect.FleetHandler.
func (s fleetServer) Divide(_ context.Context, q *connect.Request[peerpb.DivideRequest]) (*connect.Response[peerpb.DivideResponse], error) {
	return connect.NewResponse(&peerpb.DivideResponse{Budgets: s.allocate(q.Msg)}), nil
}
