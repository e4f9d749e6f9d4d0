package succession

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
)

// The errors of a Promoter and of a Mover.
var (
	// ErrNoAnswer reports a promotion call without an answer; the promotion
	// may still take effect.
	ErrNoAnswer = errors.New("promotion got no answer")
	// ErrRejected reports a promotion that the platform refused because the
	// target does not run.
	ErrRejected = errors.New("promotion was refused by the platform")
	// ErrBusy reports a promotion that the platform did not attempt.
	ErrBusy = errors.New("promotion was not attempted by the platform")
	// ErrConcurrentUpdate reports that another VM has changed the record
	// concurrently.
	ErrConcurrentUpdate = errors.New("another VM changed the leader record")
	// ErrNoCandidate reports that no target can be promoted at present.
	ErrNoCandidate = errors.New("no target answers that could be promoted")
	// ErrTooFewReports reports that no target is certain to have every acknowledged
	// commit, since targets that may be the only ones to have one did not tell.
	ErrTooFewReports = errors.New("too few targets tell how far their logs reach")
	// ErrNotNeeded reports that the reason for a move no longer held when the
	// move was about to begin.
	ErrNotNeeded = errors.New("reason for moving the leadership no longer holds")
	// ErrOutdated reports that the store came back from a copy, and that the leader
	// record has not been written in its present era yet.
	ErrOutdated = errors.New("leader record is from an earlier era of the store")
	// ErrNotBacked reports that less than half of the VMs yielded in time.
	ErrNotBacked = errors.New("half of the VMs did not yield in time")
	// ErrWindowExpired reports that a move took so long that another VM may
	// take it over.
	ErrWindowExpired = errors.New("promotion window expired before a target was promoted")
)

// The timeouts and intervals of a move.
const (
	// clockRateMargin covers the difference in rate between the clocks of two
	// VMs over the length of a grant.
	clockRateMargin = 50 * time.Millisecond
	// writeMargin covers the time from the start of a move until its record is
	// written. After the write, no older record can be confirmed.
	writeMargin = 2 * time.Second
	// maxReasonAge is the age of the reason for a move beyond which it is
	// checked again before the record is written. A call to the store that was
	// held up by a network partition succeeds once the partition heals, when
	// the reason may be gone.
	maxReasonAge = 500 * time.Millisecond
	// promotionWindow is how long after its write of the record a VM may still
	// call for a promotion.
	promotionWindow = 4 * time.Second
	// TakeOver is how long a move must have been unchanged in the record
	// before another VM takes it over: the promotion window, the time of one
	// call, and a margin for the rates of two clocks.
	TakeOver = promotionWindow + promoteTimeout + 500*time.Millisecond
	// promoteTimeout bounds one promotion call to the platform.
	promoteTimeout = 1500 * time.Millisecond
	// orderTimeout bounds one order to a target: round trips between zones and
	// a wait in the target's queue.
	orderTimeout = 700 * time.Millisecond
	// stragglerTimeout is how long the reports of further targets are awaited
	// after an answer; it is longer than the difference in latency between
	// zones.
	stragglerTimeout = 150 * time.Millisecond
	// lateReportTimeout is how much longer the reports of other targets are awaited in a group
	// that commits asynchronously, if none has all that the old leader is known to have
	// reached. A report from another region takes three round trips.
	lateReportTimeout = 500 * time.Millisecond
	// departedTimeout is how long the reports of targets that are registered no more are
	// awaited after those of the others. Most of them have ended.
	departedTimeout = 300 * time.Millisecond
	// stepDownTimeout is how long an unreachable leader may delay a move that
	// all other VMs have yielded to.
	stepDownTimeout = 250 * time.Millisecond
	// backingTimeout is how long half of the VMs may take to yield. A move that begins
	// again after that has its whole promotion window left when a split of the network
	// ends.
	backingTimeout = 2500 * time.Millisecond
	// catchUpTimeout is how long a move waits for a replica to receive the
	// last commit of an old leader that has stepped down.
	catchUpTimeout = time.Second
	// reportInterval is the time between two questions to the targets of a group for how
	// far their logs reach, while too few tell. Each question takes a connection and a
	// slot of the target, which may be full.
	reportInterval = 100 * time.Millisecond
	// retryInterval is the time between two tries of a step.
	retryInterval = 30 * time.Millisecond
	// leadershipTimeout bounds the retries of a promotion call, and the wait
	// for the promoted target to report that it leads.
	leadershipTimeout = 1500 * time.Millisecond
	// effectTime is the longest time from the end of a call for a promotion until the
	// promotion takes effect. The platform takes some hundred milliseconds, or a
	// second.
	effectTime = 2 * time.Second
	// writeTimeout bounds the write of the new leader to the record.
	writeTimeout = 10 * time.Second
	// leaseTTL is the time to live of the record's lease after the last
	// renewal; it only has to be longer than the grants.
	leaseTTL = time.Minute
)

