package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/logline"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// vmPrefix is the store's key prefix under which VMs register.
const vmPrefix = "amaranthsill/vms/"

// proxyPrefix is the key prefix of everything that VMs write to the store.
const proxyPrefix = "amaranthsill/"

// How long entries that were removed from the store still count.
const (
	// targetRetention is how long a target is still used after its entry was
	// removed. Entries that the store lost in an outage are written again within
	// 2 s.
	targetRetention = 2500 * time.Millisecond
	// recentPeerRetention is how long a VM that no longer counts as running is still
	// asked to yield before a leadership moves. Such a VM may rely on an older
	// record for up to succession.OutageLength.
	recentPeerRetention = 20 * time.Second
	// peerRetention is how long a VM still counts as running after its entry was
	// removed. It may still hold connections to targets, which close them after
	// 3 s.
	peerRetention = 6 * time.Second
)

// ErrInvalidPeer reports a VM's entry in the store that cannot be decoded.
var ErrInvalidPeer = errors.New("VM's entry cannot be read")

// Peer is a VM's entry in the store.
type Peer struct {
	// Name is the VM's name, which is also the end of its key.
	Name string `json:"name"`
	// Zone is the VM's availability zone.
	Zone string `json:"zone"`
	// Address is where the VM accepts calls from other VMs.
	Address string `json:"address"`
	// Relay is where the VM accepts relayed links to targets.
	Relay string `json:"relay"`
	// Cores is the VM's processor, in cores; zero if it is unknown.
	Cores float64 `json:"cores,omitempty"`
	// Incarnation differs for each start of the VM.
	Incarnation string `json:"incarnation"`
	// First reports that the VM started with the whole system, so that the others that did
	// know it from the beginning.
	First bool `json:"first,omitempty"`
	// Majority reports that the VM moves a leadership only once half of the VMs
	// have yielded, and not a third as builds that do not write it.
	Majority bool `json:"majority,omitempty"`
	// Silence reports that the VM, when it moves a leadership, counts no yield of a VM
	// whose entry says Silent, as builds do that do not write it.
	Silence bool `json:"silence,omitempty"`
	// Silent is written by another VM, which found that this one answers nobody. The
	// VM has no vote until it has registered again.
	Silent bool `json:"silent,omitempty"`
	// Left reports that the VM has stopped and serves nobody any more.
	Left bool `json:"left,omitempty"`
}

// position returns the entry without what changes at each start of the VM, so that
// a restart alone does not change the membership.
func (p Peer) position() Peer {
	p.Incarnation = ""
	p.First = false
	p.Silent = false
	p.Left = false
	return p
}

// decodePeer decodes a VM's entry. Its error wraps ErrInvalidPeer.
func decodePeer(i store.Item) (Peer, error) {
	p := Peer{}
	if err := json.Unmarshal(i.Value, &p); err != nil {
		return Peer{}, fmt.Errorf("decode VM %s: %w", i.Key, errors.Join(ErrInvalidPeer, err))
	}
	if p.Name != strings.TrimPrefix(i.Key, vmPrefix) || p.Address == "" {
		return Peer{}, fmt.Errorf("entry %s has another VM's name or no address: %w", i.Key, ErrInvalidPeer)
	}
	return p, nil
}

