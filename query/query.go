// Package query defines the requests that callers make on a session and the
// replies of targets, independently of the wire protocol that carries them.
//
// # Usage
//
//	switch op := q.Operation.(type) {
//	case query.Begin:
//		open(op.ReadOnly)
//	case query.Read:
//		read(op.Item)
//	}
package query

import "time"

// Query is one request of a session. Its text is forwarded to the target
// unchanged.
type Query struct {
	// ID identifies one attempt of the caller; a retry has a different ID.
	ID string
	// Text is the statement as the caller wrote it.
	Text string
	// Operation is the parsed form of Text.
	Operation Operation
}

// InternalID is the ID of queries that the proxy issues on its own account.
const InternalID = "-"

// Operation is the typed form of a query: one of the types below, from Begin
// to Malformed.
type Operation interface{ operation() }

// Access tells whether a statement may change data.
//
// The values are sent as numbers between VMs that may run different builds,
// so their order must not change.
type Access uint8

// The kinds of access.
const (
	AccessRead Access = iota
	AccessWrite
)

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits the open transaction.
type Commit struct{}

// Rollback rolls back the open transaction.
type Rollback struct{}

// Read reads one item.
type Read struct{ Item string }

// Write changes one item.
type Write struct{ Item string }

// Set assigns a value to a session variable.
type Set struct{ Name, Value string }

// Prepare defines a prepared statement for the rest of the session.
type Prepare struct {
	Name string
	Plan Plan
}

// Execute runs a prepared statement. Arguments is the text that follows the
// statement's name, unparsed.
type Execute struct{ Name, Arguments string }

// Deallocate removes a prepared statement from the session.
type Deallocate struct{ Name string }

// Malformed is a text that is not a known statement. Reason says why, in
// words for the caller.
type Malformed struct{ Reason string }

func (Begin) operation()      {}
func (Commit) operation()     {}
func (Rollback) operation()   {}
func (Read) operation()       {}
func (Write) operation()      {}
func (Set) operation()        {}
func (Prepare) operation()    {}
func (Execute) operation()    {}
func (Deallocate) operation() {}
func (Malformed) operation()  {}

// Plan describes a prepared statement.
//
// Relayed links encode it with gob, and the two ends of a link may run
// different builds: gob matches fields by name and skips unknown ones, so the
// fields keep their names.
type Plan struct {
	Access Access
	// Shape is opaque to the proxy. Two statements with equal access and shape
	// are the same statement.
	Shape string
}

// State is the transaction state of a session after a reply.
//
// The values are sent as numbers between VMs that may run different builds,
// so their order must not change.
type State uint8

// The transaction states of a session: no transaction is open, one is open,
// or one has failed and can only be ended.
const (
	StateIdle State = iota
	StateOpen
	StateFailed
)

// Code classifies a failed query.
//
// The values are sent as numbers between VMs that may run different builds,
// so their order must not change.
type Code uint8

// The failure codes. For those for which NothingKept returns true, nothing that
// the caller's attempt wrote is kept.
const (
	CodeBusy Code = iota
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeMisrouted
	CodeTooManyConnections
	CodeNoStatement
	CodeFailed
	CodeTimeout
	CodeInDoubt
	CodeUnknownDatabase
	CodeTooLarge
	CodeMalformed
	CodeOther
	CodeAuthenticationFailed
)

// NothingKept reports whether the code guarantees that nothing the attempt wrote
// is kept.
func (c Code) NothingKept() bool {
	switch c {
	case CodeBusy, CodeAborted, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections:
		return true
	default:
		return false
	}
}

// NotRun reports whether a target that replies with the code has not run the
// statement, so that it may be sent again.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeNoStatement, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections:
		return true
	default:
		return false
	}
}

// String returns the code's name in logs and metrics.
func (c Code) String() string {
	names := [...]string{
		"busy", "aborted", "lagging", "read-only", "misrouted", "too-many-connections",
		"no-statement", "failed", "timeout", "in-doubt", "unknown-database", "too-large",
		"malformed", "other", "authentication-failed",
	}
	return names[c]
}

// Failure describes why a query failed. It implements error.
type Failure struct {
	Code Code
	// Detail is a free text for the person who reads the error.
	Detail string
}

// Error implements error; the result is the code's name and the detail.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Detail }

// Reply is a target's complete reply to one query.
type Reply struct {
	Rows []string
	// Receipt is the target's proof that it ran the statement; empty if the
	// target sent none.
	Receipt string
	// Failure is nil if the query succeeded.
	Failure *Failure
	State   State
	// Position is the target's log position; zero if the target sent none.
	Position Position
	// Age is how old Position is, if a holder returned one that it knew.
	Age time.Duration
}
