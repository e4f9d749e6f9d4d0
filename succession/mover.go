package succession

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/pool"
	"amaranthsill/store"
)

// The errors of a Promoter and of a Mover.
var (
	// ErrNoAnswer reports a promotion whose call got no answer; it may take
	// effect.
	ErrNoAnswer = errors.New("promotion got no answer")
	// ErrRejected reports a promotion that the platform refused, since the
	// target does not run.
	ErrRejected = errors.New("promotion was rejected")
	// ErrBusy reports a promotion that the platform turned away undone.
	ErrBusy = errors.New("promotion was turned away")
	// ErrOvertaken reports that another VM changed the record meanwhile.
	ErrOvertaken = errors.New("another VM changed the record of leaders")
	// ErrNoCandidate reports that no target can be promoted yet.
	ErrNoCandidate = errors.New("no target can be promoted")
	// ErrNeedless reports that the reason for a move was gone before it began.
	ErrNeedless = errors.New("reason for moving the leadership is gone")
	// ErrLate reports that a move took so long that others may take it over.
	ErrLate = errors.New("move of the leadership took too long")
)

// The times of a move.
const (
	// grantMargin covers the difference in rate between two VMs' clocks over
	// the length of a grant.
	grantMargin = 50 * time.Millisecond
	// writeMargin covers the time from a move's beginning to the moment when
	// its record is written, beyond which nobody can confirm an older one.
	writeMargin = 2 * time.Second
	// claimLimit is how old a reason may be when the claim is written; a cut that
	// heals lets a call to the store through that waited for it.
	claimLimit = 500 * time.Millisecond
	// callWindow is how long after its write of the record a VM may still
	// call a promotion.
	callWindow = 4 * time.Second
	// TakeOver is how long a move must have stood unchanged before another VM
	// takes it over: the window, the time of one call, and a margin for the
	// rates of two clocks.
	TakeOver = callWindow + promoteLimit + 500*time.Millisecond
	// promoteLimit bounds one call to the platform.
	promoteLimit = 1500 * time.Millisecond
	// orderLimit bounds one order to a target: round trips between zones and
	// a queue of statements there.
	orderLimit = 700 * time.Millisecond
	// lateLimit is how long the other targets' accounts are awaited after one
	// came; it is longer than the difference between zones.
	lateLimit = 150 * time.Millisecond
	// stepDownLimit is how long an unreachable leader holds up a move before
	// the grants are waited out.
	stepDownLimit = 500 * time.Millisecond
	// catchUpLimit is how long a planned move waits for a replica to receive
	// the old leader's last commit.
	catchUpLimit = time.Second
	// retryPause is the time between two tries of a step.
	retryPause = 30 * time.Millisecond
	// settleLimit bounds the wait for a promoted target to lead.
	settleLimit = 1500 * time.Millisecond
	// writeLimit bounds the writing of a move's end.
	writeLimit = 10 * time.Second
	// leaseLife is how long the record's lease outlives the last renewal; it
	// only has to be longer than the grants.
	leaseLife = time.Minute
)

// Promoter asks the platform to make a target its group's primary.
type Promoter interface {
	// Promote returns an error that wraps ErrNoAnswer, ErrRejected or ErrBusy.
	Promote(ctx context.Context, group, target string, token uint64) error
}

// Targets gives orders to a group's targets.
type Targets interface {
	// Candidates returns the registered targets of a group.
	Candidates(group string) []pool.Target
	// Order runs a control order on a target over a connection of its own.
	Order(ctx context.Context, group, target string, o pool.Order) (pool.Report, error)
}

// Fleet reaches the other VMs.
type Fleet interface {
	// Yield shows a record to all other VMs that may rely on an older one,
	// until each has taken it in or the context ends. It returns who they are,
	// and a channel that gets each that has.
	Yield(ctx context.Context, r Record) ([]Member, <-chan Member)
}

// Member is another VM that may rely on a record.
type Member struct {
	Name string
	// Established reports that every VM has known of it for long enough to
	// count it among those that have to vouch.
	Established bool
}

// Mover moves leaderships. Set the exported fields before the first call.
type Mover struct {
	// VM names this VM.
	VM string
	// Incarnation differs for each start of the VM.
	Incarnation string
	Ledger      store.Ledger
	Grants      *Grants
	Promoter    Promoter
	Targets     Targets
	Fleet       Fleet
	// VMs returns how many VMs there are, as far as this one knows.
	VMs func() int
	// Known reports whether all VMs that run know of this one, so that none
	// vouches for a record without asking it.
	Known func() bool
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	Log logr.Logger

	lock   sync.Mutex
	writes int
	// moves counts the moves under way.
	moves int
	// ended are the leases that this VM knows to have ended.
	ended map[store.Lease]bool
}

// Start writes the first record, or adds groups to it that it lacks. Leaders
// are the targets that say that they lead.
func (m *Mover) Start(ctx context.Context, leaders map[string]string) error {
	r, err := m.read(ctx)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	missing := false
	next := r
	for group, target := range leaders {
		if _, ok := r.Leads[group]; !ok {
			next = next.With(group, Lead{Target: target})
			missing = true
		}
	}
	if !missing {
		return nil
	}
	_, err = m.write(ctx, r, next, nil)
	return err
}

// Renew replaces a record's lease that has ended, so that it can be confirmed
// again.
func (m *Mover) Renew(ctx context.Context, l store.Lease) error {
	r, err := m.read(ctx)
	if err != nil || r.Lease != l {
		return err
	}
	_, err = m.write(ctx, r, r, nil)
	return err
}

// Move moves a group's leadership away from a target, or takes over a move
// that another VM did not finish. The reason is for the log.
func (m *Mover) Move(ctx context.Context, group string, from Lead, reason string) error {
	return m.MoveIf(ctx, group, from, reason, func(context.Context) bool { return true })
}

// MoveIf is like Move, and asks whether the reason still stands if the store took
// long to answer before the claim is written. Its error wraps ErrNeedless if not.
func (m *Mover) MoveIf(ctx context.Context, group string, from Lead, reason string, still func(context.Context) bool) error {
	m.count(1)
	defer m.count(-1)
	v := &move{Mover: m, group: group, old: from.Target}
	err := v.claim(ctx, from, still)
	if err != nil {
		return fmt.Errorf("claim leadership of %s: %w", group, err)
	}
	m.Log.Info("leadership is being moved", "group", group, "from", from.Target, "reason", reason, "token", v.token, "record", v.record.Revision)
	if err := v.run(ctx, from); err != nil {
		return fmt.Errorf("move leadership of %s: %w", group, err)
	}
	return nil
}

func (m *Mover) count(n int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.moves += n
}

// Resting reports whether no move is under way.
func (m *Mover) Resting() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.moves == 0
}
