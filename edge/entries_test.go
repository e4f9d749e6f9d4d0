package edge_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// foreignEntry is an entry of another writer that looks like a primary, but lacks fields
// that servers write.
const foreignEntry = `{"service":"choir","address":"127.0.0.1:9","zone":"coban","slots":3,"state":"ready","db_role":"primary"}`

var _ = ginkgo.Describe("An entry of another writer among those of the targets", func() {
	// At the first start it counted as a second primary: no leader was recorded, and no VM
	// ever got ready.
	ginkgo.It("does not keep the VMs from getting ready at the first start of the whole system", func() {
		s, err := site.Open(threeZones)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.Store.PutBytes("servers/stranger", []byte(foreignEntry))
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
})
