package pool_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/pool"
)

var _ = ginkgo.Describe("Replacing the links to one target", func() {
	// A VM that begins to hold one target must not close its connections to others: each
	// takes the target 12 ms to open again.
	ginkgo.It("closes idle ones, and those in use once they are released, and keeps those to other targets", func() {
		c := newTestGroup(2)
		read, write := c.need(false), c.need(true)
		idle, used := []*pool.Slot{}, []*pool.Slot{}
		for range 2 {
			idle, used = append(idle, c.acquire(read)), append(used, c.acquire(write))
		}
		gomega.Expect(c.dialer.dials).To(gomega.Equal(map[string]int{"a": 2, "b": 2}))
		idle[0].Release()
		used[0].Release()
		c.ReplaceLinksTo("a")
		idle[1].Release()
		used[1].Release()
		for range 2 {
			idle, used = append(idle, c.acquire(read)), append(used, c.acquire(write))
		}
		gomega.Expect(c.dialer.dials).To(gomega.Equal(map[string]int{"a": 4, "b": 2}))
		c.ReplaceLinksTo("unknown")
		for _, s := range append(idle[2:], used[2:]...) {
			s.Release()
		}
		c.acquire(read)
		c.acquire(write)
		gomega.Expect(c.dialer.dials).To(gomega.Equal(map[string]int{"a": 4, "b": 2}))
	})
})