// Directory is a VM's copy of the store: targets, VMs, the configuration and the
// leader record. Set the exported fields before the first call.
type Directory struct {
	// Adapter decodes the platform's keys and entries.
	Adapter Adapter
	// Catalog gets each configuration that is put in force.
	Catalog *catalog.Catalog
	// Changed is called in a goroutine of its own after each change of Catalog; nil if
	// nobody needs to know.
	Changed func()
	// Grants gets each leader record.
	Grants *succession.Grants
	// Self is this VM's name, and Incarnation identifies its present start.
	Self, Incarnation string
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	Log logr.Logger

	lock sync.Mutex
	// items holds the newest known state of each key, including removed keys.
	items map[string]store.Item
	// newestRevision is the highest revision seen. Changes may arrive out of
	// order: completeRevision is the revision up to which every change is
	// known, and advanced is closed when it grows.
	newestRevision   store.Revision
	completeRevision store.Revision
	advanced         chan struct{}
	targets          map[string]*registration[pool.Target]
	peers            map[string]*registration[Peer]
	// departed holds the targets that are registered no more, as long as their logs may
	// matter; see Departed.
	departed map[departureKey]departure
	// listed holds by group what the store's list of targets has, and forgotten those of its
	// entries that no longer matter, with their groups.
	listed    map[string][]replica
	forgotten map[departureKey]string
	// leads are those of the newest leader record that was read.
	leads map[string]succession.Lead
	// byGroup holds the targets of each group, and present the membership; nil
	// after a change, until they are used again.
	byGroup map[string][]pool.Target
	present *membership
	// expiredAt is when Expire last ran.
	expiredAt time.Duration
	// recent holds the VMs that counted as running within recentPeerRetention, by
	// name.
	recent map[string]recentPeer
	// selfRemoved is the revision at which this VM's entry was last removed or last
	// began to say Silent or Left, and selfSilenced the one at which it did the latter. An
	// entry of an earlier start that says Left when this VM starts is no silence.
	selfRemoved, selfSilenced store.Revision
	// leftAt is when a VM's entry was last seen to say Left; zero if none was.
	leftAt time.Duration
	// selfSeen reports that this VM's own entry was read, and selfReturned that the
	// entry of an earlier start was still there before.
	selfSeen, selfReturned bool
	// invalid counts the states of entries that could not be used by kind, and repeats
	// limits the lines about them.
	invalid map[string]int
	repeats logline.Repeats
	// quiet suppresses the log lines of single targets and VMs while everything is
	// read, since they would grow with the fleet.
	quiet bool
}

// recentPeer is a VM that counts or recently counted as running, and the times at which
// it was first and last seen as a peer. A VM that returns after its entry said Silent
// or Left, or was gone for peerRetention, is seen for the first time again.
type recentPeer struct {
	Peer
	firstSeen, lastSeen time.Duration
	// returned reports that the VM returned in this way.
	returned bool
	// unheard reports that the VM's entry says Silent, and that this VM knows every
	// change up to that one.
	unheard bool
	// dropped reports that the VM no longer counts as running, since its entry is gone.
	dropped bool
}

// registration is an entry and the time since which it has been absent from the
// store; zero while it is there.
type registration[T any] struct {
	entry       T
	item        store.Item
	absentSince time.Duration
}

func (d *Directory) init() {
	if d.items == nil {
		d.items = map[string]store.Item{}
		d.targets = map[string]*registration[pool.Target]{}
		d.peers = map[string]*registration[Peer]{}
		d.recent = map[string]recentPeer{}
		d.departed = map[departureKey]departure{}
		d.listed = map[string][]replica{}
		d.forgotten = map[departureKey]string{}
	}
}

// Reset replaces everything by the items that the store held at or after a
// revision. Known keys that are not among them count as removed at that revision,
// so that peers that ask for changes learn of the removal as well.
func (d *Directory) Reset(items []store.Item, revision store.Revision) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.quiet = true
	d.replace("", items, revision)
	d.quiet = false
	d.Log.Info("read everything from the store", "revision", revision.String(), "keys", len(items), "targets", len(d.targets), "vms", len(d.peers))
}

// ResetPeers is like Reset for the VMs alone.
func (d *Directory) ResetPeers(items []store.Item, revision store.Revision) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.replace(vmPrefix, items, revision)
}

// replace applies the items that the store held under a prefix at or after a revision,
// and the removal of the others. The caller holds the lock.
func (d *Directory) replace(prefix string, items []store.Item, revision store.Revision) {
	seen := map[string]bool{}
	for _, i := range items {
		seen[i.Key] = true
		d.apply(i)
	}
	for key, i := range d.items {
		if strings.HasPrefix(key, prefix) && !seen[key] && !i.Deleted && i.Revision < revision {
			d.apply(store.Item{Key: key, Revision: revision, Deleted: true})
		}
	}
}

