package target

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/kernel"
)

// controlKind separates the control connections to one target, so that a
// long poll does not hold up the others.
type controlKind uint8

const (
	controlPlain controlKind = iota
	controlReceived
	controlApplied
)

type controlKey struct {
	group  *kernel.Group
	target string
	kind   controlKind
}

// control is one control connection. One goroutine sends, another receives;
// answers come in the order of the requests.
type control struct {
	group  *kernel.Group
	target string
	cancel context.CancelFunc
	asks   chan group.Ask
	sent   chan uint64
}

// controlRing bounds the status requests that wait for a connection.
const controlRing = 16

// dialLimit bounds the opening of a control connection.
const dialLimit = 2 * time.Second

func kindOf(a group.Ask) controlKind {
	switch {
	case !a.Received.IsZero():
		return controlReceived
	case !a.Applied.IsZero():
		return controlApplied
	default:
		return controlPlain
	}
}

func (d *driver) ask(ctx context.Context, g *kernel.Group, a group.Ask) {
	key := controlKey{group: g, target: a.Target, kind: kindOf(a)}
	d.lock.Lock()
	c := d.controls[key]
	if c != nil && a.Fresh {
		c.cancel()
		c = nil
	}
	if c == nil {
		c = d.open(ctx, g, key)
	}
	d.lock.Unlock()
	select {
	case c.asks <- a:
	default:
		go g.Post(ctx, group.Unheard{Target: a.Target, Ask: a.Ask})
	}
}

// open starts a control connection. The lock is held.
func (d *driver) open(ctx context.Context, g *kernel.Group, key controlKey) *control {
	live, cancel := context.WithCancel(ctx)
	c := &control{
		group:  g,
		target: key.target,
		cancel: cancel,
		asks:   make(chan group.Ask, controlRing),
		sent:   make(chan uint64, controlRing),
	}
	d.controls[key] = c
	go func() {
		c.serve(live)
		cancel()
		d.lock.Lock()
		broke := d.controls[key] == c
		if broke {
			delete(d.controls, key)
		}
		d.lock.Unlock()
		c.drain(ctx)
		if broke && key.kind == controlPlain {
			g.Post(ctx, group.Disconnected{Target: key.target})
		}
	}()
	return c
}

// drain reports the requests that got no answer.
func (c *control) drain(ctx context.Context) {
	for {
		select {
		case id := <-c.sent:
			c.group.Post(ctx, group.Unheard{Target: c.target, Ask: id})
		case a := <-c.asks:
			c.group.Post(ctx, group.Unheard{Target: c.target, Ask: a.Ask})
		default:
			return
		}
	}
}

func (c *control) serve(ctx context.Context) {
	t, _ := c.group.Target(c.target)
	limited, cancel := context.WithTimeout(ctx, dialLimit)
	n, err := dial(limited, t.Address(), c.group.Name(), true)
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
		case a := <-c.asks:
			c.sent <- a.Ask
			n.frontend.SendQuery(&pgproto3.Query{String: callOf(a)})
			if n.frontend.Flush() != nil {
				return
			}
		}
	}
}

func callOf(a group.Ask) string {
	if kindOf(a) == controlPlain {
		return "select group_status()"
	}
	return fmt.Sprintf("select group_wait('%s', '%s', %d)", a.Received, a.Applied, a.Wait.Milliseconds())
}

// receive reads answers. It may run while send writes: it never flushes
// anything of its own.
func (c *control) receive(ctx context.Context, n *conn) {
	for {
		a, err := n.read(nil)
		if err != nil {
			return
		}
		id := <-c.sent
		s, err := a.status()
		if err != nil {
			c.group.Post(ctx, group.Unheard{Target: c.target, Ask: id})
			continue
		}
		c.group.Post(ctx, group.Heard{Target: c.target, Ask: id, Status: s})
	}
}
