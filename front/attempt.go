package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/succession"
)

// The times and bounds of running a statement.
const (
	// dispatchShare is the share of a statement's time in which a target has
	// to be found; the rest is for the target's work, so that a statement is
	// not sent that cannot be answered in time.
	dispatchShare = 0.7
	// patienceShare is the share of an operation's latency objective for which
	// it waits while its targets are at work for others. A caller that is
	// refused by then has time for two more tries at other VMs, and those that
	// are served need not be late.
	patienceShare = 0.25
	// unreachableLimit is how long the leader may be out of reach before
	// statements are refused at once: by then it would have been replaced, so
	// other VMs do reach it.
	unreachableLimit = 2500 * time.Millisecond
	// busyPause is the time before a target that was full is tried again.
	busyPause = 25 * time.Millisecond
	// freshAge is the age of a position up to which a replica that lacks it
	// will probably show it in a moment; replicas are 10 to 100 ms behind.
	freshAge = 200 * time.Millisecond
	// maxCatchUp is the longest wait for a replica to catch up; it is short
	// beside the users' latency objectives of 600 ms and more.
	maxCatchUp = 150 * time.Millisecond
	// laggingPause is the time between two tries there, and maxLagging their
	// number.
	laggingPause = 12 * time.Millisecond
	maxLagging   = 6
	// maxTries bounds the tries of one statement.
	maxTries = 6
	// sessionMargin is added to the age of a session's own commit, since the
	// commit happened before it was acknowledged.
	sessionMargin = 5 * time.Millisecond
	// comeBack is when a caller may come back after a refusal.
	comeBack = 250 * time.Millisecond
)

// attempt is one statement, or the opening of a transaction, on its way to a
// target.
type attempt struct {
	session *session
	// id is the request's, for logs.
	id      string
	route   *catalog.Route
	group   *pool.Group
	arrived time.Duration
	// dispatch is until when a target is looked for, and until is when the
	// statement's time is over.
	dispatch time.Duration
	until    time.Duration
	// patience is until when a target is looked for while all are at work.
	patience time.Duration
	leader   bool
	tried    []string
	tries    int
	// ran reports that a target may have run the read, though no answer of it
	// could be given.
	ran bool
	// course is how a current read is run.
	course pool.Course
	// lagging counts the refusals of replicas that were only just behind.
	lagging int
	reason  string
}

func (s *session) newAttempt(id string, r *catalog.Route, leader bool) (*attempt, *query.Reply) {
	g, ok := s.front.Group(r.Group)
	if !ok {
		f := s.refuse("no target of the group is registered")
		return nil, &f
	}
	now := s.front.Now()
	return &attempt{
		session:  s,
		id:       id,
		route:    r,
		group:    g,
		arrived:  now,
		dispatch: now + time.Duration(dispatchShare*float64(r.Timeout)),
		until:    now + r.Timeout,
		patience: now + time.Duration(patienceShare*float64(r.Objective)),
		leader:   leader,
	}, nil
}

// refuse promises that nothing ran, and says when to come back.
func (s *session) refuse(reason string) query.Reply {
	return s.failure(query.CodeBusy, fmt.Sprintf("%s; retry after %d ms", reason, comeBack.Milliseconds()))
}

// need says what the attempt needs of a target now. A read needs a position
// that the leader is known to have reached late enough; if none is known, the
// leader is asked, unless it is near enough to run the read itself.
func (a *attempt) need(ctx context.Context) pool.Need {
	n := pool.Need{
		Leader:   a.leader,
		Priority: a.route.Priority,
		Until:    a.dispatch,
		Patience: a.patience,
		Tried:    a.tried,
		Mark:     a.session.state.Mark(),
	}
	if n.Leader {
		return n
	}
	from := a.arrived
	if a.route.Consistency != catalog.ConsistencyCurrent {
		from -= a.route.Staleness
	}
	p, age, ok := a.group.Covering(from)
	if !ok {
		a.course = a.choose()
	}
	if !ok && a.course == pool.CourseReplica && a.session.front.index(a.group).refresh(ctx) == nil {
		p, age, ok = a.group.Covering(from)
	}
	if !ok {
		n.Leader = true
		return n
	}
	n.Floor, n.FloorAge = p, age
	if a.route.Consistency == catalog.ConsistencySession && !p.Reaches(a.session.floor) {
		n.Floor = a.session.floor
		n.FloorAge = a.session.front.Now() - a.session.floorAt + sessionMargin
	}
	return n
}

// choose returns how a read is run for which no position is known that is late
// enough. The leader runs it if it is near.
func (a *attempt) choose() pool.Course {
	switch {
	case a.group.LeadsNear():
		return pool.CourseNone
	case a.route.Consistency != catalog.ConsistencyCurrent:
		return pool.CourseReplica
	default:
		return a.group.Course()
	}
}

