package burn_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/burn"
)

func TestBurn(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "burn")
}

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func snapshot(after time.Duration, vm string, done, refused float64) burn.Snapshot {
	return burn.Snapshot{At: noon.Add(after), Counts: []burn.Count{
		{Key: burn.Key{VM: vm, Group: "choir", Kind: "tracks", Ending: "done"}, Value: done},
		{Key: burn.Key{VM: vm, Group: "choir", Kind: "tracks", Ending: "refused"}, Value: refused},
	}}
}

var _ = ginkgo.Describe("A report", func() {
	for name, c := range map[string]struct {
		snapshots []burn.Snapshot
		covered   time.Duration
		total     float64
		burn      float64
	}{
		"of one snapshot covers nothing":          {snapshots: []burn.Snapshot{snapshot(0, "a", 10, 0)}},
		"of two snapshots":                        {snapshots: []burn.Snapshot{snapshot(0, "a", 0, 0), snapshot(time.Minute, "a", 990, 10)}, covered: time.Minute, total: 1000, burn: 10},
		"counts a decreased counter from zero":    {snapshots: []burn.Snapshot{snapshot(0, "a", 5000, 50), snapshot(time.Minute, "a", 998, 2)}, covered: time.Minute, total: 1000, burn: 2},
		"ignores snapshots older than its window": {snapshots: []burn.Snapshot{snapshot(0, "a", 0, 0), snapshot(time.Hour, "a", 5000, 0), snapshot(time.Hour+time.Minute, "a", 5999, 1)}, covered: time.Minute, total: 1000, burn: 1},
		"counts all requests of a VM that joined": {snapshots: []burn.Snapshot{{At: noon}, snapshot(time.Minute, "b", 1000, 0)}, covered: time.Minute, total: 1000, burn: 0},
	} {
		ginkgo.It(name, func() {
			r := burn.Compare(nil, c.snapshots, nil)
			w := r.Rows[0].Windows[0]
			gomega.Expect(w.Covered).To(gomega.Equal(c.covered))
			gomega.Expect(w.Total).To(gomega.Equal(c.total))
			gomega.Expect(w.BurnRate(r.Rows[0].Objective)).To(gomega.BeNumerically("~", c.burn, 1e-9))
		})
	}

	ginkgo.It("lists VMs that did not answer, in the text and on the page", func() {
		r := burn.Compare(nil, []burn.Snapshot{snapshot(0, "a", 0, 0), snapshot(time.Minute, "a", 990, 10)}, map[string]error{"vm-9": errors.New("no answer")})
		text, page := &bytes.Buffer{}, &bytes.Buffer{}
		gomega.Expect(r.Text(text)).To(gomega.Succeed())
		gomega.Expect(r.Page(page)).To(gomega.Succeed())
		gomega.Expect(text.String()).To(gomega.ContainSubstring("missing: vm-9: no answer"))
		gomega.Expect(page.String()).To(gomega.ContainSubstring("Missing: vm-9: no answer"))
		gomega.Expect(page.String()).To(gomega.ContainSubstring("<svg"))
	})

	ginkgo.It("loads snapshots that were saved", func() {
		directory := ginkgo.GinkgoT().TempDir()
		s := snapshot(0, "a", 1, 2)
		gomega.Expect(s.Save(directory)).To(gomega.Succeed())
		gomega.Expect(burn.Load(directory)).To(gomega.Equal([]burn.Snapshot{s}))
	})

	ginkgo.It("returns ErrMetrics for malformed metrics", func() {
		s := burn.Snapshot{}
		gomega.Expect(s.Add("a", []byte("{not metrics"))).To(gomega.MatchError(burn.ErrMetrics))
	})
})

// Guards against the name of a group or of a VM that adds rows to a report.
func TestReportHasOneRowForEachWindow(t *testing.T) {
	lines := []int{}
	for _, name := range []string{"choir", "choir\nforged\t99%"} {
		s := burn.Snapshot{At: noon, Counts: []burn.Count{{Key: burn.Key{VM: "a", Group: name, Kind: name, Ending: "done"}, Value: 1}}}
		text := &bytes.Buffer{}
		if err := burn.Compare(nil, []burn.Snapshot{s}, map[string]error{name: errors.New(name)}).Text(text); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, bytes.Count(text.Bytes(), []byte("\n")))
	}
	if lines[0] != lines[1] {
		t.Errorf("printed %d lines, and %d for a name with a line feed", lines[0], lines[1])
	}
}
