package edge_test

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// cutSite is a site of which servers can be cut off from the store alone, so that their
// entries go although they run.
type cutSite struct {
	*fixture
	// cut holds the IDs of the servers that are cut off.
	cut atomic.Pointer[[]string]
}

// openCutSite starts a synchronous group with one server for each zone, and three VMs.
func openCutSite(zones []string) *cutSite {
	c := &cutSite{}
	c.cut.Store(&[]string{})
	options := syncedZones
	options.Zones = zones
	options.EntryTimeout = time.Second
	options.Reaches = func(from, to string) bool {
		list := *c.cut.Load()
		return from != site.StoreNode && to != site.StoreNode || !slices.Contains(list, from) && !slices.Contains(list, to)
	}
	c.fixture = openFixture(options, 3)
	return c
}

// cutOff cuts servers off from the store, in place of those before, and waits until those
// are dropped whose entries go.
func (c *cutSite) cutOff(servers ...*site.Server) {
	list := []string{}
	for _, s := range servers {
		list = append(list, s.ID)
	}
	c.cut.Store(&list)
	for _, id := range list {
		gomega.Eventually(c.site.Store.Get, recoveryTimeout, "20ms").WithArguments("servers/" + id).Should(gomega.BeNil())
	}
	// The entries are kept in use for 2.5 s, and then the logs are compared.
	time.Sleep(5 * time.Second)
}

// cutCase is a way in which replicas are cut off from the store.
type cutCase struct {
	zones []string
	// cut is how many replicas are cut off, the last ones. The other one receives nothing.
	cut int
	// wait is how long nobody may be promoted after the crash.
	wait time.Duration
	// meanwhile happens after the entries are gone and before the last commits.
	meanwhile func(f *cutSite)
}

var cutCases = map[string]cutCase{
	"one":     {zones, 1, 4 * time.Second, func(*cutSite) {}},
	"several": {append(slices.Clone(zones), "antigua"), 2, 4 * time.Second, func(*cutSite) {}},
	"after all VMs have started again": {zones, 1, 15 * time.Second, func(f *cutSite) {
		f.stopAll()
		f.startAll(3, false)
	}},
	"after it has started again": {zones, 1, 4 * time.Second, func(f *cutSite) {
		s := f.site.Servers("choir")[2]
		s.Crash()
		time.Sleep(4 * time.Second)
		s.Restart()
		time.Sleep(time.Second)
	}},
}

// expectWaitedFor has replicas that are cut off alone receive the last commits before the
// primary crashes, and expects that one of them leads in the end, with all commits.
func (c *cutSite) expectWaitedFor(k cutCase) {
	c.vms[1].session("choir-own").must("WRITE bar before")
	servers := c.site.Servers("choir")
	away := servers[len(servers)-k.cut:]
	c.cutOff(away...)
	k.meanwhile(c)
	servers[1].SetReplicationPaused(true)
	acknowledged := []string{}
	w := c.vms[1].session("choir-own")
	for range 5 {
		acknowledged = append(acknowledged, w.must("WRITE bar x").id)
	}
	servers[0].Crash()
	c.expectWaiting(k.wait)
	c.cut.Store(&[]string{})
	leads := func() bool { return slices.Contains(away, c.site.Leader("choir")) }
	gomega.Eventually(leads, 3*recoveryTimeout, "20ms").Should(gomega.BeTrue())
	servers[1].SetReplicationPaused(false)
	c.expectKept(acknowledged)
}

var _ = ginkgo.Describe("A replica without an entry that still receives", func() {
	// Guards against acknowledged commits that are lost: a replica that was cut off from the
	// store alone was taken to receive nothing more, and another one without its commits was
	// promoted.
	ginkgo.It("is waited for", func() {
		cases := map[string]func(){}
		for name, k := range cutCases {
			c := openCutSite(k.zones)
			cases[name] = func() { c.expectWaitedFor(k) }
		}
		sideBySide(cases)
	})

	ginkgo.It("delays no move if another replica has as much", func() {
		f := openCutSite(zones)
		c := f.vms[1].session("choir-own")
		servers := f.site.Servers("choir")
		f.cutOff(servers[2])
		last := c.must("WRITE bar 1")
		time.Sleep(50 * time.Millisecond)
		servers[0].Crash()
		crashed := time.Now()
		f.vms[2].session("choir-own").retry("WRITE bar 2")
		gomega.Expect(f.site.Leader("choir")).To(gomega.Equal(servers[1]))
		ginkgo.GinkgoWriter.Println("gap", time.Since(crashed))
		f.expectKept([]string{last.id})
	})
})

var _ = ginkgo.Describe("A group without a registered target", func() {
	// Guards against requests that reach servers long after they are gone: the last targets of
	// a group were used for good.
	ginkgo.It("has its statements refused at once, and is served again once its targets are back", func() {
		c := openCutSite(zones)
		w := c.vms[1].session("choir-own")
		w.must("WRITE bar 1")
		servers := c.site.Servers("choir")
		c.cutOff(servers...)
		for _, text := range []string{"WRITE bar 2", "READ bar"} {
			asked := time.Now()
			a, err := w.ask(text)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.code).To(gomega.Equal("BUSY"))
			gomega.Expect(time.Since(asked)).To(gomega.BeNumerically("<", 500*time.Millisecond))
			for _, s := range servers {
				gomega.Expect(s.Runs(a.id)).To(gomega.BeZero())
			}
		}
		gomega.Expect(c.vms[1].isReady()).To(gomega.BeTrue())
		c.cut.Store(&[]string{})
		w.retry("WRITE bar 3")
		w.retry("READ bar")
	})
})