// Promoter asks the platform to make a target the primary of its group.
type Promoter interface {
	// Promote returns an error that wraps ErrNoAnswer, ErrRejected or ErrBusy.
	// Token is the fencing token of the caller.
	Promote(ctx context.Context, group, target string, token uint64) error
}

// Targets sends control orders to the targets of a group.
type Targets interface {
	// Candidates returns the registered targets of a group.
	Candidates(group string) []pool.Target
	// Departed returns the targets of a group, or starts of them, that are registered no
	// more, but may have commits that no registered replica has.
	Departed(group string) []pool.Target
	// Ended returns the targets of a group that are registered no more and have no commit
	// alone, because they were found to have ended. One may have started again since, and
	// received commits.
	Ended(group string) []pool.Target
	// KeptLog takes in how far the log of a departed target reaches. It returns false if the
	// target had told of more before, so that it has started again without its log.
	KeptLog(t pool.Target, received query.Position) bool
	// Recall takes in which targets may hold commits of a group alone as the store tells at
	// the time of the call, so that Departed also returns those that left before this VM
	// started.
	Recall(ctx context.Context, group string) error
	// Reached returns the highest log position of a target of a group that this VM knows of;
	// zero if it knows none.
	Reached(group, target string) query.Position
	// SyncReplicas returns how many replicas of a group have received a commit before it
	// is acknowledged.
	SyncReplicas(group string) int
	// Order runs a control order on a target, over a connection apart from the
	// pool, and returns the target's report. Departed targets may run as well.
	Order(ctx context.Context, group, target string, o pool.Order) (pool.Report, error)
}

// Fleet communicates with the other VMs.
type Fleet interface {
	// Yield sends a record to all other VMs that may rely on an older one,
	// until each has taken it in or the context ends. It returns these VMs as the
	// store knows them after the record was written, and a channel that receives the
	// name of each one that has taken it in. It waits until the store has told them;
	// the result means nothing after the context has ended.
	Yield(ctx context.Context, r Record) ([]Member, <-chan string)
	// Announce sends a record to all other VMs in the background, until each has
	// taken it in or the context ends.
	Announce(ctx context.Context, r Record)
	// Acknowledged returns a log position that includes every commit of a group that any VM
	// has acknowledged; false if none is certain to. No VM may acknowledge commits of the
	// group any more at the time of the call.
	Acknowledged(ctx context.Context, group string) (query.Position, bool)
	// Survey tells all other VMs that may be running of the store's era, and has
	// Grants observe the newest record that any of them knows. A VM that has
	// answered has no record of an earlier era promoted for which it has not
	// called yet. It asks VMs that do not answer again until the context ends.
	Survey(ctx context.Context, era uint64) Survey
}

// Survey is the result of Fleet.Survey.
type Survey struct {
	// Complete reports that all VMs have answered.
	Complete bool
	// Remembers reports that a VM had a record confirmed since its start, so that
	// what earlier writers did is not forgotten.
	Remembers bool
}

// Member is another VM that may rely on a leader record.
type Member struct {
	Name string
	// Established reports that every VM has known this one for long enough to
	// count it in the majority that confirms a record without the store.
	Established bool
	// Silent reports that the VM's entry says that it answers nobody, or is gone. Others
	// may not count the VM any more, so its yield is no vote.
	Silent bool
}

// Mover moves leaderships. Set the exported fields before the first call.
type Mover struct {
	// VM is the name of this VM.
	VM string
	// Incarnation differs between starts of the VM under the same name.
	Incarnation string
	Store       store.TransactionalStore
	Grants      *Grants
	Promoter    Promoter
	Targets     Targets
	Fleet       Fleet
	// VMs returns the number of VMs, as far as this one knows.
	VMs func() int
	// FirstStart reports whether the whole system starts for the first time, so
	// that no VM can know of an earlier record.
	FirstStart bool
	// Known reports whether all running VMs know this one, so that none gets a
	// record confirmed by peers without asking it.
	Known func() bool
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	Log logr.Logger

	lock   sync.Mutex
	writes int
	// moves is the number of moves in progress.
	moves int
	// endedLeases holds the leases that this VM has ended.
	endedLeases map[store.LeaseID]bool
	// abandoned holds, by group, this VM's attempts that ended without a call for a
	// promotion and that the record may show, or come to show: the last one that is known
	// to have been written, and those since then whose write may take effect late.
	abandoned map[string][]abandonedMove
	// extents holds, by group, how far the commits reach that were acknowledged before the
	// last row of moves for which that was found out.
	extents map[string]commitExtent
}