// Apply applies a change of one key. A change that is not newer than the known
// state of the key is ignored.
func (d *Directory) Apply(i store.Item) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.apply(i)
}

func (d *Directory) apply(i store.Item) {
	if i.Revision <= d.items[i.Key].Revision {
		return
	}
	d.items[i.Key] = d.withoutKeys(i)
	d.newestRevision = max(d.newestRevision, i.Revision)
	if id, ok := d.Adapter.ParseTargetKey(i.Key); ok {
		d.applyTarget(id, i)
		return
	}
	switch {
	case strings.HasPrefix(i.Key, vmPrefix):
		d.applyPeer(i)
	case strings.HasPrefix(i.Key, replicaPrefix):
		d.applyReplicas(strings.TrimPrefix(i.Key, replicaPrefix), i)
	case i.Deleted:
		d.Log.Info("key was removed from the store", "key", i.Key, "revision", i.Revision.String())
	case i.Key == d.Adapter.ConfigurationKey:
		d.applyConfiguration(i)
	case i.Key == succession.RecordKey:
		d.applyRecord(i)
	}
}

// MarkComplete records that every change up to a revision was applied.
func (d *Directory) MarkComplete(revision store.Revision) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if revision <= d.completeRevision {
		return
	}
	d.completeRevision = revision
	if d.advanced != nil {
		close(d.advanced)
		d.advanced = nil
	}
}

// CompleteRevision returns the revision up to which every change is known.
func (d *Directory) CompleteRevision() store.Revision {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.completeRevision
}

// Advanced returns a channel that is closed once CompleteRevision grows; nil if it is
// above the given revision already.
func (d *Directory) Advanced(revision store.Revision) <-chan struct{} {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.completeRevision > revision {
		return nil
	}
	if d.advanced == nil {
		d.advanced = make(chan struct{})
	}
	return d.advanced
}

// applyTarget records a target's entry, or its removal.
func (d *Directory) applyTarget(id string, i store.Item) {
	if i.Deleted {
		if d.targetRemoved(id, d.Now()) {
			d.Log.Info("target's entry was removed from the store", "target", id)
		}
		return
	}
	t, err := decodeEntry(func() (pool.Target, error) { return d.Adapter.DecodeTarget(i) })
	if err != nil {
		// It names no target to use. One that was named before may write its entry again.
		d.entryInvalid(entryTarget, i, err)
		d.targetRemoved(id, d.Now())
		return
	}
	old := d.targets[id]
	d.byGroup = nil
	d.returned(t)
	if old == nil && d.quiet {
		d.targets[id] = &registration[pool.Target]{entry: t, item: i}
		return
	}
	if old == nil || old.entry.Draining != t.Draining || old.entry.Role != t.Role || old.entry.Incarnation != t.Incarnation {
		d.Log.Info("target changed", "target", id, "group", t.Group, "zone", t.Zone, "role", t.Role.String(), "draining", t.Draining, "incarnation", t.Incarnation, "known", old != nil, "revision", i.Revision.String())
	}
	d.targets[id] = &registration[pool.Target]{entry: t, item: i}
}

// targetRemoved handles the removal of a target's entry. A draining target is
// dropped at once; any other stays in use until Expire, since its entry may be
// written again. It returns true if the target had an entry and stays in use.
func (d *Directory) targetRemoved(id string, now time.Duration) bool {
	t := d.targets[id]
	if t == nil {
		return false
	}
	if t.entry.Draining {
		d.Log.Info("draining target left", "target", id)
		d.dropTarget(id)
		return false
	}
	if t.absentSince != 0 {
		return false
	}
	t.absentSince = max(now, 1)
	d.byGroup = nil
	return true
}

