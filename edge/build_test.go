package edge_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against a fleet of which nobody can tell which build a VM runs.
var _ = ginkgo.It("A VM tells its build in a metric", func() {
	f := openFixture(threeZones, 1)
	gomega.Expect(f.vms[0].readMetrics()).To(gomega.MatchRegexp(`amaranthsill_build_info\{arch="\w+",build="\w+",go="go[^"]+",revision="\w+",sources="\w+"\} 1`))
})
