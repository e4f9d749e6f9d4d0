package front

import (
	"context"
	"errors"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/succession"
)

// Limits and retry delays of running a statement.
const (
	// unreachableLimit is how long this VM may reach no leader before statements that
	// need one are refused at once. A leader that all VMs had lost would have been
	// replaced by then, so other VMs do reach it.
	unreachableLimit = 2500 * time.Millisecond
	// busyRetryDelay is the delay before a busy target, or one that does not
	// lead, is tried again.
	busyRetryDelay = 25 * time.Millisecond
	// recentAge is the age of a position up to which a replica that lacks it
	// will probably reach it in a moment: the replication lag is usually 10 to
	// 100 ms.
	recentAge = 200 * time.Millisecond
	// maxCatchUpWait is the longest wait for a replica to catch up. It is short
	// compared with the users' latency objectives, which are 600 ms and more.
	maxCatchUpWait = 150 * time.Millisecond
	// laggingRetryDelay is the delay between two tries of a read on replicas
	// that lack a recent position, and maxLaggingRetries the maximum number of
	// such retries.
	laggingRetryDelay = 12 * time.Millisecond
	maxLaggingRetries = 6
	// maxTries is the maximum number of tries of one statement.
	maxTries = 6
	// ackMargin is added to the age of a session's own commit, because the
	// leader reached the position before it acknowledged the commit.
	ackMargin = 5 * time.Millisecond
)

// attempt is the execution of one statement, or of the opening of a
// transaction, with all its tries on targets.
type attempt struct {
	session *session
	// id is the request's ID, for logs.
	id      string
	route   *catalog.Route
	group   *pool.Group
	arrived time.Duration
	// dispatchDeadline is when the search for a target ends, and deadline when
	// the statement's timeout ends.
	dispatchDeadline time.Duration
	deadline         time.Duration
	// queueDeadline is when the search for a target ends if all suitable targets
	// are busy.
	queueDeadline time.Duration
	needsLeader   bool
	// leadership is that of the acquired slot's target when it was acquired; zero if the
	// target did not lead.
	leadership pool.Leadership
	// tried are the IDs of the targets that the attempt does not use again.
	tried []string
	tries int
	// mayHaveRun is true if a target may have run the read, although its answer
	// could not be returned.
	mayHaveRun bool
	// readPath is the chosen way to run a current read: on the leader, or on a
	// replica after asking the leader for its position.
	readPath pool.ReadPath
	// laggingRetries counts the retries after replicas lacked a recent position.
	laggingRetries int
	// reason says why the last try gave no answer; it goes to the log and, if
	// the attempt is refused, to the caller.
	reason string
}

// newAttempt returns an attempt on the route, or a failure reply if this VM
// has no pool for the route's group.
func (s *session) newAttempt(id string, r *catalog.Route, needsLeader bool) (*attempt, *query.Reply) {
	g, ok := s.server.Group(r.Group)
	if !ok {
		f := s.refuse("no target of the group is registered")
		return nil, &f
	}
	now := s.server.Now()
	return &attempt{
		session:          s,
		id:               id,
		route:            r,
		group:            g,
		arrived:          now,
		dispatchDeadline: now + dispatchTime(r),
		deadline:         now + r.Timeout,
		queueDeadline:    now + queueTime(r),
		needsLeader:      needsLeader,
	}, nil
}

// refuse returns a busy failure, which guarantees that nothing ran, and tells
// the caller when to retry.
func (s *session) refuse(reason string) query.Reply {
	return s.failure(query.CodeBusy, retryLater(reason, retryAfter()))
}

// need returns the requirements on the target of the next try. A read
// requires a position that the leader had reached late enough to satisfy the
// route's consistency. If no such position is known, the leader is asked for
// one, unless it is in this VM's zone or current reads have lately been
// faster on it; then the leader runs the read.
func (a *attempt) need(ctx context.Context) pool.Need {
	n := pool.Need{
		Leader:        a.needsLeader,
		Priority:      a.route.Priority,
		Until:         a.dispatchDeadline,
		QueueDeadline: a.queueDeadline,
		Tried:         a.tried,
		Customer:      a.session.customer,
		StateHash:     a.session.state.Hash(),
		Route:         a.route.Name,
	}
	if n.Leader {
		return n
	}
	from := a.arrived
	if a.route.Consistency != catalog.ConsistencyCurrent {
		from -= a.route.MaxStaleness
	}
	p, age, ok := a.group.Covering(from)
	if !ok {
		a.readPath = a.chooseReadPath()
	}
	if !ok && a.readPath == pool.ReadPathReplica && a.session.server.readIndex(a.group).refresh(ctx, from) == nil {
		p, age, ok = a.group.Covering(from)
	}
	if !ok {
		n.Leader = true
		return n
	}
	n.Floor, n.FloorAge = p, age
	if a.route.Consistency == catalog.ConsistencySession && !p.Reaches(a.session.floor) {
		n.Floor = a.session.floor
		n.FloorAge = a.session.server.Now() - a.session.floorTime + ackMargin
	}
	return n
}

