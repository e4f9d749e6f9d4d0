package pool_test

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/zones"
)

// newPricedGroup is newTestGroup with prices and regions, and with a second replica in
// the zone of this VM.
func newPricedGroup(t zones.Traffic) testGroup {
	h := &manualClock{now: time.Hour}
	d := &dialer{dialErrors: map[string]error{}}
	t.RegionOf = map[string]string{"xela": "west", "coban": "west", "guatemala": "south"}
	g := &pool.Group{Name: "choir", Zone: "coban", Dialer: d, Now: h.Now, Log: logr.Discard(), Traffic: &t}
	g.Configure([]pool.Target{
		{ID: "a", Group: "choir", Zone: "xela", Slots: 3, Role: pool.RolePrimary},
		{ID: "b", Group: "choir", Zone: "coban", Slots: 3, Role: pool.RoleReplica},
		{ID: "c", Group: "choir", Zone: "guatemala", Slots: 3, Role: pool.RoleReplica},
		{ID: "d", Group: "choir", Zone: "xela", Slots: 3, Role: pool.RoleReplica},
	}, 8)
	g.SetLeader("a")
	return testGroup{Group: g, dialer: d, manualClock: h}
}

// serve runs reads for a time, each of which takes as long as its target's entry says,
// and returns how many ran on each target.
func (c testGroup) serve(d time.Duration, took map[string]time.Duration) map[string]int {
	counts := map[string]int{}
	for end := c.manualClock.Now() + d; c.manualClock.Now() < end; {
		s := c.acquire(c.need(false))
		counts[s.Target()]++
		c.run(s, took[s.Target()])
		s.Release()
	}
	return counts
}

