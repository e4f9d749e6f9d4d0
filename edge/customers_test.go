package edge_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// publicRoute is a route that needs no key.
var publicRoute = site.Route{
	"name": "public", "host": "public", "kind": "primary", "service": "choir", "public": true,
	"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1,
}

// configureKeys puts a version in the store in which one customer has the keys, and
// waits until it is in force on all VMs.
func (f *fixture) configureKeys(keys ...string) {
	f.site.SetCustomers([]site.Customer{{"name": "miny", "api_keys": keys}})
	version := fmt.Sprintf("amaranthsill_configuration_version %d\n", f.site.Configure([]site.Route{publicRoute}))
	for _, v := range f.vms {
		gomega.Eventually(v.readMetrics, "4s", "20ms").Should(gomega.ContainSubstring(version))
	}
}

// sessionAs opens a session with a key that is closed when the test ends.
func (v *vm) sessionAs(database, key string) *caller {
	c, err := v.connectAs(database, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.conn.Close() })
	return c
}

// isEnded reports whether the VM has closed the session.
func (c *caller) isEnded() bool {
	_, err := c.line()
	return err != nil
}

var _ = ginkgo.Describe("Customers' keys", func() {
	// VMs that took a moment without confirmation for an outdated configuration would
	// refuse customers in a fleet without failures.
	ginkgo.It("keep being served, on a VM without the store as well, until one is revoked", func() {
		f := openFixture(threeZones, 3)
		f.configureKeys("key-a", "key-b")
		f.vms[1].storeCut.Store(true)
		wait := sync.WaitGroup{}
		for _, v := range f.vms {
			_, err := v.connectAs("choir-own", "key-c")
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("AUTHFAIL")))
			a, b := v.sessionAs("choir-own", "key-a"), v.sessionAs("choir-own", "key-b")
			wait.Go(func() {
				defer ginkgo.GinkgoRecover()
				for range 60 {
					a.must("WRITE bar 1")
					b.must("WRITE bar 1")
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		wait.Wait()
		idle, open, kept := []*caller{}, []*caller{}, []*caller{}
		for _, v := range f.vms {
			idle, open, kept = append(idle, v.sessionAs("choir-own", "key-a")), append(open, v.sessionAs("choir-own", "key-a")), append(kept, v.sessionAs("choir-own", "key-b"))
		}
		for _, c := range open {
			c.must("BEGIN")
		}
		f.configureKeys("key-b")
		for i, v := range f.vms {
			gomega.Expect(idle[i].isEnded()).To(gomega.BeTrue())
			open[i].must("ROLLBACK")
			gomega.Expect(open[i].isEnded()).To(gomega.BeTrue())
			kept[i].must("WRITE bar 1")
			_, err := v.connectAs("choir-own", "key-a")
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("AUTHFAIL")))
			gomega.Expect(v.readMetrics()).To(gomega.And(
				gomega.ContainSubstring("amaranthsill_customers 1\n"),
				gomega.ContainSubstring("amaranthsill_customer_sessions{customer=\"miny\"} 2\n"),
				gomega.ContainSubstring("amaranthsill_refused_starts_total{reason=\"unknown-key\"} 2\n"),
				gomega.MatchRegexp("amaranthsill_revoked_sessions_total 3\n"),
				gomega.MatchRegexp("amaranthsill_configuration_age_seconds [0-2]"),
				gomega.Not(gomega.ContainSubstring("key-")),
			))
		}
	})

	// A VM that went on without the store could serve a key that was revoked meanwhile.
	ginkgo.It("are refused as BUSY once the store has been away for too long, and served when it is back", func() {
		f := openFixture(threeZones, 3)
		f.configureKeys("key-a")
		c, public := f.vms[1].sessionAs("choir-own", "key-a"), f.vms[1].sessionAs("public", "none")
		f.site.Store.SetDown(true)
		for range 40 {
			c.must("WRITE bar 1")
			time.Sleep(100 * time.Millisecond)
		}
		gomega.Eventually(func() string {
			a, err := c.ask("WRITE bar 1")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return a.code
		}, "2s", "20ms").Should(gomega.Equal("BUSY"))
		public.must("WRITE bar 1")
		_, err := f.vms[1].connectAs("choir-own", "key-a")
		gomega.Expect(err).To(gomega.MatchError(gomega.MatchRegexp("ERROR BUSY .*retry after [0-9]+ ms")))
		f.site.Store.SetDown(false)
		gomega.Eventually(func() error {
			_, err := f.vms[1].connectAs("choir-own", "key-a")
			return err
		}, recoveryTimeout, "50ms").Should(gomega.Succeed())
	})

	// An error of one customer must not lock out the others.
	ginkgo.It("stay in force while the store holds a version that cannot be decoded", func() {
		f := openFixture(threeZones, 1)
		f.configureKeys("key-a")
		f.site.SetCustomers([]site.Customer{{"name": "miny"}})
		f.site.Configure(nil)
		time.Sleep(time.Second)
		f.vms[0].sessionAs("choir-own", "key-a").must("WRITE bar 1")
	})
})