// chooseReadPath returns how to run a read if no position is known that is late
// enough: on the leader if it is in this VM's zone, otherwise on a replica,
// or, for current reads, by the faster of the two ways.
func (a *attempt) chooseReadPath() pool.ReadPath {
	switch {
	case a.group.LeaderInZone():
		return pool.ReadPathNone
	case a.route.Consistency != catalog.ConsistencyCurrent:
		return pool.ReadPathReplica
	default:
		return a.group.ReadPath()
	}
}

// recordDuration records how long a current read took.
func (a *attempt) recordDuration(d time.Duration) {
	if a.route.Consistency == catalog.ConsistencyCurrent {
		a.group.RecordReadLatency(a.readPath, d)
	}
}

// acquireAligned acquires a connection for the next try and sets the
// session's variables on it.
func (a *attempt) acquireAligned(ctx context.Context) (*pool.Slot, pool.Need, error) {
	for {
		slot, n, err := a.acquire(ctx)
		if err != nil {
			return nil, n, err
		}
		err = slot.Align(&a.session.state, a.deadline)
		if err == nil {
			return slot, n, nil
		}
		slot.Release()
		if !a.allowRetry("the session could not be set up on a target") {
			return nil, n, err
		}
	}
}

// acquire acquires a connection for the next try. It returns one to the
// leader only once the leader is confirmed.
func (a *attempt) acquire(ctx context.Context) (*pool.Slot, pool.Need, error) {
	for {
		if ctx.Err() != nil {
			a.reason = "the VM stops"
			return nil, pool.Need{}, pool.ErrNoTarget
		}
		if a.group.IsEmpty() {
			a.reason = "no target of the group is registered"
			return nil, pool.Need{}, pool.ErrNoTarget
		}
		n := a.need(ctx)
		if n.Leader && a.group.LeaderUnreachableFor() > unreachableLimit {
			a.reason = "the leader is not reached from this VM"
			return nil, n, pool.ErrNoTarget
		}
		a.waitForReplica(ctx, &n)
		slot, err := a.group.Acquire(ctx, n)
		if err != nil {
			return nil, n, err
		}
		if err := a.awaitLeader(ctx, slot, n); err != nil {
			slot.Release()
			if errors.Is(err, succession.ErrUnconfirmed) {
				a.reason = "nobody confirms who leads"
				return nil, n, pool.ErrNoTarget
			}
			if !a.allowRetry("the leader was replaced") {
				return nil, n, err
			}
			continue
		}
		return slot, n, nil
	}
}

// waitForReplica waits for a replica that is only slightly behind, so that
// the read does not go to the leader, which alone takes writes.
func (a *attempt) waitForReplica(ctx context.Context, n *pool.Need) {
	if n.Leader {
		return
	}
	d := a.group.CatchUpTime(n.Floor, n.FloorAge)
	if d <= 0 || d > maxCatchUpWait || a.session.server.Now()+d > a.dispatchDeadline {
		return
	}
	if a.pause(ctx, d) {
		n.FloorAge += d
	}
}

// awaitLeader returns nil once the slot's target is confirmed as the leader,
// if the need requires the leader. Without that, the answer could not be
// returned to the caller.
func (a *attempt) awaitLeader(ctx context.Context, slot *pool.Slot, n pool.Need) error {
	leaders, confirmed := a.session.server.Leaders, false
	a.leadership, confirmed = leaders.Leadership(a.route.Group, slot.Target())
	if !n.Leader || confirmed {
		return nil
	}
	return leaders.AwaitLeadership(ctx, a.route.Group, a.leadership, a.dispatchDeadline)
}

// allowRetry counts a try that gave no answer, with the reason, and reports
// whether another may follow.
func (a *attempt) allowRetry(reason string) bool {
	a.tries++
	a.reason = reason
	return a.tries < maxTries && a.session.server.Now() < a.dispatchDeadline
}

