package edge_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/succession"
)

// lossyStore opens a fixture whose store tells its era, as one does that may come back
// from a copy.
func lossyStore(vms int) *fixture {
	options := threeZones
	options.Era = 1
	return openFixture(options, vms)
}

// longestGap calls c until stop is closed and sends the longest time between two
// successes.
func longestGap(c *caller, stop <-chan struct{}) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		longest, last := time.Duration(0), time.Now()
		for {
			select {
			case <-stop:
				result <- longest
				return
			case <-time.After(10 * time.Millisecond):
			}
			a, err := c.ask("WRITE bar 1")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			if a.code == "" {
				longest, last = max(longest, time.Since(last)), time.Now()
			}
		}
	}()
	return result
}

var _ = ginkgo.Describe("A store that comes back from an older copy", func() {
	ginkgo.It("interrupts callers no longer than an outage of the store does", func() {
		f := lossyStore(3)
		stop := make(chan struct{})
		gap := longestGap(f.vms[1].session("choir-own"), stop)
		time.Sleep(300 * time.Millisecond)
		before := f.site.Store.Copy()
		time.Sleep(time.Second)
		f.site.Store.SetDown(true)
		time.Sleep(time.Second)
		f.site.Store.Restore(before)
		f.site.Store.SetDown(false)
		time.Sleep(3 * time.Second)
		close(stop)
		// No VM has anything to wait for: all of them answer.
		gomega.Expect(<-gap).To(gomega.BeNumerically("<", time.Second))
		for _, v := range f.vms {
			gomega.Expect(v.readMetrics()).To(gomega.ContainSubstring("amaranthsill_store_losses_total 1"))
			v.session("choir-current").must("READ bar")
		}
	})

	ginkgo.It("does not bring a deposed leader back, nor lower a fencing token", func() {
		f := lossyStore(3)
		c := f.vms[1].session("choir-own")
		for range 2 {
			before := f.site.Store.Copy()
			old := f.site.Leader("choir")
			old.SetUnresponsive(true)
			last := c.retry("WRITE bar kept")
			gomega.Expect(f.site.Leader("choir")).NotTo(gomega.Equal(old))
			f.site.Store.Restore(before)
			old.SetUnresponsive(false)
			late := f.start("vm-late-"+last.id, zones[0], false)
			gomega.Eventually(late.isReady, 2*recoveryTimeout, "20ms").Should(gomega.BeTrue())
			for _, v := range f.vms {
				gomega.Expect(v.session("choir-current").retry("READ bar").rows).To(gomega.Equal([]string{"kept"}))
			}
			gomega.Expect(f.site.Leader("choir").HasEntry(last.id)).To(gomega.BeTrue())
		}
		tokens := f.site.FencingTokens()
		for i := 1; i < len(tokens); i++ {
			gomega.Expect(tokens[i]).To(gomega.BeNumerically(">=", tokens[i-1]))
		}
	})

	ginkgo.It("is heard of by a VM that does not reach it, over two losses in a row", func() {
		f := lossyStore(3)
		f.vms[0].session("choir-own").must("WRITE bar 1")
		f.vms[0].storeCut.Store(true)
		before := f.site.Store.Copy()
		old := f.site.Leader("choir")
		old.Drain()
		f.awaitLeaderOtherThan(old)
		f.site.Store.Restore(before)
		f.site.Store.Restore(before)
		gomega.Eventually(f.vms[0].readMetrics, 2*recoveryTimeout, "20ms").Should(gomega.ContainSubstring("amaranthsill_store_era 3"))
		gomega.Expect(f.vms[0].session("choir-current").retry("READ bar").rows).To(gomega.Equal([]string{"1"}))
		gomega.Expect(f.vms[0].session("choir-own").retry("WRITE bar 2").code).To(gomega.BeEmpty())
		f.vms[0].storeCut.Store(false)
		gomega.Expect(f.vms[1].session("choir-current").retry("READ bar").rows).To(gomega.Equal([]string{"2"}))
	})

	ginkgo.It("has the VMs registered again, and configurations of the new era put in force", func() {
		f := lossyStore(3)
		before := f.site.Store.Copy()
		late := f.start("vm-late", zones[0], false)
		gomega.Eventually(late.isReady, recoveryTimeout, "20ms").Should(gomega.BeTrue())
		f.site.Store.Restore(before)
		gomega.Eventually(func() []byte { return f.site.Store.Get("amaranthsill/vms/vm-late") }, recoveryTimeout, "20ms").ShouldNot(gomega.BeNil())
		gomega.Eventually(f.vms[0].readMetrics, recoveryTimeout, "20ms").Should(gomega.ContainSubstring("amaranthsill_vms 4"))
		gomega.Expect(f.vms[0].session("choir-own").retry("WRITE bar 1").code).To(gomega.BeEmpty())
	})

	ginkgo.It("gets a leader record with its era once it tells one, which is taken for a loss", func() {
		f := openFixture(threeZones, 2)
		gomega.Expect(string(f.site.Store.Get(succession.RecordKey))).NotTo(gomega.ContainSubstring(`"era"`))
		f.site.Store.SetEra(4)
		gomega.Eventually(func() string { return string(f.site.Store.Get(succession.RecordKey)) }, recoveryTimeout, "20ms").Should(gomega.ContainSubstring(`"era":5`))
		f.vms[0].session("choir-own").must("WRITE bar 1")
		gomega.Expect(f.vms[0].readMetrics()).To(gomega.ContainSubstring("amaranthsill_store_losses_total 1"))
	})

	ginkgo.It("serves again after all VMs were lost with it", func() {
		f := lossyStore(2)
		f.vms[0].session("choir-own").must("WRITE bar kept")
		// A leader that alone holds the write would be promoted again.
		for _, s := range f.site.Servers("choir") {
			gomega.Eventually(s.LogRequestIDs, "2s", "5ms").ShouldNot(gomega.BeEmpty())
		}
		before := f.site.Store.Copy()
		old := f.site.Leader("choir")
		old.Drain()
		f.awaitLeaderOtherThan(old)
		for _, v := range f.vms {
			v.stop()
			<-v.ended
		}
		f.site.Store.Restore(before)
		f.vms = nil
		for i := range 2 {
			f.start("vm-new-"+zones[i], zones[i], false)
		}
		for _, v := range f.vms {
			gomega.Eventually(v.isReady, 3*recoveryTimeout, "20ms").Should(gomega.BeTrue())
			gomega.Expect(v.session("choir-current").retry("READ bar").rows).To(gomega.Equal([]string{"kept"}))
		}
	})
})
