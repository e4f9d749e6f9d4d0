package front

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// busyTarget is a target with a number of slots, each of which takes work for one
// statement. The time passes on the clock of the test's bubble.
type busyTarget struct {
	slots chan struct{}
	work  time.Duration
}

func (b *busyTarget) Affinity(pool.Target, string) string { return "" }

func (b *busyTarget) Dial(context.Context, pool.Target, string) (pool.Link, query.Position, error) {
	b.run()
	return &busyLink{target: b}, query.Position{}, nil
}

func (b *busyTarget) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

func (b *busyTarget) run() {
	b.slots <- struct{}{}
	time.Sleep(b.work)
	<-b.slots
}

type busyLink struct{ target *busyTarget }

func (l *busyLink) Send(...pool.Order) error { return nil }

func (l *busyLink) Receive() (query.Reply, error) {
	l.target.run()
	return query.Reply{Receipt: "mac"}, nil
}

func (l *busyLink) SetDeadline(time.Time) error { return nil }
func (l *busyLink) Close()                      {}

// TestWaveThatATargetServesInHalfTheObjective answers the pattern of callers who return
// together, as after a loss of power or a change of leader, in a wave that the target
// works off within half of their objective: each is served in time, and none is sent away
// to a VM that has the same target to wait for.
func TestWaveThatATargetServesInHalfTheObjective(t *testing.T) {
	cases := map[string]struct {
		// vms is the number of VMs, with as many callers and connections each.
		vms, callers, connections int
		// slots is the number of statements that the target runs at a time.
		slots           int
		work, objective time.Duration
	}{
		"one VM with a target of its own": {vms: 1, callers: 45, connections: 5, slots: 5, work: 33 * time.Millisecond, objective: 800 * time.Millisecond},
		"eight VMs, one target":           {vms: 8, callers: 5, connections: 3, slots: 5, work: 33 * time.Millisecond, objective: 800 * time.Millisecond},
		"eighty VMs, ten times the slots": {vms: 80, callers: 5, connections: 3, slots: 50, work: 33 * time.Millisecond, objective: 800 * time.Millisecond},
		"slow statements":                 {vms: 2, callers: 10, connections: 2, slots: 4, work: 100 * time.Millisecond, objective: 1200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &wave{
					route:  &catalog.Route{Timeout: 3 * time.Second, LatencyObjective: c.objective},
					target: &busyTarget{slots: make(chan struct{}, c.slots), work: c.work},
					begun:  time.Now(),
				}
				for range c.vms {
					w.sendThroughVM(c.callers, c.connections)
				}
				w.wait.Wait()
				if w.refused > 0 || w.late > 0 {
					t.Errorf("of %d callers %d were refused and %d served late; want none", c.vms*c.callers, w.refused, w.late)
				}
			})
		})
	}
}

// wave is callers who send one statement each at the same time.
type wave struct {
	route  *catalog.Route
	target *busyTarget
	begun  time.Time
	wait   sync.WaitGroup

	lock sync.Mutex
	// late counts the callers who are served after the objective.
	late, refused int
}

func (w *wave) now() time.Duration { return time.Since(w.begun) }

// sendThroughVM has callers send their statements through one VM.
func (w *wave) sendThroughVM(callers, connections int) {
	g := &pool.Group{Name: "choir", Zone: "coban", Dialer: w.target, Now: w.now, Log: logr.Discard()}
	g.Configure([]pool.Target{{ID: "a", Group: "choir", Zone: "coban", Slots: cap(w.target.slots), Role: pool.RolePrimary}}, connections)
	g.SetLeader("a")
	for range callers {
		w.wait.Go(func() { w.send(g) })
	}
}

// send sends one statement and counts how it ends.
func (w *wave) send(g *pool.Group) {
	n := pool.Need{Leader: true, Until: dispatchTime(w.route), QueueDeadline: queueTime(w.route)}
	s, err := g.Acquire(context.Background(), n)
	if err == nil {
		_, err = s.Run(pool.Forward{}, w.route.Timeout)
		s.Release()
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case err != nil:
		w.refused++
	case w.now() > w.route.LatencyObjective:
		w.late++
	}
}