var _ = ginkgo.Describe("Routing by cost", func() {
	usual := map[string]time.Duration{"a": 25 * time.Millisecond, "b": 20 * time.Millisecond, "c": 60 * time.Millisecond, "d": 25 * time.Millisecond}
	slow := map[string]time.Duration{"a": 25 * time.Millisecond, "b": 200 * time.Millisecond, "c": 60 * time.Millisecond, "d": 25 * time.Millisecond}

	ginkgo.It("keeps reads in the zone while its target is well", func() {
		c := newPricedGroup(zones.Traffic{})
		gomega.Expect(c.serve(2*time.Second, usual)).To(gomega.HaveLen(1))
		gomega.Expect(c.CrossZoneShare()).To(gomega.BeZero())
	})

	ginkgo.It("moves reads from a slow target in the zone to the nearest outside, in steps, and back", func() {
		c := newPricedGroup(zones.Traffic{})
		c.serve(time.Second, usual)
		c.serve(5*time.Second, slow)
		counts := c.serve(2*time.Second, slow)
		gomega.Expect(counts["d"]).To(gomega.BeNumerically(">", 3*counts["b"]))
		gomega.Expect(counts["c"]).To(gomega.BeZero())
		c.serve(30*time.Second, usual)
		gomega.Expect(c.serve(2*time.Second, usual)).To(gomega.HaveLen(1))
		gomega.Expect(c.CrossZoneShare()).To(gomega.BeZero())
	})

	ginkgo.It("does not leave a slow target for a price above the gain", func() {
		c := newPricedGroup(zones.Traffic{Zones: 10 * time.Second, Regions: 10 * time.Second})
		c.serve(time.Second, usual)
		gomega.Expect(c.serve(5*time.Second, slow)).To(gomega.HaveLen(1))
	})

	ginkgo.It("leaves at once if the zone has no target that answers, and returns when it does", func() {
		c := newPricedGroup(zones.Traffic{Zones: 10 * time.Second, Regions: 10 * time.Second})
		targets := c.Targets()
		c.Configure([]pool.Target{targets[0], targets[2], targets[3]}, 8)
		s := c.acquire(c.need(false))
		gomega.Expect(s.Target()).To(gomega.Equal("d"))
		s.Release()
		c.Configure(targets, 8)
		s = c.acquire(c.need(false))
		gomega.Expect(s.Target()).To(gomega.Equal("b"))
		s.Release()
	})

	ginkgo.It("leaves for freshness whatever the price", func() {
		c := newPricedGroup(zones.Traffic{Zones: 10 * time.Second, Regions: 10 * time.Second})
		n := c.need(false)
		n.Tried = []string{"b"}
		s := c.acquire(n)
		gomega.Expect(s.Target()).To(gomega.Equal("d"))
		c.run(s, time.Millisecond)
		s.Release()
		gomega.Expect(c.TrafficTotals()).To(gomega.ConsistOf(gomega.HaveField("Reason", zones.ReasonFreshness)))
	})

	ginkgo.It("waits for a lagging replica of the zone only if that is cheaper than the next one outside", func() {
		lag, age := 100*time.Millisecond, 40*time.Millisecond
		for price, waits := range map[time.Duration]bool{0: false, time.Second: true} {
			c := newPricedGroup(zones.Traffic{Zones: price, Regions: price})
			c.RecordLag("b", lag)
			wait := c.CatchUpTime(group.At(1, 9), age)
			gomega.Expect(wait > 0).To(gomega.Equal(waits), "price %v, wait %v", price, wait)
		}
	})

	ginkgo.It("sends what needs the leader to the leader, and counts it by zone and reason", func() {
		c := newPricedGroup(zones.Traffic{Zones: 10 * time.Second, Regions: 10 * time.Second})
		s := c.acquire(c.need(true))
		gomega.Expect(s.Target()).To(gomega.Equal("a"))
		c.run(s, time.Millisecond)
		s.Release()
		totals := c.TrafficTotals()
		gomega.Expect(totals).To(gomega.HaveLen(1))
		gomega.Expect(totals[0].Zone).To(gomega.Equal("xela"))
		gomega.Expect(totals[0].Reason).To(gomega.Equal(zones.ReasonLeader))
		gomega.Expect(totals[0].Statements).To(gomega.Equal(uint64(1)))
		gomega.Expect(totals[0].Bytes).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("measures distances on idle connections, without keeping those open", func() {
		c := newPricedGroup(zones.Traffic{})
		c.dialer.answer = func(string, pool.Order) (query.Reply, error) {
			return query.Reply{Receipt: "mac"}, nil
		}
		c.acquire(c.need(true)).Release()
		locates := func() int {
			c.dialer.lock.Lock()
			defer c.dialer.lock.Unlock()
			count := 0
			for _, b := range c.dialer.batches {
				if _, ok := b[0].(pool.Locate); ok {
					count++
				}
			}
			return count
		}
		c.Configure(c.Targets(), 8)
		gomega.Eventually(locates).Should(gomega.Equal(1))
		gomega.Eventually(func() int { return c.Load().Idle }).Should(gomega.Equal(1))
		c.Configure(c.Targets(), 8)
		gomega.Consistently(locates, 20*time.Millisecond).Should(gomega.Equal(1))
		c.manualClock.advance(time.Second)
		c.Configure(c.Targets(), 8)
		gomega.Expect(c.Load().Open).To(gomega.BeZero())
	})

	ginkgo.It("serves a VM's own zone first among statements of one priority", func() {
		c := newPricedGroup(zones.Traffic{})
		held := []*pool.Slot{}
		for range 4 {
			held = append(held, c.acquire(c.need(true)))
		}
		order := make(chan string, 3)
		for i, n := range []struct {
			name     string
			remote   bool
			priority int
		}{{"remote", true, 1}, {"less urgent", false, 2}, {"own", false, 1}} {
			go func() {
				need := c.need(true)
				need.Until += time.Hour
				need.Remote, need.Priority = n.remote, n.priority
				s := c.acquire(need)
				order <- n.name
				s.Release()
			}()
			gomega.Eventually(c.Waiting).Should(gomega.Equal(i + 1))
		}
		held[0].Release()
		gomega.Expect([]string{<-order, <-order, <-order}).To(gomega.Equal([]string{"own", "remote", "less urgent"}))
		for _, s := range held[1:] {
			s.Release()
		}
	})
})
