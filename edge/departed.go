package edge

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"amaranthsill/pool"
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
	// waits in the targets' queues.
	departureCheckInterval = 2 * time.Second
	departureCheckTimeout  = time.Second
	// departureCheckers is how many VMs compare the logs of a group, the first in the order
	// in which VMs move its leadership.
	departureCheckers = 3
)

// departure is a target, or a start of one, that is registered no more.
type departure struct {
	pool.Target
	// at is when it was dropped, and revision what the store had reached then.
	at       time.Duration
	revision store.Revision
	// passesOn reports that it left after draining, so that its log is passed on to a new
	// target at its address.
	passesOn bool
}

// departureKey tells the starts of a target apart, since a target that starts again may
// have lost its log.
type departureKey struct {
	id          string
	incarnation int64
}

// Departed returns a group's targets that are registered no more, although they may be the
// only ones with a commit that was acknowledged. A target no longer matters once a commit
// that the leader made after its departure was acknowledged, since the replicas with that
// commit have all before; committedAt is when this VM last acknowledged one. It does not
// matter either once it is registered again, or another target with its address to which
// its log was passed on, nor once a leader was recorded after its departure, since that
// had every acknowledged commit. Targets that left before this VM started are known from
// the store's list.
func (d *Directory) Departed(group string, committedAt time.Duration) []pool.Target {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	return d.departedFrom(group, committedAt)
}

// departedFrom is Departed for a caller that holds the lock.
func (d *Directory) departedFrom(group string, committedAt time.Duration) []pool.Target {
	d.adopt(group)
	list := []pool.Target{}
	for _, t := range d.departed {
		if t.Group == group && committedAt < t.at+commitTime {
			list = append(list, t.Target)
		}
	}
	slices.SortFunc(list, func(a, b pool.Target) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// ForgetDeparted forgets the targets of a group that departed before a time.
func (d *Directory) ForgetDeparted(group string, before time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for k, t := range d.departed {
		if t.Group == group && t.at < before {
			d.forget(k)
		}
	}
}

// dropTarget removes a target whose entry is gone. The caller holds the lock.
func (d *Directory) dropTarget(id string) {
	t := d.targets[id].entry
	d.depart(t, t.Draining)
	delete(d.targets, id)
	d.byGroup = nil
}

// depart records that a target, or a start of one, is registered no more. The caller holds
// the lock.
func (d *Directory) depart(t pool.Target, passesOn bool) {
	if d.maySynchronize(t.Group) {
		k := departureKey{t.ID, t.Incarnation}
		delete(d.forgotten, k)
		d.departed[k] = departure{Target: t, at: d.Now(), revision: d.newestRevision, passesOn: passesOn}
	}
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
	if old := d.targets[t.ID]; old != nil && old.entry.Incarnation != t.Incarnation {
		d.depart(old.entry, false)
	}
	delete(d.departed, departureKey{t.ID, t.Incarnation})
	for k, former := range d.departed {
		if former.passesOn && former.Group == t.Group && former.Address == t.Address {
			d.forget(k)
		}
	}
}

// forgetBefore forgets the targets that departed before a group's leader was recorded at a
// revision. The caller holds the lock.
func (d *Directory) forgetBefore(r succession.Record, revision store.Revision) {
	for k, t := range d.departed {
		old, l := d.leads[t.Group], r.Leads[t.Group]
		begun := l.Target != "" && !l.Moving() && (l.Target != old.Target || l.Since != old.Since || old.Moving())
		if begun && revision > t.revision {
			d.forget(k)
		}
	}
	d.leads = r.Leads
}

// checkDeparted finds out whether the targets of a group that departed still matter: no
// more once so many replicas have what the leader had after the departure that a move
// always hears one of them.
func (s *supervisor) checkDeparted(ctx context.Context, name string, st *groupState) {
	now := s.Now()
	if s.control.SyncReplicas(name) == 0 || st.lead.Moving() || now-st.departedCheckedAt < departureCheckInterval {
		return
	}
	if len(s.control.Departed(name)) == 0 || s.rank(name) >= departureCheckers {
		return
	}
	s.compareLogs(ctx, name, st)
}

// compareLogs forgets the targets of a group that departed before the call if the replicas
// have what the leader has. A comparison that is under way is left alone.
func (s *supervisor) compareLogs(ctx context.Context, name string, st *groupState) {
	if st.comparing.Swap(true) {
		return
	}
	now := s.Now()
	st.departedCheckedAt = now
	leader := st.lead.Target
	go func() {
		defer st.comparing.Store(false)
		limited, cancel := context.WithTimeout(ctx, departureCheckTimeout)
		defer cancel()
		if s.reached(limited, name, leader) {
			s.Log.Info("targets that departed have no commit alone any more", "group", name, "departed", len(s.control.Departed(name)))
			s.directory.ForgetDeparted(name, now)
		}
	}()
}

// mayPutBack reports whether this VM may write departed targets that a group's list of a
// revision leaves out. Another VM may have found that they no longer matter, so that this
// one compares the logs itself before, whatever its rank.
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
		s.compareLogs(ctx, name, st)
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
