package succession_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/succession"
)

// expectLasting checks that the recorded leader is the primary of the highest term, and
// that no call that was made before deposes it.
func (s *fixture) expectLasting() {
	l := s.grants.Lead("choir")
	gomega.Expect(l.Moving()).To(gomega.BeFalse())
	leads := func(g gomega.Gomega) {
		s.fakePlatform.lock.Lock()
		defer s.fakePlatform.lock.Unlock()
		g.Expect(s.latest).To(gomega.Equal(l.Target), "the primary that was promoted last")
		g.Expect(s.reports[l.Target].Role).To(gomega.Equal(pool.RolePrimary))
		g.Expect(s.reports[l.Target].Term).To(gomega.Equal(s.highestTerm()))
	}
	gomega.Consistently(leads, 2500*time.Millisecond, 20*time.Millisecond).Should(gomega.Succeed())
}

// interrupted has a VM begin a move, and stop once it has called for a promotion.
func (s *fixture) interrupted(vm string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := len(s.calledFor())
	ended := make(chan error, 1)
	go func() { ended <- s.mover(vm).Move(ctx, "choir", s.grants.Lead("choir"), "test") }()
	gomega.Eventually(s.calledFor, 5*time.Second, 5*time.Millisecond).Should(gomega.HaveLen(calls + 1))
	cancel()
	gomega.Expect(<-ended).To(gomega.HaveOccurred())
}

// holdGrants adds VMs of which one yields, and has the store end no lease, so that only
// a step down of the old leader allows a promotion.
func (s *fixture) holdGrants() {
	for _, name := range []string{"x", "y", "z"} {
		s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: name, Established: true})
	}
	s.fakeFleet.yields = 1
	s.memoryStore.keepLeases = true
}

