package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/catalog"
	"amaranthsill/group"
	"amaranthsill/peer/peerpb"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// controlClient sends control orders to targets, each over its own connection.
type controlClient struct{ *VM }

// Candidates implements succession.Targets.
func (c *controlClient) Candidates(group string) []pool.Target {
	return c.directory.Targets(group)
}

// Departed implements succession.Targets.
func (c *controlClient) Departed(group string) []pool.Target {
	return c.directory.Departed(group, c.committedAt(group))
}

// Ended implements succession.Targets.
func (c *controlClient) Ended(group string) []pool.Target {
	return c.directory.Ended(group, c.committedAt(group))
}

// Reached implements succession.Targets.
func (c *controlClient) Reached(group, target string) query.Position {
	if g, ok := c.existingPool(group); ok {
		return g.Position(target)
	}
	return query.Position{}
}

// KeptLog implements succession.Targets.
func (c *controlClient) KeptLog(t pool.Target, received query.Position) bool {
	return c.directory.RecordRuns(t, received)
}

// committedAt returns when this VM last acknowledged a commit of a group; zero if it never
// did.
func (c *controlClient) committedAt(group string) time.Duration {
	if g, ok := c.existingPool(group); ok {
		return g.LastCommit().At
	}
	return 0
}

// SyncReplicas implements succession.Targets. A group that the configuration has no more
// counts as one of which a single replica may have a commit.
func (c *controlClient) SyncReplicas(group string) int {
	if current := c.catalog.Current(); current != nil {
		if g, ok := current.Groups[group]; ok {
			return g.SyncReplicas
		}
	}
	return 1
}

// relayDelay is how long a target may take to answer an order before other VMs are
// asked to relay it. It is longer than a round trip between regions and the opening of
// a connection.
const relayDelay = 150 * time.Millisecond

// Order implements succession.Targets. If the target fails or does not answer within
// relayDelay, other VMs are asked to relay the order as well; the first report counts.
func (c *controlClient) Order(ctx context.Context, group, target string, o pool.Order) (pool.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := make(chan orderResult, 1)
	go func() {
		r, err := c.runDirect(ctx, group, target, o)
		direct <- orderResult{r, err}
	}()
	q, relayable := requestFromOrder(group, target, o)
	if !relayable {
		r := <-direct
		return r.report, r.err
	}
	delay := time.NewTimer(relayDelay)
	defer delay.Stop()
	failed := orderResult{}
	select {
	case failed = <-direct:
		if failed.err == nil {
			return failed.report, nil
		}
		direct = nil
	case <-delay.C:
	}
	relayed := make(chan orderResult, 1)
	go func() { relayed <- c.relayToPeers(ctx, q) }()
	return firstReport(direct, relayed, failed.err)
}

// orderResult is the target's report on an order, or why there is none.
type orderResult struct {
	report pool.Report
	err    error
}

// firstReport returns the first report from either channel, of which direct is nil if
// it has failed already; failed is its error.
func firstReport(direct, relayed <-chan orderResult, failed error) (pool.Report, error) {
	for direct != nil || relayed != nil {
		select {
		case r := <-direct:
			if r.err == nil {
				return r.report, nil
			}
			direct, failed = nil, r.err
		case r := <-relayed:
			if r.err == nil {
				return r.report, nil
			}
			relayed = nil
		}
	}
	return pool.Report{}, failed
}

// requestFromOrder returns the message that relays an order to another VM; false
// if the order is not idempotent and so must not be sent twice.
func requestFromOrder(group, target string, o pool.Order) (*peerpb.OrderRequest, bool) {
	switch o := o.(type) {
	case pool.Status:
		return &peerpb.OrderRequest{Group: group, Target: target}, true
	case pool.StepDown:
		return &peerpb.OrderRequest{Group: group, Target: target, StepDown: o.Term}, true
	default:
		return nil, false
	}
}

// orderFromRequest returns the order that a relayed request stands for.
func orderFromRequest(q *peerpb.OrderRequest) pool.Order {
	if q.GetStepDown() > 0 {
		return pool.StepDown{Term: q.GetStepDown()}
	}
	return pool.Status{}
}

// relayFanout is how many VMs are asked to relay one order.
const relayFanout = 4

// relayToPeers asks up to relayFanout other VMs at the same time to send an order
// to its target, and returns the first of the target's reports that one of them
// passes back. Its error wraps pool.ErrNoTarget if none does.
func (c *controlClient) relayToPeers(ctx context.Context, q *peerpb.OrderRequest) orderResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := c.relayPeers(q.GetGroup(), q.GetTarget())
	answers := make(chan *peerpb.OrderResponse, len(peers))
	for _, p := range peers {
		go func() {
			r, err := c.fleet.client(p.Address).Order(ctx, connect.NewRequest(q))
			if err != nil {
				c.Log.V(1).Info("relay of a control order failed", "peer", p.Name, "target", q.GetTarget(), "reason", err.Error())
				answers <- nil
				return
			}
			answers <- r.Msg
		}()
	}
	for range peers {
		if r := <-answers; r != nil {
			return orderResult{report: reportFromResponse(r)}
		}
	}
	return orderResult{err: fmt.Errorf("relay order to %s through %d VMs: %w", q.GetTarget(), len(peers), pool.ErrNoTarget)}
}

