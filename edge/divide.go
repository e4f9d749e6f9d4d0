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

// The times of claims on connections.
const (
	// claimPause is the time between two claims of a VM; a demand that
	// changes is met within it.
	claimPause = 250 * time.Millisecond
	// claimLimit bounds one claim's call.
	claimLimit = 300 * time.Millisecond
	// silentPause is how long a VM that did not answer a claim is passed over.
	silentPause = 3 * time.Second
	// divideKey orders the VMs; the first divides for all.
	divideKey = "divide"
)

// errNoDivider reports that no VM divides connections.
var errNoDivider = errors.New("no VM answers claims on connections")

// claimer claims connections of the VM that divides them.
type claimer struct {
	*fleet
	// silent are the VMs that did not answer a claim, and when.
	silent map[string]time.Duration
}

func (c *claimer) run(ctx context.Context) {
	c.silent = map[string]time.Duration{}
	for ctx.Err() == nil {
		pauseFor(ctx, claimPause)
		err := c.claim(ctx)
		c.undivided.Store(err != nil)
		if err != nil {
			c.Log.V(1).Info("connections were not divided anew", "reason", err.Error())
		}
	}
}

// divider returns the first VM in the order that answered of late.
func (c *claimer) divider() (Peer, bool) {
	now := c.Now()
	for _, p := range c.order(divideKey) {
		if at, ok := c.silent[p.Name]; !ok || now-at > silentPause {
			return p, true
		}
	}
	return Peer{}, false
}

func (c *claimer) claim(ctx context.Context) error {
	divider, ok := c.divider()
	if !ok {
		return errNoDivider
	}
	q := &peerpb.DivideRequest{Vm: c.Settings.VM()}
	pools := c.pools()
	for name, g := range pools {
		if !c.holding(name).Self {
			continue
		}
		for _, n := range g.Claims() {
			q.Claims = append(q.Claims, &peerpb.Claim{Group: name, Target: n.Target, Open: uint32(n.Open), Wanted: uint32(n.Wanted)})
		}
	}
	if len(q.GetClaims()) == 0 {
		return nil
	}
	budgets, err := c.divideAt(ctx, divider, q)
	if err != nil {
		c.silent[divider.Name] = c.Now()
		return err
	}
	for i, b := range budgets {
		if i < len(q.GetClaims()) {
			pools[q.GetClaims()[i].GetGroup()].Grant(q.GetClaims()[i].GetTarget(), int(b))
		}
	}
	return nil
}

// divideAt lets a VM divide, which may be this one.
func (c *claimer) divideAt(ctx context.Context, p Peer, q *peerpb.DivideRequest) ([]uint32, error) {
	if p.Name == c.Settings.VM() {
		return c.divide(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	r, err := c.client(p.Address).Divide(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, fmt.Errorf("claim connections at %s: %w", p.Name, err)
	}
	return r.Msg.GetBudgets(), nil
}

// divide answers a VM's claims.
func (f *fleet) divide(q *peerpb.DivideRequest) []uint32 {
	budgets := make([]uint32, 0, len(q.GetClaims()))
	conf := f.catalog.Current()
	f.lock.Lock()
	defer f.lock.Unlock()
	now := f.Now()
	for _, c := range q.GetClaims() {
		connections := 0
		if conf != nil {
			connections = conf.Groups[c.GetGroup()].Connections
		}
		claim := pool.Claim{Target: c.GetTarget(), Open: int(c.GetOpen()), Wanted: int(c.GetWanted())}
		budgets = append(budgets, uint32(f.shares.Divide(now, q.GetVm(), claim, f.limits(c.GetGroup(), connections))))
	}
	return budgets
}

// Divide implements peerpbconnect.FleetHandler.
func (s server) Divide(_ context.Context, q *connect.Request[peerpb.DivideRequest]) (*connect.Response[peerpb.DivideResponse], error) {
	return connect.NewResponse(&peerpb.DivideResponse{Budgets: s.divide(q.Msg)}), nil
}
