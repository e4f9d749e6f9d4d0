package target

import (
	"context"
	"errors"

	"amaranthsill/group"
	"amaranthsill/kernel"
	"amaranthsill/statement"
)

// slot is the goroutine that owns one connection and runs one order after
// the other on it.
type slot struct {
	group  *kernel.Group
	id     uint64
	target string
	cancel context.CancelFunc
	orders chan order
}

// order is one run for a slot: a request, or a rollback if batch is nil.
type order struct {
	run   uint64
	batch *statement.Batch
}

// orderRing bounds the orders that wait for a slot; the kernel gives one at
// a time.
const orderRing = 4

func (d *driver) dial(ctx context.Context, g *kernel.Group, a group.Dial) {
	ctx, cancel := context.WithCancel(ctx)
	s := &slot{group: g, id: a.Slot, target: a.Target, cancel: cancel, orders: make(chan order, orderRing)}
	key := slotKey{group: g, slot: a.Slot}
	d.lock.Lock()
	d.slots[key] = s
	d.lock.Unlock()
	go func() {
		s.serve(ctx)
		d.lock.Lock()
		delete(d.slots, key)
		d.lock.Unlock()
	}()
}

func (d *driver) find(key slotKey) *slot {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.slots[key]
}

// hang closes a connection without waiting for what runs on it. The target
// is told nothing: the connection is not to be reused.
func (d *driver) hang(key slotKey) {
	if s := d.find(key); s != nil {
		s.cancel()
	}
}

func (d *driver) run(ctx context.Context, g *kernel.Group, a group.Run) {
	s := d.find(slotKey{group: g, slot: a.Slot})
	b, ok := g.Batch(a.Request)
	if s == nil || !ok {
		go g.Post(ctx, group.Broke{Run: a.Run})
		return
	}
	s.orders <- order{run: a.Run, batch: b}
}

func (d *driver) rollback(ctx context.Context, g *kernel.Group, a group.Rollback) {
	s := d.find(slotKey{group: g, slot: a.Slot})
	if s == nil {
		go g.Post(ctx, group.Broke{Run: a.Run})
		return
	}
	s.orders <- order{run: a.Run}
}

func (s *slot) serve(ctx context.Context) {
	defer s.cancel()
	t, _ := s.group.Target(s.target)
	c, err := dial(ctx, t.Address(), s.group.Name(), false)
	if err != nil {
		s.group.Post(ctx, group.SlotLost{Slot: s.id, Full: errors.Is(err, ErrFull)})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	s.group.Post(ctx, group.Dialed{Slot: s.id})
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.orders:
			if !s.carry(ctx, c, o) {
				return
			}
		}
	}
}

// carry runs one order and reports whether the connection may be used again.
func (s *slot) carry(ctx context.Context, c *conn, o order) bool {
	if !c.idle() {
		s.group.Post(ctx, group.Broke{Run: o.run})
		return false
	}
	a, err := c.perform(o.batch)
	if err != nil || !a.known {
		s.group.Post(ctx, group.Broke{Run: o.run, Sent: true})
		return false
	}
	a.reply.Rejected = a.failed(codeReadOnly)
	if o.batch != nil {
		o.batch.Deliver(o.run, statement.Reply{Bytes: a.bytes, State: a.state})
	}
	s.group.Post(ctx, group.Finished{Run: o.run, Reply: a.reply})
	return true
}

func (c *conn) perform(b *statement.Batch) (*answer, error) {
	switch {
	case b == nil:
		return c.query("rollback")
	case b.Key() != "":
		return c.exchangeKeyed(b)
	default:
		return c.exchange(b)
	}
}
