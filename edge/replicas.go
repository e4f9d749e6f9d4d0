package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/store"
)

// replicaPrefix is the store's key prefix of the lists of targets that may alone hold a
// commit of a group that commits synchronously. A VM knows by itself only the targets that
// left since its own start.
const replicaPrefix = "amaranthsill/replicas/"

// Timing of writing the lists of targets.
const (
	// replicaCheckInterval is the time between two checks whether lists are up to date. It
	// lets one write take in several changes, and is the pause after a write that failed.
	replicaCheckInterval = 200 * time.Millisecond
	// replicaWriteTimeout bounds one write.
	replicaWriteTimeout = time.Second
	// replicaListsPerWrite limits the groups in one transaction.
	replicaListsPerWrite = 64
)

// ErrInvalidReplicas reports a list of targets in the store that cannot be decoded.
var ErrInvalidReplicas = errors.New("list of targets cannot be read")

// replicaList is what the store holds of a group: every target, or start of one, that may
// hold a commit that was acknowledged and that no other target holds. It has the
// registered ones as well, since they may leave while no VM runs.
type replicaList struct {
	Replicas []replica `json:"replicas"`
}

// replica is one start of a target.
type replica struct {
	ID       string `json:"id"`
	Born     int64  `json:"born"`
	Address  string `json:"address"`
	Draining bool   `json:"draining,omitempty"`
}

func (r replica) key() departureKey { return departureKey{r.ID, r.Born} }

func replicaOf(t pool.Target) replica {
	return replica{ID: t.ID, Born: t.Incarnation, Address: t.Address, Draining: t.Draining}
}

// decodeReplicas decodes a group's list. Its error wraps ErrInvalidReplicas.
func decodeReplicas(i store.Item) (replicaList, error) {
	l := replicaList{}
	if err := json.Unmarshal(i.Value, &l); err != nil {
		return replicaList{}, fmt.Errorf("decode %s: %w", i.Key, errors.Join(ErrInvalidReplicas, err))
	}
	return l, nil
}

// applyReplicas takes in a group's list. One that cannot be decoded counts as empty, so
// that it is written again. The caller holds the lock.
func (d *Directory) applyReplicas(group string, i store.Item) {
	l := replicaList{}
	if !i.Deleted {
		var err error
		if l, err = decodeEntry(func() (replicaList, error) { return decodeReplicas(i) }); err != nil {
			d.entryInvalid(entryReplicas, i, err)
		}
	}
	listed := map[departureKey]bool{}
	for _, r := range l.Replicas {
		listed[r.key()] = true
	}
	maps.DeleteFunc(d.forgotten, func(k departureKey, of string) bool { return of == group && !listed[k] })
	if i.Deleted {
		delete(d.listed, group)
		return
	}
	d.listed[group] = l.Replicas
}

// forget drops a departed target whose log was passed on. The caller holds the lock.
func (d *Directory) forget(k departureKey) {
	group := d.departed[k].Group
	delete(d.departed, k)
	d.forgetListed(k, group)
}

// forgetListed records that a departed target no longer matters. Until the store's list
// leaves it out, it is not taken from there again. The caller holds the lock.
func (d *Directory) forgetListed(k departureKey, group string) {
	if slices.ContainsFunc(d.listed[group], func(r replica) bool { return r.key() == k }) {
		d.forgotten[k] = group
	}
}

// adopt takes the targets of a group's list that this VM does not know as departed: they
// left before it started, or while it did not follow the store. The caller holds the lock.
func (d *Directory) adopt(group string) {
	for _, r := range d.listed[group] {
		k := r.key()
		_, departed := d.departed[k]
		_, forgotten := d.forgotten[k]
		t := d.targets[r.ID]
		registered := t != nil && t.entry.Group == group
		if departed || forgotten || registered && t.entry.Incarnation == r.Born {
			continue
		}
		if r.Draining && d.hasSuccessor(group, r) {
			d.forgotten[k] = group
			continue
		}
		former := pool.Target{ID: r.ID, Group: group, Address: r.Address, Incarnation: r.Born, Draining: r.Draining}
		n := departure{Target: former, at: d.Now(), revision: d.newestRevision, passesOn: r.Draining}
		later := func(o replica) bool { return o.ID == r.ID && o.Born > r.Born }
		if registered || slices.ContainsFunc(d.listed[group], later) {
			n.endedAt = n.at
		}
		d.departed[k] = n
	}
}

// hasSuccessor reports whether another target of the group has the address of one that
// drained, and so has got its log. The caller holds the lock.
func (d *Directory) hasSuccessor(group string, r replica) bool {
	for id, t := range d.targets {
		if id != r.ID && t.entry.Group == group && t.entry.Address == r.Address {
			return true
		}
	}
	return false
}

// hasLists reports whether the store has a list of any group.
func (d *Directory) hasLists() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.listed) > 0
}

// listWrite is a group's list that is to be written, on the condition that the store still
// holds the one of a revision. An empty value removes the list.
type listWrite struct {
	key      string
	value    []byte
	revision store.Revision
	// putsBack reports that it has departed targets that the store's list leaves out.
	putsBack bool
}

