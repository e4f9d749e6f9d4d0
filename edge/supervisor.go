package edge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Timing of failure detection and of moving a leadership, and the connections
// that are reserved for it.
const (
	// superviseInterval is the time between two checks of all groups.
	superviseInterval = 50 * time.Millisecond
	// rankDelay is the additional delay per rank before a VM moves a leadership,
	// so that normally only the first in the ranking does.
	rankDelay = 150 * time.Millisecond
	// unestablishedDelay is the additional delay of a VM that others may not
	// know yet. Its move would have to wait until every grant has expired.
	unestablishedDelay = 1500 * time.Millisecond
	// moveRetryInterval is the least time between two attempts of this VM to
	// move the same leadership.
	moveRetryInterval = 400 * time.Millisecond
	// probeAfter is how long an answer of the leader may be outstanding before a
	// new connection is tried.
	probeAfter = 200 * time.Millisecond
	// refusedTimeout is how long the leader's address may refuse connections
	// before the leader counts as failed. A process restarts within it.
	refusedTimeout = 350 * time.Millisecond
	// unreachableTimeout is how long new connections to the leader may go
	// unanswered before it counts as failed.
	unreachableTimeout = 250 * time.Millisecond
	// readOnlyTimeout is how long the leader may refuse writes before it counts
	// as failed.
	readOnlyTimeout = 500 * time.Millisecond
	// controlConnections is how many connections to each target are reserved for
	// control orders.
	controlConnections = 2
)

// supervisor checks all groups periodically: it configures their pools, detects
// failed leaders and has them replaced.
type supervisor struct {
	*VM
	// states holds the state of each group by name.
	states map[string]*groupState
	// missingSince is the time since which a group with a leader has been absent
	// from the leader record; zero if there is none.
	missingSince time.Duration
	// sessionsClosed reports that sessions were ended because the leader record
	// has been unconfirmed for too long.
	sessionsClosed bool
	// holderChangeSince holds, by group, the time since which this VM has been
	// due to start or stop holding its connections.
	holderChangeSince map[string]time.Duration
	// holdersCheckedAt is when the holders were last evaluated, with holderInputs.
	holdersCheckedAt time.Duration
	holderInputs     holderInputs
	// targetHoldersChanging reports that the holders of a target change once a time
	// has passed.
	targetHoldersChanging bool
	// holdersSettleAt is when this VM, and those that started together with it, hold
	// the connections that they are due to hold.
	holdersSettleAt time.Duration
	// fallbacks holds the targets that this VM last reached only by a direct
	// connection because no holder answered.
	fallbacks map[string]bool
	// leadersAwaitedSince is when this VM began to wait for the leaders that are about to be
	// recorded, with all else that it needs to accept callers; zero before.
	leadersAwaitedSince time.Duration
	// startupComplete reports that the VM has all it needs to accept callers.
	startupComplete bool
	// startupCompletedAt is when startupComplete was set.
	startupCompletedAt time.Duration
	// outdatedSince is the time since which the leader record has been from an
	// earlier era of the store; zero if it is not.
	outdatedSince time.Duration
	// recordingLeaders reports that first leaders are being written to the
	// leader record.
	recordingLeaders atomic.Bool
	// recordingReplicas reports that lists of targets are being written, replicasCheckedAt
	// is when the lists were last checked, and replicasDifferSince since when a group's has
	// not been up to date.
	recordingReplicas   atomic.Bool
	replicasCheckedAt   time.Duration
	replicasDifferSince map[string]time.Duration
	// goneSince is since when groups in use have had no registered target.
	goneSince map[string]time.Duration
	// reached is replicasReach, except in tests.
	reached func(ctx context.Context, name, leader string) bool
	// runs is stateOf, except in tests.
	runs func(ctx context.Context, name, target string) (runState, query.Position)
}

