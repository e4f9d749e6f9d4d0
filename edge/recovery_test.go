package edge_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// guildRoute is a route of a service that has no servers.
var guildRoute = site.Route{
	"name": "guild-own", "host": "guild-own", "kind": "read_your_writes", "service": "guild",
	"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
}

// expectRefused expects that a statement is refused at once, as not run.
func (c *caller) expectRefused() {
	begun := time.Now()
	a, err := c.ask("WRITE bar 1")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(a.code).To(gomega.Equal("BUSY"))
	gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond))
}

var _ = ginkgo.Describe("A service without a leader holds back only its own requests", func() {
	// Guards against VMs of which none accepts callers any more, since one service has no
	// servers yet.
	for name, start := range map[string]func(f *fixture){
		"at the first start": func(f *fixture) {
			f.site.Configure([]site.Route{guildRoute})
			f.startAll(3, true)
		},
		"after all VMs started again": func(f *fixture) {
			f.startAll(3, true)
			f.site.Configure([]site.Route{guildRoute})
			f.stopAll()
			f.startAll(3, false)
		},
		"after the store forgot the leader record": func(f *fixture) {
			before := f.site.Store.Copy()
			f.startAll(3, true)
			f.stopAll()
			f.site.Store.Restore(before)
			f.site.Configure([]site.Route{guildRoute})
			f.startAll(3, false)
		},
	} {
		ginkgo.It(name, func() {
			options := threeZones
			options.Era = 1
			f := openSite(options)
			start(f)
			for _, v := range f.vms {
				v.session("choir-own").retry("WRITE bar 1")
				v.session("guild-own").expectRefused()
			}
		})
	}

	ginkgo.It("if its primary is gone before its first leader is recorded", func() {
		options := threeZones
		options.Groups = []string{"choir", "guild"}
		f := openSite(options)
		f.site.Store.Delete("servers/" + f.site.Servers("guild")[0].ID)
		f.startAll(3, true)
		for _, v := range f.vms {
			v.session("choir-own").must("WRITE bar 1")
		}
		time.Sleep(3 * time.Second)
		for _, v := range f.vms {
			v.session("guild-own").expectRefused()
		}
	})

	// Guards against VMs that are all reported as not ready, so that no caller of any
	// service is sent to them.
	ginkgo.It("if all its servers are lost", func() {
		options := threeZones
		options.Groups = []string{"choir", "guild"}
		f := openFixture(options, 3)
		for _, s := range f.site.Servers("guild") {
			s.Crash()
		}
		for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
			for _, v := range f.vms {
				if time.Since(begun) > 3*time.Second {
					gomega.Expect(v.isReady()).To(gomega.BeTrue())
				}
				_, err := v.session("guild-own").ask("WRITE bar 1")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				v.session("choir-own").must("WRITE bar 1")
			}
		}
	})
})
