// Package query holds the typed form of what callers ask on a session and of
// what targets answer, whichever wire protocol carries it.
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

// Query is one request of a session. The text is forwarded unchanged.
type Query struct {
	// ID identifies the caller's attempt; a retry has another one.
	ID string
	// Text is the statement as the caller wrote it.
	Text string
	// Operation is what the text asks for.
	Operation Operation
}

// Internal is the ID of queries that the system itself issues.
const Internal = "-"

// Operation is what a query asks for.
type Operation interface{ operation() }

// Access tells whether a statement changes data.
type Access uint8

// The accesses.
const (
	AccessRead Access = iota
	AccessWrite
)

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps what it wrote.
type Commit struct{}

// Rollback ends a transaction and drops what it wrote.
type Rollback struct{}

// Read reads one item.
type Read struct{ Item string }

// Write changes one item.
type Write struct{ Item string }

// Set gives a session value.
type Set struct{ Name, Value string }

// Prepare names a statement for the rest of the session.
type Prepare struct {
	Name string
	Plan Plan
}

// Execute runs a prepared statement; Arguments is the rest of its text.
type Execute struct{ Name, Arguments string }

// Deallocate forgets a prepared statement.
type Deallocate struct{ Name string }

// Malformed is a text that is no known statement.
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

// Plan is what a prepared statement does.
type Plan struct {
	Access Access
	// Shape is opaque to the proxy; two statements of the same access and
	// shape are the same.
	Shape string
}

// State is where a session stands after an answer.
type State uint8

// The states.
const (
	StateIdle State = iota
	StateOpen
	StateFailed
)

// Code says how a query ended without success.
type Code uint8

// The codes. Those for which NotKept reports true promise that nothing of the
// caller's attempt is kept.
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
)

// NotKept reports whether the code promises that nothing of the attempt is
// kept.
func (c Code) NotKept() bool {
	switch c {
	case CodeBusy, CodeAborted, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections:
		return true
	default:
		return false
	}
}

// NotRun reports whether a target that answers with the code has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeNoStatement, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections:
		return true
	default:
		return false
	}
}

// String returns a word for logs and metrics.
func (c Code) String() string {
	names := [...]string{
		"busy", "aborted", "lagging", "read-only", "misrouted", "too-many-connections",
		"no-statement", "failed", "timeout", "in-doubt", "unknown-database", "too-large",
		"malformed", "other",
	}
	return names[c]
}

// Failure is an answer without success.
type Failure struct {
	Code Code
	// Detail is free text for the reader.
	Detail string
}

// Error implements error.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Detail }

// Reply is a target's whole answer to one query.
type Reply struct {
	Rows []string
	// Receipt is the target's proof that it ran the statement; empty if it
	// gave none.
	Receipt string
	// Failure is nil after a success.
	Failure *Failure
	State   State
	// Position is the target's log position; zero if it gave none.
	Position Position
}