// groupState is what the supervisor tracks of a group while its lead stays the
// same.
type groupState struct {
	lead succession.Lead
	// leadSince is when the lead was first seen, and leadRevision the revision of the leader
	// record in which it was.
	leadSince    time.Duration
	leadRevision store.Revision
	// movingSince is when the leadership was first seen being moved away from the
	// lead's target, by whatever VM; zero if it is not.
	movingSince time.Duration
	// cause is why the leader has to be replaced, empty if it has not;
	// causeSince is the time since which there has been a cause.
	cause      string
	causeSince time.Duration
	// moving reports that this VM is trying to move the leadership.
	moving bool
	// lastAttempt is when this VM last began or ended such an attempt; zero if
	// it has made none.
	lastAttempt time.Duration
	// departedCheckedAt is when this VM last began to find out whether targets of the group
	// that departed still matter, and comparing reports that it is doing so.
	departedCheckedAt time.Duration
	comparing         atomic.Bool
	// silent reports that a departed target did not answer when it was last asked, but is not
	// known to have ended.
	silent atomic.Bool
	// omissionChecked is the revision of the newest list of the group's targets that left
	// out departed ones, so that this VM found out whether they still matter.
	omissionChecked store.Revision
	// maybeLocal reports that the cause may lie in this VM or its network, so
	// that other VMs are asked before the leader is replaced.
	maybeLocal bool
	conflicts
}

// run checks all groups at every interval and whenever the supervisor is woken,
// until the context ends.
func (s *supervisor) run(ctx context.Context) {
	s.states = map[string]*groupState{}
	s.holderChangeSince = map[string]time.Duration{}
	s.fallbacks = map[string]bool{}
	s.replicasDifferSince = map[string]time.Duration{}
	s.goneSince = map[string]time.Duration{}
	s.reached = s.replicasReach
	s.runs = s.stateOf
	tick := time.NewTicker(superviseInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.wake:
		}
		s.collectMoves()
		s.supervise(ctx)
	}
}

// supervise checks all groups once.
func (s *supervisor) supervise(ctx context.Context) {
	s.directory.Expire()
	c := s.catalog.Current()
	if c == nil {
		return
	}
	s.updateHolders()
	for name, n := range c.Groups {
		targets := s.directory.Targets(name)
		if len(targets) == 0 {
			s.dropTargets(name)
			continue
		}
		delete(s.goneSince, name)
		g := s.pool(name)
		s.configurePool(name, n.ConnectionLimit, g, targets)
		s.updateLeader(ctx, name, g, targets)
	}
	s.settleRecord(ctx, c.Groups)
	s.recordFirstLeaders(ctx, c.Groups)
	s.recordReplicas(ctx, c.Groups)
	s.closeSessions()
	s.checkReady()
}

// goneRetention is how much longer than others the last targets of a group are used after
// their entries were removed. It serves callers nothing to drop them before the entries of all
// can be back after an outage of the store.
const goneRetention = 1500 * time.Millisecond

// dropTargets has a group's pool use no target any more, once the group has had none registered
// for goneRetention.
func (s *supervisor) dropTargets(name string) {
	g, used := s.existingPool(name)
	if !used || g.IsEmpty() {
		return
	}
	now := s.Now()
	since, known := s.goneSince[name]
	if !known {
		s.goneSince[name] = now
		return
	}
	if now-since > goneRetention {
		s.Log.Info("no target of the group is registered any more; its statements are refused", "group", name)
		g.SetLeader("")
		g.Configure(nil, 1)
	}
}

// closeSessions ends the open sessions, each between two operations, once the
// leader record has been unconfirmed for closeSessionsAfter. Sessions that
// start later stay.
func (s *supervisor) closeSessions() {
	expiredFor := s.grants.ExpiredFor()
	if expiredFor < closeSessionsAfter {
		s.sessionsClosed = false
		return
	}
	if !s.sessionsClosed {
		s.sessionsClosed = true
		s.Log.Info("leader record is unconfirmed; ending sessions so that callers reconnect to other VMs", "for", expiredFor.String())
		s.front.CloseSessions()
	}
}

// discoveryPeriod is the time after a VM's start in which it may not yet see all
// other VMs.
const discoveryPeriod = 10 * time.Second

// limits returns the limits for allocating the connections to one target of a
// group, of which all VMs together may hold the given number.
func (v *VM) limits(group string, connections int) pool.Limits {
	h := v.holdersOf(group)
	return pool.Limits{
		Connections: max(connections-controlConnections, 1),
		VMs:         h.vms,
		Since:       h.allocatorSince,
	}
}

