package succession

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// move is one attempt to move the leadership of a group.
type move struct {
	*Mover
	group  string
	record Record
	// mover is the Lead.Mover that this move writes; empty before that.
	mover     string
	token     uint64
	startedAt time.Duration
	// movingSince is when this VM first saw that the old leader's lead is being
	// moved, which may be by earlier moves that did not finish.
	movingSince time.Duration
	oldLeader   string
	// deposed reports that another target was promoted although the record names the old
	// leader.
	deposed bool
	// oldPosition is the old leader's last log position, valid if steppedDown
	// is true.
	oldPosition query.Position
	steppedDown bool
	// stepped is closed once the old leader has stepped down. grantsGone is closed
	// once no VM can rely on an older record, for grantsReason.
	stepped, grantsGone chan struct{}
	grantsReason        string
	// backed is closed once half of the VMs have yielded.
	backed chan struct{}
	// called is the target that the platform was last asked to promote; empty if it
	// was not asked. It is pending if the promotion may take effect or have done so.
	called  string
	pending bool
	// prepared is the target that the next calls may be for; see prepare.
	prepared string
	// settledAt is when all promotions that this move or earlier ones of its row called
	// for have taken effect, or do so no more; zero if none was called for. The calls
	// include that which deposed the old leader without a move.
	settledAt time.Duration
	// leadsOn reports that the target called for is the old leader, and that it leads
	// unless the call deposes it.
	leadsOn bool
	// highestTerm is the highest term that any primary reported, and formerTerm what it
	// was before the first call for the present target. Those of replicas do not count,
	// since the order to step down may have raised them.
	highestTerm, formerTerm uint64
	// term is the term of the target that leads in the end.
	term uint64
	// syncReplicas is Targets.SyncReplicas of the group, and reported how far the logs of
	// its replicas reached when they last told, by target.
	syncReplicas int
	reported     map[string]query.Position
	departedReports
	// extentAskedAt is when Fleet.Acknowledged was last called; zero if it was not.
	extentAskedAt time.Duration
	// recalled reports that Targets.Recall has succeeded since the move was written.
	recalled bool
	// waitLogged reports that the wait for more reports was logged.
	waitLogged bool
}

func (v *move) run(ctx context.Context, from Lead) error {
	ctx, cancel := context.WithCancel(ctx)
	v.stepped, v.grantsGone, v.backed = make(chan struct{}), make(chan struct{}), make(chan struct{})
	v.departedReports = newDepartedReports()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		v.watchGrants(ctx)
	}()
	defer func() {
		cancel()
		<-watched
	}()
	how, err := v.fence(ctx)
	if err != nil {
		return err
	}
	v.Log.Info("no VM can release commits of the old leader any more; promoting a new one", "group", v.group, "from", from.Target, "how", how, "took", (v.Now() - v.startedAt).String())
	target, err := v.promote(ctx)
	if err != nil {
		return err
	}
	if err := v.awaitReaders(ctx, target); err != nil {
		return err
	}
	if err := v.recordLeader(ctx, target); err != nil {
		return err
	}
	v.Log.Info("leadership moved", "group", v.group, "from", from.Target, "to", target, "took", (v.Now() - v.startedAt).String())
	return nil
}

// awaitReaders waits until no VM reads from the old leader as the leader any more,
// unless it leads again. A target that has stepped down still answers reads, which
// would lack the commits of the new leader; before the record names that one, nobody
// acknowledges its commits.
func (v *move) awaitReaders(ctx context.Context, target string) error {
	if target == v.oldLeader {
		return nil
	}
	select {
	case <-v.grantsGone:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("await VMs that may read from the old leader: %w", ctx.Err())
	}
}

// claim writes to the leader record that this VM moves the leadership. The
// error wraps ErrConcurrentUpdate if the record has changed, and ErrNotNeeded
// if the move is no longer needed.
func (v *move) claim(ctx context.Context, from Lead, needed func(context.Context) bool) error {
	started := v.Now()
	duty := make(chan dutyResult, 1)
	go func() { duty <- v.readDuty(ctx) }()
	r, err := v.readRecord(ctx)
	if err != nil {
		return err
	}
	if r.Leads[v.group] != from {
		return ErrConcurrentUpdate
	}
	if !v.Grants.isSettled(r) {
		return ErrOutdated
	}
	d := <-duty
	if d.err != nil {
		return d.err
	}
	if v.Now()-started > maxReasonAge && !needed(ctx) {
		return ErrNotNeeded
	}
	v.startedAt = v.Now()
	v.movingSince = cmp.Or(v.movingSince, v.startedAt)
	v.settledAt = v.earlierCallsSettledAt(from)
	v.mover = v.nextWriterID()
	lead := Lead{Target: from.Target, Mover: v.mover}
	lead.First = cmp.Or(from.Row(), lead.Mover)
	v.record, err = v.writeRecord(ctx, r, r.WithLead(v.group, lead), &d.item)
	if err != nil {
		return err
	}
	v.token = uint64(d.item.Revision)
	if string(d.item.Value) != v.holderID() {
		// The write of the record also wrote the duty key.
		v.token = uint64(v.record.Stored)
	}
	return nil
}

// earlierCallsSettledAt returns the value of settledAt for a move that begins now, and
// takes over the move from if that is one. At least TakeOver has passed since that one
// began, unless it was this VM's own and called for nothing.
func (v *move) earlierCallsSettledAt(from Lead) time.Duration {
	switch {
	case !from.Moving() && v.deposed:
		// A call that no record tells of has taken effect.
		return v.startedAt
	case !from.Moving():
		return 0
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	if a, found := v.findAbandoned(v.group, from.Mover); found {
		return a.settledAt
	}
	return v.startedAt + promotionWindow + promoteTimeout + effectTime - TakeOver
}

func (v *move) sendOrder(ctx context.Context, target string, o pool.Order) (pool.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := v.Targets.Order(ctx, v.group, target, o)
	if err != nil {
		return pool.Report{}, fmt.Errorf("order to %s: %w", target, err)
	}
	if r.Role == pool.RolePrimary {
		v.lock.Lock()
		defer v.lock.Unlock()
		v.highestTerm = max(v.highestTerm, r.Term)
	}
	return r, nil
}

// announceTimeout bounds the time in which other VMs are told of a new leader;
// VMs that miss it learn of the leader from the store.
const announceTimeout = 500 * time.Millisecond

// announce sends the record with the new leader to the other VMs, without
// waiting for their answers.
func (m *Mover) announce(r Record) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	time.AfterFunc(announceTimeout, cancel)
	m.Fleet.Announce(ctx, r)
}

// recordLeader writes the new leader to the leader record. It retries until it
// succeeds, another VM has changed the group's entry, or writeTimeout has
// passed.
func (v *move) recordLeader(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		r, err := v.readRecord(ctx)
		if err == nil {
			if r.Leads[v.group].Mover != v.record.Leads[v.group].Mover && v.Grants.isSettled(r) {
				return ErrConcurrentUpdate
			}
			if !v.Grants.isSettled(r) {
				err = ErrOutdated
			}
		}
		if err == nil {
			r, err = v.writeRecord(ctx, r, r.WithLead(v.group, Lead{Target: target, Term: v.term}), nil)
		}
		if err == nil {
			v.announce(r)
			return nil
		}
		v.Log.Info("write of the new leader to the record failed; retrying", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryInterval); err != nil {
			return err
		}
	}
}
