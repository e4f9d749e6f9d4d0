package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"sync"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
)

// relay is a holder's end of one link. Its goroutine alone touches it, but for
// the fields under the lock.
type relay struct {
	server  *Server
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
	hello   hello
	group   *pool.Group
	// state is what the other VM has aligned the link with.
	state session.State
	// plan is what was prepared last, probably for what comes next.
	plan *query.Plan
	// slot is the connection of an open transaction.
	slot *pool.Slot

	lock sync.Mutex
	// idle reports that the link waits between transactions.
	idle bool
}

// greet answers the link's first message.
func (r *relay) greet() error {
	if err := r.conn.SetReadDeadline(time.Now().Add(greetLimit)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if err := r.decoder.Decode(&r.hello); err != nil {
		return fmt.Errorf("read greeting: %w", err)
	}
	g, answer := r.server.admit(r.hello)
	if err := r.answer(answer); err != nil {
		return err
	}
	if g == nil {
		return fmt.Errorf("open link to %q: %w", r.hello.Target, pool.ErrNoTarget)
	}
	r.group = g
	return nil
}

// run answers orders until the link ends.
func (r *relay) run(ctx context.Context) error {
	defer r.abandon()
	for r.await() {
		q := request{}
		if err := r.decoder.Decode(&q); err != nil {
			return fmt.Errorf("read order: %w", err)
		}
		r.setIdle(false)
		if r.slot == nil && !r.held() {
			return r.answer(busy("connections of this group are held elsewhere now", query.StateIdle))
		}
		answer, err := r.handle(ctx, &q)
		if err != nil {
			return err
		}
		if err := r.answer(answer); err != nil {
			return err
		}
	}
	return nil
}

// held reports whether this VM still holds the group's connections; if it does
// not, it would pass orders on over a second hop.
func (r *relay) held() bool {
	_, ok := r.server.Group(r.hello.Group)
	return ok
}

// await prepares for the next order; false if the link ends instead.
func (r *relay) await() bool {
	if r.slot == nil && r.server.isStopping() {
		return false
	}
	limit := idleLink
	if r.slot != nil {
		limit = r.server.TransactionIdle() + idleMargin
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	r.setIdle(r.slot == nil)
	return true
}

// The times after which a VM that says nothing on a link is taken as gone, so
// that a connection, and a transaction that is open on it, goes to others.
const (
	// idleLink is longer than a VM keeps a link that it does not use.
	idleLink = 15 * time.Second
	// idleMargin is how much later than the caller's own VM a holder ends a
	// transaction that rests.
	idleMargin = time.Second
)

func (r *relay) setIdle(idle bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.idle = idle
}

// lastCall is how long a link that is ended waits for an order that may be on
// its way: a trip inside the zone.
const lastCall = 20 * time.Millisecond

// endIdle ends the link if nothing is open on it.
func (r *relay) endIdle() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.idle {
		// The link's goroutine reports a connection that is gone.
		_ = r.conn.SetReadDeadline(time.Now().Add(lastCall))
	}
}

// handle runs one order. After an error the link is closed, and the order may
// have run.
func (r *relay) handle(ctx context.Context, q *request) (query.Reply, error) {
	switch q.Kind {
	case kindReset:
		r.state = session.State{}
		return query.Reply{State: r.now()}, nil
	case kindAssign:
		r.state.Set(q.Name, q.Value)
		return query.Reply{State: r.now()}, nil
	case kindDefine:
		// The holder prepares the statement where it is to run.
		r.plan = &q.Plan
		return query.Reply{State: r.now()}, nil
	}
	until := r.server.Now() + q.Left
	if r.slot != nil {
		return r.inside(q, until)
	}
	if q.Kind == kindRollback {
		return query.Reply{}, nil
	}
	if q.Kind < kindBegin || q.Kind > kindLocate {
		return query.Reply{}, fmt.Errorf("relay order of kind %d: %w", q.Kind, ErrOrder)
	}
	slot, err := r.acquire(ctx, until)
	if err != nil {
		r.server.Log.Info("relayed statement found no connection", "request", q.ID, "target", r.hello.Target, "reason", err.Error())
		return busy(err.Error(), query.StateIdle), nil
	}
	if q.Kind == kindBegin {
		return r.begin(q, slot, until)
	}
	if err := slot.Align(&r.state, until); err != nil {
		slot.Release()
		return busy(err.Error(), query.StateIdle), nil
	}
	a, err := slot.Execute(q.order(), &r.state, q.plan(), until)
	slot.Release()
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	return a.Reply, nil
}

// begin opens a transaction on a connection.
func (r *relay) begin(q *request, slot *pool.Slot, until time.Duration) (query.Reply, error) {
	a, err := slot.Begin(pool.Begin{ReadOnly: q.ReadOnly, After: q.after()}, &r.state, r.plan, until)
	if err == nil && a.Failure == nil {
		r.slot = slot
		return a.Reply, nil
	}
	slot.Release()
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay opening of a transaction: %w", err)
	}
	return a.Reply, nil
}

// acquire gets a connection to the link's target.
func (r *relay) acquire(ctx context.Context, until time.Duration) (*pool.Slot, error) {
	now := r.server.Now()
	slot, err := r.group.Acquire(ctx, pool.Need{
		Target:   r.hello.Target,
		Priority: relayPriority,
		Until:    min(until, now+2*waitLimit),
		Patience: now + waitLimit,
		Mark:     r.state.Mark(),
	})
	if err != nil {
		return nil, fmt.Errorf("get connection: %w", err)
	}
	return slot, nil
}

// inside runs an order in the open transaction. One that cannot stand there ends
// the link, and with it the transaction.
func (r *relay) inside(q *request, until time.Duration) (query.Reply, error) {
	if q.Kind != kindForward && q.Kind != kindPlan && q.Kind != kindRollback {
		r.server.Log.Info("order came inside a transaction", "kind", q.Kind, "target", r.hello.Target, "from", r.conn.RemoteAddr().String())
		return query.Reply{}, fmt.Errorf("relay order of kind %d inside a transaction: %w", q.Kind, ErrOrder)
	}
	if err := r.slot.Align(&r.state, until); err != nil {
		return query.Reply{}, fmt.Errorf("align transaction: %w", err)
	}
	a, err := r.slot.Execute(q.order(), &r.state, q.plan(), until)
	if err != nil {
		return query.Reply{}, fmt.Errorf("relay order: %w", err)
	}
	if q.Kind == kindRollback || q.Commit {
		slot := r.slot
		r.slot = nil
		slot.Finish(a.State)
	}
	return a.Reply, nil
}

// abandon rolls back what is open.
func (r *relay) abandon() {
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

// now returns where the link stands.
func (r *relay) now() query.State {
	if r.slot == nil {
		return query.StateIdle
	}
	return query.StateOpen
}

func (r *relay) answer(n query.Reply) error {
	if err := r.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if err := r.encoder.Encode(responseOf(n)); err != nil {
		return fmt.Errorf("answer order: %w", err)
	}
	if err := r.writer.Flush(); err != nil {
		return fmt.Errorf("answer order: %w", err)
	}
	return nil
}