// baseBudget returns how many connections to one target this VM may hold without
// a claim. While no allocator answers, that is an equal share.
func (v *VM) baseBudget(group string, connections int) int {
	if !v.holdersOf(group).Self {
		return maxRelayedLinks
	}
	l := v.limits(group, connections)
	if v.unallocated.Load() {
		return max(l.Connections/max(l.VMs, 1), 1)
	}
	return l.Base()
}

// idleBudget returns how many idle connections to one target this VM may keep
// open. Links through a holder use no connection of the target.
func (v *VM) idleBudget(group string, connections int) int {
	if !v.holdersOf(group).Self {
		return maxRelayedLinks
	}
	return v.limits(group, connections).IdleAllowance()
}

// expectedVMs returns how many VMs the leader record counts. After
// discoveryPeriod it returns zero, since all VMs are registered by then.
func (v *VM) expectedVMs() int {
	if v.Now()-v.startedAt > discoveryPeriod {
		return 0
	}
	return v.grants.Record().VMs
}

// updateLeader passes the leader in the record to the group's pool, and starts to
// replace the leader if there is a cause.
func (s *supervisor) updateLeader(ctx context.Context, name string, g *pool.Group, targets []pool.Target) {
	lead := s.grants.Lead(name)
	st := s.states[name]
	now := s.Now()
	if st == nil || st.lead != lead {
		next := &groupState{lead: lead, leadSince: now, leadRevision: s.grants.Record().Revision, moving: st != nil && st.moving}
		if lead.Moving() {
			next.movingSince = now
		}
		if st != nil && st.lead.Moving() && lead.Moving() && st.lead.Row() == lead.Row() {
			next.movingSince = cmp.Or(st.movingSince, now)
		}
		if st != nil {
			next.conflicts = st.conflicts
			s.logLead(name, st.lead, lead, g)
		}
		st = next
		s.states[name] = st
	}
	s.checkConflicts(ctx, name, st, targets)
	s.checkDeparted(ctx, name, st)
	leader := lead.Target
	if lead.Moving() || s.grants.Deposed(name, leader) {
		leader = ""
	}
	g.SetLeader(leader)
	if lead.Target == "" && !lead.Moving() {
		return
	}
	cause := s.cause(name, st, g, now)
	if cause == "" {
		st.cause = ""
		return
	}
	if st.cause == "" {
		st.causeSince = now
		s.Log.Info("leader has to be replaced", "group", name, "leader", lead.Target, "cause", cause)
	}
	st.cause = cause
	s.replace(ctx, name, st, now)
}

// logLead logs that a group's lead has changed, with the last commit that this VM
// acknowledged under the former one.
func (s *supervisor) logLead(name string, old, lead succession.Lead, g *pool.Group) {
	last := g.LastCommit()
	ago := ""
	if last.Request != "" {
		ago = (s.Now() - last.At).String()
	}
	s.Log.Info("lead changed", "group", name, "from", old.Target, "to", lead.Target, "mover", lead.Mover, "record", s.grants.Record().Revision.String(),
		"commit", last.Request, "executedby", last.Target, "position", last.Position.String(), "acknowledged", ago)
}

// cause returns why a group's leader has to be replaced; empty if it has not.
func (s *supervisor) cause(name string, st *groupState, g *pool.Group, now time.Duration) string {
	st.maybeLocal = false
	if s.mover.Abandoned(name, st.lead) {
		return "this VM's move ended without a promotion"
	}
	if st.lead.Moving() {
		if now-st.leadSince > succession.TakeOver {
			return "the move was not finished"
		}
		return ""
	}
	if s.grants.Deposed(name, st.lead.Target) {
		return causeDeposed
	}
	t, known := g.Target(st.lead.Target)
	if !known {
		return s.causeUnregistered(st, now)
	}
	if t.Draining {
		return "it is draining"
	}
	h := g.Health(t.ID)
	if h.UnansweredFor > probeAfter || h.FailingFor > 0 {
		g.Probe(t.ID)
	}
	c := failureCause(h, now-st.leadSince)
	st.maybeLocal = c != causeReadOnly
	return c
}

