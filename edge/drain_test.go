package edge_test

import (
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
)

// Times of the statements that targets work on while a VM stops, after the begin of the stop.
const (
	drainGrace = 6 * time.Second
	// statementSent is inside the first half of the grace period, which an open transaction
	// has, and the target is done just before the last sixth of the grace period.
	statementSent = 2850 * time.Millisecond
	slowWork      = 2040 * time.Millisecond
)

// slowSite is a site whose servers take slowWork for texts with "slow" and for commits, and
// longer than a VM may take to stop for texts with "endless".
func slowSite(connections int, zones ...string) site.Options {
	return site.Options{
		Groups: []string{"choir"}, Zones: zones, ConnectionLimit: connections, StatementTimeout: 3 * time.Second,
		Work: func(text string) time.Duration {
			switch {
			case strings.Contains(text, "endless"):
				return 2 * drainGrace
			case strings.Contains(text, "slow") || text == "COMMIT":
				return slowWork
			default:
				return time.Millisecond
			}
		},
	}
}

// openDraining starts VMs with drainGrace.
func openDraining(options site.Options, vms int) *fixture {
	f := openSite(options)
	f.grace = drainGrace
	f.startAll(vms, true)
	return f
}

// keepOpen keeps the open transaction in use until a time.
func (c *caller) keepOpen(until time.Time) {
	for left := time.Until(until); left > 0; left = time.Until(until) {
		time.Sleep(min(left, 400*time.Millisecond))
		if time.Now().Before(until) {
			c.must("READ bar")
		}
	}
}

var _ = ginkgo.Describe("A VM that stops", func() {
	// It exited with statements in flight whose targets were done before the last sixth of
	// the grace period.
	ginkgo.It("answers what targets finish before the last sixth of the grace period", func() {
		f := openDraining(slowSite(20, zones...), 2)
		kinds := map[string][]string{
			"read":           {"BEGIN READ", "READ bar", "READ slow"},
			"write":          {"BEGIN", "READ bar", "WRITE slow 1"},
			"commit":         {"BEGIN", "WRITE bar 1", "COMMIT"},
			"prepared write": {"PREPARE s WRITE slow", "BEGIN", "READ bar", "EXECUTE s bar 1"},
		}
		wait := sync.WaitGroup{}
		stopped := make(chan time.Time)
		for kind, texts := range kinds {
			c := f.vms[0].session("choir-own")
			last := len(texts) - 1
			for _, text := range texts[:last] {
				c.must(text)
			}
			wait.Go(func() {
				defer ginkgo.GinkgoRecover()
				c.keepOpen((<-stopped).Add(statementSent))
				a, err := c.ask(texts[last])
				gomega.Expect(err).NotTo(gomega.HaveOccurred(), kind)
				gomega.Expect(a.code).To(gomega.BeEmpty(), kind)
			})
		}
		f.vms[0].stop()
		begun := time.Now()
		for range kinds {
			stopped <- begun
		}
		wait.Wait()
		gomega.Eventually(f.vms[0].ended, drainGrace).Should(gomega.BeClosed())
	})

	// Other VMs' callers got no answer to commits that a holder had passed on.
	ginkgo.It("answers the orders of other VMs as long", func() {
		f := openDraining(slowSite(4, zones[0]), 3)
		time.Sleep(2 * time.Second)
		holders, others := []*vm{}, []*vm{}
		for _, v := range f.vms {
			if v.heldGroups() > 0 {
				holders = append(holders, v)
			} else {
				others = append(others, v)
			}
		}
		gomega.Expect(others).NotTo(gomega.BeEmpty())
		c := others[0].session("choir-own")
		c.must("BEGIN")
		c.must("WRITE bar 1")
		begun := time.Now()
		for _, v := range holders {
			v.stop()
		}
		c.keepOpen(begun.Add(statementSent))
		a, err := c.ask("COMMIT")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.BeEmpty())
	})

	// Callers saw their connection end without an answer.
	ginkgo.It("answers what targets do not finish before it exits", func() {
		options := slowSite(20, zones...)
		options.StatementTimeout = 2 * drainGrace
		f := openDraining(options, 2)
		open := f.vms[0].session("choir-own")
		open.must("BEGIN READ")
		open.must("READ bar")
		single := f.vms[0].session("choir-own")
		single.must("READ bar")
		begun := time.Now()
		f.vms[0].stop()
		wait := sync.WaitGroup{}
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			open.keepOpen(begun.Add(statementSent))
			a, err := open.ask("READ endless")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.code).To(gomega.Or(gomega.Equal("ABORTED"), gomega.Equal("BUSY")))
		})
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			a, err := single.ask("WRITE endless 1")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.code).To(gomega.Equal("INDOUBT"))
		})
		wait.Wait()
		gomega.Eventually(f.vms[0].ended, drainGrace).Should(gomega.BeClosed())
	})
})