// applyPeer records a VM's entry, or its removal.
func (d *Directory) applyPeer(i store.Item) {
	name := strings.TrimPrefix(i.Key, vmPrefix)
	if i.Deleted {
		if name == d.Self {
			d.selfRemoved = i.Revision
		}
		d.peerRemoved(name, d.Now())
		return
	}
	p, err := decodeEntry(func() (Peer, error) { return decodePeer(i) })
	if err != nil {
		d.entryInvalid(entryVM, i, err)
		return
	}
	if name == d.Self && !d.selfSeen {
		d.selfSeen = true
		d.selfReturned = !p.Left && !p.Silent && (i.Replaced || p.Incarnation != d.Incarnation)
	}
	old := d.peers[name]
	if p.Left || p.Silent {
		d.peerDiscounted(p, i)
		return
	}
	if old == nil && !d.quiet {
		d.Log.Info("VM joined", "peer", name, "zone", p.Zone, "address", p.Address)
	}
	r, dropped := d.recent[name]
	if old == nil && dropped || r.Silent || old != nil && (old.entry.Silent || old.entry.Left) {
		// VMs that do not know of the new entry yet do not count this VM.
		now := d.Now()
		d.recent[name] = recentPeer{Peer: p, firstSeen: now, lastSeen: now, returned: true}
	}
	if old == nil || old.entry.position() != p.position() {
		d.present = nil
	}
	d.peers[name] = &registration[Peer]{entry: p, item: i}
}

// peerRemoved records the time at which a VM's entry was removed.
func (d *Directory) peerRemoved(name string, now time.Duration) {
	p := d.peers[name]
	if p != nil && p.absentSince == 0 {
		d.Log.Info("VM's entry was removed from the store", "peer", name)
		p.absentSince = max(now, 1)
	}
}

// peerDiscounted records that a VM has stopped, or that it answers nobody. Its entry
// expires later.
func (d *Directory) peerDiscounted(p Peer, i store.Item) {
	old := d.peers[p.Name]
	if p.Name == d.Self {
		d.selfRemoved = i.Revision
		if p.Silent || old != nil && old.entry.Incarnation == d.Incarnation {
			d.selfSilenced = i.Revision
		}
	}
	if p.Left {
		d.leftAt = d.Now()
		delete(d.recent, p.Name)
	}
	if old == nil && p.Left {
		return
	}
	if old == nil {
		// A silent VM may still answer callers, and hold connections to targets.
		old = &registration[Peer]{}
		d.peers[p.Name] = old
		d.present = nil
	}
	if !d.quiet {
		d.Log.Info("VM has no vote any more", "peer", p.Name, "left", p.Left, "silent", p.Silent)
	}
	old.entry = p
	old.item = i
	if old.absentSince == 0 {
		old.absentSince = max(d.Now(), 1)
	}
}

// applyRecord passes a leader record to Grants.
func (d *Directory) applyRecord(i store.Item) {
	r, err := decodeEntry(func() (succession.Record, error) { return succession.DecodeRecord(i) })
	if err != nil {
		d.entryInvalid(entryRecord, i, err)
		return
	}
	d.forgetBefore(r, i.Revision)
	if d.Grants.Observe(r) {
		d.Log.Info("newer leader record received", "revision", r.Revision.String(), "writer", r.Writer)
	}
}

// ItemsSince returns the newest state of every key that changed after a revision,
// removed keys included.
func (d *Directory) ItemsSince(revision store.Revision) []store.Item {
	d.lock.Lock()
	defer d.lock.Unlock()
	list := []store.Item{}
	for _, i := range d.items {
		if i.Revision > revision {
			list = append(list, i)
		}
	}
	return list
}

// expireInterval is the least time between two passes of Expire, which takes time
// in proportion to the number of keys.
const expireInterval = 250 * time.Millisecond

// Expire drops the targets and VMs whose retention after removal is over, at most
// once in expireInterval.
func (d *Directory) Expire() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	now := d.Now()
	if d.expiredAt != 0 && now-d.expiredAt < expireInterval {
		return
	}
	d.expiredAt = now
	for id, t := range d.targets {
		if t.absentSince != 0 && now-t.absentSince > targetRetention {
			d.Log.Info("target was absent for too long; dropping it", "target", id)
			d.dropTarget(id)
		}
	}
	d.pruneTombstones()
	d.refreshRecent(now)
	for name, p := range d.recent {
		if now-p.lastSeen > recentPeerRetention {
			delete(d.recent, name)
		}
	}
	for name, p := range d.peers {
		if p.absentSince != 0 && now-p.absentSince > peerRetention {
			d.Log.Info("VM was absent for too long; no longer counting it", "peer", name)
			delete(d.peers, name)
			d.present = nil
		}
	}
}