// retryNotRun handles a failure with which a target reports that it did not
// run the order. It reports whether another try may follow.
func (a *attempt) retryNotRun(ctx context.Context, slot *pool.Slot, n pool.Need, f *query.Failure) bool {
	switch f.Code {
	case query.CodeLagging:
		if n.FloorAge < recentAge && a.laggingRetries < maxLaggingRetries {
			a.laggingRetries++
			return a.pause(ctx, laggingRetryDelay)
		}
		a.group.RecordLag(slot.Target(), n.FloorAge)
		a.tried = append(a.tried, slot.Target())
	case query.CodeBusy:
		// The pool leaves the target alone for a moment, except for a single customer.
		return a.allowRetry("target is full") && (a.session.customer == nil || a.pauseBusy(ctx))
	case query.CodeReadOnly:
		return a.allowRetry("target does not lead") && a.pauseBusy(ctx)
	default:
		a.tried = append(a.tried, slot.Target())
	}
	return a.allowRetry("target answered " + f.Code.String())
}

func (a *attempt) pauseBusy(ctx context.Context) bool { return a.pause(ctx, busyRetryDelay) }

func (a *attempt) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// confirmStillLeads is called after the slot's target has answered. It returns
// nil once the answer may be returned to the caller: at once if the need did
// not require the leader, since the target itself checked that it has the
// required position, and otherwise once it is confirmed that the target has led the
// group since the slot was acquired. After an error the target may have been deposed
// before it answered.
func (a *attempt) confirmStillLeads(ctx context.Context, n pool.Need) error {
	if !n.Leader {
		return nil
	}
	return a.session.server.Leaders.AwaitLeadership(ctx, a.route.Group, a.leadership, a.deadline)
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(ctx context.Context, q query.Query) query.Reply {
	r, refusal := s.startOperation()
	if refusal != nil {
		return *refusal
	}
	st, refusal := s.classify(q)
	if refusal != nil {
		return *refusal
	}
	a, refusal := s.newAttempt(q.ID, r, st.write)
	if refusal != nil {
		return *refusal
	}
	if f := s.admitOperation(s.waiting, r); f != nil {
		return *f
	}
	reply := a.run(ctx, st)
	s.server.Metrics.recordOutcome(r, reply, s.server.Now()-a.arrived)
	return reply
}

// run tries a statement on targets until one has answered it or no further
// try is allowed.
func (a *attempt) run(ctx context.Context, st statement) query.Reply {
	for {
		slot, need, err := a.acquireAligned(a.session.waiting)
		if err != nil {
			return a.giveUp(err)
		}
		reply, done := a.runOn(ctx, slot, need, st)
		if done {
			return reply
		}
	}
}

// giveUp refuses a statement for which no connection was acquired.
func (a *attempt) giveUp(err error) query.Reply {
	if a.reason == "" {
		a.reason = "no target could take the statement"
	}
	if !errors.Is(err, pool.ErrNoTarget) {
		a.reason = err.Error()
	}
	return a.refuse()
}

// refuse ends an attempt without an answer. The reply guarantees that the
// statement did not run, or, for a read that may have run, that nothing was
// written.
func (a *attempt) refuse() query.Reply {
	srv := a.session.server
	srv.Metrics.recordRefusal(a.route, a.id, a.reason, srv.Now()-a.arrived, a.tries, a.group.Describe(a.needsLeader))
	a.recordDuration(a.route.LatencyObjective)
	if a.mayHaveRun {
		return a.session.failure(query.CodeAborted, a.reason)
	}
	return a.session.refuse(a.reason)
}

// runOn runs a statement on the slot's target and releases the slot. It returns
// the reply for the caller and true, or an empty reply and false if the
// statement may be tried again.
func (a *attempt) runOn(ctx context.Context, slot *pool.Slot, need pool.Need, st statement) (query.Reply, bool) {
	answer, err := slot.Execute(st.poolOrder(need.Floor), &a.session.state, st.plan, a.answerDeadline(st))
	if errors.Is(err, pool.ErrNotSent) {
		slot.Release()
		return a.notSent(slot, err)
	}
	if err != nil {
		slot.Release()
		return a.connectionLost(st, slot, err)
	}
	slot.Release()
	if f := answer.Failure; f != nil {
		return a.failedOn(slot, need, st, answer.Reply)
	}
	if st.write {
		a.group.RecordAnsweredCommit(answer.Position)
	}
	if err := a.confirmStillLeads(ctx, need); err != nil {
		return a.leadershipLost(st, err)
	}
	a.recordPosition(slot, answer)
	a.recordDuration(a.session.server.Now() - a.arrived)
	return a.succeed(st, slot, answer), true
}

// answerDeadline returns how long to wait for a target's answer. A read that
// may be tried on another target does not spend all its remaining time on a
// silent one.
func (a *attempt) answerDeadline(st statement) time.Duration {
	if st.write || a.tries >= maxTries-1 {
		return a.deadline
	}
	now := a.session.server.Now()
	return min(a.deadline, now+max((a.deadline-now)*6/10, minReadTime))
}

// minReadTime is the minimum time that a target gets to answer a read.
const minReadTime = 300 * time.Millisecond

// poolOrder returns the order that runs the statement on a target that has
// reached the position after.
func (st statement) poolOrder(after query.Position) pool.Order {
	if st.plan == nil {
		return pool.Forward{Query: st.query, After: after}
	}
	return pool.ForwardPlan{Query: st.query, Plan: *st.plan, Arguments: st.arguments, After: after}
}

// notSent handles a statement that was not sent on a connection. It is tried again unless
// it cannot be sent at all. The results are those of runOn.
func (a *attempt) notSent(slot *pool.Slot, err error) (query.Reply, bool) {
	f := (*query.Failure)(nil)
	if errors.As(err, &f) {
		return a.session.failure(f.Code, f.Detail), true
	}
	if a.allowRetry("a connection to target " + slot.Target() + " could not be used") {
		return query.Reply{}, false
	}
	return a.refuse(), true
}

// connectionLost handles a connection that was lost while it ran a statement.
// A write is in doubt; a read is tried again. The results are those of runOn.
func (a *attempt) connectionLost(st statement, slot *pool.Slot, err error) (query.Reply, bool) {
	s := a.session
	if st.write {
		s.server.Metrics.recordInDoubt(a.route, st.query.ID, slot.Target(), err)
		return s.failure(query.CodeInDoubt, "the target's answer was lost"), true
	}
	if !a.needsLeader {
		a.tried = append(a.tried, slot.Target())
	}
	a.mayHaveRun = true
	if a.allowRetry("the target's answer was lost") {
		return query.Reply{}, false
	}
	return a.refuse(), true
}

// failedOn handles a target's reply that reports a failure. The results are
// those of runOn.
func (a *attempt) failedOn(slot *pool.Slot, need pool.Need, st statement, r query.Reply) (query.Reply, bool) {
	s := a.session
	if r.Failure.Code.NotRun() {
		if a.retryNotRun(s.waiting, slot, need, r.Failure) {
			return query.Reply{}, false
		}
		return a.refuse(), true
	}
	if !st.write && a.allowRetry("target answered "+r.Failure.Code.String()) {
		a.tried = append(a.tried, slot.Target())
		return query.Reply{}, false
	}
	return s.failure(r.Failure.Code, r.Failure.Detail), true
}

// leadershipLost handles an answer whose target may have been deposed before
// it answered. A write is in doubt; a read is tried again. The results are
// those of runOn.
func (a *attempt) leadershipLost(st statement, err error) (query.Reply, bool) {
	s := a.session
	if st.write {
		s.server.Metrics.recordInDoubt(a.route, st.query.ID, "", err)
		return s.failure(query.CodeInDoubt, "the target may have been deposed"), true
	}
	a.mayHaveRun = true
	if a.allowRetry("the target was deposed") {
		return query.Reply{}, false
	}
	return a.refuse(), true
}

// recordPosition records the position in an answer for later reads, if it is confirmed
// that the target has led the group since before the order was sent.
func (a *attempt) recordPosition(slot *pool.Slot, answer pool.Answer) {
	l, confirmed := a.session.server.Leaders.Leadership(a.route.Group, slot.Target())
	if confirmed && l == a.leadership {
		a.group.Sample(answer.Sent, answer.Position)
	}
}

// succeed returns the reply for a target's answer. After a write, it raises the
// session's floor to the position of the answer.
func (a *attempt) succeed(st statement, slot *pool.Slot, answer pool.Answer) query.Reply {
	s := a.session
	if st.write {
		s.recordCommit(answer.Position)
		a.group.RecordCommit(st.query.ID, slot.Target(), answer.Position)
	}
	r := answer.Reply
	r.State = query.StateIdle
	return r
}

// recordCommit raises the session's floor to the position of its own commit.
func (s *session) recordCommit(p query.Position) {
	if p.Reaches(s.floor) {
		s.floor = p
		s.floorTime = s.server.Now()
	}
}
