package edge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// Timing of finding out whether the log of a target that departed still matters.
const (
	// commitTime is longer than the time from when a target executes a commit until a VM
	// acknowledges it.
	commitTime = 5 * time.Second
	// departureCheckInterval is the time between two comparisons of a group's logs, and
	// departureCheckTimeout bounds one: round trips between regions, new connections and
	// waits in the targets' queues. It also bounds the questions to departed targets before.
	departureCheckInterval = 2 * time.Second
	departureCheckTimeout  = time.Second
	// departureCheckers is how many VMs compare the logs of a group, the first in the order
	// in which VMs move its leadership.
	departureCheckers = 3
	// departureSilence is how long a departed target must have answered neither this VM nor
	// others before it counts as ended: two questions, which are a second apart then.
	departureSilence = time.Second
	// settledCheckInterval is the time between two questions to a departed target that
	// matters no more: it may start again without reaching the store.
	settledCheckInterval = 10 * time.Second
	// maxSettled is how many departed targets of a group that matter no more are remembered.
	maxSettled = 4
)

// departure is a target, or a start of one, that is registered no more. Without an entry it
// may still run, and receive commits, since it may only be cut off from the store.
type departure struct {
	pool.Target
	// at is when it was dropped, and revision what the store had reached when it was
	// dropped, or found to have ended.
	at       time.Duration
	revision store.Revision
	// endedAt is when the target was found to receive nothing any more; zero as long as it
	// may.
	endedAt time.Duration
	// askedAt is when it was last asked, and silentSince the first question of those in a
	// row that it did not answer; zero if there is none.
	askedAt, silentSince time.Duration
	// received is how far its log reached when it told of most since it was dropped.
	received query.Position
	// settled reports that it has no commit alone any more and had ended before.
	settled bool
	// passesOn reports that it left after draining, so that its log is passed on to a new
	// target at its address.
	passesOn bool
}

// matters reports whether the target may alone have a commit that was acknowledged, given
// when this VM last acknowledged one.
func (t departure) matters(committedAt time.Duration) bool {
	return !t.settled && (t.endedAt == 0 || committedAt < t.endedAt+commitTime)
}

// departureKey tells the starts of a target apart, since a target that starts again may
// have lost its log.
type departureKey struct {
	id          string
	incarnation int64
}

// Departed returns a group's targets that are registered no more, although they may be the
// only ones with a commit that was acknowledged. One matters as long as it may receive
// commits. Once it has ended, it matters until a commit that the leader made after that was
// acknowledged, since the replicas with that commit have all before; committedAt is when
// this VM last acknowledged one. It does not matter either once it is registered again, or
// another target with its address to which its log was passed on, nor once a leader was
// recorded after its end, since that had every acknowledged commit. Targets that left before
// this VM started are known from the store's list.
func (d *Directory) Departed(group string, committedAt time.Duration) []pool.Target {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	return d.departedFrom(group, committedAt)
}

// departedFrom is Departed for a caller that holds the lock.
func (d *Directory) departedFrom(group string, committedAt time.Duration) []pool.Target {
	d.adopt(group)
	return d.departedWhere(group, func(t departure) bool { return t.matters(committedAt) })
}

// Ended returns a group's targets that are registered no more and do not matter, because
// they were found to have ended. They may have started again without reaching the store.
func (d *Directory) Ended(group string, committedAt time.Duration) []pool.Target {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	return d.departedWhere(group, func(t departure) bool { return !t.matters(committedAt) })
}

