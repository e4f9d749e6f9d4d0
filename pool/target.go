// Package pool implements the connection pool of a database group. It shares
// the connections to the group's targets among the sessions of one VM, chooses
// the target of each statement, queues statements by priority while no
// connection is free, and backs off from targets that fail or are full.
//
// # Usage
//
//	g := &pool.Group{Name: "choir", Zone: "coban", Dialer: dialer, Now: clock.SinceBoot}
//	g.Configure(targets, budget)
//	slot, err := g.Acquire(ctx, pool.Need{Leader: true, Until: until})
//	reply, err := slot.Run(pool.Forward{Query: q})
//	slot.Release()
package pool

import (
	"context"
	"errors"
	"time"

	"amaranthsill/query"
	"amaranthsill/session"
)

// Role is the replication role that a target reports.
type Role uint8

// The replication roles that a target can report.
const (
	RoleUnknown Role = iota
	RoleReplica
	RolePrimary
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// Target is a registered database server.
type Target struct {
	ID      string
	Group   string
	Address string
	Zone    string
	// Slots is the number of statements that the target runs concurrently.
	Slots int
	Role  Role
	// Draining reports that no new work may be sent to the target.
	Draining bool
	// Absent reports that the target's entry was removed from the store a moment
	// ago. It is still used, since an entry that the store lost is written again.
	Absent bool
	// Incarnation differs between starts of the target under the same ID.
	Incarnation int64
	// Cold is the remaining time for which the target is slow after its start.
	Cold time.Duration
}

// Report is the answer of a target to a Status, StepDown or Pause order.
type Report struct {
	Role Role
	Term uint64
	// Received is the position up to which the target has received the log.
	Received query.Position
	// Lag is the target's replication lag.
	Lag time.Duration
}

// ErrReserved reports that a dial was not attempted because the target's
// connections are reserved for other VMs. It is no sign that the target is
// unreachable.
var ErrReserved = errors.New("connections to the target are reserved for other VMs")

// Dialer opens links to targets.
type Dialer interface {
	// Dial opens a link for a customer and returns the target's log position. The
	// name is empty where the deployment has no customers, and for control orders.
	// A refusal by the target is returned as *query.Failure.
	Dial(ctx context.Context, t Target, customer string) (Link, query.Position, error)
	// Affinity returns a text that is equal for two customers whose links to a target
	// are opened in the same way, so that a CustomerLink of one can serve the other.
	// It is called often and while the group is locked: it must be fast, and must not
	// call the group.
	Affinity(t Target, customer string) string
	// ParseStatus reads a Report from the answer to a Status, StepDown or
	// Pause order.
	ParseStatus(r query.Reply) (Report, error)
}

// Link is an open connection to a target. Orders are answered in the sequence
// in which they are sent.
type Link interface {
	// Send writes orders without waiting for the answers.
	Send(orders ...Order) error
	// Receive returns the answer to the oldest unanswered order.
	Receive() (query.Reply, error)
	// SetDeadline sets the wall-clock deadline of Send and Receive.
	SetDeadline(t time.Time) error
	// Close closes the connection; the target rolls back an open transaction.
	Close()
}

// CustomerLink is a link that several customers can use in turn. Any other link
// belongs to the customer for which it was opened.
type CustomerLink interface {
	Link
	// SetCustomer names the customer of the orders that follow, and the priority of
	// its route.
	SetCustomer(name string, priority int)
}

// Order is a request to a target.
type Order interface{ order() }

// Begin opens a transaction on a target that has reached the position After.
type Begin struct {
	ReadOnly bool
	After    query.Position
}

// Forward runs a caller's query unchanged on a target that has reached the
// position After.
type Forward struct {
	Query query.Query
	After query.Position
}

// ForwardPlan executes a prepared statement on a target that has reached the
// position After, under the name that the statement has on the link.
type ForwardPlan struct {
	Query     query.Query
	Plan      query.Plan
	Arguments string
	After     query.Position
}

// Rollback rolls back a transaction that the caller abandoned.
type Rollback struct{}

// Align performs one step in changing the link's session state.
type Align struct{ Step session.Step }

// Confirm is answered with a success without rows, and changes nothing that statements see.
// A link sends it to find out whether an earlier answer is the last one before its own.
type Confirm struct{}

// Locate requests only a log position of the target. It does not occupy any of the
// target's slots.
type Locate struct {
	// MaxAge is how old the position may be: one that includes every commit
	// acknowledged earlier is enough. A holder that knows one answers itself; a
	// target always returns its present one.
	MaxAge time.Duration
}

// Status requests a Report.
type Status struct{}

// StepDown demotes a primary of a term lower than Term to a replica.
type StepDown struct{ Term uint64 }

// Pause stops a replica from receiving the log while the term begins.
type Pause struct{ Term uint64 }

func (Begin) order()       {}
func (Forward) order()     {}
func (ForwardPlan) order() {}
func (Rollback) order()    {}
func (Align) order()       {}
func (Confirm) order()     {}
func (Locate) order()      {}
func (Status) order()      {}
func (StepDown) order()    {}
func (Pause) order()       {}
