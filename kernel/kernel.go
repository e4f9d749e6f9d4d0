// Package kernel runs the decisions of package group, one goroutine for each
// database group, and hands their actions to drivers.
//
// Drivers register themselves by name when their package is imported; the
// kernel starts every registered driver. A driver carries out the actions it
// knows and posts events back; it must never block the goroutine that hands
// it an action.
//
// # Usage
//
//	k := &kernel.Kernel{VM: "vm-1", Zone: "coban", Log: log, Meter: meter}
//	err := k.Run(ctx)
//	k.Configure(record)
//	answer := k.Submit(ctx, "choir", task)
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

// ErrNoGroup reports a group that the manifest in force does not name.
var ErrNoGroup = errors.New("no such group in the manifest")

// Kernel runs the groups of the manifest in force on one VM. Set the
// exported fields before Start.
type Kernel struct {
	// VM names this VM.
	VM string
	// Zone is this VM's availability zone.
	Zone string
	// Incarnation differs for each start of this VM.
	Incarnation uint64
	// Limits are the groups' times and bounds.
	Limits group.Limits
	// Strict makes a broken invariant panic.
	Strict bool
	// Log receives the groups' notes.
	Log logr.Logger
	// Meter counts endings and notes.
	Meter *Meter
	// Share returns how many connections to a target this VM may hold, and
	// whether the target is leaving.
	Share func(manifest.Target) (connections int, leaving bool)
	// Rank returns this VM's rank among those that watch the group, or a
	// negative number.
	Rank func(name string) int

	begun   time.Time
	drivers []Driver

	lock   sync.Mutex
	groups map[string]*Group
	record Record
	nextID uint64
}

// Record is a manifest and the version under which it was accepted.
type Record struct {
	Version  uint64
	Manifest *manifest.Manifest
}

// Start prepares the registered drivers.
func (k *Kernel) Start(ctx context.Context, parts Parts) error {
	k.begun = time.Now()
	k.groups = map[string]*Group{}
	for name, create := range registered() {
		d, err := create(ctx, k, parts)
		if err != nil {
			return fmt.Errorf("start driver %s: %w", name, err)
		}
		k.drivers = append(k.drivers, d)
	}
	return nil
}

// Now returns the time since Start on the monotonic clock.
func (k *Kernel) Now() time.Duration { return time.Since(k.begun) }

// Record returns the manifest in force.
func (k *Kernel) Record() Record {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.record
}

// Configure puts a manifest in force. A version at or below the one in force
// is ignored, whichever way it came; Configure then returns false.
func (k *Kernel) Configure(ctx context.Context, r Record) bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	if r.Version <= k.record.Version {
		return false
	}
	k.record = r
	k.apply(ctx)
	return true
}

// Refresh hands the groups changed shares and ranks.
func (k *Kernel) Refresh(ctx context.Context) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.record.Manifest != nil {
		k.apply(ctx)
	}
}

func (k *Kernel) apply(ctx context.Context) {
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

// Groups returns the running groups by name.
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

// NextID returns a number that this VM has not used for a request before.
func (k *Kernel) NextID() uint64 {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.nextID++
	return k.nextID
}

func (k *Kernel) startGroup(ctx context.Context, g manifest.Group) *Group {
	ctx, cancel := context.WithCancel(ctx)
	r := &Group{
		kernel:  k,
		name:    g.Name(),
		ctx:     ctx,
		cancel:  cancel,
		events:  make(chan group.Event, ringSize),
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
	r.learn(g)
	r.machine.Members, r.machine.Rank = r.members(g)
	go r.run(ctx)
	return r
}
