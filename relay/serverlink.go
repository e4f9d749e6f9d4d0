package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/customer"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
)

// serverLink is the holder's end of one link, without the connection that carries it.
// One goroutine at a time uses it.
type serverLink struct {
	server *Server
	hello  hello
	group  *pool.Group
	// state is the session state that the other VM has set on the link.
	state session.State
	// prepared is the statement that was prepared last. If a transaction opens
	// next, it probably runs this statement first.
	prepared *query.Plan
	// slot is the connection of the open transaction; nil if there is none.
	slot *pool.Slot
}

// isHolder reports whether this VM still holds the target's connections, or did
// until a moment ago. Otherwise it would relay orders over a second hop.
func (r *serverLink) isHolder() bool {
	if _, ok := r.server.Group(r.hello.Group, r.hello.Target); ok {
		return true
	}
	return r.server.Released != nil && r.server.Released(r.hello.Group, r.hello.Target)
}

// handle runs one order. After an error the order may have run, and the link
// must be closed.
func (r *serverLink) handle(ctx context.Context, q *request) (query.Reply, error) {
	switch q.Kind {
	case kindReset:
		r.state = session.State{}
		return query.Reply{State: r.transactionState()}, nil
	case kindAssign:
		r.state.Set(q.Name, q.Value)
		return query.Reply{State: r.transactionState()}, nil
	case kindDefine:
		// The statement is prepared later, on the connection on which it runs.
		r.prepared = &q.Plan
		return query.Reply{State: r.transactionState()}, nil
	}
	until := r.server.Now() + q.Left
	if r.slot != nil {
		return r.handleInTransaction(q, until)
	}
	if q.Kind == kindRollback {
		return query.Reply{}, nil
	}
	if q.Kind == kindLocate {
		return r.handleLocate(ctx, q, until)
	}
	if q.Kind < kindBegin || q.Kind > kindLocate {
		return query.Reply{}, fmt.Errorf("relay order of kind %d: %w", q.Kind, ErrOrder)
	}
	c, known := r.customer(q)
	if !known {
		return busyReply("customer does not exist any more", query.StateIdle), nil
	}
	slot, err := r.acquire(ctx, pool.Need{Priority: q.priority(), Customer: c}, until)
	if err != nil {
		r.server.Log.Info("no connection for a relayed order; answered as busy", "request", q.ID, "target", r.hello.Target, "reason", err.Error())
		return busyReply(err.Error(), query.StateIdle), nil
	}
	if q.Kind == kindBegin {
		return r.begin(q, slot, until)
	}
	if err := slot.Align(&r.state, until); err != nil {
		slot.Release()
		return busyReply(err.Error(), query.StateIdle), nil
	}
	before := r.leadership()
	a, err := slot.Execute(q.order(), &r.state, q.plan(), until)
	slot.Release()
	if errors.Is(err, pool.ErrNotSent) {
		return notSentReply(err), nil
	}
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	r.recordPosition(before, a)
	return a.Reply, nil
}

// notSentReply returns the reply to an order that was not sent to the target: why it cannot
// be sent at all, or else that it did not run.
func notSentReply(err error) query.Reply {
	f := (*query.Failure)(nil)
	if errors.As(err, &f) {
		return query.Reply{Failure: f, State: query.StateIdle}
	}
	return busyReply(err.Error(), query.StateIdle)
}

// leadership returns the present leadership of the link's target, zero if the target
// does not lead its group.
func (r *serverLink) leadership() pool.Leadership {
	l, _ := r.server.Leadership(r.hello.Group, r.hello.Target)
	return l
}

// recordPosition records the position in an answer, so that locate can answer for the
// VMs of the zone, if it is confirmed that the target led the group all the while since
// before the order was sent.
func (r *serverLink) recordPosition(before pool.Leadership, a pool.Answer) {
	l, confirmed := r.server.Leadership(r.hello.Group, r.hello.Target)
	if confirmed && l == before {
		r.group.Sample(a.Sent, a.Position)
	}
}

// handleLocate answers with a position that the holder knows, or asks the target, on
// any customer's connection.
func (r *serverLink) handleLocate(ctx context.Context, q *request, until time.Duration) (query.Reply, error) {
	if answer, ok := r.locate(ctx, q.MaxAge); ok {
		return answer, nil
	}
	slot, err := r.acquire(ctx, pool.Need{Priority: relayPriority, Locate: true}, until)
	if err != nil {
		return busyReply(err.Error(), query.StateIdle), nil
	}
	before := r.leadership()
	a, err := slot.Run(q.order(), until)
	slot.Release()
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	r.recordPosition(before, a)
	return a.Reply, nil
}

