package target

import (
	"context"
	"errors"

	"amaranthsill/group"
	"amaranthsill/kernel"
	"amaranthsill/statement"
)

// slot is a connection for callers' requests. Its goroutine owns the connection
// and executes one order at a time.
type slot struct {
	group  *kernel.Group
	id     uint64
	target string
	cancel context.CancelFunc
	orders chan order
}

// order is a run on a slot: a request, or a rollback if batch is nil.
type order struct {
	run   uint64
	batch *statement.Batch
}

// orderQueueSize is the capacity of a slot's queue of orders. The kernel issues
// one order at a time for a slot, so sending to the queue does not block.
const orderQueueSize = 4

// openSlot starts the goroutine of a slot.
func (d *driver) openSlot(ctx context.Context, g *kernel.Group, a group.Dial) {
	ctx, cancel := context.WithCancel(ctx)
	s := &slot{group: g, id: a.Slot, target: a.Target, cancel: cancel, orders: make(chan order, orderQueueSize)}
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

func (d *driver) findSlot(key slotKey) *slot {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.slots[key]
}

// closeSlot closes a slot's connection without waiting for the run in flight
// and without a Terminate message.
func (d *driver) closeSlot(key slotKey) {
	if s := d.findSlot(key); s != nil {
		s.cancel()
	}
}

// run passes a request to its slot, or reports group.RunFailed if the slot or the
// request no longer exists.
func (d *driver) run(ctx context.Context, g *kernel.Group, a group.Run) {
	s := d.findSlot(slotKey{group: g, slot: a.Slot})
	b, ok := g.Batch(a.Request)
	if s == nil || !ok {
		go g.Post(ctx, group.RunFailed{Run: a.Run})
		return
	}
	s.orders <- order{run: a.Run, batch: b}
}

// rollback passes a rollback to its slot, or reports group.RunFailed if the
// slot no longer exists.
func (d *driver) rollback(ctx context.Context, g *kernel.Group, a group.Rollback) {
	s := d.findSlot(slotKey{group: g, slot: a.Slot})
	if s == nil {
		go g.Post(ctx, group.RunFailed{Run: a.Run})
		return
	}
	s.orders <- order{run: a.Run}
}

// serve opens the connection and executes orders until the connection cannot be
// used again or the context ends.
func (s *slot) serve(ctx context.Context) {
	defer s.cancel()
	t, _ := s.group.Target(s.target)
	c, err := dial(ctx, t.Address(), s.group.Name(), false)
	if err != nil {
		s.group.Post(ctx, group.SlotLost{Slot: s.id, Full: errors.Is(err, ErrTooManyConnections)})
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
			if !s.runOrder(ctx, c, o) {
				return
			}
		}
	}
}

// runOrder executes one order, reports its result to the group, and returns
// whether the connection can be used again. An answer without a group status
// counts as a broken connection.
func (s *slot) runOrder(ctx context.Context, c *conn, o order) bool {
	if !c.idle() {
		s.group.Post(ctx, group.RunFailed{Run: o.run})
		return false
	}
	a, err := c.runBatch(o.batch)
	if err != nil || !a.hasStatus {
		s.group.Post(ctx, group.RunFailed{Run: o.run, Sent: true})
		return false
	}
	a.reply.Rejected = a.failedWith(codeReadOnly)
	if o.batch != nil {
		o.batch.StoreReply(o.run, statement.Reply{Bytes: a.bytes, State: a.state})
	}
	s.group.Post(ctx, group.Finished{Run: o.run, Reply: a.reply})
	return true
}

// runBatch executes a request; a nil batch stands for a rollback.
func (c *conn) runBatch(b *statement.Batch) (*answer, error) {
	switch {
	case b == nil:
		return c.query("rollback")
	case b.Key() != "":
		return c.exchangeKeyed(b)
	default:
		return c.exchange(b)
	}
}