// took notes how long a read took that had to be current.
func (a *attempt) took(d time.Duration) {
	if a.route.Consistency == catalog.ConsistencyCurrent {
		a.group.Took(a.course, d)
	}
}

// aligned gets a connection for the next try, aligned with the session.
func (a *attempt) aligned(ctx context.Context) (*pool.Slot, pool.Need, error) {
	for {
		slot, n, err := a.slot(ctx)
		if err != nil {
			return nil, n, err
		}
		err = slot.Align(&a.session.state, a.until)
		if err == nil {
			return slot, n, nil
		}
		slot.Release()
		if !a.again("the session could not be set up on a target") {
			return nil, n, err
		}
	}
}

// slot gets a connection for the next try.
func (a *attempt) slot(ctx context.Context) (*pool.Slot, pool.Need, error) {
	for {
		n := a.need(ctx)
		if n.Leader && a.group.Unreachable() > unreachableLimit {
			a.reason = "the leader is not reached from this VM"
			return nil, n, pool.ErrNoTarget
		}
		a.catchUp(ctx, &n)
		slot, err := a.group.Acquire(ctx, n)
		if err != nil {
			return nil, n, err
		}
		if err := a.confirmed(ctx, slot, n); err != nil {
			slot.Release()
			if errors.Is(err, succession.ErrUnconfirmed) {
				a.reason = "nobody confirms who leads"
				return nil, n, pool.ErrNoTarget
			}
			if !a.again("the leader was replaced") {
				return nil, n, err
			}
			continue
		}
		return slot, n, nil
	}
}

// catchUp waits for replicas that are a little behind, so that the leader,
// which alone takes writes, is spared.
func (a *attempt) catchUp(ctx context.Context, n *pool.Need) {
	if n.Leader {
		return
	}
	d := a.group.Behind(n.Floor, n.FloorAge)
	if d <= 0 || d > maxCatchUp || a.session.front.Now()+d > a.dispatch {
		return
	}
	if a.pause(ctx, d) {
		n.FloorAge += d
	}
}

// confirmed returns nil once a target that is needed as the leader certainly
// leads, so that nothing is sent whose answer could not be released.
func (a *attempt) confirmed(ctx context.Context, slot *pool.Slot, n pool.Need) error {
	l := a.session.front.Leaders
	if !n.Leader || l.Holds(a.route.Group, slot.Target()) {
		return nil
	}
	return l.Await(ctx, a.route.Group, slot.Target(), a.dispatch)
}

// again notes a try that did not run and reports whether another may follow.
func (a *attempt) again(reason string) bool {
	a.tries++
	a.reason = reason
	return a.tries < maxTries && a.session.front.Now() < a.dispatch
}

// notRun takes in that a target turned an order away, and reports whether
// another try may follow.
func (a *attempt) notRun(ctx context.Context, slot *pool.Slot, n pool.Need, f *query.Failure) bool {
	switch f.Code {
	case query.CodeLagging:
		if n.FloorAge < freshAge && a.lagging < maxLagging {
			a.lagging++
			return a.pause(ctx, laggingPause)
		}
		a.group.Lagged(slot.Target(), n.FloorAge)
		a.tried = append(a.tried, slot.Target())
	case query.CodeBusy:
		// The pool leaves the target alone for a moment.
		return a.again("target is full")
	case query.CodeReadOnly:
		return a.again("target does not lead") && a.rest(ctx)
	default:
		a.tried = append(a.tried, slot.Target())
	}
	return a.again("target answered " + f.Code.String())
}

func (a *attempt) rest(ctx context.Context) bool { return a.pause(ctx, busyPause) }

func (a *attempt) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// current returns nil once an answer of the slot's target may be released.
// What needed the leader is released only while the target certainly leads;
// other answers show their floor by the target's own check.
func (a *attempt) current(ctx context.Context, slot *pool.Slot, n pool.Need) error {
	if !n.Leader {
		return nil
	}
	l := a.session.front.Leaders
	if l.Holds(a.route.Group, slot.Target()) {
		return nil
	}
	return l.Await(ctx, a.route.Group, slot.Target(), a.until)
}

// single runs a statement outside a transaction.
func (s *session) single(ctx context.Context, q query.Query) query.Reply {
	r, ok := s.route()
	if !ok {
		return s.failure(query.CodeUnknownDatabase, "the route was removed")
	}
	n, early := s.classify(q)
	if early != nil {
		return *early
	}
	a, early := s.newAttempt(q.ID, r, n.write)
	if early != nil {
		return *early
	}
	reply := a.run(ctx, n)
	s.front.Meter.ended(r, reply, s.front.Now()-a.arrived)
	return reply
}

