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

// move is one attempt to move a group's leadership.
type move struct {
	*Mover
	group  string
	record Record
	token  uint64
	begun  time.Duration
	old    string
	// last is the old leader's last position, if it stepped down.
	last    query.Position
	stepped bool
	// highest is the highest term that any target reported.
	highest uint64
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
	m.count(1)
	defer m.count(-1)
	v := &move{Mover: m, group: group, old: from.Target}
	err := v.claim(ctx, from)
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

func (v *move) run(ctx context.Context, from Lead) error {
	fenced, err := v.fence(ctx)
	if err != nil {
		return err
	}
	v.Log.Info("old leader can acknowledge nothing more", "group", v.group, "from", from.Target, "how", fenced, "took", (v.Now() - v.begun).String())
	target, err := v.promote(ctx)
	if err != nil {
		return err
	}
	if err := v.finish(ctx, target); err != nil {
		return err
	}
	v.Log.Info("leadership moved", "group", v.group, "from", from.Target, "to", target, "took", (v.Now() - v.begun).String())
	return nil
}

// claim writes that this VM moves the leadership.
func (v *move) claim(ctx context.Context, from Lead) error {
	duty := make(chan dutyRead, 1)
	go func() { duty <- v.readDuty(ctx) }()
	r, err := v.read(ctx)
	if err != nil {
		return err
	}
	if r.Leads[v.group] != from {
		return ErrOvertaken
	}
	d := <-duty
	if d.err != nil {
		return d.err
	}
	v.begun = v.Now()
	lead := Lead{Target: from.Target, Mover: v.writer()}
	v.record, err = v.write(ctx, r, r.With(v.group, lead), &d.item)
	if err != nil {
		return err
	}
	v.token = d.item.Revision
	if string(d.item.Value) != v.holder() {
		// The duty's key was written with the record.
		v.token = v.record.Revision
	}
	return nil
}

// dutyRead is the duty's key as the store held it.
type dutyRead struct {
	item store.Item
	err  error
}

func (m *Mover) readDuty(ctx context.Context) dutyRead {
	i, _, err := m.Ledger.Read(ctx, DutyKey)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return dutyRead{err: fmt.Errorf("read holder of the duty: %w", err)}
	}
	return dutyRead{item: i}
}

func (m *Mover) holder() string { return m.VM + "/" + m.Incarnation }

// writer returns an identity for one write.
func (m *Mover) writer() string {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.writes++
	return fmt.Sprintf("%s/%d", m.holder(), m.writes)
}

// read returns the record that the store holds now.
func (m *Mover) read(ctx context.Context) (Record, error) {
	sent := m.Now()
	i, _, err := m.Ledger.Read(ctx, RecordKey)
	if err != nil {
		return Record{}, fmt.Errorf("read record of leaders: %w", err)
	}
	r, err := DecodeRecord(i)
	if err != nil {
		return Record{}, err
	}
	m.Grants.ConfirmRecord(r, sent)
	return r, nil
}

// write replaces the record under a new lease and ends the old lease, so that
// VMs with the old record notice. With the duty's key as it was, the VM also
// becomes the one that may promote.
func (m *Mover) write(ctx context.Context, old, next Record, duty *store.Item) (Record, error) {
	l, err := m.Ledger.Grant(ctx, leaseLife)
	if err != nil {
		return Record{}, fmt.Errorf("open lease for record: %w", err)
	}
	next.Lease = l
	next.Former = m.former(old)
	next.VMs = m.VMs()
	next.Writer = m.writer()
	text, err := next.Encode()
	if err != nil {
		return Record{}, err
	}
	t := store.Transaction{
		Conditions: []store.Condition{{Key: RecordKey, Revision: old.Revision}},
		Puts:       []store.Put{{Key: RecordKey, Value: text}},
	}
	if duty != nil {
		m.addDuty(&t, *duty)
	}
	sent := m.Now()
	next.Revision, err = m.Ledger.Apply(ctx, t)
	if err != nil {
		next, err = m.settle(ctx, next, err)
	}
	if err != nil {
		// The lease of a record that was not written ends on its own.
		return Record{}, err
	}
	m.Grants.ConfirmRecord(next, sent)
	for _, f := range next.Former {
		go m.endLease(f)
	}
	return next, nil
}

