package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// vmPrefix is the store's prefix under which VMs register.
const vmPrefix = "amaranthsill/vms/"

// ownPrefix is the prefix of all that VMs write.
const ownPrefix = "amaranthsill/"

// The times for which what vanished from the store is kept.
const (
	// targetMemory is how long a target whose entry vanished is still used.
	// Entries that a store lost during an outage are back within 2 s.
	targetMemory = 2500 * time.Millisecond
	// formerMemory is how long a VM that vanished is asked before a leadership
	// moves: it may vouch for older records for succession.OutageLength.
	formerMemory = 20 * time.Second
	// vmMemory is how long a VM that vanished still counts: it may hold
	// connections to targets, which drop them after 3 s.
	vmMemory = 6 * time.Second
)

// ErrPeer reports a VM's entry that cannot be read.
var ErrPeer = errors.New("VM's entry cannot be read")

// Peer is another VM as it registered itself.
type Peer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Relay is where it accepts links to targets.
	Relay string `json:"relay"`
	// Incarnation differs for each start of the VM.
	Incarnation string `json:"incarnation"`
}

func decodePeer(i store.Item) (Peer, error) {
	p := Peer{}
	if err := json.Unmarshal(i.Value, &p); err != nil {
		return Peer{}, fmt.Errorf("decode VM %s: %w", i.Key, errors.Join(ErrPeer, err))
	}
	if p.Name != strings.TrimPrefix(i.Key, vmPrefix) || p.Address == "" {
		return Peer{}, fmt.Errorf("VM %s has another name or no address: %w", i.Key, ErrPeer)
	}
	return p, nil
}

// Directory is what a VM knows of targets and VMs. Set the exported fields
// before the first call.
type Directory struct {
	Adapter Adapter
	Catalog *catalog.Catalog
	Grants  *succession.Grants
	// Self is this VM's name.
	Self string
	Now  func() time.Duration
	Log  logr.Logger

	lock sync.Mutex
	// items hold the newest state seen of each key, removed ones too.
	items map[string]store.Item
	// newest is the highest revision seen. Changes may have been heard out of
	// turn; complete is the revision up to which all are known, and changed is
	// closed when it grows.
	newest   uint64
	complete uint64
	changed  chan struct{}
	targets  map[string]*registered[pool.Target]
	peers    map[string]*registered[Peer]
	// former are the VMs that ran of late, and when they vanished or were last
	// seen.
	former map[string]formerPeer
	// ownGone is the revision at which this VM's entry was last removed.
	ownGone uint64
}

// formerPeer is a VM that ran of late, and when it was first and last seen.
type formerPeer struct {
	Peer
	joined, seen time.Duration
}

// registered is an entry and when it vanished from the store; zero while it
// stands.
type registered[T any] struct {
	entry  T
	item   store.Item
	absent time.Duration
}

func (d *Directory) init() {
	if d.items == nil {
		d.items = map[string]store.Item{}
		d.targets = map[string]*registered[pool.Target]{}
		d.peers = map[string]*registered[Peer]{}
		d.former = map[string]formerPeer{}
	}
}

// Reset takes in all items under a prefix; what is not among them is gone.
func (d *Directory) Reset(prefix string, items []store.Item) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	seen := map[string]bool{}
	for _, i := range items {
		seen[i.Key] = true
		d.take(i)
	}
	now := d.Now()
	for id, t := range d.targets {
		if strings.HasPrefix(t.item.Key, prefix) && !seen[t.item.Key] {
			d.dropTarget(id, now)
		}
	}
	for name, p := range d.peers {
		if strings.HasPrefix(p.item.Key, prefix) && !seen[p.item.Key] {
			d.dropPeer(name, now)
		}
	}
}

// Take takes in a change of one key.
func (d *Directory) Take(i store.Item) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	d.take(i)
}

func (d *Directory) take(i store.Item) {
	if i.Revision <= d.items[i.Key].Revision {
		return
	}
	d.items[i.Key] = i
	d.newest = max(d.newest, i.Revision)
	if id, ok := d.Adapter.TargetID(i.Key); ok {
		d.takeTarget(id, i)
		return
	}
	switch {
	case strings.HasPrefix(i.Key, vmPrefix):
		d.takePeer(i)
	case i.Deleted:
		d.Log.Info("key was removed", "key", i.Key, "revision", i.Revision)
	case i.Key == d.Adapter.ConfigurationKey:
		d.takeConfiguration(i)
	case i.Key == succession.RecordKey:
		d.takeRecord(i)
	}
}

// Completed notes that every change up to a revision was taken in.
func (d *Directory) Completed(revision uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if revision <= d.complete {
		return
	}
	d.complete = revision
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Complete returns the revision up to which every change is known.
func (d *Directory) Complete() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.complete
}