// run tries a statement on targets until one has answered it.
func (a *attempt) run(ctx context.Context, n statement) query.Reply {
	for {
		slot, need, err := a.aligned(ctx)
		if err != nil {
			return a.giveUp(err)
		}
		reply, done := a.tryOn(ctx, slot, need, n)
		if done {
			return reply
		}
	}
}

func (a *attempt) giveUp(err error) query.Reply {
	if a.reason == "" {
		a.reason = "no target could take the statement"
	}
	if !errors.Is(err, pool.ErrNoTarget) {
		a.reason = err.Error()
	}
	return a.refuse()
}

// refuse gives up on a statement that did not run.
func (a *attempt) refuse() query.Reply {
	f := a.session.front
	f.Meter.refused(a.route, a.id, a.reason, f.Now()-a.arrived, a.tries, a.group.Describe(a.leader))
	a.took(a.route.Objective)
	if a.ran {
		return a.session.failure(query.CodeAborted, a.reason)
	}
	return a.session.refuse(a.reason)
}

// tryOn runs a statement on one target. The second result is false if it may
// be tried again.
func (a *attempt) tryOn(ctx context.Context, slot *pool.Slot, need pool.Need, n statement) (query.Reply, bool) {
	answer, err := slot.Execute(n.order(need.Floor), &a.session.state, n.plan, a.limit(n))
	if err != nil {
		slot.Release()
		return a.lost(n, slot, err)
	}
	slot.Release()
	if f := answer.Failure; f != nil {
		return a.refusedBy(ctx, slot, need, n, answer.Reply)
	}
	if err := a.current(ctx, slot, need); err != nil {
		return a.unconfirmed(n, err)
	}
	a.learn(slot, answer)
	a.took(a.session.front.Now() - a.arrived)
	return a.success(n, answer), true
}

// limit is until when a target's answer is awaited. A read that has another
// target left is not left to a silent one for its whole time.
func (a *attempt) limit(n statement) time.Duration {
	if n.write || a.tries >= maxTries-1 {
		return a.until
	}
	now := a.session.front.Now()
	return min(a.until, now+max((a.until-now)*6/10, minTry))
}

// minTry is the least time that a target gets for a read.
const minTry = 300 * time.Millisecond

func (n statement) order(after query.Position) pool.Order {
	if n.plan == nil {
		return pool.Forward{Query: n.query, After: after}
	}
	return pool.ForwardPlan{Query: n.query, Plan: *n.plan, Arguments: n.arguments, After: after}
}

// lost handles a connection that ended while a statement was under way.
func (a *attempt) lost(n statement, slot *pool.Slot, err error) (query.Reply, bool) {
	s := a.session
	if n.write {
		s.front.Meter.doubtful(a.route, n.query.ID, slot.Target(), err)
		return s.failure(query.CodeInDoubt, "the target's answer was lost"), true
	}
	if !a.leader {
		a.tried = append(a.tried, slot.Target())
	}
	a.ran = true
	if a.again("the target's answer was lost") {
		return query.Reply{}, false
	}
	return a.refuse(), true
}

// refusedBy handles an answer without success.
func (a *attempt) refusedBy(ctx context.Context, slot *pool.Slot, need pool.Need, n statement, r query.Reply) (query.Reply, bool) {
	s := a.session
	if r.Failure.Code.NotRun() {
		if a.notRun(ctx, slot, need, r.Failure) {
			return query.Reply{}, false
		}
		return a.refuse(), true
	}
	if !n.write && a.again("target answered "+r.Failure.Code.String()) {
		a.tried = append(a.tried, slot.Target())
		return query.Reply{}, false
	}
	return s.failure(r.Failure.Code, r.Failure.Detail), true
}

// unconfirmed handles an answer of a target that may have been deposed.
func (a *attempt) unconfirmed(n statement, err error) (query.Reply, bool) {
	s := a.session
	if n.write {
		s.front.Meter.doubtful(a.route, n.query.ID, "", err)
		return s.failure(query.CodeInDoubt, "the target may have been deposed"), true
	}
	a.ran = true
	if a.again("the target was deposed") {
		return query.Reply{}, false
	}
	return a.refuse(), true
}

// learn records the position that a leader's answer showed.
func (a *attempt) learn(slot *pool.Slot, answer pool.Answer) {
	if slot.Leader() && a.session.front.Leaders.Holds(a.route.Group, slot.Target()) {
		a.group.Sample(answer.Sent, answer.Position)
	}
}

func (a *attempt) success(n statement, answer pool.Answer) query.Reply {
	s := a.session
	if n.write {
		s.wrote(answer.Position)
	}
	r := answer.Reply
	r.State = query.StateIdle
	return r
}

// wrote raises the session's floor to its own commit.
func (s *session) wrote(p query.Position) {
	if p.Reaches(s.floor) {
		s.floor = p
		s.floorAt = s.front.Now()
	}
}
