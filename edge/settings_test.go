package edge_test

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/edge"
)

const settings = `// A VM's settings.
{
  "vm": "front-xela-a-1",
  "zone": "xela-a",
  "callers": "10.1.0.8:8784",
  "ready": "10.1.0.8:8785",
  "peers": "10.1.0.8:8782",
  "seeds": ["10.1.0.8:8782", "10.2.0.6:8782"],
  "first": true,
  "metrics": "10.1.0.8:7440",
  "store": "10.200.1.7:8783",
  "duty": "10.200.0.160:8783",
  "memory": 284, // MB
  "grace": "6s",
  "relay": "10.1.0.8:7441",
}`

var _ = ginkgo.Describe("Settings", func() {
	ginkgo.It("are read from a file like the deploy template", func() {
		s, err := edge.ParseSettings("vm.json", []byte(settings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.VM()).To(gomega.Equal("front-xela-a-1"))
		gomega.Expect(s.Zone()).To(gomega.Equal("xela-a"))
		gomega.Expect(s.Seeds()).To(gomega.Equal([]string{"10.1.0.8:8782", "10.2.0.6:8782"}))
		gomega.Expect(s.FirstStart()).To(gomega.BeTrue())
		gomega.Expect(s.MemoryBytes()).To(gomega.Equal(int64(284 << 20)))
		gomega.Expect(s.Grace()).To(gomega.Equal(6 * time.Second))
	})

	ginkgo.It("apply the fields that can change while a VM runs, and name the others that changed", func() {
		s, err := edge.ParseSettings("vm.json", []byte(settings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		text := strings.NewReplacer("284", "512", `"6s"`, `"9s"`, "10.200.1.7", "10.200.1.9").Replace(settings)
		n, err := edge.ParseSettings("vm.json", []byte(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		next, fixed := s.Reload(n)
		gomega.Expect(next.MemoryBytes()).To(gomega.Equal(int64(512 << 20)))
		gomega.Expect(next.Grace()).To(gomega.Equal(9 * time.Second))
		gomega.Expect(next.StoreAddress()).To(gomega.Equal(s.StoreAddress()))
		gomega.Expect(fixed).To(gomega.Equal([]string{"store"}))
	})

	ginkgo.It("take the processor from the number of cores and the share of each", func() {
		s, err := edge.ParseSettings("vm.json", []byte(strings.Replace(settings, `"first": true,`, `"first": true, "cores": 2, "share": 0.2,`, 1)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Cores()).To(gomega.BeNumerically("~", 0.4, 0.001))
		other, err := edge.ParseSettings("vm.json", []byte(strings.Replace(settings, `"first": true,`, `"first": false,`, 1)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(other.Cores()).To(gomega.BeZero())
		_, fixed := s.Reload(other)
		gomega.Expect(fixed).To(gomega.Equal([]string{"first", "cores", "share"}))
	})

	ginkgo.It("price traffic between zones only if they have traffic, and tell which zones form a region", func() {
		s, err := edge.ParseSettings("vm.json", []byte(settings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Traffic()).To(gomega.BeNil())
		priced, err := edge.ParseSettings("vm.json", []byte(strings.Replace(settings, `"first": true,`,
			`"first": true, "traffic": {"zones": 1.5, "regions": 20}, "regions": {"xela-a": "xela", "xela-b": "xela"},`, 1)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		t := priced.Traffic()
		gomega.Expect(t.Zones).To(gomega.Equal(1500 * time.Microsecond))
		gomega.Expect(t.Regions).To(gomega.Equal(20 * time.Millisecond))
		gomega.Expect(t.RegionOf).To(gomega.Equal(map[string]string{"xela-a": "xela", "xela-b": "xela"}))
		_, fixed := s.Reload(priced)
		gomega.Expect(fixed).To(gomega.Equal([]string{"traffic", "regions"}))
		free, err := edge.ParseSettings("vm.json", []byte(strings.Replace(settings, `"first": true,`, `"first": true, "traffic": {},`, 1)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(free.Traffic()).To(gomega.HaveField("Zones", time.Duration(0)))
	})

	faults := map[string]struct{ old, replacement, message string }{
		"a price below zero":          {`"first": true,`, `"first": true, "traffic": {"zones": -1},`, "write a number from 0 to"},
		"a price of nothing known":    {`"first": true,`, `"first": true, "traffic": {"towns": 1},`, "write one of regions, zones"},
		"a region that is no name":    {`"first": true,`, `"first": true, "regions": {"xela-a": 7},`, "write a text in quotes"},
		"a zone with two regions":     {`"first": true,`, `"first": true, "regions": {"a": "x", "a": "y"},`, "field stands twice"},
		"a share above one":           {`"first": true,`, `"first": true, "share": 1.5,`, "write a number from 0 to 1"},
		"a field that is missing":     {`"vm": "front-xela-a-1",`, ``, "write the VM's name under vm"},
		"an address that is missing":  {`"store": "10.200.1.7:8783",`, ``, "under store"},
		"a field that nobody knows":   {`"memory"`, `"memmory"`, "vm.json:13"},
		"an address that is none":     {`"10.1.0.8:8785"`, `"here"`, "vm.json:6"},
		"a number that is a text":     {`284`, `"much"`, "vm.json:13"},
		"a duration without its unit": {`"6s"`, `6`, "vm.json:14"},
		"a text that is not JSON":     {`"first": true,`, `"first" true,`, "vm.json:9"},
	}
	for name, c := range faults {
		ginkgo.It("are rejected with the line and what to write: "+name, func() {
			_, err := edge.ParseSettings("vm.json", []byte(strings.Replace(settings, c.old, c.replacement, 1)))
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.message)))
		})
	}
})
