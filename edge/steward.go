package edge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthsill/pool"
	"amaranthsill/succession"
)

// The times of a steward.
const (
	// stewardPause is the time between two looks at the groups.
	stewardPause = 50 * time.Millisecond
	// rankDelay is how much longer each VM of lower rank waits before it
	// moves a leadership.
	rankDelay = 150 * time.Millisecond
	// unknownDelay is how much longer a VM waits that others may not know yet,
	// since it would have to wait out every grant.
	unknownDelay = 1500 * time.Millisecond
	// movePause is the least time between two tries of one VM.
	movePause = 400 * time.Millisecond
	// probeAfter is how long the leader may owe an answer before a fresh
	// connection is tried.
	probeAfter = 200 * time.Millisecond
	// refusedLimit is how long nobody may listen at the leader's address
	// before it counts as failed; a process restarts within it.
	refusedLimit = 350 * time.Millisecond
	// silentLimit is how long the leader may not be reached before it counts
	// as failed.
	silentLimit = 250 * time.Millisecond
	// readOnlyLimit is how long the leader may refuse writes.
	readOnlyLimit = 500 * time.Millisecond
	// spareConnections are left free at each target for control orders.
	spareConnections = 2
)

// steward looks after the groups: connections, leaders, and who has to
// lead next.
type steward struct {
	*VM
	wards map[string]*ward
	// missing is since when the record has lacked a group.
	missing time.Duration
	// shedding reports that sessions were ended since confirmations failed.
	shedding bool
	// turning are since when other VMs would hold a group's connections.
	turning map[string]time.Duration
	// held is when who holds connections was last looked at.
	held time.Duration
	// informed reports that the VM knows what it serves.
	informed bool
	// informedAt is when that was first so.
	informedAt time.Duration
	// introducing reports that first leaders are being recorded.
	introducing atomic.Bool
}

// ward is what the steward remembers of a group.
type ward struct {
	lead succession.Lead
	// since is when the lead was first seen.
	since time.Duration
	// cause and from are why and since when the leader has to be replaced.
	cause  string
	from   time.Duration
	moving bool
	tried  time.Duration
	// doubtful reports that the cause may be this VM's own.
	doubtful bool
}

func (s *steward) run(ctx context.Context) {
	s.wards = map[string]*ward{}
	s.turning = map[string]time.Duration{}
	tick := time.NewTicker(stewardPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.poked:
		}
		s.settle()
		s.look(ctx)
	}
}

func (s *steward) look(ctx context.Context) {
	s.directory.Expire()
	c := s.catalog.Current()
	if c == nil {
		return
	}
	s.hold()
	for name, n := range c.Groups {
		targets := s.directory.Targets(name)
		if len(targets) == 0 {
			continue
		}
		g := s.pool(name)
		g.Keep(s.kept(name, n.Connections))
		g.Configure(targets, s.base(name, n.Connections))
		s.lead(ctx, name, g)
	}
	s.introduce(ctx, c.Groups)
	s.shed()
	s.checkReady()
}

// shed ends sessions between operations while the VM has been unable to
// confirm leaders for long; later sessions stay.
func (s *steward) shed() {
	lapsed := s.grants.Lapsed()
	if lapsed < shedAfter {
		s.shedding = false
		return
	}
	if !s.shedding {
		s.shedding = true
		s.Log.Info("nobody confirms who leads; sessions are ended so that callers turn to other VMs", "for", lapsed.String())
		s.front.Shed()
	}
}

// settleTime is how long after its start a VM may not yet see all others.
const settleTime = 10 * time.Second

// limits bound the division of a target's connections, when all VMs together
// may hold so many.
func (v *VM) limits(group string, connections int) pool.Limits {
	return pool.Limits{
		Connections: max(connections-spareConnections, 1),
		VMs:         v.holding(group).vms,
	}
}

// base returns how many connections to one target this VM may use without
// asking: an equal part while nobody answers claims.
func (v *VM) base(group string, connections int) int {
	if !v.holding(group).Self {
		return relayedLinks
	}
	l := v.limits(group, connections)
	if v.undivided.Load() {
		return max(l.Connections/max(l.VMs, 1), 1)
	}
	return l.Base()
}

// kept returns how many connections to one target this VM may keep unused. Links
// through a holder cost the target nothing.
func (v *VM) kept(group string, connections int) int {
	if !v.holding(group).Self {
		return relayedLinks
	}
	return v.limits(group, connections).Kept()
}

// missing returns how many VMs there were, while those that start with this
// one may not be registered yet.
func (v *VM) missing() int {
	if v.Now()-v.begun > settleTime {
		return 0
	}
	return v.grants.Record().VMs
}