// pendingList returns the write that brings a group's list up to date; false if it is. A
// group that does not commit synchronously has no list. committedAt is as for Departed.
// Without putBack, departed targets that the store's list leaves out stay out.
func (d *Directory) pendingList(group string, synchronous bool, committedAt time.Duration, putBack bool) (listWrite, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	old, listed := d.listed[group]
	if !synchronous && !listed {
		return listWrite{}, false
	}
	w := listWrite{key: replicaPrefix + group}
	if i := d.items[w.key]; !i.Deleted {
		w.revision = i.Revision
	}
	if !synchronous {
		return w, true
	}
	next := []replica{}
	for _, t := range d.grouped()[group] {
		next = append(next, replicaOf(t))
	}
	departed := d.departedFrom(group, committedAt)
	for k, t := range d.departed {
		if t.Group == group && !t.settled && !t.matters(committedAt) {
			d.settle(k)
		}
	}
	for _, t := range departed {
		r := replicaOf(t)
		omitted := listed && !slices.ContainsFunc(old, func(o replica) bool { return o.key() == r.key() })
		if omitted && !putBack {
			continue
		}
		w.putsBack = w.putsBack || omitted
		next = append(next, r)
	}
	slices.SortFunc(next, func(a, b replica) int { return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	if listed && slices.Equal(old, next) {
		return listWrite{}, false
	}
	var err error
	if w.value, err = json.Marshal(replicaList{Replicas: next}); err != nil {
		d.Log.Error(err, "list of targets cannot be encoded; it is not written", "group", group)
		return listWrite{}, false
	}
	return w, true
}

// recordReplicas writes the lists of targets of the groups that commit synchronously. Each
// VM waits for its rank times rankDelay, so that normally only one VM writes a group's.
func (s *supervisor) recordReplicas(ctx context.Context, groups map[string]catalog.Group) {
	now := s.Now()
	if !s.synced.Load() || !s.registered.Load() || s.recordingReplicas.Load() || now-s.replicasCheckedAt < replicaCheckInterval {
		return
	}
	s.replicasCheckedAt = now
	due := []listWrite{}
	lists := s.directory.hasLists()
	for name, g := range groups {
		if g.SyncReplicas == 0 && !lists {
			continue
		}
		if w, ok := s.dueList(ctx, name, g.SyncReplicas > 0, now); ok && len(due) < replicaListsPerWrite {
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		return
	}
	s.recordingReplicas.Store(true)
	go func() {
		defer s.recordingReplicas.Store(false)
		limited, cancel := context.WithTimeout(ctx, replicaWriteTimeout)
		defer cancel()
		if err := s.writeLists(limited, due); err != nil {
			s.Log.V(1).Info("lists of targets were not written; trying again", "groups", len(due), "reason", err.Error())
		}
	}()
}

// dueList returns the write of a group's list that this VM is to make now; false if there
// is none.
func (s *supervisor) dueList(ctx context.Context, name string, synchronous bool, now time.Duration) (listWrite, bool) {
	committedAt := s.control.committedAt(name)
	w, differs := s.directory.pendingList(name, synchronous, committedAt, true)
	if !differs {
		delete(s.replicasDifferSince, name)
		return listWrite{}, false
	}
	since, known := s.replicasDifferSince[name]
	if !known {
		since = now
		s.replicasDifferSince[name] = now
	}
	if now-since < time.Duration(s.rank(name))*rankDelay {
		return listWrite{}, false
	}
	if w.putsBack && !s.mayPutBack(ctx, name, w.revision) {
		return s.directory.pendingList(name, synchronous, committedAt, false)
	}
	return w, true
}

// writeLists writes groups' lists in one transaction.
func (s *supervisor) writeLists(ctx context.Context, lists []listWrite) error {
	t := store.Transaction{}
	for _, l := range lists {
		t.Conditions = append(t.Conditions, store.Condition{Key: l.key, Revision: l.revision})
		if l.value == nil {
			t.Deletes = append(t.Deletes, l.key)
			continue
		}
		t.Puts = append(t.Puts, store.Put{Key: l.key, Value: l.value})
	}
	revision, err := s.Adapter.Store.Apply(ctx, t)
	if err != nil {
		return fmt.Errorf("write lists of targets: %w", err)
	}
	for _, l := range lists {
		s.directory.Apply(store.Item{Key: l.key, Value: l.value, Revision: revision, Deleted: l.value == nil})
	}
	return nil
}

// Recall implements succession.Targets.
func (c *controlClient) Recall(ctx context.Context, group string) error {
	i, _, err := c.Adapter.Store.Read(ctx, replicaPrefix+group)
	if errors.Is(err, store.ErrAbsent) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the list of targets of group %s: %w", group, err)
	}
	if _, err := decodeEntry(func() (replicaList, error) { return decodeReplicas(i) }); err != nil {
		return err
	}
	c.directory.Apply(i)
	return nil
}
