// Package catalog holds the operators' configuration as one VM knows it: the
// routes by database name, the groups, and a version that never goes back.
//
// # Usage
//
//	c := &catalog.Catalog{}
//	c.Adopt(configuration)
//	route, ok := c.Route("choir")
package catalog

import (
	"sync/atomic"
	"time"
)

// Consistency is what a route's reads must show.
type Consistency uint8

// The consistencies.
const (
	// ConsistencyCurrent shows every acknowledged commit.
	ConsistencyCurrent Consistency = iota
	// ConsistencyBounded shows every commit acknowledged longer ago than the
	// route's staleness.
	ConsistencyBounded
	// ConsistencySession shows what ConsistencyBounded does and all that the
	// session itself committed.
	ConsistencySession
)

// Route is what callers of one database may expect.
type Route struct {
	Name     string
	Database string
	Group    string
	// Consistency and Staleness bound what reads may miss.
	Consistency Consistency
	Staleness   time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders routes under load; zero is the highest.
	Priority int
}

// Group is a database group's limits.
type Group struct {
	Name string
	// Connections is the limit of each target, for all VMs together.
	Connections int
	// Synchronous is how many replicas hold a commit before the primary
	// acknowledges it.
	Synchronous int
}

// Configuration is one version of the operators' configuration. It is not
// changed after it was adopted.
type Configuration struct {
	Version uint64
	// Routes are keyed by database name.
	Routes map[string]*Route
	// Groups are keyed by name.
	Groups map[string]Group
	// TransactionIdle is how long a transaction may be idle.
	TransactionIdle time.Duration
}

// Catalog is the configuration in force on a VM. The zero Catalog is empty
// and ready for use.
type Catalog struct {
	current atomic.Pointer[Configuration]
}

// Adopt puts a configuration in force and reports whether it was newer than
// the one before; an older one is ignored.
func (c *Catalog) Adopt(n *Configuration) bool {
	for {
		old := c.current.Load()
		if old != nil && n.Version <= old.Version {
			return false
		}
		if c.current.CompareAndSwap(old, n) {
			return true
		}
	}
}

// Current returns the configuration in force, or nil before the first.
func (c *Catalog) Current() *Configuration { return c.current.Load() }

// Route returns the route of a database.
func (c *Catalog) Route(database string) (*Route, bool) {
	n := c.current.Load()
	if n == nil {
		return nil, false
	}
	r, ok := n.Routes[database]
	return r, ok
}