// causeReadOnly is why a leader that answers, but refuses writes, has to be replaced.
const causeReadOnly = "it refuses writes"

// failureCause returns why a leader with this health has to be replaced; empty if
// it has not. led is how long it has led. Failures from before that time count
// only if a connection has failed since.
func failureCause(h pool.Health, led time.Duration) string {
	failingFor := min(h.FailingFor, led)
	if h.SinceLastFailure > led {
		failingFor = 0
	}
	switch {
	case failingFor > refusedTimeout && h.Refused:
		return "its address refuses connections"
	case failingFor > unreachableTimeout && !h.Refused:
		return "it does not answer over fresh connections"
	case min(h.ReadOnlyFor, led) > readOnlyTimeout:
		return causeReadOnly
	default:
		return ""
	}
}

// causeUnregistered returns why a leader that is not registered has to be
// replaced; empty if it has not. A VM that has just started cannot tell a target
// that is gone from one whose entry expired while the store was away. Nor can one that
// knows the leader from a record that is newer than what it has read from the store: the
// leader may have registered meanwhile.
func (s *supervisor) causeUnregistered(st *groupState, now time.Duration) string {
	if !s.startupComplete || now-s.startupCompletedAt < targetRetention {
		return ""
	}
	if s.directory.CompleteRevision() < st.leadRevision {
		return ""
	}
	return "its entry is gone"
}

// replace moves the leadership once the delay of this VM's rank has passed. If the
// cause may be local, it does so only if most other VMs do not reach the leader
// either.
func (s *supervisor) replace(ctx context.Context, name string, st *groupState, now time.Duration) {
	delay := time.Duration(s.rank(name)) * rankDelay
	if st.cause == causeDeposed {
		// Until the move begins, VMs that have not heard acknowledge what will be lost.
		delay = time.Duration(min(s.rank(name), deposedRanks)) * deposedRankDelay
	}
	if !s.established() {
		delay += unestablishedDelay
	}
	if st.moving || s.movesEnding.Load() || now-st.causeSince < delay || st.lastAttempt != 0 && now-st.lastAttempt < moveRetryInterval {
		return
	}
	st.moving = true
	st.lastAttempt = now
	lead, movingSince, cause, maybeLocal := st.lead, st.movingSince, st.cause, st.maybeLocal
	go func() {
		if maybeLocal && s.fleet.reachedByMajority(ctx, name, lead.Target) {
			s.Log.Info("most of the VMs asked reach the leader; not replacing it", "group", name, "leader", lead.Target, "cause", cause)
			s.moveEnded <- name
			return
		}
		err := s.mover.MoveIf(ctx, name, lead, movingSince, cause, func(ctx context.Context) bool {
			return !maybeLocal || !s.fleet.reachedByMajority(ctx, name, lead.Target)
		})
		switch {
		case errors.Is(err, succession.ErrConcurrentUpdate):
			s.Log.V(1).Info("another VM is moving the leadership", "group", name)
		case errors.Is(err, succession.ErrNotNeeded):
			s.Log.Info("most of the VMs asked reach the leader; not replacing it", "group", name, "leader", lead.Target, "cause", cause)
		case err != nil:
			s.Log.Error(err, "leadership was not moved", "group", name, "from", lead.Target, "cause", cause)
		}
		s.moveEnded <- name
		s.wakeSupervisor()
	}()
}

// collectMoves records which attempts to move a leadership have ended.
func (s *supervisor) collectMoves() {
	for {
		select {
		case name := <-s.moveEnded:
			if st := s.states[name]; st != nil {
				st.moving = false
				st.lastAttempt = s.Now()
			}
		default:
			return
		}
	}
}

// rank returns this VM's position, from zero, in the order in which VMs try to
// move a group's leadership. If only some VMs hold the group's connections, those
// come first. A VM that is not registered yet comes after all that are.
func (v *VM) rank(group string) int {
	members := v.directory.members()
	order := ranked(members.peers, group)
	if h := v.holdersOf(group); h.relayed {
		order = members.holdersFirst(group, h.targets, order)
	}
	i := slices.IndexFunc(order, func(p Peer) bool { return p.Name == v.Settings.VM() })
	if i < 0 {
		return len(order)
	}
	return i
}
