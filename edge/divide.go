package edge

import (
	"context"
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
	// divideKey orders the VMs; the first divides for all.
	divideKey = "divide"
)

// claimer claims connections of the VM that divides them.
type claimer struct{ *fleet }

func (c *claimer) run(ctx context.Context) {
	for ctx.Err() == nil {
		pauseFor(ctx, claimPause)
		if err := c.claim(ctx); err != nil {
			c.Log.V(1).Info("connections were not divided anew", "reason", err.Error())
		}
	}
}

func (c *claimer) claim(ctx context.Context) error {
	order := c.order(divideKey)
	if len(order) == 0 {
		return nil
	}
	q := &peerpb.DivideRequest{Vm: c.Settings.VM()}
	pools := c.pools()
	for name, g := range pools {
		for _, n := range g.Claims() {
			q.Claims = append(q.Claims, &peerpb.Claim{Group: name, Target: n.Target, Open: uint32(n.Open), Wanted: uint32(n.Wanted)})
		}
	}
	budgets, err := c.divideAt(ctx, order[0], q)
	if err != nil {
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
		limit := 1
		if conf != nil {
			limit = max(conf.Groups[c.GetGroup()].Connections-spareConnections, 1)
		}
		claim := pool.Claim{Target: c.GetTarget(), Open: int(c.GetOpen()), Wanted: int(c.GetWanted())}
		l := pool.Limits{Connections: limit, VMs: max(f.directory.Count(), f.missing())}
		budgets = append(budgets, uint32(f.shares.Divide(now, q.GetVm(), claim, l)))
	}
	return budgets
}

// Divide implements peerpbconnect.FleetHandler.
func (s server) Divide(_ context.Context, q *connect.Request[peerpb.DivideRequest]) (*connect.Response[peerpb.DivideResponse], error) {
	return connect.NewResponse(&peerpb.DivideResponse{Budgets: s.divide(q.Msg)}), nil
}
