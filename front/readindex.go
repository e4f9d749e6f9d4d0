package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthsill/pool"
)

// readIndex obtains the log position that a group's leader has reached.
// Concurrent reads share one query to the leader.
type readIndex struct {
	server *Server
	group  *pool.Group

	lock    sync.Mutex
	running bool
	waiters []indexWaiter
}

// indexWaiter waits for a position that the leader had reached at or after a time.
type indexWaiter struct {
	from time.Duration
	done chan error
}

// RefreshPosition returns once the group's pool knows a position that the leader had
// reached after the call began.
func (srv *Server) RefreshPosition(ctx context.Context, g *pool.Group) error {
	return srv.readIndex(g).refresh(ctx, srv.Now())
}

// readIndexTimeout limits one query to the leader.
const readIndexTimeout = 500 * time.Millisecond

// readIndex returns the group's readIndex.
func (srv *Server) readIndex(g *pool.Group) *readIndex {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	if srv.readIndexes == nil {
		srv.readIndexes = map[*pool.Group]*readIndex{}
	}
	n := srv.readIndexes[g]
	if n == nil {
		n = &readIndex{server: srv, group: g}
		srv.readIndexes[g] = n
	}
	return n
}

// refresh returns once the group's pool knows a position that the leader had
// reached at or after a time.
func (n *readIndex) refresh(ctx context.Context, from time.Duration) error {
	done := make(chan error, 1)
	n.lock.Lock()
	n.waiters = append(n.waiters, indexWaiter{from: from, done: done})
	if !n.running {
		n.running = true
		go n.run(context.WithoutCancel(ctx))
	}
	n.lock.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("await leader's position: %w", ctx.Err())
	}
}

// run queries the leader until no caller of refresh waits. Those that arrive
// during a query wait for the next one, because the position of the query in
// flight may be older than their call.
func (n *readIndex) run(ctx context.Context) {
	for {
		n.lock.Lock()
		waiters := n.waiters
		n.waiters = nil
		n.running = len(waiters) > 0
		n.lock.Unlock()
		if len(waiters) == 0 {
			return
		}
		from := waiters[0].from
		for _, w := range waiters {
			from = max(from, w.from)
		}
		err := n.queryLeader(ctx, from)
		for _, w := range waiters {
			w.done <- err
		}
	}
}

// queryLeader asks for a position that the leader had reached at or after a time, and
// records it in the group's pool once it is confirmed that the target led all the while.
func (n *readIndex) queryLeader(ctx context.Context, from time.Duration) error {
	until := n.server.Now() + readIndexTimeout
	slot, err := n.group.Acquire(ctx, pool.Need{Leader: true, Locate: true, Until: until})
	if err != nil {
		return fmt.Errorf("ask for leader's position: %w", err)
	}
	defer slot.Release()
	l, _ := n.server.Leaders.Leadership(n.group.Name, slot.Target())
	maxAge := max(n.server.Now()-from, 0)
	a, err := slot.Run(pool.Locate{MaxAge: maxAge}, until)
	if err != nil {
		return fmt.Errorf("ask for leader's position: %w", err)
	}
	if err := n.server.Leaders.AwaitLeadership(ctx, n.group.Name, l, until); err != nil {
		return fmt.Errorf("confirm leader's position: %w", err)
	}
	if a.Position.IsZero() {
		// A relay holder without a free connection replies busy, without a
		// position.
		return fmt.Errorf("ask for leader's position: %w", pool.ErrNoTarget)
	}
	// A holder measures the age when it answers, which is after Sent; it is never
	// more than was asked for.
	n.group.Sample(a.Sent-min(a.Age, maxAge), a.Position)
	return nil
}