// Await returns once every change up to more than a revision is known, at the
// latest after the given time.
func (d *Directory) Await(ctx context.Context, revision uint64, wait time.Duration) {
	d.lock.Lock()
	if d.complete > revision || wait <= 0 {
		d.lock.Unlock()
		return
	}
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	changed := d.changed
	d.lock.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (d *Directory) takeTarget(id string, i store.Item) {
	if i.Deleted {
		d.dropTarget(id, d.Now())
		return
	}
	t, err := d.Adapter.Target(i)
	if err != nil {
		// An entry of another writer names no target to use.
		d.Log.Info("entry set aside", "key", i.Key, "reason", err.Error())
		d.dropTarget(id, d.Now())
		return
	}
	old := d.targets[id]
	if old == nil || old.entry.Draining != t.Draining || old.entry.Role != t.Role || old.entry.Incarnation != t.Incarnation {
		d.Log.Info("target changed", "target", id, "group", t.Group, "zone", t.Zone, "role", t.Role.String(), "draining", t.Draining, "revision", i.Revision)
	}
	d.targets[id] = &registered[pool.Target]{entry: t, item: i}
}

// dropTarget notes that a target's entry vanished. One that was draining has
// left; another may be back soon.
func (d *Directory) dropTarget(id string, now time.Duration) {
	t := d.targets[id]
	if t == nil {
		return
	}
	if t.entry.Draining {
		d.Log.Info("target left", "target", id)
		delete(d.targets, id)
		return
	}
	if t.absent == 0 {
		d.Log.Info("target's entry vanished", "target", id)
		t.absent = max(now, 1)
	}
}

func (d *Directory) takePeer(i store.Item) {
	name := strings.TrimPrefix(i.Key, vmPrefix)
	if i.Deleted {
		if name == d.Self {
			d.ownGone = i.Revision
		}
		d.dropPeer(name, d.Now())
		return
	}
	p, err := decodePeer(i)
	if err != nil {
		d.Log.Info("entry set aside", "key", i.Key, "reason", err.Error())
		return
	}
	if d.peers[name] == nil {
		d.Log.Info("VM joined", "peer", name, "zone", p.Zone, "address", p.Address)
	}
	d.peers[name] = &registered[Peer]{entry: p, item: i}
}

func (d *Directory) dropPeer(name string, now time.Duration) {
	p := d.peers[name]
	if p != nil && p.absent == 0 {
		d.Log.Info("VM's entry vanished", "peer", name)
		p.absent = max(now, 1)
	}
}

func (d *Directory) takeConfiguration(i store.Item) {
	c, err := d.Adapter.Configuration(i.Value)
	if err != nil {
		d.Log.Error(err, "configuration set aside", "revision", i.Revision)
		return
	}
	if d.Catalog.Adopt(c) {
		d.Log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "revision", i.Revision)
	}
}

func (d *Directory) takeRecord(i store.Item) {
	r, err := succession.DecodeRecord(i)
	if err != nil {
		d.Log.Error(err, "record of leaders set aside", "revision", i.Revision)
		return
	}
	if d.Grants.Observe(r) {
		d.Log.Info("leaders known", "revision", r.Revision, "writer", r.Writer)
	}
}

// Since returns the newest items above a revision.
func (d *Directory) Since(revision uint64) []store.Item {
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

// Expire forgets what vanished long enough ago.
func (d *Directory) Expire() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.init()
	now := d.Now()
	for id, t := range d.targets {
		if t.absent != 0 && now-t.absent > targetMemory {
			d.Log.Info("target is taken as gone", "target", id)
			delete(d.targets, id)
		}
	}
	d.forget()
	for name, p := range d.peers {
		joined := now
		if old, ok := d.former[name]; ok {
			joined = old.joined
		}
		d.former[name] = formerPeer{Peer: p.entry, joined: joined, seen: now}
	}
	for name, p := range d.former {
		if now-p.seen > formerMemory {
			delete(d.former, name)
		}
	}
	for name, p := range d.peers {
		if p.absent != 0 && now-p.absent > vmMemory {
			d.Log.Info("VM is taken as gone", "peer", name)
			delete(d.peers, name)
		}
	}
}

// removedKept is how many revisions a removed key is remembered, so that
// peers hear of the removal.
const removedKept = 4096

// forget drops removed keys of long ago.
func (d *Directory) forget() {
	for key, i := range d.items {
		if i.Deleted && i.Revision+removedKept < d.newest {
			delete(d.items, key)
		}
	}
}

// Targets returns the targets of a group that are in use.
func (d *Directory) Targets(group string) []pool.Target {
	d.lock.Lock()
	defer d.lock.Unlock()
	list := []pool.Target{}
	for _, t := range d.targets {
		if t.entry.Group == group {
			list = append(list, t.entry)
		}
	}
	return list
}

// Groups returns the names of the groups that have targets.
func (d *Directory) Groups() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	names := map[string]bool{}
	for _, t := range d.targets {
		names[t.entry.Group] = true
	}
	list := []string{}
	for n := range names {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// Peers returns the VMs that may be running, this one among them if it is
// registered.
func (d *Directory) Peers() []Peer {
	d.lock.Lock()
	defer d.lock.Unlock()
	list := []Peer{}
	for _, p := range d.peers {
		list = append(list, p.entry)
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// remembered returns the other VMs that ran of late.
func (d *Directory) remembered() []formerPeer {
	d.lock.Lock()
	defer d.lock.Unlock()
	list := []formerPeer{}
	for name, p := range d.former {
		if name != d.Self {
			list = append(list, p)
		}
	}
	return list
}

// Count returns how many VMs may be running.
func (d *Directory) Count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.peers)
}

// OwnGone returns the revision at which this VM's entry was last removed;
// zero if it never was.
func (d *Directory) OwnGone() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.ownGone
}