// former returns the leases of a record and its predecessors that are not
// known to have ended.
func (m *Mover) former(old Record) []store.Lease {
	m.lock.Lock()
	defer m.lock.Unlock()
	list := []store.Lease{}
	for _, l := range append(slices.Clone(old.Former), old.Lease) {
		if l != 0 && !m.ended[l] {
			list = append(list, l)
		}
	}
	return list
}

// end ends a lease and remembers it.
func (m *Mover) end(ctx context.Context, l store.Lease) error {
	if err := m.Ledger.End(ctx, l); err != nil {
		return fmt.Errorf("end lease of an old record: %w", err)
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.ended == nil {
		m.ended = map[store.Lease]bool{}
	}
	m.ended[l] = true
	return nil
}

// addDuty makes this VM the holder of the duty, unless it is already.
func (m *Mover) addDuty(t *store.Transaction, i store.Item) {
	t.Conditions = append(t.Conditions, store.Condition{Key: DutyKey, Revision: i.Revision})
	if string(i.Value) != m.holder() {
		t.Puts = append(t.Puts, store.Put{Key: DutyKey, Value: []byte(m.holder())})
	}
}

// settle finds out whether a write took effect whose answer was not a
// success.
func (m *Mover) settle(ctx context.Context, next Record, cause error) (Record, error) {
	if errors.Is(cause, store.ErrRefused) || errors.Is(cause, store.ErrNoLease) {
		return Record{}, cause
	}
	for range 3 {
		r, err := m.read(ctx)
		switch {
		case err == nil && r.Writer == next.Writer:
			return r, nil
		case err == nil && r.Revision > 0 && errors.Is(cause, store.ErrConflict):
			return Record{}, fmt.Errorf("write record of leaders: %w", ErrOvertaken)
		}
		if err := sleep(ctx, retryPause); err != nil {
			return Record{}, err
		}
	}
	return Record{}, cause
}

// endLease tells VMs with an older record that it no longer stands. It is
// only needed to make them notice early.
func (m *Mover) endLease(l store.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), writeLimit)
	defer cancel()
	for ctx.Err() == nil {
		err := m.end(ctx, l)
		if err == nil {
			return
		}
		m.Log.V(1).Info("lease of an old record is not ended yet", "reason", err.Error())
		if sleep(ctx, 10*retryPause) != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}

// fence returns once no VM can release an answer of the old leader, and says
// what made sure of it.
func (v *move) fence(ctx context.Context) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepped := make(chan struct{})
	go func() {
		if v.stepDown(ctx) == nil {
			close(stepped)
		}
	}()
	ended := make(chan struct{})
	go func() {
		if v.endFormer(ctx) == nil {
			close(ended)
		}
	}()
	// The old leader is given a moment to step down, which loses nothing.
	patience := time.NewTimer(stepDownLimit)
	defer patience.Stop()
	outage := time.NewTimer(v.outage())
	defer outage.Stop()
	var lapse <-chan time.Time
	others, yields := v.Fleet.Yield(ctx, v.record)
	c := newConsent(others, v.Known())
	for {
		if lapse == nil && c.mayWait() {
			lapse = time.After(v.Grants.Length + grantMargin)
		}
		select {
		case <-stepped:
			return "it stepped down", nil
		case m := <-yields:
			c.add(m)
		case <-patience.C:
			c.patient = true
		case <-ended:
			c.ended = true
			ended = nil
		case <-lapse:
			return "the grants of VMs that did not yield ran out", nil
		case <-outage.C:
			return "all VMs stopped vouching", nil
		case <-ctx.Done():
			return "", fmt.Errorf("fence old leader: %w", ctx.Err())
		}
		if c.complete() {
			return "every VM yielded", nil
		}
	}
}

