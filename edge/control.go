package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/catalog"
	"amaranthsill/group"
	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
)

// controls gives orders to targets over connections of their own.
type controls struct{ *VM }

// Candidates implements succession.Targets.
func (c *controls) Candidates(group string) []pool.Target {
	return c.directory.Targets(group)
}

// Order implements succession.Targets. Other VMs are asked to pass the order
// on if the target is not reached from here.
func (c *controls) Order(ctx context.Context, group, target string, o pool.Order) (pool.Report, error) {
	r, err := c.direct(ctx, group, target, o)
	if err == nil {
		return r, nil
	}
	q, ok := requestOf(group, target, o)
	if !ok {
		return pool.Report{}, err
	}
	if r, relayed := c.relay(ctx, q); relayed {
		return r, nil
	}
	return pool.Report{}, err
}

// requestOf returns an order's form for other VMs, for those that may be
// given twice.
func requestOf(group, target string, o pool.Order) (*peerpb.OrderRequest, bool) {
	switch o := o.(type) {
	case pool.Status:
		return &peerpb.OrderRequest{Group: group, Target: target}, true
	case pool.StepDown:
		return &peerpb.OrderRequest{Group: group, Target: target, StepDown: o.Term}, true
	default:
		return nil, false
	}
}

func orderOf(q *peerpb.OrderRequest) pool.Order {
	if q.GetStepDown() > 0 {
		return pool.StepDown{Term: q.GetStepDown()}
	}
	return pool.Status{}
}

// relayCount is how many VMs are asked to pass an order on.
const relayCount = 3

// relay lets other VMs pass an order on and returns the first answer.
func (c *controls) relay(ctx context.Context, q *peerpb.OrderRequest) (pool.Report, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := c.order(q.GetTarget())
	others = slices.DeleteFunc(others, func(p Peer) bool { return p.Name == c.Settings.VM() })
	others = others[:min(len(others), relayCount)]
	answers := make(chan *peerpb.OrderResponse, len(others))
	for _, p := range others {
		go func() {
			r, err := c.fleet.client(p.Address).Order(ctx, connect.NewRequest(q))
			if err != nil {
				c.Log.V(1).Info("order was not passed on", "peer", p.Name, "target", q.GetTarget(), "reason", err.Error())
				answers <- nil
				return
			}
			answers <- r.Msg
		}()
	}
	for range others {
		if r := <-answers; r != nil {
			return reportOf(r), true
		}
	}
	return pool.Report{}, false
}

func reportOf(r *peerpb.OrderResponse) pool.Report {
	role := pool.RoleReplica
	if r.GetPrimary() {
		role = pool.RolePrimary
	}
	return pool.Report{
		Role:     role,
		Term:     r.GetTerm(),
		Received: group.At(group.Term(r.GetReceivedTerm()), r.GetReceivedOffset()),
	}
}

// direct runs an order over a connection of its own.
func (c *controls) direct(ctx context.Context, group, target string, o pool.Order) (pool.Report, error) {
	t, ok := c.find(group, target)
	if !ok {
		return pool.Report{}, fmt.Errorf("target %s is not registered: %w", target, pool.ErrNoTarget)
	}
	link, _, err := c.Adapter.Dialer.Dial(ctx, t)
	if err != nil {
		return pool.Report{}, fmt.Errorf("open control connection: %w", err)
	}
	defer link.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := link.SetDeadline(deadline); err != nil {
			return pool.Report{}, fmt.Errorf("run control order: %w", err)
		}
	}
	if err := link.Send(o); err != nil {
		return pool.Report{}, fmt.Errorf("send control order: %w", err)
	}
	r, err := link.Receive()
	if err != nil {
		return pool.Report{}, fmt.Errorf("receive answer to control order: %w", err)
	}
	report, err := c.Adapter.Dialer.ParseStatus(r)
	if err != nil {
		return pool.Report{}, fmt.Errorf("read answer to control order: %w", err)
	}
	return report, nil
}

func (c *controls) find(group, id string) (pool.Target, bool) {
	for _, t := range c.directory.Targets(group) {
		if t.ID == id {
			return t, true
		}
	}
	return pool.Target{}, false
}

// introduceLimit bounds the writing of first leaders.
const introduceLimit = 3 * time.Second

// introduce records the leaders of groups that the record lacks, one VM after
// the other by rank.
func (s *steward) introduce(ctx context.Context, groups map[string]catalog.Group) {
	if !s.registered.Load() || s.introducing.Load() {
		return
	}
	leaders := map[string]string{}
	for name := range groups {
		if _, ok := s.grants.Record().Leads[name]; ok {
			continue
		}
		if id := s.soleLeader(name); id != "" {
			leaders[name] = id
		}
	}
	if len(leaders) == 0 {
		s.missing = 0
		return
	}
	now := s.Now()
	if s.missing == 0 {
		s.missing = now
	}
	if now-s.missing < time.Duration(s.rank(""))*rankDelay {
		return
	}
	s.introducing.Store(true)
	go func() {
		defer s.introducing.Store(false)
		limited, cancel := context.WithTimeout(ctx, introduceLimit)
		defer cancel()
		if err := s.mover.Start(limited, leaders); err != nil {
			s.Log.Info("first leaders are not recorded yet", "reason", err.Error())
		}
	}()
}

// soleLeader returns the only target of a group that says that it leads.
func (s *steward) soleLeader(group string) string {
	found := ""
	for _, t := range s.directory.Targets(group) {
		if t.Role != pool.RolePrimary {
			continue
		}
		if found != "" {
			return ""
		}
		found = t.ID
	}
	return found
}

// checkReady makes the VM ready once it knows what it serves.
func (s *steward) checkReady() {
	if s.informed {
		return
	}
	c := s.catalog.Current()
	if c == nil {
		return
	}
	if _, _, ever := s.grants.Stored(); !ever {
		return
	}
	leads := s.grants.Record().Leads
	for _, r := range c.Routes {
		if _, ok := leads[r.Group]; !ok {
			return
		}
	}
	for _, g := range s.pools() {
		g.Warm()
	}
	s.informed = true
	s.informedAt = s.Now()
	close(s.readied)
	s.Log.Info("VM is ready", "version", c.Version, "leaders", s.grants.Record().Revision)
}
