package pool_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestPool(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "pool")
}

// manualClock is a clock that only the test advances.
type manualClock struct {
	lock sync.Mutex
	now  time.Duration
}

func (h *manualClock) Now() time.Duration {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.now
}

func (h *manualClock) advance(d time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.now += d
}

// dialer opens links that reply with the result of answer.
type dialer struct {
	lock       sync.Mutex
	answer     func(target string, o pool.Order) (query.Reply, error)
	dialErrors map[string]error
	dials      map[string]int
	// batches holds the orders of each Send call.
	batches [][]pool.Order
}

func (d *dialer) Affinity(pool.Target, string) string { return "" }

func (d *dialer) Dial(_ context.Context, t pool.Target, _ string) (pool.Link, query.Position, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.dialErrors[t.ID]; err != nil {
		return nil, query.Position{}, err
	}
	if d.dials == nil {
		d.dials = map[string]int{}
	}
	d.dials[t.ID]++
	return &link{dialer: d, target: t.ID}, query.Position{}, nil
}

func (d *dialer) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

type link struct {
	dialer *dialer
	target string
	orders []pool.Order
}

func (l *link) Send(o ...pool.Order) error {
	l.orders = append(l.orders, o...)
	l.dialer.lock.Lock()
	l.dialer.batches = append(l.dialer.batches, o)
	l.dialer.lock.Unlock()
	return nil
}

func (l *link) Receive() (query.Reply, error) {
	o := l.orders[0]
	l.orders = l.orders[1:]
	if l.dialer.answer == nil {
		return query.Reply{Receipt: "mac"}, nil
	}
	return l.dialer.answer(l.target, o)
}
func (l *link) SetDeadline(time.Time) error { return nil }
func (l *link) Close()                      {}

// testGroup is a group of three targets: the leader a in zone xela, and the
// replicas b in the zone of this VM and c in a third zone.
type testGroup struct {
	*pool.Group
	*dialer
	*manualClock
}

func newTestGroup(budget int) testGroup {
	h := &manualClock{now: time.Hour}
	d := &dialer{dialErrors: map[string]error{}}
	g := &pool.Group{Name: "choir", Zone: "coban", Dialer: d, Now: h.Now, Log: logr.Discard()}
	g.Configure([]pool.Target{
		{ID: "a", Group: "choir", Zone: "xela", Slots: 3, Role: pool.RolePrimary},
		{ID: "b", Group: "choir", Zone: "coban", Slots: 3, Role: pool.RoleReplica},
		{ID: "c", Group: "choir", Zone: "guatemala", Slots: 3, Role: pool.RoleReplica},
	}, budget)
	g.SetLeader("a")
	return testGroup{Group: g, dialer: d, manualClock: h}
}

func (c testGroup) need(leader bool) pool.Need {
	return pool.Need{Leader: leader, Until: c.manualClock.Now() + 200*time.Millisecond}
}

func (c testGroup) acquire(n pool.Need) *pool.Slot {
	s, err := c.Acquire(context.Background(), n)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return s
}

// run runs a read that takes the given time on the manual clock.
func (c testGroup) run(s *pool.Slot, took time.Duration) pool.Answer {
	c.dialer.lock.Lock()
	previous := c.dialer.answer
	c.dialer.answer = func(t string, o pool.Order) (query.Reply, error) {
		c.manualClock.advance(took)
		if previous != nil {
			return previous(t, o)
		}
		return query.Reply{Receipt: "mac"}, nil
	}
	c.dialer.lock.Unlock()
	a, err := s.Run(pool.Forward{}, c.manualClock.Now()+time.Second)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c.dialer.lock.Lock()
	c.dialer.answer = previous
	c.dialer.lock.Unlock()
	return a
}

