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

// ErrOrder reports an order that cannot be relayed.
var ErrOrder = errors.New("order cannot be relayed")

// hello opens a link.
type hello struct {
	Group, Target string
}

// kind says what a request's order is.
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
)

// request is an order on its way to a holder.
type request struct {
	Kind kind
	// Left is for how long the answer is awaited.
	Left     time.Duration
	ReadOnly bool
	// ID and Text are a caller's query.
	ID, Text string
	// Commit reports that the query ends the transaction.
	Commit bool
	// Term and Offset are the position that the target has to show.
	Term, Offset uint64
	Plan         query.Plan
	Arguments    string
	// Name and Value are a session value.
	Name, Value string
}

// response is a target's answer on its way back.
type response struct {
	Rows    []string
	Receipt string
	// Failed reports that Code and Detail are set.
	Failed       bool
	Code         query.Code
	Detail       string
	State        query.State
	Term, Offset uint64
}

// requestOf returns an order's form for holders. Its error wraps ErrOrder.
func requestOf(o pool.Order, left time.Duration) (request, error) {
	r := request{Left: left}
	switch o := o.(type) {
	case pool.Begin:
		r.Kind, r.ReadOnly = kindBegin, o.ReadOnly
		r.show(o.After)
	case pool.Forward:
		r.Kind, r.ID, r.Text = kindForward, o.Query.ID, o.Query.Text
		_, r.Commit = o.Query.Operation.(query.Commit)
		r.show(o.After)
	case pool.ForwardPlan:
		r.Kind, r.ID, r.Plan, r.Arguments = kindPlan, o.Query.ID, o.Plan, o.Arguments
		r.show(o.After)
	case pool.Rollback:
		r.Kind = kindRollback
	case pool.Align:
		return r.align(o.Step)
	case pool.Locate:
		r.Kind = kindLocate
	default:
		return r, fmt.Errorf("relay %T: %w", o, ErrOrder)
	}
	return r, nil
}

func (r request) align(s session.Step) (request, error) {
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

func (r *request) show(p query.Position) {
	r.Term, r.Offset = uint64(p.Term()), p.Offset()
}

func (r *request) after() query.Position { return group.At(group.Term(r.Term), r.Offset) }

// order returns the request as an order, for those that reach the target.
func (r *request) order() pool.Order {
	switch r.Kind {
	case kindPlan:
		return pool.ForwardPlan{Query: query.Query{ID: r.ID}, Plan: r.Plan, Arguments: r.Arguments, After: r.after()}
	case kindRollback:
		return pool.Rollback{}
	case kindLocate:
		return pool.Locate{}
	default:
		return pool.Forward{Query: query.Query{ID: r.ID, Text: r.Text, Operation: r.operation()}, After: r.after()}
	}
}

// operation returns what the other end of a further link has to know of a query.
func (r *request) operation() query.Operation {
	if r.Commit {
		return query.Commit{}
	}
	return nil
}

// plan returns the prepared statement that the request needs, if any.
func (r *request) plan() *query.Plan {
	if r.Kind != kindPlan {
		return nil
	}
	return &r.Plan
}

func responseOf(r query.Reply) response {
	n := response{
		Rows: r.Rows, Receipt: r.Receipt, State: r.State,
		Term: uint64(r.Position.Term()), Offset: r.Position.Offset(),
	}
	if r.Failure != nil {
		n.Failed, n.Code, n.Detail = true, r.Failure.Code, r.Failure.Detail
	}
	return n
}

func (r response) reply() query.Reply {
	n := query.Reply{Rows: r.Rows, Receipt: r.Receipt, State: r.State, Position: group.At(group.Term(r.Term), r.Offset)}
	if r.Failed {
		n.Failure = &query.Failure{Code: r.Code, Detail: r.Detail}
	}
	return n
}

// busy promises that an order did not run.
func busy(detail string, s query.State) query.Reply {
	return query.Reply{Failure: &query.Failure{Code: query.CodeBusy, Detail: detail}, State: s}
}
