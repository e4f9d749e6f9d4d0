// Package kernel runs the state machine of package group for each database
// group, in one goroutine per group, and passes its actions to drivers.
//
// A driver performs the actions of one outside system and posts the results
// back as events. Drivers register by name in the init function of their
// package; Start creates every registered driver. A driver must not block in
// Perform, which runs on the group's goroutine.
//
// # Usage
//
//	k := &kernel.Kernel{VM: "vm-1", Zone: "coban", Log: log, Metrics: metrics}
//	err := k.Start(ctx, dependencies)
//	k.Configure(ctx, record)
//	g, err := k.Group("choir")
//	ending := <-g.Submit(ctx, task)
package kernel

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/group"
	"amaranthsill/manifest"
)

// ErrNoGroup means that the manifest in force has no group of that name.
var ErrNoGroup = errors.New("no such group in the manifest")

// Kernel runs the groups of the manifest in force on one VM. Set the
// exported fields before Start.
type Kernel struct {
	// VM is this VM's name.
	VM string
	// Zone is this VM's availability zone.
	Zone string
	// Incarnation is a number that differs for each start of this VM.
	Incarnation uint64
	// Limits are the timeouts and bounds of the groups' state machines.
	Limits group.Limits
	// Strict makes a violated invariant panic instead of being logged and
	// counted.
	Strict bool
	// Log receives the notes of the groups' state machines.
	Log logr.Logger
	// Metrics counts request endings, promotions and invariant violations.
	Metrics *Metrics
	// ConnectionShare returns how many connections to a target this VM may
	// hold, and whether the target is leaving and must get no new work.
	ConnectionShare func(manifest.Target) (connections int, leaving bool)
	// Rank returns this VM's rank among the VMs that monitor the primary of the
	// named group; negative if it is not one of them.
	Rank func(name string) int

	startedAt time.Time
	drivers   []Driver

	// lock guards the fields below.
	lock   sync.Mutex
	groups map[string]*Group
	record Record
	nextID uint64
}

// Record is a parsed manifest together with its version in the platform's store.
// A store.Record holds the text of the manifest instead.
// Versions only increase.
type Record struct {
	Version  uint64
	Manifest *manifest.Manifest
}

// Start creates all registered drivers. It returns the first error of a
// driver's factory. Groups are started by Configure.
func (k *Kernel) Start(ctx context.Context, dependencies Dependencies) error {
	k.startedAt = time.Now()
	k.groups = map[string]*Group{}
	for name, create := range registeredFactories() {
		d, err := create(ctx, k, dependencies)
		if err != nil {
			return fmt.Errorf("start driver %s: %w", name, err)
		}
		k.drivers = append(k.drivers, d)
	}
	return nil
}

// Now returns the time since Start on the monotonic clock. All times of the
// state machines, request deadlines included, use it.
func (k *Kernel) Now() time.Duration { return time.Since(k.startedAt) }

// Record returns the manifest in force; its version is zero if there is none
// yet.
func (k *Kernel) Record() Record {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.record
}

// Configure puts a manifest in force and reports whether it did. It ignores a
// version that is not above the one in force, whether the record came from the
// platform's store or from a peer. Groups that the manifest does not name are
// retired.
func (k *Kernel) Configure(ctx context.Context, r Record) bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	if r.Version <= k.record.Version {
		return false
	}
	k.record = r
	k.applyManifest(ctx)
	return true
}

// Refresh recomputes connection shares, leaving marks and ranks for all groups.
// Call it after the set of VMs or leaving machines has changed.
func (k *Kernel) Refresh(ctx context.Context) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.record.Manifest != nil {
		k.applyManifest(ctx)
	}
}

// applyManifest starts, reconfigures and retires groups so that they match the
// manifest in force. The lock is held.
func (k *Kernel) applyManifest(ctx context.Context) {
	wanted := map[string]bool{}
	for _, g := range k.record.Manifest.Groups() {
		wanted[g.Name()] = true
		if running := k.groups[g.Name()]; running != nil {
			running.configure(g)
			continue
		}
		k.groups[g.Name()] = k.startGroup(ctx, g)
	}
	for name, g := range k.groups {
		if !wanted[name] {
			g.retire()
			delete(k.groups, name)
		}
	}
}

// Group returns the running group of that name. Its error wraps ErrNoGroup.
func (k *Kernel) Group(name string) (*Group, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	g := k.groups[name]
	if g == nil {
		return nil, fmt.Errorf("look up group %q: %w", name, ErrNoGroup)
	}
	return g, nil
}

// Groups returns the running groups, sorted by name.
func (k *Kernel) Groups() []*Group {
	k.lock.Lock()
	defer k.lock.Unlock()
	names := slices.Sorted(maps.Keys(k.groups))
	groups := make([]*Group, 0, len(names))
	for _, name := range names {
		groups = append(groups, k.groups[name])
	}
	return groups
}

// NextID returns an ID that this kernel has not returned before. Requests and
// sessions take their IDs from the same sequence.
func (k *Kernel) NextID() uint64 {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.nextID++
	return k.nextID
}

// startGroup starts the goroutine of a group that the manifest has added.
func (k *Kernel) startGroup(ctx context.Context, g manifest.Group) *Group {
	ctx, cancel := context.WithCancel(ctx)
	r := &Group{
		kernel:  k,
		name:    g.Name(),
		ctx:     ctx,
		cancel:  cancel,
		events:  make(chan group.Event, eventQueueSize),
		tasks:   map[uint64]*Task{},
		targets: map[string]manifest.Target{},
		machine: &group.Machine{
			Name:        g.Name(),
			VM:          k.VM,
			Zone:        k.Zone,
			Incarnation: k.Incarnation,
			Limits:      k.Limits,
			Seed:        maphash.String(maphash.MakeSeed(), g.Name()),
			Strict:      k.Strict,
			Rank:        -1,
		},
	}
	r.addTargets(g)
	r.machine.Members, r.machine.Rank = r.membership(g)
	go r.run(ctx)
	return r
}
