package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"sync"
	"time"

	"amaranthsill/customer"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
)

// serverLink is the holder's end of one link. Only its own goroutine uses the
// fields above the lock.
type serverLink struct {
	server  *Server
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
	hello   hello
	group   *pool.Group
	// state is the session state that the other VM has set on the link.
	state session.State
	// prepared is the statement that was prepared last. If a transaction opens
	// next, it probably runs this statement first.
	prepared *query.Plan
	// slot is the connection of the open transaction; nil if there is none.
	slot *pool.Slot
	// used reports that an order has arrived on the link.
	used bool

	lock sync.Mutex
	// idle is true while the link waits for an order outside a transaction.
	idle bool
}

// handshake reads the hello and replies to it. It returns an error if the link
// is not to be used, because it is refused or only asked whether this VM answers.
func (r *serverLink) handshake() error {
	if err := r.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if err := r.decoder.Decode(&r.hello); err != nil {
		return fmt.Errorf("read hello: %w", err)
	}
	g, answer := r.server.admit(r)
	if err := r.sendReply(answer); err != nil {
		return err
	}
	if g == nil {
		return fmt.Errorf("open link to %q: %w", r.hello.Target, pool.ErrNoTarget)
	}
	r.group = g
	return nil
}

// run handles orders until the link ends.
func (r *serverLink) run(ctx context.Context) error {
	defer r.rollBack()
	for r.prepareRead() {
		q := request{}
		if err := r.decoder.Decode(&q); err != nil {
			return fmt.Errorf("read order: %w", err)
		}
		r.used = true
		r.setIdle(false)
		if r.slot == nil && !r.isHolder() {
			return r.sendReply(busyReply("connections to this target are held elsewhere now", query.StateIdle))
		}
		answer, err := r.handle(ctx, &q)
		if err != nil {
			return err
		}
		if err := r.sendReply(answer); err != nil {
			return err
		}
	}
	return nil
}

// isHolder reports whether this VM still holds the target's connections, or did
// until a moment ago. Otherwise it would relay orders over a second hop.
func (r *serverLink) isHolder() bool {
	if _, ok := r.server.Group(r.hello.Group, r.hello.Target); ok {
		return true
	}
	return r.server.Released != nil && r.server.Released(r.hello.Group, r.hello.Target)
}

// prepareRead sets the read timeout for the next order. It returns false if
// the link is to be closed instead. A link that is still unused when the holder
// stops waits for drainGrace, since its first order may be on its way.
func (r *serverLink) prepareRead() bool {
	stopping := r.server.isStopping()
	if r.slot == nil && stopping && r.used {
		return false
	}
	limit := linkIdleTimeout
	if stopping {
		limit = drainGrace
	}
	if r.slot != nil {
		limit = r.server.TransactionIdleTimeout() + transactionIdleMargin
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	r.setIdle(r.slot == nil)
	if r.slot == nil && !stopping && r.server.isStopping() {
		// Drain began before the link was marked as idle, and so passed it over.
		r.endIdle()
	}
	return true
}

// Idle timeouts after which the other VM is taken as lost, so that the
// connection, and with it an open transaction, is released for other VMs.
const (
	// linkIdleTimeout applies outside transactions. It is longer than the time
	// for which a VM's pool keeps an unused link.
	linkIdleTimeout = 15 * time.Second
	// transactionIdleMargin is how much longer than the caller's own VM a holder
	// waits before it ends an idle transaction, so that the caller's VM ends it
	// first.
	transactionIdleMargin = time.Second
)

func (r *serverLink) setIdle(idle bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.idle = idle
}

// drainGrace is how long a link that is being closed still accepts an order
// that may be on its way within the zone.
const drainGrace = 20 * time.Millisecond

// endIdle sets the read deadline of an idle link to drainGrace from now. The
// link's goroutine closes the link when the deadline passes. If an order arrives
// before, the goroutine closes the link after the reply, or after the end of a
// transaction that the order opens.
func (r *serverLink) endIdle() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.idle {
		// An error may be ignored: on a lost connection, the read of the link's
		// goroutine fails as well.
		_ = r.conn.SetReadDeadline(time.Now().Add(drainGrace))
	}
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
	a, err := slot.Execute(q.order(), &r.state, q.plan(), until)
	slot.Release()
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	r.recordPosition(slot, a)
	return a.Reply, nil
}

// recordPosition records the position in an answer of the confirmed leader, so that
// locate can answer for the VMs of the zone.
func (r *serverLink) recordPosition(slot *pool.Slot, a pool.Answer) {
	if slot.Leader() && r.server.IsLeader(r.hello.Group, slot.Target()) {
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
	a, err := slot.Run(q.order(), until)
	slot.Release()
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	r.recordPosition(slot, a)
	return a.Reply, nil
}

// locate returns a position of the group's leader that may be maxAge old, from what
// this holder knows. VMs that have few statements of their own rarely know one; here
// those of the whole zone come together. If none is late enough, the leader is asked
// once for all links that wait. It returns false if the link's target does not lead,
// or if the leader does not answer.
func (r *serverLink) locate(ctx context.Context, maxAge time.Duration) (query.Reply, bool) {
	if !r.server.IsLeader(r.hello.Group, r.hello.Target) {
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
		r.server.Log.Info("order not allowed inside a transaction; closing the link", "kind", q.Kind, "target", r.hello.Target, "from", r.conn.RemoteAddr().String())
		return query.Reply{}, fmt.Errorf("relay order of kind %d inside a transaction: %w", q.Kind, ErrOrder)
	}
	if err := r.slot.Align(&r.state, until); err != nil {
		return query.Reply{}, fmt.Errorf("align transaction: %w", err)
	}
	a, err := r.slot.Execute(q.order(), &r.state, q.plan(), until)
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	r.recordPosition(r.slot, a)
	if q.Kind == kindRollback || q.Commit {
		slot := r.slot
		r.slot = nil
		slot.Finish(a.State)
	}
	return a.Reply, nil
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

func (r *serverLink) sendReply(n query.Reply) error {
	if err := r.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	answer := newResponse(n)
	answer.Leaving = r.server.leaving.Load()
	if err := r.encoder.Encode(answer); err != nil {
		return fmt.Errorf("send reply: %w", err)
	}
	if err := r.writer.Flush(); err != nil {
		return fmt.Errorf("send reply: %w", err)
	}
	return nil
}