// refreshRecent records when the VMs that count as running were seen.
func (d *Directory) refreshRecent(now time.Duration) {
	for name, p := range d.peers {
		if p.entry.Left {
			continue
		}
		r := recentPeer{Peer: p.entry, firstSeen: now, lastSeen: now}
		if old, ok := d.recent[name]; ok {
			r.firstSeen, r.returned = old.firstSeen, old.returned
		}
		d.recent[name] = r
	}
}

// tombstoneRevisions is for how many revisions a removed key is kept, so that
// peers that ask for changes learn of the removal.
const tombstoneRevisions = 4096

// pruneTombstones drops the removed keys that are older than tombstoneRevisions.
func (d *Directory) pruneTombstones() {
	for key, i := range d.items {
		if i.Deleted && i.Revision+tombstoneRevisions < d.newestRevision {
			delete(d.items, key)
		}
	}
}

// Targets returns the targets of a group, including those that are absent from
// the store for less than targetRetention. The caller must not change them.
func (d *Directory) Targets(group string) []pool.Target {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.grouped()[group]
}

// grouped returns the targets by group. The caller holds the lock.
func (d *Directory) grouped() map[string][]pool.Target {
	if d.byGroup == nil {
		d.byGroup = map[string][]pool.Target{}
		for _, t := range d.targets {
			entry := t.entry
			entry.Absent = t.absentSince != 0
			d.byGroup[entry.Group] = append(d.byGroup[entry.Group], entry)
		}
	}
	return d.byGroup
}

// Peers returns the VMs that may be running, sorted by name. This VM is among
// them if it is registered.
func (d *Directory) Peers() []Peer { return slices.Clone(d.members().peers) }

// members returns the VMs that may be running as a membership.
func (d *Directory) members() *membership {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.present == nil {
		list := []Peer{}
		for _, p := range d.peers {
			list = append(list, p.entry)
		}
		slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
		d.present = newMembership(list)
	}
	return d.present
}

// recentPeers returns the other VMs that counted as running within
// recentPeerRetention and have not stopped since.
func (d *Directory) recentPeers() []recentPeer {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.refreshRecent(d.Now())
	list := []recentPeer{}
	for name, p := range d.recent {
		if name == d.Self {
			continue
		}
		// The entry of a silent VM expires; what it said is known from before.
		p.dropped = d.peers[name] == nil
		p.unheard = p.Silent && d.items[vmPrefix+name].Revision <= d.completeRevision
		list = append(list, p)
	}
	return list
}

// votes reports whether a VM is registered and has a vote.
func (d *Directory) votes(name string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	p := d.peers[name]
	return p != nil && p.absentSince == 0
}

// vmLeftSince reports whether a VM has written since a time that it serves nobody any
// more. This VM remembers it no longer.
func (d *Directory) vmLeftSince(t time.Duration) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.leftAt > t
}

// leavers returns the VMs that still count as running, but have written that they serve
// nobody any more.
func (d *Directory) leavers() map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	list := map[string]bool{}
	for name, p := range d.peers {
		if p.entry.Left {
			list[name] = true
		}
	}
	return list
}

// PeerCount returns how many VMs may be running.
func (d *Directory) PeerCount() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.peers)
}

// SelfRemovedRevision returns the store's revision at which this VM's entry was
// last removed or last began to say Silent or Left; zero if it never was.
func (d *Directory) SelfRemovedRevision() store.Revision {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.selfRemoved
}

// Returned reports whether this VM started while the entry of its earlier start was still
// in the store, so that the other VMs count it all the while.
func (d *Directory) Returned() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.selfReturned
}

// selfSilencedRevision returns the store's revision at which this VM's entry last began
// to say Silent, or Left after it had registered; zero if it never did.
func (d *Directory) selfSilencedRevision() store.Revision {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.selfSilenced
}
