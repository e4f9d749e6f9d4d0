package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/customer"
	"amaranthsill/internal/site"
)

// fewConnections is a site whose targets allow fewer connections than are needed
// for every VM to connect directly.
var fewConnections = site.Options{
	Groups: []string{"choir"}, Zones: []string{"quetzaltenango"},
	ConnectionLimit: 4, StatementDelay: 2 * time.Millisecond,
}

// onlyKey is the key of the only customer of a deployment.
const onlyKey = "bell-key"

// oneCustomer is the customers of a deployment with one.
func oneCustomer() *customer.Set {
	set, err := customer.NewSet([]customer.Entry{{Customer: customer.Customer{Name: "bell"}, Keys: []customer.Digest{customer.DigestOf(onlyKey)}}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return set
}

// heldGroups returns for how many groups a VM holds connections to a target.
func (v *vm) heldGroups() int {
	count := 0
	_, after, found := strings.Cut(v.readMetrics(), "\namaranthsill_held_groups ")
	gomega.Expect(found).To(gomega.BeTrue())
	_, err := fmt.Sscan(after, &count)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return count
}

var _ = ginkgo.Describe("A target's connections in a deployment with customers", func() {
	// Otherwise VMs of every zone hold a few connections each, which serve few customers.
	ginkgo.It("are held by VMs of the target's zone, through which all VMs reach it", func() {
		options := fewConnections
		options.Zones = zones[:2]
		f := openFixtureWith(options, 6, oneCustomer())
		// A change of holders takes effect after holderChangeDelay, one second.
		time.Sleep(2 * time.Second)
		before := f.site.Leader("choir").RefusedConnections()
		holders := 0
		for _, v := range f.vms {
			holders += v.heldGroups()
		}
		gomega.Expect(holders).To(gomega.Equal(4))
		wait := sync.WaitGroup{}
		for _, v := range f.vms {
			wait.Go(func() {
				defer ginkgo.GinkgoRecover()
				own, current := v.sessionAs("choir-own", onlyKey), v.sessionAs("choir-current", onlyKey)
				for range 10 {
					last := own.retry("WRITE bar " + own.name)
					gomega.Expect(f.site.Leader("choir").HasEntry(last.id)).To(gomega.BeTrue())
					current.retry("READ bar")
				}
			})
		}
		wait.Wait()
		gomega.Expect(f.site.Leader("choir").RefusedConnections()).To(gomega.Equal(before))
		// The holders of the leader answer for its position to VMs of all zones.
		for i, v := range f.vms {
			value := fmt.Sprint("last", i)
			f.vms[0].sessionAs("choir-own", onlyKey).retry("WRITE bar " + value)
			gomega.Expect(v.sessionAs("choir-current", onlyKey).retry("READ bar").rows).To(gomega.Equal([]string{value}))
		}
	})

	ginkgo.It("move to other VMs when a holder stops, and no query runs twice", func() {
		f := openFixtureWith(fewConnections, 5, oneCustomer())
		time.Sleep(2 * time.Second)
		c := f.vms[4].sessionAs("choir-own", onlyKey)
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
