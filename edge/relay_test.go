package edge_test

import (
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// fewConnections is a site whose targets allow fewer connections than are needed
// for every VM to connect directly.
var fewConnections = site.Options{
	Groups: []string{"choir"}, Zones: []string{"quetzaltenango"},
	ConnectionLimit: 4, StatementDelay: 2 * time.Millisecond,
}

var _ = ginkgo.Describe("Connections that do not suffice for all VMs", func() {
	ginkgo.It("are held by a few VMs, through which the other VMs reach the targets", func() {
		f := openFixture(fewConnections, 5)
		// A change of holders takes effect after holderChangeDelay, one second.
		time.Sleep(2 * time.Second)
		before := f.site.Leader("choir").RefusedConnections()
		wait := sync.WaitGroup{}
		for _, v := range f.vms {
			wait.Go(func() {
				defer ginkgo.GinkgoRecover()
				c := v.session("choir-own")
				for range 10 {
					last := c.retry("WRITE bar " + c.name)
					gomega.Expect(f.site.Leader("choir").HasEntry(last.id)).To(gomega.BeTrue())
					c.retry("READ bar")
				}
			})
		}
		wait.Wait()
		gomega.Expect(f.site.Leader("choir").RefusedConnections()).To(gomega.Equal(before))
	})

	ginkgo.It("move to other VMs when a holder stops, and no query runs twice", func() {
		f := openFixture(fewConnections, 5)
		time.Sleep(2 * time.Second)
		c := f.vms[4].session("choir-own")
		for i, v := range f.vms[:3] {
			v.stop()
			for range 20 {
				a, err := c.ask("WRITE bar 1")
				gomega.Expect(err).NotTo(gomega.HaveOccurred(), "VM %d stops", i)
				gomega.Expect(f.site.Leader("choir").Runs(a.id)).To(gomega.BeNumerically("<=", 1))
				time.Sleep(10 * time.Millisecond)
			}
			<-v.ended
			gomega.Expect(c.retry("READ bar").rows).To(gomega.Equal([]string{"1"}))
		}
	})
})