// lead hands the group its leader and watches it.
func (s *steward) lead(ctx context.Context, name string, g *pool.Group) {
	lead := s.grants.Lead(name)
	w := s.wards[name]
	now := s.Now()
	if w == nil || w.lead != lead {
		moving := w != nil && w.moving
		w = &ward{lead: lead, since: now, moving: moving}
		s.wards[name] = w
	}
	leader := lead.Target
	if lead.Moving() {
		leader = ""
	}
	g.SetLeader(leader)
	if lead.Target == "" && !lead.Moving() {
		return
	}
	cause := s.cause(w, g, now)
	if cause == "" {
		w.cause = ""
		return
	}
	if w.cause == "" {
		w.from = now
		s.Log.Info("leader has to be replaced", "group", name, "leader", lead.Target, "cause", cause)
	}
	w.cause = cause
	s.replace(ctx, name, w, now)
}

// cause returns why a group's leader has to be replaced; empty if it has not.
func (s *steward) cause(w *ward, g *pool.Group, now time.Duration) string {
	w.doubtful = false
	if w.lead.Moving() {
		if now-w.since > succession.TakeOver {
			return "the move was not finished"
		}
		return ""
	}
	t, known := g.Target(w.lead.Target)
	if !known {
		return s.causeUnknown(now)
	}
	if t.Draining {
		return "it is draining"
	}
	w.doubtful = true
	h := g.Health(t.ID)
	if h.Unanswered > probeAfter || h.Failing > 0 {
		g.Probe(t.ID)
	}
	return causeOf(h, now-w.since)
}

// causeOf returns why a leader of this health has to be replaced that has led
// for some time; empty if it has not. What failed before it led, and was not
// tried since, says nothing of it.
func causeOf(h pool.Health, led time.Duration) string {
	failing := min(h.Failing, led)
	if h.Failed > led {
		failing = 0
	}
	switch {
	case failing > refusedLimit && h.Refused:
		return "its address refuses connections"
	case failing > silentLimit && !h.Refused:
		return "it does not answer over fresh connections"
	case min(h.ReadOnly, led) > readOnlyLimit:
		return "it refuses writes"
	default:
		return ""
	}
}

// causeUnknown is why a leader has to be replaced that is not registered. A VM
// that has just started cannot tell one that is gone from one whose entry lapsed
// while the store was away.
func (s *steward) causeUnknown(now time.Duration) string {
	if !s.informed || now-s.informedAt < targetMemory {
		return ""
	}
	return "its entry is gone"
}

// replace moves the leadership once this VM's turn has come.
func (s *steward) replace(ctx context.Context, name string, w *ward, now time.Duration) {
	delay := time.Duration(s.rank(name)) * rankDelay
	if !s.known() {
		delay += unknownDelay
	}
	if w.moving || now-w.from < delay || w.tried != 0 && now-w.tried < movePause {
		return
	}
	w.moving = true
	w.tried = now
	lead, cause, doubtful := w.lead, w.cause, w.doubtful
	go func() {
		if doubtful && s.fleet.outvoted(ctx, name, lead.Target) {
			s.Log.Info("most VMs reach the leader; it is not replaced", "group", name, "leader", lead.Target, "cause", cause)
			s.moved <- name
			return
		}
		err := s.mover.MoveIf(ctx, name, lead, cause, func(ctx context.Context) bool {
			return !doubtful || !s.fleet.outvoted(ctx, name, lead.Target)
		})
		switch {
		case errors.Is(err, succession.ErrOvertaken):
			s.Log.V(1).Info("another VM moves the leadership", "group", name)
		case errors.Is(err, succession.ErrNeedless):
			s.Log.Info("most VMs reach the leader; it is not replaced", "group", name, "leader", lead.Target, "cause", cause)
		case err != nil:
			s.Log.Error(err, "leadership was not moved", "group", name, "from", lead.Target, "cause", cause)
		}
		s.moved <- name
		s.poke()
	}()
}

// settle notes moves that have ended.
func (s *steward) settle() {
	for {
		select {
		case name := <-s.moved:
			if w := s.wards[name]; w != nil {
				w.moving = false
				w.tried = s.Now()
			}
		default:
			return
		}
	}
}

// rank returns this VM's place among those that may move a group's
// leadership.
func (v *VM) rank(group string) int {
	order := v.order(group)
	if v.holding(group).relayed {
		order = holdersFirst(group, order)
	}
	i := slices.IndexFunc(order, func(p Peer) bool { return p.Name == v.Settings.VM() })
	if i < 0 {
		return len(order)
	}
	return i
}

// order returns the VMs in an order that all of them agree on and that
// differs from key to key.
func (v *VM) order(key string) []Peer {
	peers := v.directory.Peers()
	sortByKey(peers, key)
	return peers
}

func sortByKey(peers []Peer, key string) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(key+a.Name), xxhash.Sum64String(key+b.Name))
	})
}
