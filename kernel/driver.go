package kernel

import (
	"context"
	"maps"
	"sync"

	"amaranthsill/group"
	"amaranthsill/store"
)

// Driver performs the state machine's actions on one outside system, such as the
// platform's leases or the database targets.
type Driver interface {
	// Perform starts an action that belongs to this driver and reports true. It
	// reports false for an action of another driver. It must not block; results
	// are posted to g as events.
	Perform(ctx context.Context, g *Group, a group.Action) bool
}

// Dependencies holds the clients that drivers use to reach outside systems.
type Dependencies struct {
	// Store is the client of the platform's key-value service.
	Store store.Store
	// Peers asks VMs in other zones about targets; nil if this VM has no peers.
	Peers Peers
}

// Peers asks VMs in other availability zones whether they reach a target.
type Peers interface {
	// AskTarget asks one VM in each other zone whether it has a recent answer
	// from a target of the group. It calls report once per answer; a VM that
	// does not answer produces no call.
	AskTarget(ctx context.Context, group, target string, report func(zone string, responsive bool))
}

// Factory creates a driver for a kernel. Start calls it once.
type Factory func(ctx context.Context, k *Kernel, p Dependencies) (Driver, error)

// registry holds the factories that Register has added, by name.
var registry struct {
	lock      sync.Mutex
	factories map[string]Factory
}

// Register adds a driver's factory under a unique name. Drivers call it from
// init. It panics if the name is already registered.
func Register(name string, f Factory) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	if registry.factories == nil {
		registry.factories = map[string]Factory{}
	}
	if registry.factories[name] != nil {
		panic("kernel: driver " + name + " registered twice")
	}
	registry.factories[name] = f
}

// registeredFactories returns a copy of the registry.
func registeredFactories() map[string]Factory {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	return maps.Clone(registry.factories)
}
