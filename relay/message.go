package relay

import (
	"errors"
	"fmt"
	"time"

	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
)

// ErrOrder reports an order of a type that cannot be relayed, or not at this
// point of a link.
var ErrOrder = errors.New("order cannot be relayed")

// hello is the first message on a link; it names the target. Without a target
// it only asks whether the holder answers.
//
// Its fields keep their names: the two ends of a link may run different
// builds, and gob matches fields by name and skips unknown ones.
type hello struct {
	Group, Target string
	// Streams asks for a connection that carries many links, each a stream of its own.
	// A holder of a former build skips the field, and refuses the hello since it names
	// no target.
	Streams bool
}

// kind is the type of the order in a request.
//
// The values are sent as numbers between VMs that may run different builds,
// so their order must not change.
type kind uint8

const (
	kindBegin kind = iota + 1
	kindForward
	kindPlan
	kindRollback
	kindReset
	kindAssign
	kindDefine
	kindLocate
	// kindOpen opens a stream to the target that the request names, and kindClose ends
	// one without a reply. Both are sent on connections with streams only.
	kindOpen
	kindClose
)

// request is an order that a VM sends to a holder.
//
// Its fields keep their names: the two ends of a link may run different
// builds, and gob matches fields by name and skips unknown ones.
type request struct {
	Kind kind
	// Left is the time that remains until the sender stops waiting for the
	// reply. It is a duration, since the VMs' clocks are unrelated.
	Left     time.Duration
	ReadOnly bool
	// ID and Text are those of the caller's query.
	ID, Text string
	// Commit is true if the query commits the transaction.
	Commit bool
	// Term and Offset are the log position that the target must have reached
	// before it runs the order.
	Term, Offset uint64
	Plan         query.Plan
	Arguments    string
	// Name and Value are a session variable to set.
	Name, Value string
	// MaxAge is how old a requested position may be.
	MaxAge time.Duration
	// Customer is the name of the customer that sent the order; empty for none.
	// Priority is its route's. Version is the configuration version that the sender
	// had, from which the customer was known. The three are set only where the
	// sender's configuration has customers; otherwise Version is zero.
	Customer string
	Priority int
	Version  uint64
	// Stream is the link that the request belongs to, where a connection carries many.
	// Group and Target are those of a stream that is being opened.
	Stream        uint32
	Group, Target string
	// Number counts the requests of a stream, from one. The response has the same; a VM
	// or holder of a former build leaves it zero.
	Number uint64
}

// response is the reply to one request, or to the hello.
//
// Its fields keep their names: the two ends of a link may run different
// builds, and gob matches fields by name and skips unknown ones.
type response struct {
	Rows    []string
	Receipt string
	// Failed is true if Code and Detail are set.
	Failed       bool
	Code         query.Code
	Detail       string
	State        query.State
	Term, Offset uint64
	// Age is how old the position is.
	Age time.Duration
	// Leaving reports that the holder is about to stop.
	Leaving bool
	// Streams is set in the reply to a hello that asked for streams and got them.
	Streams bool
	// Stream is the link that the response belongs to, where a connection carries many.
	// Zero stands for all of them: the holder opens no more and waits for the open
	// transactions.
	Stream uint32
	// Ended reports that the stream has ended, whether or not its last order ran.
	Ended bool
	// Number is that of the request.
	Number uint64
}

// newRequest returns the request for an order; timeout is the time that
// remains for its reply. Its error wraps ErrOrder.
func newRequest(o pool.Order, timeout time.Duration) (request, error) {
	r := request{Left: timeout}
	switch o := o.(type) {
	case pool.Begin:
		r.Kind, r.ReadOnly = kindBegin, o.ReadOnly
		r.setPosition(o.After)
	case pool.Forward:
		r.Kind, r.ID, r.Text = kindForward, o.Query.ID, o.Query.Text
		_, r.Commit = o.Query.Operation.(query.Commit)
		r.setPosition(o.After)
	case pool.ForwardPlan:
		r.Kind, r.ID, r.Plan, r.Arguments = kindPlan, o.Query.ID, o.Plan, o.Arguments
		r.setPosition(o.After)
	case pool.Rollback:
		r.Kind = kindRollback
	case pool.Align:
		return r.withStep(o.Step)
	case pool.Locate:
		r.Kind, r.MaxAge = kindLocate, o.MaxAge
	default:
		return r, fmt.Errorf("relay %T: %w", o, ErrOrder)
	}
	return r, nil
}

func (r request) withStep(s session.Step) (request, error) {
	switch s := s.(type) {
	case session.Reset:
		r.Kind = kindReset
	case session.Assign:
		r.Kind, r.Name, r.Value = kindAssign, s.Name, s.Value
	case session.Define:
		r.Kind, r.Plan = kindDefine, s.Plan
	default:
		return r, fmt.Errorf("relay step %T: %w", s, ErrOrder)
	}
	return r, nil
}

func (r *request) setPosition(p query.Position) {
	r.Term, r.Offset = uint64(p.Term()), p.Offset()
}

func (r *request) position() query.Position { return group.At(group.Term(r.Term), r.Offset) }

// priority returns the priority of the order in the holder's queue. A sender without
// customers names none.
func (r *request) priority() int {
	if r.Version == 0 {
		return relayPriority
	}
	return r.Priority
}

// order returns the order for the target.
func (r *request) order() pool.Order {
	switch r.Kind {
	case kindPlan:
		return pool.ForwardPlan{Query: query.Query{ID: r.ID}, Plan: r.Plan, Arguments: r.Arguments, After: r.position()}
	case kindRollback:
		return pool.Rollback{}
	case kindLocate:
		return pool.Locate{}
	default:
		return pool.Forward{Query: query.Query{ID: r.ID, Text: r.Text, Operation: r.operation()}, After: r.position()}
	}
}

// operation returns the query's operation as far as it is needed if the order
// is relayed once more: only a commit is told apart.
func (r *request) operation() query.Operation {
	if r.Commit {
		return query.Commit{}
	}
	return nil
}

// plan returns the prepared statement that the request runs, or nil.
func (r *request) plan() *query.Plan {
	if r.Kind != kindPlan {
		return nil
	}
	return &r.Plan
}

func newResponse(r query.Reply) response {
	n := response{
		Rows: r.Rows, Receipt: r.Receipt, State: r.State,
		Term: uint64(r.Position.Term()), Offset: r.Position.Offset(), Age: r.Age,
	}
	if r.Failure != nil {
		n.Failed, n.Code, n.Detail = true, r.Failure.Code, r.Failure.Detail
	}
	return n
}

func (r response) reply() query.Reply {
	n := query.Reply{Rows: r.Rows, Receipt: r.Receipt, State: r.State, Position: group.At(group.Term(r.Term), r.Offset), Age: r.Age}
	if r.Failed {
		n.Failure = &query.Failure{Code: r.Code, Detail: r.Detail}
	}
	return n
}

// busyReply returns a busy failure, which guarantees that the order did not
// run.
func busyReply(detail string, s query.State) query.Reply {
	return query.Reply{Failure: &query.Failure{Code: query.CodeBusy, Detail: detail}, State: s}
}