// outage returns the time until no VM can vouch for an older record.
func (v *move) outage() time.Duration {
	return max(v.begun+OutageLength+writeMargin-v.Now(), 0)
}

// consent is what a move knows of the other VMs. This VM counts as one that
// is established and has yielded.
type consent struct {
	vms, yielded            int
	established, consenting int
	// known reports that every VM knows of this one and asks it before it
	// vouches.
	known bool
	// patient reports that the old leader had time to step down, and ended that
	// the leases of older records have ended.
	patient, ended bool
}

func newConsent(others []Member, known bool) *consent {
	c := &consent{vms: 1, yielded: 1, established: 1, consenting: 1, known: known}
	for _, m := range others {
		c.vms++
		if m.Established {
			c.established++
		}
	}
	return c
}

func (c *consent) add(m Member) {
	c.yielded++
	if m.Established {
		c.consenting++
	}
}

// complete reports whether no VM relies on an older record any more.
func (c *consent) complete() bool {
	return c.known && c.patient && c.yielded >= c.vms
}

// mayWait reports whether no VM can begin to rely on an older record from now
// on, so that those that do are waited out. The store confirms none whose
// lease has ended. VMs that vouch for one another need more than two thirds of
// the established ones; a third, having yielded, leaves too few. What they
// vouched for before they yielded still counts, so the wait begins afterwards.
func (c *consent) mayWait() bool {
	return c.known && c.ended && 3*c.consenting >= c.established
}

// endFormer ends the leases of older records.
func (v *move) endFormer(ctx context.Context) error {
	for _, l := range v.record.Former {
		for v.end(ctx, l) != nil {
			if err := sleep(ctx, retryPause); err != nil {
				return err
			}
		}
	}
	return nil
}

