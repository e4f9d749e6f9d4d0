package edge_test

import (
	"fmt"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A group's leader", func() {
	ginkgo.It("is replaced when it stops answering, and later writes do not run on it", func() {
		f := openFixture(threeZones, 3)
		c := f.vms[1].session("choir-own")
		c.must("WRITE bar before")
		time.Sleep(50 * time.Millisecond)
		old := f.site.Leader("choir")
		old.SetUnresponsive(true)
		begun := time.Now()
		after := c.retry("WRITE bar after")
		gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", recoveryTimeout))
		gomega.Expect(old.HasEntry(after.id)).To(gomega.BeFalse())
		old.SetUnresponsive(false)
		for _, v := range f.vms {
			gomega.Expect(v.session("choir-current").retry("READ bar").rows).To(gomega.Equal([]string{"after"}))
		}
	})

	ginkgo.It("is replaced while it drains, without losing a commit", func() {
		f := openFixture(threeZones, 3)
		c := f.vms[1].session("choir-own")
		last := c.must("WRITE bar before")
		old := f.site.Leader("choir")
		old.Drain()
		f.awaitLeaderOtherThan(old)
		gomega.Expect(f.site.Leader("choir").HasEntry(last.id)).To(gomega.BeTrue())
		gomega.Expect(c.retry("READ bar").rows).To(gomega.Equal([]string{"before"}))
	})

	ginkgo.It("is not replaced when only one VM fails to reach it", func() {
		f := openFixture(threeZones, 3)
		f.vms[0].blocked.Store(f.site.Leader("choir").ID)
		// Wait until the connection that the VM opened at its start has been closed
		// as unused.
		time.Sleep(5 * time.Second)
		alone := f.vms[0].session("choir-own")
		other := f.vms[1].session("choir-own")
		for range 25 {
			a, err := alone.ask("WRITE bar alone")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.code).To(gomega.Equal("BUSY"))
			other.must("WRITE bar other")
		}
		gomega.Expect(f.site.FencingTokens()).To(gomega.BeEmpty())
	})

	// Guards against writes that are refused for good: VMs that were asked whether they
	// reach a leader which had become a replica kept it from being replaced.
	ginkgo.It("is replaced when it refuses writes, although all VMs reach it", func() {
		f := openFixture(threeZones, 3)
		c := f.vms[1].session("choir-own")
		c.must("WRITE bar before")
		conn, err := net.Dial("tcp4", f.site.Leader("choir").Address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprint(conn, "STARTUP choir operator\r\nQUERY - STEPDOWN 2\r\n")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		c.retry("WRITE bar after")
	})

	ginkgo.It("is served by other VMs of a zone while one does not reach it", func() {
		// That VM reports that it is not ready, since callers try VMs of their zone only.
		f := openFixture(threeZones, 3)
		leader := f.site.Leader("choir").ID
		f.vms[0].blocked.Store(leader)
		// Wait until the connection that the VM opened at its start has been closed
		// as unused.
		time.Sleep(5 * time.Second)
		c := f.vms[0].session("choir-own")
		gomega.Eventually(func() bool {
			_, err := c.ask("WRITE bar alone")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return f.vms[0].isReady()
		}, recoveryTimeout, "20ms").Should(gomega.BeFalse())
		gomega.Expect(f.vms[1].isReady()).To(gomega.BeTrue())
		gomega.Expect(f.vms[2].isReady()).To(gomega.BeTrue())
		f.vms[0].blocked.Store("")
		gomega.Eventually(f.vms[0].isReady, recoveryTimeout, "20ms").Should(gomega.BeTrue())
		c.must("WRITE bar again")
	})

	ginkgo.It("is promoted under fencing tokens that never decrease, also when the store's answers are lost", func() {
		f := openFixture(threeZones, 3)
		c := f.vms[1].session("choir-own")
		for range 3 {
			f.site.Store.DropAnswers(2)
			old := f.site.Leader("choir")
			old.Drain()
			f.awaitLeaderOtherThan(old)
			c.retry("WRITE bar 1")
			f.site.Store.Put("servers/"+old.ID, map[string]any{
				"service": "choir", "address": old.Address(), "zone": old.Zone, "version": "v1", "slots": 3,
				"state": "ready", "cold_left_ms": 0, "db_role": "replica", "seq": 2, "born": 1,
			})
		}
		tokens := f.site.FencingTokens()
		for i := 1; i < len(tokens); i++ {
			gomega.Expect(tokens[i]).To(gomega.BeNumerically(">=", tokens[i-1]))
		}
	})
})