// departedWhere returns the departed targets of a group for which a condition holds. The
// caller holds the lock.
func (d *Directory) departedWhere(group string, holds func(departure) bool) []pool.Target {
	list := []pool.Target{}
	for _, t := range d.departed {
		if t.Group == group && holds(t) {
			list = append(list, t.Target)
		}
	}
	slices.SortFunc(list, func(a, b pool.Target) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// FindDeparted returns the latest start of a target that is registered no more; false if it
// is not known.
func (d *Directory) FindDeparted(group, id string) (pool.Target, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.adopt(group)
	starts := d.departedWhere(group, func(t departure) bool { return t.ID == id })
	if len(starts) == 0 {
		return pool.Target{}, false
	}
	return starts[len(starts)-1], true
}

// unanswered returns the departed targets of a group that are to be asked whether they run:
// those that may, and now and then those that matter no more.
func (d *Directory) unanswered(group string) []pool.Target {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.adopt(group)
	now := d.Now()
	return d.departedWhere(group, func(t departure) bool {
		return !d.startedAgain(t) && (t.endedAt == 0 || now-t.askedAt >= settledCheckInterval)
	})
}

// startedAgain reports whether a later start of a departed target is known, so that this one
// runs no more. The caller holds the lock.
func (d *Directory) startedAgain(t departure) bool {
	if r := d.targets[t.ID]; r != nil && r.entry.Group == t.Group {
		return true
	}
	for k := range d.departed {
		if k.id == t.ID && k.incarnation > t.Incarnation {
			return true
		}
	}
	return false
}

// runState is what was found out about a departed target by asking it.
type runState int

const (
	// stateSilent means that it answered nobody.
	stateSilent runState = iota
	// stateRuns means that it answered, so that it may receive commits.
	stateRuns
	// stateEnded means that nothing listens at its address, or another target does.
	stateEnded
)

// RecordRuns records that a departed target runs, so that it may have commits alone, and how
// far its log reaches; zero if that is not known. It returns false if the target had told of
// more before: then it has started again without its log.
func (d *Directory) RecordRuns(t pool.Target, received query.Position) bool {
	kept := true
	d.recordRun(t, func(n *departure) {
		kept = received.Reaches(n.received)
		if kept {
			n.received = received
		}
		if n.settled {
			d.Log.Info("departed target runs again; it may have commits alone", "target", t.ID, "group", t.Group)
		}
		n.endedAt, n.silentSince, n.settled, n.revision = 0, 0, false, d.newestRevision
		delete(d.forgotten, departureKey{t.ID, t.Incarnation})
	})
	return kept
}

// RecordEnded records that a departed target receives nothing any more.
func (d *Directory) RecordEnded(t pool.Target) { d.recordRun(t, d.end) }

// RecordSilent records that a departed target did not answer a question. It counts as ended
// if it has not answered for departureSilence.
func (d *Directory) RecordSilent(t pool.Target) {
	d.recordRun(t, func(n *departure) {
		now := d.Now()
		if n.silentSince == 0 {
			n.silentSince = now
		}
		if now-n.silentSince >= departureSilence {
			d.end(n)
		}
	})
}

// end marks a departed target as ended. The caller holds the lock.
func (d *Directory) end(n *departure) {
	if n.endedAt == 0 {
		d.Log.Info("departed target has ended", "target", n.ID, "group", n.Group)
		n.endedAt, n.revision = d.Now(), d.newestRevision
	}
}

// recordRun changes a departed target after a question to it, if it still is one.
func (d *Directory) recordRun(t pool.Target, change func(*departure)) {
	d.lock.Lock()
	defer d.lock.Unlock()
	k := departureKey{t.ID, t.Incarnation}
	n, ok := d.departed[k]
	if !ok {
		return
	}
	n.askedAt = d.Now()
	change(&n)
	d.departed[k] = n
}

// countEnded returns how many departed targets of a group have ended and are not settled.
func (d *Directory) countEnded(group string) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.departedWhere(group, func(t departure) bool { return t.endedAt != 0 && !t.settled }))
}

// anySilent reports whether a departed target of a group did not answer, but is not known to
// have ended.
func (d *Directory) anySilent(group string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.departedWhere(group, func(t departure) bool { return t.endedAt == 0 && t.silentSince != 0 })) > 0
}

// ForgetDeparted settles the targets of a group that had ended before a time.
func (d *Directory) ForgetDeparted(group string, before time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for k, t := range d.departed {
		if t.Group == group && t.endedAt != 0 && t.endedAt < before {
			d.settle(k)
		}
	}
}