// stepDown makes the old leader a replica, which is the surest fence.
func (v *move) stepDown(ctx context.Context) error {
	if v.old == "" {
		return ErrNoCandidate
	}
	for ctx.Err() == nil {
		r, err := v.order(ctx, v.old, pool.Status{})
		if err == nil && r.Role == pool.RolePrimary {
			r, err = v.order(ctx, v.old, pool.StepDown{Term: r.Term + 1})
		}
		if err == nil && r.Role == pool.RoleReplica {
			v.lock.Lock()
			v.stepped = true
			v.last = r.Received
			v.lock.Unlock()
			return nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return fmt.Errorf("step down %s: %w", v.old, ctx.Err())
}

func (v *move) order(ctx context.Context, target string, o pool.Order) (pool.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	r, err := v.Targets.Order(ctx, v.group, target, o)
	if err != nil {
		return pool.Report{}, fmt.Errorf("order to %s: %w", target, err)
	}
	v.lock.Lock()
	v.highest = max(v.highest, r.Term)
	v.lock.Unlock()
	return r, nil
}

// promote asks the platform until a target leads.
func (v *move) promote(ctx context.Context) (string, error) {
	for {
		if v.Now()-v.begun > callWindow {
			return "", ErrLate
		}
		target, err := v.candidate(ctx)
		if err == nil {
			err = v.call(ctx, target)
		}
		if err == nil {
			return target, nil
		}
		v.Log.Info("promotion did not succeed yet", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryPause); err != nil {
			return "", err
		}
	}
}

// ranked is a target with its account of itself.
type ranked struct {
	pool.Target
	pool.Report
}

// candidate returns the target whose log reaches furthest.
func (v *move) candidate(ctx context.Context) (string, error) {
	deadline := v.Now() + catchUpLimit
	for {
		reports := v.ask(ctx)
		if len(reports) == 0 {
			return "", ErrNoCandidate
		}
		best := slices.MaxFunc(reports, compareRanked)
		v.lock.Lock()
		enough := !v.stepped || best.Received.Reaches(v.last)
		v.lock.Unlock()
		if enough {
			return best.ID, nil
		}
		if v.Now() > deadline {
			return v.keeps(best), nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return "", err
		}
	}
}

// compareRanked prefers targets that stay, then the longer log.
func compareRanked(a, b ranked) int {
	if a.Target.Draining != b.Target.Draining {
		if a.Target.Draining {
			return -1
		}
		return 1
	}
	return a.Received.Compare(b.Received)
}

// ask returns the accounts of the targets that answer. The old leader counts
// only if nothing else is left.
func (v *move) ask(ctx context.Context) []ranked {
	old, others := []pool.Target{}, []pool.Target{}
	for _, t := range v.Targets.Candidates(v.group) {
		if t.ID == v.old {
			old = append(old, t)
			continue
		}
		others = append(others, t)
	}
	if reports := v.askAll(ctx, others); len(reports) > 0 {
		return reports
	}
	return v.askAll(ctx, old)
}

func (v *move) askAll(ctx context.Context, targets []pool.Target) []ranked {
	answers := make(chan *ranked, len(targets))
	for _, t := range targets {
		go func() {
			r, err := v.order(ctx, t.ID, pool.Status{})
			if err != nil {
				v.Log.Info("target gave no status", "group", v.group, "target", t.ID, "reason", err.Error())
				answers <- nil
				return
			}
			answers <- &ranked{Target: t, Report: r}
		}()
	}
	reports := []ranked{}
	var late <-chan time.Time
	for range targets {
		select {
		case r := <-answers:
			if r != nil {
				reports = append(reports, *r)
				late = time.After(lateLimit)
			}
		case <-late:
			return reports
		}
	}
	return reports
}

// keeps returns the old leader if it alone holds what it acknowledged and may
// go on, so that promoting it again loses nothing.
func (v *move) keeps(best ranked) string {
	t := v.Targets.Candidates(v.group)
	i := slices.IndexFunc(t, func(t pool.Target) bool { return t.ID == v.old })
	if i < 0 || t[i].Draining {
		return best.ID
	}
	return v.old
}

// call asks the platform to promote a target and waits until it leads. The
// window is checked right before each call, on a clock that counts suspended
// time, since another VM may have taken the move over after it.
func (v *move) call(ctx context.Context, target string) error {
	deadline := v.Now() + settleLimit
	for {
		if v.Now()-v.begun > callWindow {
			return ErrLate
		}
		err := v.callOnce(ctx, target)
		if err == nil {
			return v.settled(ctx, target)
		}
		if errors.Is(err, ErrRejected) || v.Now() > deadline {
			return err
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
}

func (v *move) callOnce(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, promoteLimit)
	defer cancel()
	return v.Promoter.Promote(ctx, v.group, target, v.token)
}

// settled waits until a promoted target says that it leads.
func (v *move) settled(ctx context.Context, target string) error {
	deadline := v.Now() + settleLimit
	for v.Now() < deadline {
		r, err := v.order(ctx, target, pool.Status{})
		if err == nil && r.Role == pool.RolePrimary {
			return nil
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s does not lead after its promotion: %w", target, ErrNoAnswer)
}

// tellLimit bounds the time in which other VMs are told of a new leader; those
// that are not hear of it from the store.
const tellLimit = 500 * time.Millisecond

// tell shows other VMs who leads now.
func (v *move) tell(r Record) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
	time.AfterFunc(tellLimit, cancel)
	v.Fleet.Yield(ctx, r)
}

// finish writes who leads now.
func (v *move) finish(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	for {
		r, err := v.read(ctx)
		if err == nil {
			if r.Leads[v.group].Mover != v.record.Leads[v.group].Mover {
				return ErrOvertaken
			}
			r, err = v.write(ctx, r, r.With(v.group, Lead{Target: target}), nil)
		}
		if err == nil {
			v.tell(r)
			return nil
		}
		v.Log.Info("new leader is not recorded yet", "group", v.group, "target", target, "reason", err.Error())
		if err := sleep(ctx, 2*retryPause); err != nil {
			return err
		}
	}
}
