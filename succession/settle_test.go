package succession_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/succession"
)

// stored returns the record that the store holds.
func (s *fixture) stored() succession.Record {
	i, _, err := s.Read(context.Background(), succession.RecordKey)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r, err := succession.DecodeRecord(i)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

// restart returns a fixture of a VM that starts now and knows nothing, before the same
// store and targets.
func (s *fixture) restart() *fixture {
	n := &fixture{memoryStore: s.memoryStore, fakePlatform: s.fakePlatform, fakeFleet: &fakeFleet{}, known: true}
	n.grants = &succession.Grants{Length: 100 * time.Millisecond, Now: clock.SinceBoot, Begun: clock.SinceBoot()}
	return n
}

func (s *fixture) settle() error {
	return s.mover("vm-0").Settle(context.Background(), map[string]string{"choir": "a"})
}

var _ = ginkgo.Describe("A store that came back from an older copy", func() {
	newLossFixture := func() *fixture {
		s := &fixture{memoryStore: newMemoryStore(), fakePlatform: newFakePlatform(), fakeFleet: &fakeFleet{}, known: true}
		s.memoryStore.era = 1
		s.grants = &succession.Grants{Length: 100 * time.Millisecond, Now: clock.SinceBoot, Begun: clock.SinceBoot()}
		gomega.Expect(s.mover("vm-0").Start(context.Background(), map[string]string{"choir": "a"})).To(gomega.Succeed())
		s.reports["b"].Received = group.At(3, 9)
		return s
	}

	ginkgo.It("gets the record of a lost move again, and confirms none before", func() {
		s := newLossFixture()
		before := s.memoryStore.copy()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		s.memoryStore.restore(before)
		gomega.Expect(s.stored().Leads["choir"].Target).To(gomega.Equal("a"))
		other := s.restart()
		other.grants.ConfirmRecord(s.stored(), clock.SinceBoot())
		gomega.Expect(other.grants.IsLeader("choir", "a")).To(gomega.BeFalse())
		gomega.Expect(s.settle()).To(gomega.Succeed())
		other.grants.ConfirmRecord(s.stored(), clock.SinceBoot())
		gomega.Expect(other.grants.IsLeader("choir", "b")).To(gomega.BeTrue())
		gomega.Expect(s.grants.IsLeader("choir", "b")).To(gomega.BeTrue())
	})

	ginkgo.It("gets the newest of the records that VMs know, whichever of them writes it", func() {
		s := newLossFixture()
		before := s.memoryStore.copy()
		other := s.restart()
		other.grants.Observe(s.grants.Record())
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		lead := s.grants.Lead("choir")
		gomega.Expect(lead).To(gomega.Equal(succession.Lead{Target: "b", Since: s.grants.Record().Revision, Term: 4}))
		s.memoryStore.restore(before)
		other.fakeFleet.survey = func(context.Context) succession.Survey {
			other.grants.Observe(s.grants.Record())
			return succession.Survey{Complete: true, Remembers: true}
		}
		gomega.Expect(other.settle()).To(gomega.Succeed())
		gomega.Expect(s.stored().Leads["choir"]).To(gomega.Equal(lead))
	})

	ginkgo.It("is not written to before all VMs answered or can promote no more", func() {
		s := newLossFixture()
		s.memoryStore.restore(s.memoryStore.copy())
		begun := clock.SinceBoot()
		s.fakeFleet.survey = func(ctx context.Context) succession.Survey {
			deadline, ok := ctx.Deadline()
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(time.Until(deadline)).To(gomega.BeNumerically("~", succession.TakeOver, time.Second))
			return succession.Survey{}
		}
		gomega.Expect(s.settle()).To(gomega.Succeed())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	ginkgo.It("keeps a move in progress as one, and refuses new ones until the record was written again", func() {
		s := newLossFixture()
		before, lead := s.memoryStore.copy(), s.grants.Lead("choir")
		s.fakePlatform.down["a"], s.fakePlatform.down["b"], s.fakePlatform.down["c"] = true, true, true
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		gomega.Expect(s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
		s.memoryStore.restore(before)
		err := s.mover("vm-1").Move(context.Background(), "choir", lead, "test")
		gomega.Expect(errors.Is(err, succession.ErrOutdated)).To(gomega.BeTrue())
		gomega.Expect(s.settle()).To(gomega.Succeed())
		gomega.Expect(s.stored().Leads["choir"].Moving()).To(gomega.BeTrue())
	})

	ginkgo.It("ends a move whose promotion was not called before the loss was known", func() {
		s := newLossFixture()
		s.fakePlatform.down["a"] = true
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}}
		time.AfterFunc(50*time.Millisecond, func() { s.grants.ObserveEra(2) })
		err := s.move("vm-0")
		gomega.Expect(errors.Is(err, succession.ErrOutdated)).To(gomega.BeTrue())
		gomega.Expect(s.fakePlatform.calls).To(gomega.BeEmpty())
	})

	ginkgo.It("gets fencing tokens that never decrease nor come twice, over two losses", func() {
		s := newLossFixture()
		for range 3 {
			before := s.memoryStore.copy()
			gomega.Expect(s.mover("vm-0").Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
			gomega.Expect(s.mover("vm-1").Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
			s.memoryStore.restore(before)
			gomega.Expect(s.settle()).To(gomega.Succeed())
		}
		gomega.Expect(s.fakePlatform.tokens).To(gomega.HaveLen(6))
		for i := 1; i < len(s.fakePlatform.tokens); i++ {
			gomega.Expect(s.fakePlatform.tokens[i]).To(gomega.BeNumerically(">", s.fakePlatform.tokens[i-1]))
		}
	})

	ginkgo.It("leaves a group to its targets' terms if all VMs were lost with it and another target leads", func() {
		s := newLossFixture()
		before := s.memoryStore.copy()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		s.memoryStore.restore(before)
		other := s.restart()
		gomega.Expect(other.mover("vm-0").Settle(context.Background(), map[string]string{"choir": "b"})).To(gomega.Succeed())
		gomega.Expect(s.stored().Leads["choir"].Moving()).To(gomega.BeTrue())
		gomega.Expect(other.mover("vm-0").Move(context.Background(), "choir", s.stored().Leads["choir"], "test")).To(gomega.Succeed())
		gomega.Expect(s.stored().Leads["choir"].Target).To(gomega.Equal("b"))
	})

	ginkgo.It("gets its record again although the copy has none", func() {
		s := newLossFixture()
		s.memoryStore.restore(newMemoryStore())
		other := s.restart()
		other.fakeFleet.survey = func(context.Context) succession.Survey {
			other.grants.Observe(s.grants.Record())
			return succession.Survey{Complete: true, Remembers: true}
		}
		gomega.Expect(other.mover("vm-1").Start(context.Background(), map[string]string{"choir": "c"})).To(gomega.Succeed())
		gomega.Expect(s.stored().Leads["choir"].Target).To(gomega.Equal("a"))
	})
})

// silentGroups are targets of which those of some groups answer no order.
type silentGroups struct {
	*fakePlatform
	silent []string
}

func (g silentGroups) Order(ctx context.Context, group, target string, o pool.Order) (pool.Report, error) {
	if slices.Contains(g.silent, group) {
		<-ctx.Done()
		return pool.Report{}, ctx.Err()
	}
	return g.fakePlatform.Order(ctx, group, target, o)
}

var _ = ginkgo.Describe("Settling the leader record after a loss", func() {
	// Guards against groups that wait for their leaders because the targets of others,
	// which were asked one after the other, do not answer.
	ginkgo.It("is not held up by groups whose targets do not answer", func() {
		s := newFixture()
		first, reported, silent := map[string]string{}, map[string]string{"choir": "a"}, []string{}
		for i := range 6 {
			name := fmt.Sprintf("silent-%d", i)
			first[name], reported[name] = "a", "b"
			silent = append(silent, name)
		}
		gomega.Expect(s.mover("vm-0").Start(context.Background(), first)).To(gomega.Succeed())
		s.memoryStore.restore(s.memoryStore.copy())
		m := s.mover("vm-0")
		m.Targets = silentGroups{s.fakePlatform, silent}
		begun := clock.SinceBoot()
		gomega.Expect(m.Settle(context.Background(), reported)).To(gomega.Succeed())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", 2*time.Second))
		gomega.Expect(s.stored().Leads).To(gomega.HaveKey("choir"))
	})
})