// settle records that a departed target no longer matters, and forgets the one of its group
// that departed first if there are too many. The caller holds the lock.
func (d *Directory) settle(k departureKey) {
	n := d.departed[k]
	n.settled = true
	d.departed[k] = n
	d.forgetListed(k, n.Group)
	oldest, count := k, 0
	for other, t := range d.departed {
		if t.Group != n.Group || !t.settled {
			continue
		}
		count++
		if t.at < d.departed[oldest].at {
			oldest = other
		}
	}
	if count > maxSettled {
		delete(d.departed, oldest)
	}
}

// dropTarget removes a target whose entry is gone. The caller holds the lock.
func (d *Directory) dropTarget(id string) {
	t := d.targets[id].entry
	d.depart(t, t.Draining, false)
	delete(d.targets, id)
	d.byGroup = nil
}

// depart records that a target, or a start of one, is registered no more; ended reports that
// it is known to run no more. The caller holds the lock.
func (d *Directory) depart(t pool.Target, passesOn, ended bool) {
	if !d.maySynchronize(t.Group) {
		return
	}
	k := departureKey{t.ID, t.Incarnation}
	delete(d.forgotten, k)
	n := departure{Target: t, at: d.Now(), revision: d.newestRevision, passesOn: passesOn}
	if ended {
		n.endedAt = n.at
	}
	d.departed[k] = n
}

// maySynchronize reports whether a group's commits are acknowledged only once a replica has
// received them, as far as is known.
func (d *Directory) maySynchronize(group string) bool {
	c := d.Catalog.Current()
	return c == nil || c.Groups[group].SyncReplicas > 0
}

// returned handles the entry of a target that had departed or started again, or of a
// successor to which a draining target has passed its log on. The caller holds the lock.
func (d *Directory) returned(t pool.Target) {
	k := departureKey{t.ID, t.Incarnation}
	if d.departed[k].Group == t.Group {
		delete(d.departed, k)
	}
	if old := d.targets[t.ID]; old != nil && (old.entry.Incarnation != t.Incarnation || old.entry.Group != t.Group) {
		d.depart(old.entry, false, old.entry.Incarnation != t.Incarnation)
	}
	for k, former := range d.departed {
		switch {
		case former.passesOn && former.Group == t.Group && former.Address == t.Address:
			d.forget(k)
		case k.id == t.ID && k.incarnation != t.Incarnation && former.endedAt == 0:
			former.endedAt, former.revision = d.Now(), d.newestRevision
			d.departed[k] = former
		}
	}
}

// forgetBefore settles the targets that had ended before a group's leader was recorded at a
// revision. The caller holds the lock.
func (d *Directory) forgetBefore(r succession.Record, revision store.Revision) {
	for k, t := range d.departed {
		old, l := d.leads[t.Group], r.Leads[t.Group]
		begun := l.Target != "" && !l.Moving() && (l.Target != old.Target || l.Since != old.Since || old.Moving())
		if begun && t.endedAt != 0 && revision > t.revision {
			d.settle(k)
		}
	}
	d.leads = r.Leads
}

// checkDeparted finds out whether the targets of a group that departed still matter: no
// more once they have ended, and so many replicas have what the leader had after that that a
// move always hears one of them.
func (s *supervisor) checkDeparted(ctx context.Context, name string, st *groupState) {
	if s.control.SyncReplicas(name) == 0 || st.lead.Moving() || s.Now()-st.departedCheckedAt < st.departedInterval() {
		return
	}
	if len(s.directory.unanswered(name)) == 0 && len(s.control.Departed(name)) == 0 || s.rank(name) >= departureCheckers {
		return
	}
	s.compareLogs(ctx, name, st, false)
}

// departedInterval returns the time between two checks of a group's departed targets.
func (st *groupState) departedInterval() time.Duration {
	if st.silent.Load() {
		return departureSilence
	}
	return departureCheckInterval
}

