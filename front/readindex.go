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
	waiters []chan error
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
// reached after the call began.
func (n *readIndex) refresh(ctx context.Context) error {
	done := make(chan error, 1)
	n.lock.Lock()
	n.waiters = append(n.waiters, done)
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
		err := n.queryLeader(ctx)
		for _, c := range waiters {
			c <- err
		}
	}
}

// queryLeader asks the leader for its position and records it in the group's
// pool once the target is confirmed as the leader.
func (n *readIndex) queryLeader(ctx context.Context) error {
	until := n.server.Now() + readIndexTimeout
	slot, err := n.group.Acquire(ctx, pool.Need{Leader: true, Until: until})
	if err != nil {
		return fmt.Errorf("ask for leader's position: %w", err)
	}
	defer slot.Release()
	a, err := slot.Run(pool.Locate{}, until)
	if err != nil {
		return fmt.Errorf("ask for leader's position: %w", err)
	}
	if err := n.server.Leaders.AwaitLeader(ctx, n.group.Name, slot.Target(), until); err != nil {
		return fmt.Errorf("confirm leader's position: %w", err)
	}
	if a.Position.IsZero() {
		// A relay holder without a free connection replies busy, without a
		// position.
		return fmt.Errorf("ask for leader's position: %w", pool.ErrNoTarget)
	}
	n.group.Sample(a.Sent, a.Position)
	return nil
}