// abandonedMove is a move that ended without a call for a promotion.
type abandonedMove struct {
	// mover is the move's Lead.Mover.
	mover string
	// settledAt is that of the move.
	settledAt time.Duration
}

// Start writes the first record, or adds groups that the record lacks. The
// leaders are the targets that report themselves as primary, keyed by group.
func (m *Mover) Start(ctx context.Context, leaders map[string]string) error {
	r, err := m.readRecord(ctx)
	if errors.Is(err, store.ErrAbsent) && !m.FirstStart {
		return m.Settle(ctx, leaders)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	missing := false
	next := r
	for group, target := range leaders {
		if _, ok := r.Leads[group]; !ok {
			next = next.WithLead(group, Lead{Target: target})
			missing = true
		}
	}
	if !missing {
		return nil
	}
	_, err = m.writeRecord(ctx, r, next, nil)
	return err
}

// Renew writes the record again under a new lease if its lease l has ended, so
// that it can be confirmed again. It does nothing if the record has another
// lease by now.
func (m *Mover) Renew(ctx context.Context, l store.LeaseID) error {
	r, err := m.readRecord(ctx)
	if err != nil || r.Lease != l {
		return err
	}
	if !m.Grants.isSettled(r) {
		return ErrOutdated
	}
	_, err = m.writeRecord(ctx, r, r, nil)
	return err
}

// Move moves the leadership of a group away from a target, or takes over a
// move that another VM did not finish. The reason is only logged. The error
// wraps ErrConcurrentUpdate if the leadership is no longer as given.
func (m *Mover) Move(ctx context.Context, group string, from Lead, reason string) error {
	return m.MoveIf(ctx, group, from, 0, reason, func(context.Context) bool { return true })
}

// MoveIf is like Move, but calls needed before it writes the record if the
// store took longer than maxReasonAge to answer. Its error wraps ErrNotNeeded if
// needed returns false. movingSince is when this VM first saw the group's leadership
// being moved away from that target, by moves that did not finish; zero if it is not.
func (m *Mover) MoveIf(ctx context.Context, group string, from Lead, movingSince time.Duration, reason string, needed func(context.Context) bool) error {
	m.addMoves(1)
	defer m.addMoves(-1)
	v := &move{
		Mover: m, group: group, oldLeader: from.Target, movingSince: movingSince, deposed: m.Grants.Deposed(group, from.Target),
		syncReplicas: m.Targets.SyncReplicas(group), reported: map[string]query.Position{},
	}
	err := v.claim(ctx, from, needed)
	if err != nil {
		if v.mover != "" && !errors.Is(err, ErrConcurrentUpdate) {
			m.abandon(group, abandonedMove{mover: v.mover, settledAt: v.settledAt})
		}
		return fmt.Errorf("claim leadership of %s: %w", group, err)
	}
	m.forgetAbandoned(group)
	m.Log.Info("leadership is being moved", "group", group, "from", from.Target, "reason", reason, "token", v.token, "record", v.record.Revision.String())
	if err := v.run(ctx, from); err != nil {
		if v.called == "" {
			m.abandon(group, abandonedMove{mover: v.mover, settledAt: v.settledAt})
		}
		return fmt.Errorf("move leadership of %s: %w", group, err)
	}
	return nil
}

// maxAbandoned bounds the attempts that are remembered for a group. A write takes effect
// some seconds late at most.
const maxAbandoned = 64

func (m *Mover) abandon(group string, a abandonedMove) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.abandoned == nil {
		m.abandoned = map[string][]abandonedMove{}
	}
	list := append(m.abandoned[group], a)
	if len(list) > maxAbandoned {
		// The first one may be the one in the record.
		list = slices.Delete(list, 1, 2)
	}
	m.abandoned[group] = list
}

// forgetAbandoned forgets the abandoned attempts for a group, once the record shows a
// later one: what they wrote was on the condition of an earlier record.
func (m *Mover) forgetAbandoned(group string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.abandoned, group)
}

// findAbandoned returns this VM's abandoned attempt with the given Lead.Mover. The caller
// holds the lock.
func (m *Mover) findAbandoned(group, mover string) (abandonedMove, bool) {
	i := slices.IndexFunc(m.abandoned[group], func(a abandonedMove) bool { return a.mover == mover })
	if i < 0 {
		return abandonedMove{}, false
	}
	return m.abandoned[group][i], true
}

// Abandoned reports whether the move that the record shows for a group was this VM's
// own and ended without a call for a promotion. This VM may begin again at once; the
// others have to wait for TakeOver, since they cannot know.
func (m *Mover) Abandoned(group string, l Lead) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	_, found := m.findAbandoned(group, l.Mover)
	return l.Moving() && found
}

func (m *Mover) addMoves(n int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.moves += n
}

// Idle reports whether no move is in progress on this VM.
func (m *Mover) Idle() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.moves == 0
}