// compareLogs asks the targets of a group that departed whether they run, and settles those
// that have ended if the replicas have what the leader has. A check that is under way is left
// alone. othersFound reports that other VMs have found that these targets matter no more.
func (s *supervisor) compareLogs(ctx context.Context, name string, st *groupState, othersFound bool) {
	if st.comparing.Swap(true) {
		return
	}
	st.departedCheckedAt = s.Now()
	leader := st.lead.Target
	go func() {
		defer st.comparing.Store(false)
		s.askDeparted(ctx, name, othersFound)
		st.silent.Store(s.directory.anySilent(name))
		limited, cancel := context.WithTimeout(ctx, departureCheckTimeout)
		defer cancel()
		begun := s.Now() + 1
		ended := s.directory.countEnded(name)
		if ended > 0 && s.reached(limited, name, leader) {
			s.Log.Info("targets that departed and have ended have no commit alone any more", "group", name, "ended", ended)
			s.directory.ForgetDeparted(name, begun)
		}
	}()
}

// askDeparted asks the targets of a group that are registered no more whether they run. If
// others have found that they have ended, one question without an answer is enough.
func (s *supervisor) askDeparted(ctx context.Context, name string, othersFound bool) {
	limited, cancel := context.WithTimeout(ctx, departureCheckTimeout)
	defer cancel()
	wait := sync.WaitGroup{}
	for _, t := range s.directory.unanswered(name) {
		wait.Go(func() {
			state, received := s.runs(limited, name, t.ID)
			switch {
			case state == stateRuns:
				s.directory.RecordRuns(t, received)
			case state == stateEnded || othersFound:
				s.directory.RecordEnded(t)
			default:
				s.directory.RecordSilent(t)
			}
		})
	}
	wait.Wait()
}

// stateOf asks a departed target, directly and through other VMs, whether it runs, and how
// far its log reaches.
func (s *supervisor) stateOf(ctx context.Context, name, target string) (runState, query.Position) {
	r, err := s.control.Order(ctx, name, target, pool.Status{})
	refused := (*query.Failure)(nil)
	switch {
	case err == nil:
		return stateRuns, r.Received
	case errors.As(err, &refused) && refused.Code == query.CodeMisrouted, errors.Is(err, syscall.ECONNREFUSED):
		return stateEnded, query.Position{}
	case refused != nil:
		// It has no slot or connection free.
		return stateRuns, query.Position{}
	default:
		return stateSilent, query.Position{}
	}
}

// mayPutBack reports whether this VM may write departed targets that a group's list of a
// revision leaves out. Another VM may have found that they no longer matter, so that this
// one checks that itself before, whatever its rank.
func (s *supervisor) mayPutBack(ctx context.Context, name string, revision store.Revision) bool {
	st := s.states[name]
	if st == nil || st.lead.Moving() {
		return true
	}
	if st.omissionChecked >= revision {
		return !st.comparing.Load()
	}
	if !st.comparing.Load() {
		st.omissionChecked = revision
		s.compareLogs(ctx, name, st, true)
	}
	return false
}

// replicasReach reports whether enough replicas of a group have received what the leader
// had at the time of the call.
func (s *supervisor) replicasReach(ctx context.Context, name, leader string) bool {
	first, err := s.control.Order(ctx, name, leader, pool.Status{})
	if err != nil || first.Role != pool.RolePrimary {
		return false
	}
	replicas := []string{}
	for _, t := range s.directory.Targets(name) {
		if t.ID != leader {
			replicas = append(replicas, t.ID)
		}
	}
	reached := 0
	for _, r := range s.reportsOf(ctx, name, replicas) {
		if r.Role == pool.RoleReplica && r.Received.Reaches(first.Received) {
			reached++
		}
	}
	needed := min(s.control.SyncReplicas(name), len(replicas))
	return needed > 0 && reached >= needed && s.grants.IsLeader(name, leader)
}
