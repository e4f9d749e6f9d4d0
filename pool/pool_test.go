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

// hand is a clock that only the test moves.
type hand struct {
	lock sync.Mutex
	now  time.Duration
}

func (h *hand) Now() time.Duration {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.now
}

func (h *hand) move(d time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.now += d
}

// dialer opens links that answer as the test says.
type dialer struct {
	lock   sync.Mutex
	answer func(target string, o pool.Order) (query.Reply, error)
	fail   map[string]error
	opened map[string]int
	// flights are the orders that were sent together.
	flights [][]pool.Order
}

func (d *dialer) Dial(_ context.Context, t pool.Target) (pool.Link, query.Position, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.fail[t.ID]; err != nil {
		return nil, query.Position{}, err
	}
	if d.opened == nil {
		d.opened = map[string]int{}
	}
	d.opened[t.ID]++
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
	l.dialer.flights = append(l.dialer.flights, o)
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

// crew is a group of three targets, the first of which leads.
type crew struct {
	*pool.Group
	*dialer
	*hand
}

func newCrew(budget int) crew {
	h := &hand{now: time.Hour}
	d := &dialer{fail: map[string]error{}}
	g := &pool.Group{Name: "choir", Zone: "coban", Dialer: d, Now: h.Now, Log: logr.Discard()}
	g.Configure([]pool.Target{
		{ID: "a", Group: "choir", Zone: "xela", Slots: 3, Role: pool.RolePrimary},
		{ID: "b", Group: "choir", Zone: "coban", Slots: 3, Role: pool.RoleReplica},
		{ID: "c", Group: "choir", Zone: "guatemala", Slots: 3, Role: pool.RoleReplica},
	}, budget)
	g.SetLeader("a")
	return crew{Group: g, dialer: d, hand: h}
}

func (c crew) need(leader bool) pool.Need {
	return pool.Need{Leader: leader, Until: c.hand.Now() + 200*time.Millisecond}
}

func (c crew) acquire(n pool.Need) *pool.Slot {
	s, err := c.Acquire(context.Background(), n)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return s
}

// run runs a read that takes the given time.
func (c crew) run(s *pool.Slot, took time.Duration) pool.Answer {
	c.dialer.lock.Lock()
	before := c.dialer.answer
	c.dialer.answer = func(t string, o pool.Order) (query.Reply, error) {
		c.hand.move(took)
		if before != nil {
			return before(t, o)
		}
		return query.Reply{Receipt: "mac"}, nil
	}
	c.dialer.lock.Unlock()
	a, err := s.Run(pool.Forward{}, c.hand.Now()+time.Second)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c.dialer.lock.Lock()
	c.dialer.answer = before
	c.dialer.lock.Unlock()
	return a
}

var _ = ginkgo.Describe("Where work goes", func() {
	ginkgo.It("sends reads to the own zone, and what needs the leader there", func() {
		c := newCrew(2)
		s := c.acquire(c.need(false))
		gomega.Expect(s.Target()).To(gomega.Equal("b"))
		s.Release()
		gomega.Expect(c.acquire(c.need(true)).Target()).To(gomega.Equal("a"))
	})

	ginkgo.It("answers a slow replica: reads leave it and return later", func() {
		c := newCrew(2)
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
		c.hand.move(20 * time.Second)
		seen := map[string]bool{}
		for range 10 {
			s := c.acquire(c.need(false))
			seen[s.Target()] = true
			c.run(s, 20*time.Millisecond)
			s.Release()
		}
		gomega.Expect(seen).To(gomega.HaveKey("b"))
	})

	ginkgo.It("answers a lagging replica: one try in a while, the rest elsewhere", func() {
		c := newCrew(3)
		floor := group.At(1, 9)
		c.Lagged("b", 5*time.Second)
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

	ginkgo.It("leaves a full target alone for a moment", func() {
		c := newCrew(1)
		c.dialer.answer = func(string, pool.Order) (query.Reply, error) {
			return query.Reply{Failure: &query.Failure{Code: query.CodeBusy}}, nil
		}
		s := c.acquire(c.need(true))
		_, err := s.Run(pool.Forward{}, c.hand.Now()+time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.Release()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		_, err = c.Acquire(ctx, c.need(true))
		gomega.Expect(errors.Is(err, pool.ErrNoTarget)).To(gomega.BeTrue())
		c.hand.move(time.Second)
		c.acquire(c.need(true)).Release()
	})

	ginkgo.It("answers statements that come singly: keeps a connection between them, not those of a burst", func() {
		c := newCrew(3)
		c.Keep(1)
		burst := []*pool.Slot{c.acquire(c.need(true)), c.acquire(c.need(true)), c.acquire(c.need(true))}
		for _, s := range burst {
			s.Release()
		}
		for range 5 {
			c.hand.move(time.Second)
			c.Configure(c.Targets(), 3)
			c.acquire(c.need(true)).Release()
		}
		gomega.Expect(c.dialer.opened["a"]).To(gomega.Equal(3))
	})

	ginkgo.It("gives a draining target no new work", func() {
		c := newCrew(2)
		c.Configure([]pool.Target{
			{ID: "a", Group: "choir", Zone: "xela", Slots: 3},
			{ID: "b", Group: "choir", Zone: "coban", Slots: 3, Draining: true},
		}, 2)
		gomega.Expect(c.acquire(c.need(false)).Target()).To(gomega.Equal("a"))
	})
})

var _ = ginkgo.Describe("A far leader", func() {
	ginkgo.It("is told a session's values, its plan and the opening of a transaction in one trip", func() {
		c := newCrew(1)
		state := session.State{}
		state.Set("tenant", "x")
		state.Set("voice", "alto")
		plan := query.Plan{Access: query.AccessRead, Shape: "q2c"}
		s := c.acquire(c.need(true))
		_, err := s.Begin(pool.Begin{}, &state, &plan, c.hand.Now()+time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = s.Execute(pool.ForwardPlan{Plan: plan}, &state, &plan, c.hand.Now()+time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.dialer.flights).To(gomega.HaveLen(2))
		gomega.Expect(c.dialer.flights[0]).To(gomega.HaveLen(4))
		gomega.Expect(c.dialer.flights[1]).To(gomega.HaveLen(1))
		s.Release()
	})

	ginkgo.It("loses a connection on which a value could not be set, and with it the transaction", func() {
		c := newCrew(1)
		c.dialer.answer = func(_ string, o pool.Order) (query.Reply, error) {
			if _, ok := o.(pool.Align); ok {
				return query.Reply{Failure: &query.Failure{Code: query.CodeFailed}}, nil
			}
			return query.Reply{State: query.StateOpen}, nil
		}
		state := session.State{}
		state.Set("tenant", "x")
		s := c.acquire(c.need(true))
		_, err := s.Begin(pool.Begin{}, &state, nil, c.hand.Now()+time.Second)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(s.Broken()).To(gomega.BeTrue())
		s.Release()
	})

	ginkgo.It("answers replicas far behind: current reads turn to it, and back when they caught up", func() {
		c := newCrew(1)
		gomega.Expect(c.Course()).To(gomega.Equal(pool.CourseReplica))
		c.Took(pool.CourseReplica, 200*time.Millisecond)
		gomega.Expect(c.Course()).To(gomega.Equal(pool.CourseLeader))
		for range 40 {
			c.hand.move(100 * time.Millisecond)
			c.Took(pool.CourseLeader, 60*time.Millisecond)
		}
		gomega.Expect(c.Course()).To(gomega.Equal(pool.CourseReplica))
		c.Took(pool.CourseReplica, 45*time.Millisecond)
		gomega.Expect(c.Course()).To(gomega.Equal(pool.CourseReplica))
	})

	ginkgo.It("answers its own overload: reads that it could not serve turn to replicas", func() {
		c := newCrew(1)
		c.Took(pool.CourseReplica, 200*time.Millisecond)
		for range 3 {
			c.Took(pool.CourseLeader, 600*time.Millisecond)
		}
		gomega.Expect(c.Course()).To(gomega.Equal(pool.CourseReplica))
	})
})

var _ = ginkgo.Describe("Samples", func() {
	ginkgo.It("cover a moment with the lowest position known to be late enough", func() {
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

	ginkgo.It("learn nothing from an answer without a position", func() {
		s := &pool.Samples{}
		s.Add(time.Second, query.Position{})
		_, _, ok := s.Covering(0)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

// TestSharesKeepTheLimit claims at random, at the figures of the users' sites
// and at ten times them, and checks that what VMs may have open never passes
// the limit while each of them follows its last answer.
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
				// An answer counts for a second; after it a VM falls back on
				// its base.
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

// TestSharesServeTheBusyZone gives one VM the callers of a whole zone, as on
// the co-operative's site: it gets what it wants once the others ask for
// little.
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

// TestMirrorNeverMixesSessions aligns one connection with sessions in turn,
// and checks that it then holds exactly the values of the last.
func TestMirrorNeverMixesSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]session.State, 3)
		mirror := session.Mirror{}
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
			for _, s := range mirror.Align(&sessions[i], nil) {
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
			if mirror.Mark() != sessions[i].Mark() {
				t.Fatal("marks differ though the values are the same")
			}
		}
	})
}
