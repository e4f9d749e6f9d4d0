package succession_test

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/succession"
)

// newSyncFixture returns a fixture of a group with sync_replicas 1, whose primary a has
// crashed. Replica b alone has received all of its commits.
func newSyncFixture() *fixture {
	s := newFixture()
	s.syncReplicas = 1
	s.reports["b"].Received = group.At(3, 9)
	s.setDown(true, "a")
	return s
}

// moveFor moves the leadership and gives up after a time.
func (s *fixture) moveFor(d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")
}

var _ = ginkgo.Describe("A move of a group that commits synchronously", func() {
	// Guards against acknowledged commits that are lost, since a replica without them is
	// promoted while the one that has them does not tell.
	for name, c := range map[string]struct {
		// hide keeps replica b from telling; show ends that.
		hide, show func(s *fixture)
	}{
		"answers late, as its slots are taken": {
			hide: func(s *fixture) { s.slow, s.slowness = "b", 400*time.Millisecond },
			show: func(*fixture) {},
		},
		"refuses the question, as its slots are taken": {
			hide: func(s *fixture) { s.setBusy(true, "b") },
			show: func(s *fixture) { s.setBusy(false, "b") },
		},
		"does not answer": {
			hide: func(s *fixture) { s.setDown(true, "b") },
			show: func(s *fixture) { s.setDown(false, "b") },
		},
		"is not registered": {
			hide: func(s *fixture) { s.setDown(true, "b"); s.setDeparted("b") },
			show: func(s *fixture) { s.setDown(false, "b"); s.setDeparted() },
		},
		"is draining": {
			hide: func(s *fixture) { s.draining = map[string]bool{"b": true} },
			show: func(*fixture) {},
		},
	} {
		ginkgo.It("promotes the replica that alone has the last commits although it "+name, func() {
			s := newSyncFixture()
			c.hide(s)
			time.AfterFunc(700*time.Millisecond, func() { c.show(s) })
			gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
			gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		})
	}

	// Guards against acknowledged commits that are lost, since a replica whose entry is gone
	// went on to receive them and was taken to have ended.
	for name, hide := range map[string]func(s *fixture){
		"whose entry is gone":                         func(s *fixture) { s.setDeparted("b") },
		"that was found to have ended and runs again": func(s *fixture) { s.ended = []string{"b"} },
	} {
		ginkgo.It("promotes none that lacks commits of a replica "+name, func() {
			s := newSyncFixture()
			hide(s)
			gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
			gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
		})

		ginkgo.It("waits for no replica "+name+" if another one has as much", func() {
			s := newSyncFixture()
			hide(s)
			s.reports["c"].Received = group.At(3, 9)
			begun := clock.SinceBoot()
			gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
			gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"c"}))
			gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
		})

		ginkgo.It("waits for no replica "+name+" if another one has all that the VMs have acknowledged", func() {
			s := newSyncFixture()
			hide(s)
			extent := s.reports["c"].Received
			s.acknowledged = &extent
			gomega.Expect(s.moveFor(3 * time.Second)).To(gomega.Succeed())
			gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"c"}))
		})
	}

	// Guards against the same loss through a replica that started again without an entry and
	// without its log.
	ginkgo.It("does not go by a replica without an entry that has told of more before", func() {
		s := newSyncFixture()
		s.told = map[string]query.Position{"b": group.At(3, 9)}
		s.reports["b"].Received = group.At(3, 2)
		s.setDeparted("b")
		gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
	})

	ginkgo.It("waits for no replica that has ended and does not answer", func() {
		s := newSyncFixture()
		s.ended = []string{"b"}
		s.setDown(true, "b")
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"c"}))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	// Guards against acknowledged commits that are lost, since a VM that started after the
	// replica with them had left does not know of it.
	ginkgo.It("waits for a replica that left before the VM started", func() {
		s := newSyncFixture()
		s.setDown(true, "b")
		s.gone, s.recalled = []string{"b"}, []string{"b"}
		gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
	})

	ginkgo.It("promotes no replica as long as it is not known which others have left", func() {
		s := newSyncFixture()
		s.recallFails = true
		gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
	})

	// Guards against a group that stays without a leader after a second crash, although a
	// replica has all that was acknowledged.
	ginkgo.It("waits for no replica if one has all that the VMs have acknowledged", func() {
		s := newSyncFixture()
		s.setDown(true, "c")
		extent := group.At(3, 9)
		s.acknowledged = &extent
		gomega.Expect(s.moveFor(3 * time.Second)).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
	})

	ginkgo.It("waits if no replica that tells has all that the VMs have acknowledged", func() {
		s := newSyncFixture()
		s.setDown(true, "b")
		extent := group.At(3, 9)
		s.acknowledged = &extent
		gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
	})

	ginkgo.It("promotes none and says why if too few replicas tell, and may begin again at once", func() {
		s := newSyncFixture()
		s.setDown(true, "b")
		m := s.mover("vm-0")
		err := m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")
		gomega.Expect(errors.Is(err, succession.ErrTooFewReports)).To(gomega.BeTrue())
		gomega.Expect(err.Error()).To(gomega.ContainSubstring("[b]"))
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
		gomega.Expect(m.Abandoned("choir", s.grants.Lead("choir"))).To(gomega.BeTrue())
		s.setDown(false, "b")
		gomega.Expect(m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
	})

	ginkgo.It("waits for no replica if no single one can be the only one with a commit", func() {
		s := newSyncFixture()
		s.syncReplicas = 2
		s.setDown(true, "c")
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	ginkgo.It("has the old leader lead again if that comes back before the replica that is awaited", func() {
		s := newSyncFixture()
		s.reports["a"].Received = group.At(3, 12)
		s.setDown(true, "b")
		time.AfterFunc(500*time.Millisecond, func() { s.setDown(false, "a") })
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("a"))
	})

	ginkgo.It("waits for no replica if one has all that the old leader had when it stepped down", func() {
		s := newSyncFixture()
		s.setDown(false, "a")
		s.setDown(true, "c")
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	// Guards against an old leader that lost its log: that others reach its position then
	// shows nothing.
	ginkgo.It("does not go by the position of an old leader that has less than a replica", func() {
		s := newSyncFixture()
		s.reports["a"].Received = group.Position{}
		s.reports["c"].Received = group.At(3, 7)
		s.setDown(false, "a")
		s.setDown(true, "b")
		gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
	})

	ginkgo.It("promotes no other replica than the one that told of the longest log before it fell silent", func() {
		s := newSyncFixture()
		s.setBusy(true, "c")
		time.AfterFunc(300*time.Millisecond, func() {
			s.setDown(true, "b")
			s.setBusy(false, "c")
		})
		gomega.Expect(s.moveFor(1500 * time.Millisecond)).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.BeEmpty())
		gomega.Expect(s.reports["c"].Role).To(gomega.Equal(pool.RoleReplica))
	})
})

var _ = ginkgo.Describe("A move of a group that commits asynchronously", func() {
	// Guards against reads that lack acknowledged commits: a replica that was behind was
	// promoted, since one with all commits told later or had no slot free.
	for name, hide := range map[string]func(s *fixture){
		"tells later": func(s *fixture) { s.slow, s.slowness = "b", 400*time.Millisecond },
		"refuses the question at first": func(s *fixture) {
			s.setBusy(true, "b")
			time.AfterFunc(300*time.Millisecond, func() { s.setBusy(false, "b") })
		},
	} {
		ginkgo.It("promotes the replica that has what the old leader is known to have reached although it "+name, func() {
			s := newSyncFixture()
			s.syncReplicas = 0
			s.reached = group.At(3, 9)
			hide(s)
			gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
			gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		})
	}

	ginkgo.It("waits for no other replica if one has what the old leader is known to have reached", func() {
		s := newSyncFixture()
		s.syncReplicas = 0
		s.reached = s.reports["c"].Received
		s.setDown(false, "b")
		s.slow, s.slowness = "b", 600*time.Millisecond
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"c"}))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", 550*time.Millisecond))
	})

	ginkgo.It("waits no longer than half a second for a replica that does not answer", func() {
		s := newSyncFixture()
		s.syncReplicas = 0
		s.reached = group.At(3, 9)
		s.slow, s.slowness = "b", 3*time.Second
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"c"}))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	ginkgo.It("waits for no replica that does not tell", func() {
		s := newFixture()
		s.setDown(true, "a", "b")
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"c"}))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})
})
