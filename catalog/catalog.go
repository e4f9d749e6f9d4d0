// Package catalog holds the operators' configuration that is in force on one
// VM: the routes by database name and the limits of the groups. A configuration
// is replaced only by one of a higher version.
//
// # Usage
//
//	c := &catalog.Catalog{}
//	c.Update(configuration)
//	route, ok := c.Route("choir")
package catalog

import (
	"sync/atomic"
	"time"

	"amaranthsill/customer"
)

// Consistency is the guarantee of a route about the commits that its reads
// show.
type Consistency uint8

// The guarantees of a route.
const (
	// ConsistencyCurrent means that reads show every acknowledged commit.
	ConsistencyCurrent Consistency = iota
	// ConsistencyBounded means that reads show every commit that was
	// acknowledged longer ago than the route's MaxStaleness.
	ConsistencyBounded
	// ConsistencySession means that reads show what ConsistencyBounded
	// guarantees and also every commit of the same session.
	ConsistencySession
)

// Route describes how the statements of callers of one database are served.
type Route struct {
	Name string
	// Database is the database name that callers give when they connect.
	Database string
	// Group is the name of the database group that serves the route.
	Group string
	// Consistency is the guarantee for reads.
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that reads show, for
	// ConsistencyBounded and ConsistencySession.
	MaxStaleness time.Duration
	// Timeout limits the time of one statement.
	Timeout time.Duration
	// LatencyObjective is the latency objective of a whole operation.
	LatencyObjective time.Duration
	// Priority ranks routes under load; zero is the highest priority.
	Priority int
	// Public means that callers need no key.
	Public bool
}

// Group holds the limits of a database group.
type Group struct {
	Name string
	// ConnectionLimit is the connection limit of each target, summed over all VMs.
	ConnectionLimit int
	// SyncReplicas is the number of replicas that certainly hold a commit before
	// the leader acknowledges it.
	SyncReplicas int
}

// Configuration is one version of the operators' configuration. It must not be
// changed after it has been passed to Catalog.Update.
type Configuration struct {
	Version uint64
	// Routes are keyed by database name.
	Routes map[string]*Route
	// Groups are keyed by name.
	Groups map[string]Group
	// Customers are the customers with their keys and limits; nil if the deployment
	// has none.
	Customers *customer.Set
	// TransactionIdleTimeout is the time for which a transaction may be idle.
	TransactionIdleTimeout time.Duration
}

// Catalog holds the configuration in force on a VM. The zero Catalog holds none
// and is ready for use. It is safe for concurrent use.
type Catalog struct {
	current atomic.Pointer[Configuration]
}

// Update puts a configuration in force if its version is higher than that of the
// current one, and reports whether it did.
func (c *Catalog) Update(next *Configuration) bool {
	for {
		current := c.current.Load()
		if current != nil && next.Version <= current.Version {
			return false
		}
		if c.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Current returns the configuration in force, or nil if there is none yet.
func (c *Catalog) Current() *Configuration { return c.current.Load() }

// Route returns the route of a database name. The second result is false if
// there is none.
func (c *Catalog) Route(database string) (*Route, bool) {
	current := c.current.Load()
	if current == nil {
		return nil, false
	}
	r, ok := current.Routes[database]
	return r, ok
}