var _ = ginkgo.Describe("Target choice", func() {
	ginkgo.It("sends reads to a replica of the own zone, and statements that need the leader to the leader", func() {
		c := newTestGroup(2)
		s := c.acquire(c.need(false))
		gomega.Expect(s.Target()).To(gomega.Equal("b"))
		s.Release()
		gomega.Expect(c.acquire(c.need(true)).Target()).To(gomega.Equal("a"))
	})

	ginkgo.It("avoids a slow replica and tries it again after a while", func() {
		c := newTestGroup(2)
		for range 20 {
			s := c.acquire(c.need(false))
			took := 50 * time.Millisecond
			if s.Target() == "b" {
				took = 400 * time.Millisecond
			}
			c.run(s, took)
			s.Release()
		}
		s := c.acquire(c.need(false))
		gomega.Expect(s.Target()).NotTo(gomega.Equal("b"))
		s.Release()
		c.manualClock.advance(20 * time.Second)
		seen := map[string]bool{}
		for range 10 {
			s := c.acquire(c.need(false))
			seen[s.Target()] = true
			c.run(s, 20*time.Millisecond)
			s.Release()
		}
		gomega.Expect(seen).To(gomega.HaveKey("b"))
	})

	ginkgo.It("sends at most one probing read to a lagging replica, and the other reads elsewhere", func() {
		c := newTestGroup(3)
		floor := group.At(1, 9)
		c.RecordLag("b", 5*time.Second)
		counts := map[string]int{}
		for range 10 {
			n := c.need(false)
			n.Floor, n.FloorAge = floor, 100*time.Millisecond
			s := c.acquire(n)
			counts[s.Target()]++
			s.Release()
		}
		gomega.Expect(counts["b"]).To(gomega.BeNumerically("<=", 1))
	})

	ginkgo.It("pauses a target whose queue was full", func() {
		c := newTestGroup(1)
		c.dialer.answer = func(string, pool.Order) (query.Reply, error) {
			return query.Reply{Failure: &query.Failure{Code: query.CodeBusy}}, nil
		}
		s := c.acquire(c.need(true))
		_, err := s.Run(pool.Forward{}, c.manualClock.Now()+time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.Release()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		_, err = c.Acquire(ctx, c.need(true))
		gomega.Expect(errors.Is(err, pool.ErrNoTarget)).To(gomega.BeTrue())
		c.manualClock.advance(time.Second)
		c.acquire(c.need(true)).Release()
	})

	ginkgo.It("keeps as many idle connections as allowed between single statements, and closes those of a burst", func() {
		c := newTestGroup(3)
		c.SetIdleAllowance(1)
		burst := []*pool.Slot{c.acquire(c.need(true)), c.acquire(c.need(true)), c.acquire(c.need(true))}
		for _, s := range burst {
			s.Release()
		}
		for range 5 {
			c.manualClock.advance(time.Second)
			c.Configure(c.Targets(), 3)
			c.acquire(c.need(true)).Release()
		}
		gomega.Expect(c.dialer.dials["a"]).To(gomega.Equal(3))
	})

	ginkgo.It("sends no new work to a draining target", func() {
		c := newTestGroup(2)
		c.Configure([]pool.Target{
			{ID: "a", Group: "choir", Zone: "xela", Slots: 3},
			{ID: "b", Group: "choir", Zone: "coban", Slots: 3, Draining: true},
		}, 2)
		gomega.Expect(c.acquire(c.need(false)).Target()).To(gomega.Equal("a"))
	})
})

var _ = ginkgo.Describe("A leader in another zone", func() {
	ginkgo.It("gets a session's values, its plan and the opening of a transaction in one round trip", func() {
		c := newTestGroup(1)
		state := session.State{}
		state.Set("tenant", "x")
		state.Set("voice", "alto")
		plan := query.Plan{Access: query.AccessRead, Shape: "q2c"}
		s := c.acquire(c.need(true))
		_, err := s.Begin(pool.Begin{}, &state, &plan, c.manualClock.Now()+time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = s.Execute(pool.ForwardPlan{Plan: plan}, &state, &plan, c.manualClock.Now()+time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.dialer.batches).To(gomega.HaveLen(2))
		gomega.Expect(c.dialer.batches[0]).To(gomega.HaveLen(4))
		gomega.Expect(c.dialer.batches[1]).To(gomega.HaveLen(1))
		s.Release()
	})

	ginkgo.It("has a connection marked as broken, and the transaction with it, if a value could not be set", func() {
		c := newTestGroup(1)
		c.dialer.answer = func(_ string, o pool.Order) (query.Reply, error) {
			if _, ok := o.(pool.Align); ok {
				return query.Reply{Failure: &query.Failure{Code: query.CodeFailed}}, nil
			}
			return query.Reply{State: query.StateOpen}, nil
		}
		state := session.State{}
		state.Set("tenant", "x")
		s := c.acquire(c.need(true))
		_, err := s.Begin(pool.Begin{}, &state, nil, c.manualClock.Now()+time.Second)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(s.Broken()).To(gomega.BeTrue())
		s.Release()
	})

	ginkgo.It("serves current reads while replicas lag far behind, and hands them back when they have caught up", func() {
		c := newTestGroup(1)
		gomega.Expect(c.ReadPath()).To(gomega.Equal(pool.ReadPathReplica))
		c.RecordReadLatency(pool.ReadPathReplica, 200*time.Millisecond)
		gomega.Expect(c.ReadPath()).To(gomega.Equal(pool.ReadPathLeader))
		for range 40 {
			c.manualClock.advance(100 * time.Millisecond)
			c.RecordReadLatency(pool.ReadPathLeader, 60*time.Millisecond)
		}
		gomega.Expect(c.ReadPath()).To(gomega.Equal(pool.ReadPathReplica))
		c.RecordReadLatency(pool.ReadPathReplica, 45*time.Millisecond)
		gomega.Expect(c.ReadPath()).To(gomega.Equal(pool.ReadPathReplica))
	})

	ginkgo.It("hands current reads to replicas while it is overloaded and refuses them", func() {
		c := newTestGroup(1)
		c.RecordReadLatency(pool.ReadPathReplica, 200*time.Millisecond)
		for range 3 {
			c.RecordReadLatency(pool.ReadPathLeader, 600*time.Millisecond)
		}
		gomega.Expect(c.ReadPath()).To(gomega.Equal(pool.ReadPathReplica))
	})
})

var _ = ginkgo.Describe("Samples", func() {
	ginkgo.It("cover a time with the lowest position recorded at or after it", func() {
		s := &pool.Samples{}
		for i := range 10 {
			s.Add(time.Duration(i)*100*time.Millisecond, group.At(1, uint64(i)))
		}
		p, at, ok := s.Covering(350 * time.Millisecond)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(p).To(gomega.Equal(group.At(1, 4)))
		gomega.Expect(at).To(gomega.Equal(400 * time.Millisecond))
		_, _, ok = s.Covering(950 * time.Millisecond)
		gomega.Expect(ok).To(gomega.BeFalse())
		gomega.Expect(s.Age(group.At(1, 6), time.Second)).To(gomega.Equal(300 * time.Millisecond))
	})

	// Guards against reads that lack acknowledged commits: after a change of the leader the
	// first positions may be of the old term, and below those of the former leader.
	ginkgo.It("ignore a position below an earlier one", func() {
		s := &pool.Samples{}
		s.Add(time.Second, group.At(1, 95))
		s.Add(2*time.Second, group.At(1, 93))
		_, _, ok := s.Covering(1500 * time.Millisecond)
		gomega.Expect(ok).To(gomega.BeFalse())
		s.Add(3*time.Second, group.At(2, 94))
		p, at, ok := s.Covering(1500 * time.Millisecond)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(p).To(gomega.Equal(group.At(2, 94)))
		gomega.Expect(at).To(gomega.Equal(3 * time.Second))
	})

	ginkgo.It("ignore an answer without a position", func() {
		s := &pool.Samples{}
		s.Add(time.Second, query.Position{})
		_, _, ok := s.Covering(0)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

// TestSharesKeepTheLimit guards against more open connections than a target
// takes while the division changes. VMs claim at random, with the connection
// limits and VM counts of the users' sites and ten times as many, and each VM
// follows the last answer it got.
func TestSharesKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 80).Draw(t, "vms")
		limits := pool.Limits{Connections: rapid.IntRange(19, 410).Draw(t, "limit"), VMs: vms}
		shares := &pool.Shares{}
		now := time.Duration(0)
		granted := map[string]int{}
		open := map[string]int{}
		answered := map[string]time.Duration{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * time.Millisecond
			vm := fmt.Sprintf("vm-%d", rapid.IntRange(0, vms-1).Draw(t, "vm"))
			c := pool.Claim{Target: "a", Open: open[vm], Wanted: rapid.IntRange(0, 30).Draw(t, "wanted")}
			granted[vm] = shares.Divide(now, vm, c, limits)
			if granted[vm] < limits.Base() {
				t.Fatalf("%s got %d, below the base of %d", vm, granted[vm], limits.Base())
			}
			answered[vm] = now
			open[vm] = max(open[vm], granted[vm])
			if rapid.Bool().Draw(t, "closes") {
				open[vm] = granted[vm]
			}
			total := 0
			for i := range vms {
				name := fmt.Sprintf("vm-%d", i)
				// An answer is valid for 1 s; then the VM falls back to the
				// base share.
				if now-answered[name] > time.Second {
					open[name] = min(open[name], limits.Base())
				}
				total += max(open[name], limits.Base())
			}
			if bound := max(limits.Connections, vms*limits.Base()); total > bound {
				t.Fatalf("%d connections may be open, the limit is %d", total, bound)
			}
		}
	})
}

// TestSharesServeTheBusyZone guards against a fixed division that starves a VM
// with most of the load. On the co-operative's site one VM serves all callers
// of a zone; it must get what it needs while the other VMs need little.
func TestSharesServeTheBusyZone(t *testing.T) {
	shares := &pool.Shares{}
	limits := pool.Limits{Connections: 19, VMs: 6}
	got := 0
	for round := range 10 {
		now := time.Duration(round) * 250 * time.Millisecond
		for i := 1; i < 6; i++ {
			shares.Divide(now, fmt.Sprintf("vm-%d", i), pool.Claim{Target: "a", Open: 2, Wanted: 2}, limits)
		}
		got = shares.Divide(now, "vm-0", pool.Claim{Target: "a", Open: got, Wanted: 9}, limits)
	}
	if got < 8 {
		t.Fatalf("the busy VM got %d of 19 connections, others want 10", got)
	}
}

// TestMirrorNeverMixesSessions guards against values of one session that stay
// on a connection when another session uses it. One connection is aligned with
// several sessions in turn and must hold exactly the values of the last.
func TestMirrorNeverMixesSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]session.State, 3)
		connection := session.ConnectionState{}
		held := map[string]string{}
		want := make([]map[string]string, 3)
		for i := range want {
			want[i] = map[string]string{}
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "session")
			if rapid.Bool().Draw(t, "sets") {
				name, value := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
				sessions[i].Set(name, value)
				want[i][name] = value
				continue
			}
			for _, s := range connection.Align(&sessions[i], nil) {
				switch s := s.(type) {
				case session.Reset:
					clear(held)
				case session.Assign:
					held[s.Name] = s.Value
				}
			}
			if fmt.Sprint(held) != fmt.Sprint(want[i]) {
				t.Fatalf("connection holds %v, the session has %v", held, want[i])
			}
			if connection.Hash() != sessions[i].Hash() {
				t.Fatal("hashes differ though the values are the same")
			}
		}
	})
}