var _ = ginkgo.Describe("A promotion that takes effect late", func() {
	ginkgo.It("does not depose the old leader after that was recorded again", func() {
		// The old leader is out of reach when it should step down, and back later. The
		// promoted target and the other one are overloaded.
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.effectDelay = 1900 * time.Millisecond
		s.setDown(true, "a")
		s.fakePlatform.beforePromotion = func() {
			s.setDown(false, "a")
			s.setBusy(true, "b", "c")
		}
		time.AfterFunc(3*time.Second, func() { s.setBusy(false, "b", "c") })
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		s.expectLasting()
	})

	ginkgo.It("does not depose a second choice after that was recorded", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.reports["c"].Received = group.At(3, 11)
		s.effectDelay = 1800 * time.Millisecond
		s.fakePlatform.beforePromotion = func() {
			s.setBusy(true, "b")
			if len(s.calledFor()) > 0 {
				s.fakePlatform.lock.Lock()
				s.effectDelay = 50 * time.Millisecond
				s.fakePlatform.lock.Unlock()
			}
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		s.expectLasting()
	})

	// Guards against calls for different targets in one move: of targets with equal logs,
	// each attempt took the one that answered first.
	ginkgo.It("is called for again, and not that of another target with an equal log", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.reports["c"].Received = group.At(3, 12)
		s.lostPromotions = 1
		s.slow = "c"
		s.fakePlatform.beforePromotion = func() {
			s.fakePlatform.lock.Lock()
			defer s.fakePlatform.lock.Unlock()
			s.slow = "b"
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		calls := s.calledFor()
		gomega.Expect(calls).To(gomega.HaveLen(2))
		gomega.Expect(calls[1]).To(gomega.Equal(calls[0]))
		s.expectLasting()
	})

	ginkgo.It("does not depose the leader that another VM has recorded meanwhile", func() {
		// The VM that called for it is gone, and the next one gets no answer of the target.
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.reports["c"].Received = group.At(3, 11)
		s.effectDelay = time.Second
		s.interrupted("vm-0")
		s.setBusy(true, "b")
		s.fakePlatform.lock.Lock()
		s.effectDelay = 50 * time.Millisecond
		s.fakePlatform.lock.Unlock()
		gomega.Expect(s.move("vm-1")).To(gomega.Succeed())
		s.expectLasting()
	})

	ginkgo.It("leads to no record of an old leader that does not know its successor", func() {
		// The old leader is cut off until the other target leads, and the latter is
		// overloaded after that.
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.effectDelay = time.Second
		s.setDown(true, "a")
		s.fakePlatform.beforePromotion = func() {
			s.setDown(false, "a")
			s.setBusy(true, "b", "c")
		}
		time.AfterFunc(5*time.Second, func() { s.setBusy(false, "b", "c") })
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		s.expectLasting()
	})

	ginkgo.It("is no step down of an old leader that is about to lead again", func() {
		// The first VM has the old leader promoted again, and is gone. Other VMs still
		// rely on the record that names it when the second VM promotes another target.
		s := newFixture()
		s.holdGrants()
		s.effectDelay = time.Second
		s.interrupted("vm-0")
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"a"}))
		s.fakePlatform.lock.Lock()
		s.reports["b"].Received = group.At(3, 12)
		s.fakePlatform.lock.Unlock()
		s.fakePlatform.beforePromotion = func() {
			gomega.Expect(s.isPromoted("a")).To(gomega.BeFalse())
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		gomega.Expect(s.mover("vm-1").Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"a", "b"}))
	})

	ginkgo.It("leaves no old leader that leads again when the same VM promotes another target", func() {
		// The old leader alone has all commits, but does not answer after the call. Then
		// another target has caught up. Other VMs still rely on the older record.
		s := newFixture()
		s.holdGrants()
		s.effectDelay = time.Second
		s.fakePlatform.beforePromotion = func() {
			if len(s.calledFor()) > 0 {
				gomega.Expect(s.isPromoted("a")).To(gomega.BeFalse())
				return
			}
			s.setBusy(true, "a")
			time.AfterFunc(2250*time.Millisecond, func() { s.setBusy(false, "a") })
			s.fakePlatform.lock.Lock()
			defer s.fakePlatform.lock.Unlock()
			s.reports["b"].Received = group.At(3, 12)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		gomega.Expect(s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.ContainElement("b"))
	})

	ginkgo.It("is given up for another target once it can no longer take effect", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.reports["c"].Received = group.At(3, 11)
		s.lostPromotions = 1
		time.AfterFunc(100*time.Millisecond, func() { s.setDown(true, "b") })
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b", "c"}))
		s.expectLasting()
	})

	ginkgo.It("is not waited for by a move that follows none", func() {
		// The old leader cannot be told to step down, and then answers alone.
		s := newFixture()
		s.setDown(true, "a")
		s.setBusy(true, "b", "c")
		time.AfterFunc(300*time.Millisecond, func() { s.setDown(false, "a") })
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
		s.expectLasting()
	})

	// Guards against a second promotion for nothing: a VM that was suspended while a
	// promotion took effect chose another target without asking the first one again.
	ginkgo.It("is noticed by a VM that was suspended until the time for it was over", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.reports["c"].Received = group.At(3, 11)
		s.effectDelay = 50 * time.Millisecond
		suspended := time.Duration(0)
		s.fakePlatform.beforePromotion = func() {
			s.setBusy(true, "b")
			time.AfterFunc(200*time.Millisecond, func() {
				s.fakePlatform.lock.Lock()
				suspended = 2 * time.Second
				s.fakePlatform.lock.Unlock()
				s.setBusy(false, "b")
			})
		}
		m := s.mover("vm-0")
		m.Now = func() time.Duration {
			s.fakePlatform.lock.Lock()
			defer s.fakePlatform.lock.Unlock()
			return clock.SinceBoot() + suspended
		}
		gomega.Expect(m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		s.expectLasting()
	})

	ginkgo.It("may have taken effect before the move is taken over", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.effectDelay = 100 * time.Millisecond
		s.interrupted("vm-0")
		time.Sleep(2 * s.effectDelay)
		gomega.Expect(s.move("vm-1")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		s.expectLasting()
	})

	// Guards against a second promotion, and the time without a leader that it takes, when
	// a target leads by a call of which the mover does not know.
	ginkgo.It("is recorded by a move that finds the target leading", func() {
		s := newFixture()
		s.reports["c"].Received = group.At(3, 12)
		gomega.Expect(s.fakePlatform.Promote(context.Background(), "choir", "b", 1)).To(gomega.Succeed())
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		s.expectLasting()
	})

	ginkgo.It("is not taken for granted while another target does not answer", func() {
		// The target that does not answer may have deposed the one that does.
		s := newFixture()
		gomega.Expect(s.fakePlatform.Promote(context.Background(), "choir", "b", 1)).To(gomega.Succeed())
		gomega.Expect(s.fakePlatform.Promote(context.Background(), "choir", "c", 1)).To(gomega.Succeed())
		s.setDown(true, "c")
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()[2:]).NotTo(gomega.BeEmpty())
		s.expectLasting()
	})

	// Guards against the loss of every commit of a leadership: a target that led before it,
	// and has not learned of its end, was recorded as the leader without a promotion.
	ginkgo.It("is not seen in a primary of an earlier term", func() {
		// Another target led the group before the old leader, and was cut off since.
		s := newFixture()
		s.reports["b"].Role = pool.RolePrimary
		s.fakePlatform.term = 4
		s.reports["a"].Term, s.reports["a"].Received = 4, group.At(4, 5)
		s.reports["c"].Term, s.reports["c"].Received = 4, group.At(4, 5)
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("c"))
		s.expectLasting()
	})

	// Guards against acknowledged writes that are rolled back: an old leader that was found
	// deposed was recorded again as one that leads on.
	ginkgo.It("leads to no record of an old leader that was found deposed", func() {
		// A VM has seen the successor, which is overloaded now, as is the third target.
		// Nobody else knows of the call that promoted it.
		s := newFixture()
		gomega.Expect(s.fakePlatform.Promote(context.Background(), "choir", "b", 1)).To(gomega.Succeed())
		s.effectDelay = time.Second
		s.setBusy(true, "b", "c")
		time.AfterFunc(3*time.Second, func() { s.setBusy(false, "b", "c") })
		// The order to step down reaches the old leader too late.
		s.setDown(true, "a")
		time.AfterFunc(300*time.Millisecond, func() { s.setDown(false, "a") })
		s.grants.Depose("choir", "a", clock.SinceBoot()+2*time.Second)
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		s.expectLasting()
	})

	// Guards against a call that takes effect after the move, when the group may have
	// another leader: the target led already by the first call when the second was made.
	ginkgo.It("is not called for again once the target leads", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 12)
		s.effectDelay = 100 * time.Millisecond
		s.fakePlatform.beforePromotion = func() {
			if len(s.calledFor()) > 0 {
				return
			}
			s.setBusy(true, "b")
			time.AfterFunc(1550*time.Millisecond, func() { s.setBusy(false, "b") })
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.calledFor()).To(gomega.Equal([]string{"b"}))
		s.expectLasting()
	})
})
