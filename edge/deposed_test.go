package edge_test

import (
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// acknowledged is a write that was acknowledged to its caller.
type acknowledged struct {
	id string
	// begun is when the write was sent.
	begun time.Time
}

// writeAll writes through each VM until stop is closed, and then returns the writes that
// were acknowledged.
func (f *fixture) writeAll(stop <-chan struct{}) <-chan []acknowledged {
	lock, list, wait := sync.Mutex{}, []acknowledged{}, sync.WaitGroup{}
	for _, v := range f.vms {
		c := v.session("choir-own")
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				begun := time.Now()
				a, err := c.ask("WRITE bar 1")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				if a.code != "" {
					continue
				}
				lock.Lock()
				list = append(list, acknowledged{a.id, begun})
				lock.Unlock()
			}
		})
	}
	result := make(chan []acknowledged, 1)
	go func() {
		wait.Wait()
		result <- list
	}()
	return result
}

// noticeTimeout is how long VMs may take to notice a promotion that no VM asked for: a
// change in the store reaches all of them within half a second.
const noticeTimeout = 600 * time.Millisecond

var _ = ginkgo.Describe("A target that is promoted without a move", func() {
	// Guards against writes that are acknowledged by a deposed leader which the record
	// still names, and that later reads lack.
	ginkgo.It("ends the acknowledgements of the leader that the record names", func() {
		f := openFixture(threeZones, 3)
		stop := make(chan struct{})
		writes := f.writeAll(stop)
		time.Sleep(300 * time.Millisecond)
		old := f.site.Leader("choir")
		next := f.site.Servers("choir")[1]
		f.site.Promote("choir", next)
		promoted := time.Now()
		time.Sleep(recoveryTimeout)
		close(stop)
		late, lost := 0, 0
		leader := f.site.Leader("choir")
		gomega.Expect(leader).NotTo(gomega.Equal(old))
		for _, w := range <-writes {
			if w.begun.Before(promoted.Add(noticeTimeout)) {
				continue
			}
			late++
			if !leader.HasEntry(w.id) {
				lost++
			}
		}
		gomega.Expect(lost).To(gomega.BeZero(), "of %d writes that were acknowledged after the promotion", late)
		gomega.Expect(late).NotTo(gomega.BeZero())
	})
})
