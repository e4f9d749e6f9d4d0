package losses_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/losses"
)

func TestLosses(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "losses")
}

const firstLog = `collector: {"time":"2026-03-09T09:52:36.1Z","msg":"statement refused as not run","request":"a1","route":"r1","group":"choir","reason":"group choir: too many statements wait for a target","waited":"150ms"}
{"time":"2026-03-09T09:52:36.9Z","msg":"statement refused as not run","request":"a2","route":"r1","group":"choir","reason":"group choir: too many statements wait for a target","waited":"250ms","leftout":3}
{"time":"2026-03-09T09:52:37.1Z","msg":"VM is ready","version":3}
{"time":"2026-03-09T09:52:37.2Z","msg":"outcome in doubt","request":"a3","route":"r1","group":"choir","target":"x","reason":"run on target x: read tcp4 10.0.0.1:5->10.0.0.2:6: i/o timeout"}
`

const secondLog = `no log line
{"time":"2026-03-09T09:52:36.5Z","msg":"statement refused as not run","request":"b1","route":"r2","group":"dues","reason":"no target could take the statement","waited":"700ms"}
{"time":"yesterday","msg":"statement refused as not run"}
{"time":"2026-03-09T09:52:36.6Z","msg":"statement refused as not run","waited":"long"}
`

// read returns the report of the two logs.
func read() *losses.Report {
	r, err := losses.Read(
		losses.Source{Name: "vm-0", Reader: strings.NewReader(firstLog)},
		losses.Source{Name: "vm-1", Reader: strings.NewReader(secondLog)})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

var _ = ginkgo.Describe("A report of losses", func() {
	second := time.Date(2026, 3, 9, 9, 52, 36, 0, time.UTC)

	ginkgo.It("counts by second, route, group, outcome and reason", func() {
		const tooMany = "too many statements wait for a target"
		gomega.Expect(read().Rows()).To(gomega.Equal([]losses.Row{
			{Key: losses.Key{Second: second, Route: "r1", Group: "choir", Outcome: losses.Refused, Reason: tooMany}, Count: 2, Waited: 400 * time.Millisecond},
			{Key: losses.Key{Second: second, Route: "r2", Group: "dues", Outcome: losses.Refused, Reason: "no target could take the statement"}, Count: 1, Waited: 700 * time.Millisecond},
			{Key: losses.Key{Second: second.Add(time.Second), Route: "r1", Group: "choir", Outcome: losses.InDoubt, Reason: "run on target: read tcp4 address: i/o timeout"}, Count: 1},
		}))
		gomega.Expect(read().Totals()[0].Count).To(gomega.Equal(2))
	})

	ginkgo.It("lists the statements that waited longest", func() {
		requests := []string{}
		for _, s := range read().Stories() {
			requests = append(requests, s.Request+" on "+s.VM)
		}
		gomega.Expect(requests).To(gomega.Equal([]string{"b1 on vm-1", "a2 on vm-0", "a1 on vm-0", "a3 on vm-0"}))
	})

	ginkgo.It("counts lines that are malformed, and those that VMs left out", func() {
		r := read()
		gomega.Expect(r.Malformed()).To(gomega.Equal(map[string]int{"vm-1": 3}))
		gomega.Expect(r.LeftOut()).To(gomega.Equal(3))
		long := strings.Repeat("x", 3<<20) + "\n" + firstLog
		r, err := losses.Read(losses.Source{Name: "vm-0", Reader: strings.NewReader(long)})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Malformed()).To(gomega.Equal(map[string]int{"vm-0": 1}))
		gomega.Expect(r.Rows()).To(gomega.HaveLen(2))
	})

	ginkgo.It("is written as text and as JSON", func() {
		text, encoded := &bytes.Buffer{}, &bytes.Buffer{}
		gomega.Expect(read().Print(text)).To(gomega.Succeed())
		gomega.Expect(text.String()).To(gomega.ContainSubstring("3 lines of vm-1 are no log lines"))
		gomega.Expect(text.String()).To(gomega.MatchRegexp(`09:52:36 +2 +200ms +r1 +choir +refused +too many statements`))
		gomega.Expect(read().WriteJSON(encoded)).To(gomega.Succeed())
		fields := map[string]any{}
		gomega.Expect(json.Unmarshal(encoded.Bytes(), &fields)).To(gomega.Succeed())
		gomega.Expect(fields).To(gomega.HaveKey("totals"))
	})
})

// BenchmarkRead measures the logs of a fleet of 295 VMs, 1,500 lines each.
func BenchmarkRead(b *testing.B) {
	log := &strings.Builder{}
	for i := range 1500 {
		fmt.Fprintf(log, `{"time":"2026-03-09T09:52:%02d.1Z","msg":"statement refused as not run","request":"%d","route":"r%d","group":"g%d","reason":"group g%d: too many statements wait for a target","waited":"150ms","targets":"leader=i-1 waiting=4"}`+"\n", i%60, i, i%20, i%8, i%8)
	}
	for b.Loop() {
		sources := []losses.Source{}
		for i := range 295 {
			sources = append(sources, losses.Source{Name: fmt.Sprint(i), Reader: strings.NewReader(log.String())})
		}
		if _, err := losses.Read(sources...); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a caller that writes rows of its own into a report by the ID of a query.
func TestReportHasOneRowForEachStatement(t *testing.T) {
	log := `{"time":"2026-03-09T09:52:36.1Z","msg":"statement refused as not run","request":"a1\nforged\t9s","route":"r\n1","group":"choir\r\n","reason":"a\nb","waited":"150ms"}` + "\n"
	r, err := losses.Read(losses.Source{Name: "vm\n0", Reader: strings.NewReader(log)})
	if err != nil {
		t.Fatal(err)
	}
	text := &bytes.Buffer{}
	if err := r.Print(text); err != nil {
		t.Fatal(err)
	}
	// Three headings, two empty lines and a row below each heading.
	if lines := strings.Count(text.String(), "\n"); lines != 8 {
		t.Errorf("printed %d lines, want 8: %q", lines, text)
	}
}
