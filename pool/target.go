// Package pool shares the connections to a database group's targets among the
// sessions of one VM. It decides which target a statement goes to, who waits,
// in which order, and when a target is given up for a while.
//
// # Usage
//
//	g := &pool.Group{Name: "choir", Zone: "coban", Dialer: dialer, Now: clock.Boot}
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

// Role is what a target says that it is.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RoleReplica
	RolePrimary
)

// String returns the role's word.
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

// Target is a database server as it registered itself.
type Target struct {
	ID      string
	Group   string
	Address string
	Zone    string
	// Slots is how many statements it runs at a time.
	Slots int
	Role  Role
	// Draining reports that it must get no new work.
	Draining bool
	// Incarnation differs for each start under the same ID.
	Incarnation int64
	// Cold is how much longer the target is slow after its start.
	Cold time.Duration
}

// Report is a target's own account of itself.
type Report struct {
	Role Role
	Term uint64
	// Received is the position that the target's log has reached.
	Received query.Position
	Lag      time.Duration
}

// ErrScarce reports that a target's connections are left to others; it says
// nothing of the target.
var ErrScarce = errors.New("connections are left to others")

// Dialer opens links to targets.
type Dialer interface {
	// Dial opens a link and returns the target's position. A target that
	// refuses is reported as *query.Failure.
	Dial(ctx context.Context, t Target) (Link, query.Position, error)
	// ParseStatus reads the answer to a Status order.
	ParseStatus(r query.Reply) (Report, error)
}

// Link is an open connection to a target. It answers orders in turn.
type Link interface {
	// Send writes orders without waiting for their answers.
	Send(orders ...Order) error
	// Receive returns the answer to the oldest unanswered order.
	Receive() (query.Reply, error)
	// SetDeadline bounds Send and Receive.
	SetDeadline(t time.Time) error
	// Close drops the connection; the target rolls back what is open.
	Close()
}

// Order is something that a target is told to do.
type Order interface{ order() }

// Begin opens a transaction on a target that shows the given position.
type Begin struct {
	ReadOnly bool
	After    query.Position
}

// Forward runs a caller's query unchanged.
type Forward struct {
	Query query.Query
	After query.Position
}

// ForwardPlan runs a caller's query that executes a prepared statement, under
// the statement's name on the link.
type ForwardPlan struct {
	Query     query.Query
	Plan      query.Plan
	Arguments string
	After     query.Position
}

// Rollback ends a transaction that the caller gave up or lost.
type Rollback struct{}

// Align changes the link's session state.
type Align struct{ Step session.Step }

// Locate asks for nothing but the position that comes with every answer; it
// takes none of the target's slots.
type Locate struct{}

// Status asks a target for a Report.
type Status struct{}

// StepDown makes a primary of a lower term a replica.
type StepDown struct{ Term uint64 }

// Pause stops a replica from receiving while a term begins.
type Pause struct{ Term uint64 }

func (Begin) order()       {}
func (Forward) order()     {}
func (ForwardPlan) order() {}
func (Rollback) order()    {}
func (Align) order()       {}
func (Locate) order()      {}
func (Status) order()      {}
func (StepDown) order()    {}
func (Pause) order()       {}
