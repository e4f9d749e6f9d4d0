package edge_test

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// foreignEntries are entries of another writer that look like those of a primary.
var foreignEntries = map[string]string{
	"lacks fields that servers write": `{"service":"choir","address":"127.0.0.1:9","zone":"coban","slots":3,"state":"ready","db_role":"primary"}`,
	"has a port out of range": `{"service":"choir","address":"127.0.0.1:65536","zone":"coban","slots":3,"state":"ready","db_role":"primary",
		"version":"v1","cold_left_ms":0,"seq":1,"born":1}`,
	"has a number too large": `{"service":"choir","address":"127.0.0.1:9","zone":"coban","slots":3,"state":"ready","db_role":"primary",
		"version":"v1","cold_left_ms":1e18,"seq":1,"born":1}`,
	"is nested too deep": `{"service":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `,"state":"ready","db_role":"primary"}`,
}

var _ = ginkgo.Describe("An entry of another writer among those of the targets", func() {
	for name, entry := range foreignEntries {
		// At the first start it counted as a second primary: no leader was recorded, and no
		// VM ever got ready.
		ginkgo.It("does not keep the VMs from getting ready at the first start of the whole system if it "+name, func() {
			s, err := site.Open(threeZones)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			s.Store.PutBytes("servers/stranger", []byte(entry))
			f := &fixture{site: s, begun: time.Now()}
			ginkgo.DeferCleanup(f.close)
			for _, zone := range zones {
				f.start("vm-"+zone, zone, true)
			}
			for _, v := range f.vms {
				gomega.Eventually(v.isReady, recoveryTimeout, "20ms").Should(gomega.BeTrue())
			}
			f.vms[0].session("choir-own").must("WRITE bar 1")
		})
	}

	// The VMs asked for the same changes again and again, since they were longer than an
	// answer may be, and got no configuration any more.
	ginkgo.It("does not keep the VMs from following the store while it is written again and again", func() {
		f := openFixture(threeZones, 3)
		for range 12 {
			// All of this is over before the VMs ask for changes again.
			f.site.Store.PutBytes("servers/stranger", []byte(strings.Repeat("9", 1<<20)))
			time.Sleep(15 * time.Millisecond)
		}
		for name, entry := range foreignEntries {
			f.site.Store.PutBytes("servers/stranger "+name, []byte(entry))
		}
		f.site.Configure([]site.Route{{
			"name": "new", "host": "new", "kind": "read_your_writes", "service": "choir",
			"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
		}})
		for _, v := range f.vms {
			gomega.Eventually(func() error {
				_, err := v.connect("new")
				return err
			}, "4s", "50ms").Should(gomega.Succeed())
			gomega.Expect(v.readMetrics()).To(gomega.MatchRegexp(`amaranthsill_invalid_entries_total.kind="target". [1-9]`))
			gomega.Expect(v.readMetrics()).To(gomega.ContainSubstring(`amaranthsill_invalid_entries_total{kind="item"} 0`))
		}
		f.vms[1].session("choir-own").must("WRITE bar 1")
	})
})
