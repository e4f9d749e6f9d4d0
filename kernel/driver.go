package kernel

import (
	"context"
	"maps"
	"sync"

	"amaranthsill/group"
	"amaranthsill/store"
)

// Driver carries out the actions of one kind of outside system.
type Driver interface {
	// Carry reports whether the action is one of the driver's own, and
	// starts it. It must not block.
	Carry(ctx context.Context, g *Group, a group.Action) bool
}

// Parts are the clients of outside systems that drivers share.
type Parts struct {
	// Store is the platform's key-value service.
	Store store.Store
	// Peers asks other VMs; nil if there are none.
	Peers Peers
}

// Peers asks the VMs of other zones what they see.
type Peers interface {
	// AskTarget asks one VM of each other zone whether it hears a target of
	// the group, and calls saw with each answer.
	AskTarget(ctx context.Context, group, target string, saw func(zone string, hears bool))
}

// Create makes a driver for a kernel.
type Create func(ctx context.Context, k *Kernel, p Parts) (Driver, error)

var registry struct {
	lock    sync.Mutex
	creates map[string]Create
}

// Register adds a driver under a name. Drivers call it from init; a second
// driver of the same name panics.
func Register(name string, c Create) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	if registry.creates == nil {
		registry.creates = map[string]Create{}
	}
	if registry.creates[name] != nil {
		panic("kernel: driver " + name + " registered twice")
	}
	registry.creates[name] = c
}

func registered() map[string]Create {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return maps.Clone(registry.creates)
}