// relayPeers returns up to relayFanout other VMs, others at each call: half of them
// from the zone of the target, which most probably reach it, and the rest from
// anywhere.
func (c *controlClient) relayPeers(group, target string) []Peer {
	zone := ""
	if t, ok := c.findTarget(group, target); ok {
		zone = t.Zone
	}
	others := slices.DeleteFunc(c.directory.Peers(), func(p Peer) bool { return p.Name == c.Settings.VM() })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	near := []Peer{}
	for _, p := range others {
		if p.Zone == zone && len(near) < relayFanout/2 {
			near = append(near, p)
		}
	}
	rest := slices.DeleteFunc(others, func(p Peer) bool { return slices.Contains(near, p) })
	return append(near, rest[:min(len(rest), relayFanout-len(near))]...)
}

// reportFromResponse returns the target's report from a relayed order's response.
func reportFromResponse(r *peerpb.OrderResponse) pool.Report {
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

// runDirect opens a connection to the target, sends one order and returns the
// report. Its error wraps pool.ErrNoTarget if the target is not known.
func (c *controlClient) runDirect(ctx context.Context, group, target string, o pool.Order) (pool.Report, error) {
	t, ok := c.findTarget(group, target)
	if !ok {
		return pool.Report{}, fmt.Errorf("target %s is not known: %w", target, pool.ErrNoTarget)
	}
	link, _, err := c.Adapter.Dialer.Dial(ctx, t, "")
	if err != nil {
		return pool.Report{}, fmt.Errorf("open control connection: %w", err)
	}
	defer link.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := link.SetDeadline(deadline); err != nil {
			return pool.Report{}, fmt.Errorf("set deadline of control connection: %w", err)
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
		return pool.Report{}, fmt.Errorf("parse answer to control order: %w", err)
	}
	return report, nil
}

// findTarget returns the registered target with an ID, or the one that was registered last;
// false if there is none.
func (c *controlClient) findTarget(group, id string) (pool.Target, bool) {
	for _, t := range c.directory.Targets(group) {
		if t.ID == id {
			return t, true
		}
	}
	return c.directory.FindDeparted(group, id)
}

// recordLeadersTimeout bounds one attempt to write the groups' first leaders.
const recordLeadersTimeout = settleTimeout

// recordFirstLeaders adds the groups that are absent from the leader record. Each
// VM waits for its rank times rankDelay, so that normally only one VM writes.
func (s *supervisor) recordFirstLeaders(ctx context.Context, groups map[string]catalog.Group) {
	if !s.registered.Load() || s.recordingLeaders.Load() || s.grants.Outdated() {
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
		s.missingSince = 0
		return
	}
	now := s.Now()
	if s.missingSince == 0 {
		s.missingSince = now
	}
	if now-s.missingSince < time.Duration(s.rank(""))*rankDelay {
		return
	}
	s.recordingLeaders.Store(true)
	go func() {
		defer s.recordingLeaders.Store(false)
		limited, cancel := context.WithTimeout(ctx, recordLeadersTimeout)
		defer cancel()
		if err := s.mover.Start(limited, leaders); err != nil {
			s.Log.Info("first leaders were not recorded; trying again", "reason", err.Error())
		}
	}()
}

// soleLeader returns the ID of the only target of a group that reports itself as
// the primary; empty if there is none or more than one.
func (s *supervisor) soleLeader(group string) string {
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

// firstLeadersTimeout bounds how long a VM that could accept callers waits for leaders to be
// recorded. Writing them takes a few calls to the store.
const firstLeadersTimeout = 3 * time.Second

// awaitsFirstLeaders reports whether the leader of a route's group is about to be recorded:
// one target reports itself as the primary.
func (s *supervisor) awaitsFirstLeaders(c *catalog.Configuration) bool {
	now := s.Now()
	if s.leadersAwaitedSince == 0 {
		s.leadersAwaitedSince = now
	}
	if now-s.leadersAwaitedSince > firstLeadersTimeout {
		return false
	}
	leads := s.grants.Record().Leads
	for _, r := range c.Routes {
		if _, recorded := leads[r.Group]; !recorded && s.soleLeader(r.Group) != "" {
			return true
		}
	}
	return false
}

// checkReady lets the VM accept callers once it has the configuration, a record
// that the store confirmed, an entry that VMs that move a leadership find, and the leaders
// that are about to be recorded. A group that has no leader holds back only its own
// statements, which are refused. With customers it
// waits until the holders have settled: if all VMs start together, nobody holds
// connections before that, and each would open one of its own to each target.
func (s *supervisor) checkReady() {
	if s.startupComplete {
		return
	}
	c := s.catalog.Current()
	if c == nil {
		return
	}
	if _, _, ever := s.grants.StoreConfirmation(); !ever || !s.grants.Admitted() {
		return
	}
	if s.Now() < s.holdersSettleAt || s.awaitsFirstLeaders(c) {
		return
	}
	for _, g := range s.pools() {
		g.Warm()
	}
	s.startupComplete = true
	s.startupCompletedAt = s.Now()
	close(s.startupDone)
	s.Log.Info("VM is ready", "version", c.Version, "leaders", s.grants.Record().Revision.String())
}
