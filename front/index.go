package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthsill/pool"
)

// index finds out which position a group's leader has reached, once for all
// who ask at the same time.
type index struct {
	front *Front
	group *pool.Group

	lock    sync.Mutex
	running bool
	waiting []chan error
}

// indexLimit bounds one question to the leader.
const indexLimit = 500 * time.Millisecond

// index returns the group's index.
func (f *Front) index(g *pool.Group) *index {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.indexes == nil {
		f.indexes = map[*pool.Group]*index{}
	}
	n := f.indexes[g]
	if n == nil {
		n = &index{front: f, group: g}
		f.indexes[g] = n
	}
	return n
}

// refresh returns once the group's samples cover the moment of the call.
func (n *index) refresh(ctx context.Context) error {
	done := make(chan error, 1)
	n.lock.Lock()
	n.waiting = append(n.waiting, done)
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

// run asks the leader until nobody waits. Those who come while a question is
// under way get the next one's answer.
func (n *index) run(ctx context.Context) {
	for {
		n.lock.Lock()
		asking := n.waiting
		n.waiting = nil
		n.running = len(asking) > 0
		n.lock.Unlock()
		if len(asking) == 0 {
			return
		}
		err := n.ask(ctx)
		for _, c := range asking {
			c <- err
		}
	}
}

func (n *index) ask(ctx context.Context) error {
	until := n.front.Now() + indexLimit
	slot, err := n.group.Acquire(ctx, pool.Need{Leader: true, Until: until})
	if err != nil {
		return fmt.Errorf("ask for leader's position: %w", err)
	}
	defer slot.Release()
	a, err := slot.Run(pool.Locate{}, until)
	if err != nil {
		return fmt.Errorf("ask for leader's position: %w", err)
	}
	if err := n.front.Leaders.Await(ctx, n.group.Name, slot.Target(), until); err != nil {
		return fmt.Errorf("confirm leader's position: %w", err)
	}
	if a.Position.IsZero() {
		// A holder that found no connection answers without the leader.
		return fmt.Errorf("ask for leader's position: %w", pool.ErrNoTarget)
	}
	n.group.Sample(a.Sent, a.Position)
	return nil
}