// TestSharesKeepTheLimitWhenTheAllocatorChanges guards against a new allocator that
// gives away connections which VMs still have by a grant of the one before.
func TestSharesKeepTheLimitWhenTheAllocatorChanges(t *testing.T) {
	limits := pool.Limits{Connections: 171, VMs: 12}
	const change = 20 * 250 * time.Millisecond
	open := map[string]int{}
	allocators := []*pool.Shares{{}, {}}
	vm := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	for round := range 40 {
		now := time.Duration(round) * 250 * time.Millisecond
		// All connections are in use by the first VMs; after the change of the
		// allocator the others ask first, for as many.
		allocator, wanting := allocators[0], 0
		if round >= 20 {
			allocator, wanting = allocators[1], 6
			limits.Since = change
		}
		for n := range limits.VMs {
			i := (n + wanting) % limits.VMs
			wanted := 1
			if i >= wanting && i < wanting+6 {
				wanted = 28
			}
			open[vm(i)] = max(allocator.Divide(now, vm(i), pool.Claim{Target: "a", Open: open[vm(i)], Wanted: wanted}, limits), limits.Base())
			total := 0
			for j := range limits.VMs {
				total += max(open[vm(j)], limits.Base())
			}
			if total > limits.Connections {
				t.Fatalf("round %d: %d connections may be open, the limit is %d", round, total, limits.Connections)
			}
		}
	}
	if got := open[vm(6)]; got < 20 {
		t.Errorf("a VM that wants 28 connections has %d long after the change", got)
	}
}
