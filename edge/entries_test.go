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
})
