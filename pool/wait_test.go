package pool_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
)

var _ = ginkgo.Describe("Waiting and refusal", func() {
	ginkgo.It("serves waiting statements in order of priority", func() {
		c := newTestGroup(1)
		held := c.acquire(c.need(true))
		order := make(chan int, 2)
		for _, priority := range []int{2, 1} {
			go func() {
				n := c.need(true)
				n.Priority = priority
				n.Until += time.Hour
				s, err := c.Acquire(context.Background(), n)
				if err == nil {
					order <- priority
					s.Release()
				}
			}()
			gomega.Eventually(c.Waiting).Should(gomega.Equal(3 - priority))
		}
		held.Release()
		gomega.Expect(<-order).To(gomega.Equal(1))
		gomega.Expect(<-order).To(gomega.Equal(2))
	})

	ginkgo.It("refuses a statement at once if the queue is too long to serve it in time", func() {
		c := newTestGroup(1)
		held := c.acquire(c.need(true))
		for range 30 {
			go func() {
				n := c.need(true)
				n.Until += time.Hour
				if s, err := c.Acquire(context.Background(), n); err == nil {
					s.Release()
				}
			}()
		}
		gomega.Eventually(c.Waiting).Should(gomega.Equal(30))
		c.manualClock.advance(600 * time.Millisecond)
		_, err := c.Acquire(context.Background(), c.need(true))
		gomega.Expect(errors.Is(err, pool.ErrOverloaded)).To(gomega.BeTrue())
		held.Release()
	})

	ginkgo.It("shrinks the window of a full target and grows it again as the target answers", func() {
		c := newTestGroup(40)
		c.dialer.answer = func(string, pool.Order) (query.Reply, error) {
			return query.Reply{Failure: &query.Failure{Code: query.CodeBusy}}, nil
		}
		for range 5 {
			s := c.acquire(c.need(true))
			_, err := s.Run(pool.Forward{}, c.manualClock.Now()+time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			s.Release()
			c.manualClock.advance(time.Second)
		}
		c.dialer.answer = nil
		held := c.acquire(c.need(true))
		n := c.need(true)
		n.Until = c.manualClock.Now()
		_, err := c.Acquire(context.Background(), n)
		gomega.Expect(err).To(gomega.HaveOccurred())
		held.Release()
		for range 60 {
			s := c.acquire(c.need(true))
			c.run(s, 20*time.Millisecond)
			s.Release()
		}
		many := []*pool.Slot{}
		for range 6 {
			many = append(many, c.acquire(c.need(true)))
		}
		for _, s := range many {
			s.Release()
		}
	})

	ginkgo.It("does not count idle transactions against the window of a target", func() {
		c := newTestGroup(40)
		for range 20 {
			s := c.acquire(c.need(true))
			_, err := s.Begin(pool.Begin{}, &session.State{}, nil, c.manualClock.Now()+time.Second)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})

	ginkgo.It("does not refuse a burst after a time of single statements, whose low rate shows the demand only", func() {
		c := newTestGroup(8)
		for range 4 {
			c.acquire(c.need(true)).Release()
			c.manualClock.advance(400 * time.Millisecond)
		}
		held := []*pool.Slot{}
		for range 4 {
			held = append(held, c.acquire(c.need(true)))
		}
		served := make(chan error, 20)
		for range 20 {
			go func() {
				n := c.need(true)
				n.Until += 500 * time.Millisecond
				n.QueueDeadline = c.manualClock.Now() + 150*time.Millisecond
				s, err := c.Acquire(context.Background(), n)
				if err == nil {
					s.Release()
				}
				served <- err
			}()
		}
		gomega.Eventually(c.Waiting).Should(gomega.Equal(20))
		for _, s := range held {
			s.Release()
		}
		for range 20 {
			gomega.Expect(<-served).To(gomega.Succeed())
		}
	})

	ginkgo.It("refuses a statement early if the leader is occupied, so that the caller can try another VM", func() {
		c := newTestGroup(1)
		held := c.acquire(c.need(true))
		n := c.need(true)
		n.Until += time.Hour
		n.QueueDeadline = c.manualClock.Now()
		_, err := c.Acquire(context.Background(), n)
		gomega.Expect(errors.Is(err, pool.ErrOverloaded)).To(gomega.BeTrue())
		held.Release()
	})

	ginkgo.It("does not refuse statements early while there is no leader during a failover", func() {
		c := newTestGroup(1)
		c.SetLeader("")
		n := c.need(true)
		n.Until += time.Hour
		n.QueueDeadline = c.manualClock.Now()
		served := make(chan error, 1)
		go func() {
			s, err := c.Acquire(context.Background(), n)
			if err == nil {
				s.Release()
			}
			served <- err
		}()
		gomega.Consistently(served, "120ms").ShouldNot(gomega.Receive())
		c.SetLeader("a")
		gomega.Expect(<-served).To(gomega.Succeed())
	})

	ginkgo.It("can be reconfigured while statements run", func() {
		c := newTestGroup(2)
		s := c.acquire(c.need(true))
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 1000 {
				c.Configure([]pool.Target{{ID: "a", Group: "choir", Zone: "xela", Slots: 3}}, 2)
			}
		}()
		for range 1000 {
			gomega.Expect(s.Target()).To(gomega.Equal("a"))
		}
		<-done
		s.Release()
	})

	ginkgo.It("does not refuse statements during a failover because many already wait for a new leader", func() {
		c := newTestGroup(8)
		c.SetLeader("")
		served := make(chan error, 20)
		wait := func() {
			n := c.need(true)
			n.Until += 500 * time.Millisecond
			s, err := c.Acquire(context.Background(), n)
			if err == nil {
				s.Release()
			}
			served <- err
		}
		for range 10 {
			go wait()
		}
		gomega.Eventually(c.Waiting).Should(gomega.Equal(10))
		c.manualClock.advance(300 * time.Millisecond)
		for range 10 {
			go wait()
		}
		gomega.Eventually(c.Waiting).Should(gomega.Equal(20))
		c.SetLeader("a")
		for range 20 {
			gomega.Expect(<-served).To(gomega.Succeed())
		}
	})

	ginkgo.It("dials a target again whose last failure is old, before it reports the target as unreachable", func() {
		c := newTestGroup(1)
		c.dialer.lock.Lock()
		c.dialer.dialErrors["b"] = context.DeadlineExceeded
		c.dialer.lock.Unlock()
		c.Probe("b")
		gomega.Eventually(func() time.Duration { return c.Health("b").FailingFor }).Should(gomega.BeNumerically(">", 0))
		gomega.Expect(c.Reaches(context.Background(), "b")).To(gomega.BeFalse())
		c.dialer.lock.Lock()
		delete(c.dialer.dialErrors, "b")
		c.dialer.lock.Unlock()
		c.manualClock.advance(5 * time.Second)
		gomega.Expect(c.Health("b").SinceLastFailure).To(gomega.Equal(5 * time.Second))
		gomega.Expect(c.Reaches(context.Background(), "b")).To(gomega.BeTrue())
		gomega.Expect(c.Health("b").FailingFor).To(gomega.BeZero())
	})

	ginkgo.It("does not count a dial that was not attempted as a failure of the leader", func() {
		c := newTestGroup(1)
		s := c.acquire(c.need(true))
		c.manualClock.advance(time.Second)
		c.dialer.lock.Lock()
		c.dialer.dialErrors["a"] = fmt.Errorf("dial: %w", pool.ErrReserved)
		c.dialer.lock.Unlock()
		c.Probe("a")
		gomega.Consistently(func() time.Duration { return c.Health("a").FailingFor }, "50ms").Should(gomega.BeZero())
		gomega.Expect(c.Health("a").UnansweredFor).To(gomega.BeNumerically(">", 500*time.Millisecond))
		s.Release()
	})

	ginkgo.It("counts the time without a leader as one in which it is not reached", func() {
		now := time.Hour
		g := &pool.Group{Name: "choir", Zone: "coban", Now: func() time.Duration { return now }, Log: logr.Discard()}
		gomega.Expect(g.LeaderUnreachableFor()).To(gomega.BeZero())
		g.SetLeader("a")
		now += time.Second
		g.SetLeader("")
		now += 3 * time.Second
		g.SetLeader("")
		gomega.Expect(g.LeaderUnreachableFor()).To(gomega.Equal(3 * time.Second))
		g.SetLeader("b")
		gomega.Expect(g.LeaderUnreachableFor()).To(gomega.BeZero())
	})

	ginkgo.It("distinguishes an unreachable leader from a slow one", func() {
		c := newTestGroup(1)
		s := c.acquire(c.need(true))
		c.manualClock.advance(time.Second)
		gomega.Expect(c.Health("a").FailingFor).To(gomega.BeZero())
		gomega.Expect(c.Health("a").UnansweredFor).To(gomega.BeNumerically(">", 500*time.Millisecond))
		c.dialer.lock.Lock()
		c.dialer.dialErrors["a"] = context.DeadlineExceeded
		c.dialer.lock.Unlock()
		c.Probe("a")
		gomega.Eventually(func() time.Duration { return c.Health("a").FailingFor }).Should(gomega.BeNumerically(">", 0))
		s.Release()
	})
})
