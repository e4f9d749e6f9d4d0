package target

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/kernel"
)

// controlKind distinguishes the control connections to one target. Requests
// that wait on the target have connections of their own, so that they do not
// delay the others.
type controlKind uint8

// The kinds of control connections.
const (
	// controlPlain carries requests that are answered at once.
	controlPlain controlKind = iota
	// controlReceived carries requests that wait until the target has received
	// a position.
	controlReceived
	// controlApplied carries requests that wait until the target has applied a
	// position.
	controlApplied
)

// controlKey identifies a control connection.
type controlKey struct {
	group  *kernel.Group
	target string
	kind   controlKind
}

// control is a control connection for status requests. One goroutine sends and
// another one receives; the target answers in the order of the requests.
type control struct {
	group  *kernel.Group
	target string
	cancel context.CancelFunc
	// queued holds the requests that have not been sent.
	queued chan group.RequestStatus
	// inFlight holds the IDs of the requests that have been sent, oldest first.
	inFlight chan uint64
}

// controlQueueSize is the capacity of each queue of a control connection. A
// request that does not fit fails at once.
const controlQueueSize = 16

// controlDialTimeout limits the opening of a control connection.
const controlDialTimeout = 2 * time.Second

func controlKindOf(a group.RequestStatus) controlKind {
	switch {
	case !a.Received.IsZero():
		return controlReceived
	case !a.Applied.IsZero():
		return controlApplied
	default:
		return controlPlain
	}
}

// requestStatus queues a status request on the control connection of its kind,
// which it opens if there is none or if the request demands a new one.
func (d *driver) requestStatus(ctx context.Context, g *kernel.Group, a group.RequestStatus) {
	key := controlKey{group: g, target: a.Target, kind: controlKindOf(a)}
	d.lock.Lock()
	c := d.controls[key]
	if c != nil && a.Fresh {
		c.cancel()
		c = nil
	}
	if c == nil {
		c = d.openControl(ctx, g, key)
	}
	d.lock.Unlock()
	select {
	case c.queued <- a:
	default:
		go g.Post(ctx, group.StatusFailed{Target: a.Target, Number: a.Number})
	}
}

// openControl starts the goroutine of a control connection. The caller holds
// d.lock. Requests that are unanswered when the connection ends fail. The end
// of a plain connection is reported as group.Disconnected unless a new
// connection has replaced it.
func (d *driver) openControl(ctx context.Context, g *kernel.Group, key controlKey) *control {
	controlCtx, cancel := context.WithCancel(ctx)
	c := &control{
		group:    g,
		target:   key.target,
		cancel:   cancel,
		queued:   make(chan group.RequestStatus, controlQueueSize),
		inFlight: make(chan uint64, controlQueueSize),
	}
	d.controls[key] = c
	go func() {
		c.serve(controlCtx)
		cancel()
		d.lock.Lock()
		current := d.controls[key] == c
		if current {
			delete(d.controls, key)
		}
		d.lock.Unlock()
		c.failUnanswered(ctx)
		if current && key.kind == controlPlain {
			g.Post(ctx, group.Disconnected{Target: key.target})
		}
	}()
	return c
}

// failUnanswered reports all queued and unanswered requests as failed.
func (c *control) failUnanswered(ctx context.Context) {
	for {
		select {
		case id := <-c.inFlight:
			c.group.Post(ctx, group.StatusFailed{Target: c.target, Number: id})
		case a := <-c.queued:
			c.group.Post(ctx, group.StatusFailed{Target: c.target, Number: a.Number})
		default:
			return
		}
	}
}

// serve opens the connection and uses it until it breaks or the context ends.
func (c *control) serve(ctx context.Context) {
	t, _ := c.group.Target(c.target)
	dialCtx, cancel := context.WithTimeout(ctx, controlDialTimeout)
	n, err := dial(dialCtx, t.Address(), c.group.Name(), true)
	cancel()
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.receive(ctx, n)
		_ = n.Close()
	}()
	c.send(ctx, n, done)
	_ = n.Close()
	<-done
}

func (c *control) send(ctx context.Context, n *conn, done <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case a := <-c.queued:
			c.inFlight <- a.Number
			n.frontend.SendQuery(&pgproto3.Query{String: statusCall(a)})
			if n.frontend.Flush() != nil {
				return
			}
		}
	}
}

// statusCall returns the SQL text of a status request.
func statusCall(a group.RequestStatus) string {
	if controlKindOf(a) == controlPlain {
		return "select group_status()"
	}
	return fmt.Sprintf("select group_wait('%s', '%s', %d)", a.Received, a.Applied, a.Wait.Milliseconds())
}

// receive reads answers until the connection breaks or one arrives that no
// request asked for. It runs concurrently with send and therefore never flushes
// the frontend.
func (c *control) receive(ctx context.Context, n *conn) {
	for {
		a, err := n.readAnswer(nil)
		if err != nil {
			return
		}
		id := uint64(0)
		select {
		case id = <-c.inFlight:
		default:
			// The answer belongs to no request, and later ones cannot be told apart.
			return
		}
		s, err := a.parseStatus()
		if err != nil {
			c.group.Post(ctx, group.StatusFailed{Target: c.target, Number: id})
			continue
		}
		c.group.Post(ctx, group.StatusReceived{Target: c.target, Number: id, Status: s})
	}
}