// locate returns a position of the group's leader that may be maxAge old, from what
// this holder knows. VMs that have few statements of their own rarely know one; here
// those of the whole zone come together. If none is late enough, the leader is asked
// once for all links that wait. It returns false if the link's target does not lead,
// or if the leader does not answer.
func (r *serverLink) locate(ctx context.Context, maxAge time.Duration) (query.Reply, bool) {
	if _, confirmed := r.server.Leadership(r.hello.Group, r.hello.Target); !confirmed {
		return query.Reply{}, false
	}
	from := r.server.Now() - maxAge
	p, age, ok := r.group.Covering(from)
	if !ok && r.server.Refresh(ctx, r.group) == nil {
		p, age, ok = r.group.Covering(from)
	}
	return query.Reply{State: query.StateIdle, Position: p, Age: age}, ok
}

// begin opens a transaction on a connection.
func (r *serverLink) begin(q *request, slot *pool.Slot, until time.Duration) (query.Reply, error) {
	a, err := slot.Begin(pool.Begin{ReadOnly: q.ReadOnly, After: q.position()}, &r.state, r.prepared, until)
	if err == nil && a.Failure == nil {
		r.slot = slot
		return a.Reply, nil
	}
	slot.Release()
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay begin of a transaction: %w", err)
	}
	return a.Reply, nil
}

// customer returns the customer for which an order runs, nil if it names none. It
// returns false if the customer does not exist any more.
func (r *serverLink) customer(q *request) (*customer.Customer, bool) {
	if q.Customer == "" || r.server.Customer == nil {
		return nil, true
	}
	return r.server.Customer(q.Customer, q.Version)
}

// acquire acquires a connection to the link's target, given the priority and the
// customer of the order.
func (r *serverLink) acquire(ctx context.Context, n pool.Need, until time.Duration) (*pool.Slot, error) {
	now := r.server.Now()
	n.Target = r.hello.Target
	n.Until = min(until, now+2*maxQueueWait)
	n.QueueDeadline = now + maxQueueWait
	n.StateHash = r.state.Hash()
	slot, err := r.group.Acquire(ctx, n)
	if err != nil {
		return nil, fmt.Errorf("get connection: %w", err)
	}
	return slot, nil
}

// handleInTransaction runs an order in the open transaction. An order that is
// not allowed there ends the link, and with it the transaction.
func (r *serverLink) handleInTransaction(q *request, until time.Duration) (query.Reply, error) {
	if q.Kind != kindForward && q.Kind != kindPlan && q.Kind != kindRollback {
		r.server.Log.Info("order not allowed inside a transaction; closing the link", "kind", q.Kind, "target", r.hello.Target)
		return query.Reply{}, fmt.Errorf("relay order of kind %d inside a transaction: %w", q.Kind, ErrOrder)
	}
	if r.server.ending.Load() {
		r.rollBack()
		return abortedReply(q), nil
	}
	if err := r.slot.Align(&r.state, until); err != nil {
		return query.Reply{}, fmt.Errorf("align transaction: %w", err)
	}
	before := r.leadership()
	a, err := r.slot.Execute(q.order(), &r.state, q.plan(), until)
	if errors.Is(err, pool.ErrOutsideTransaction) {
		r.rollBack()
		return query.Reply{Failure: &query.Failure{Code: query.CodeInDoubt, Detail: err.Error()}, State: query.StateFailed}, nil
	}
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	r.recordPosition(before, a)
	if q.Kind == kindRollback || q.Commit {
		slot := r.slot
		r.slot = nil
		slot.Finish(a.State)
	}
	return a.Reply, nil
}

// abortedReply returns the reply to an order in a transaction that the holder has rolled
// back because it stops.
func abortedReply(q *request) query.Reply {
	if q.Kind == kindRollback {
		return query.Reply{State: query.StateIdle}
	}
	state := query.StateFailed
	if q.Commit {
		state = query.StateIdle
	}
	return query.Reply{Failure: &query.Failure{Code: query.CodeAborted, Detail: "holder stops"}, State: state}
}

// rollBack rolls back the open transaction, if there is one, and returns its
// connection to the pool.
func (r *serverLink) rollBack() {
	if r.slot == nil {
		return
	}
	slot := r.slot
	r.slot = nil
	if slot.Broken() {
		slot.Release()
		return
	}
	slot.RollBack()
}

// transactionState returns the transaction state of the link.
func (r *serverLink) transactionState() query.State {
	if r.slot == nil {
		return query.StateIdle
	}
	return query.StateOpen
}
