package submission_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/standin"
	"amaranthsill/store"
	"amaranthsill/submission"
)

func TestSubmission(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "submission")
}

func newStore() (*store.Client, func(string)) {
	p := &standin.Platform{}
	s := httptest.NewServer(p.Handler())
	ginkgo.DeferCleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	fault := func(body string) {
		q, err := http.NewRequest(http.MethodPut, s.URL+"/v1/faults", strings.NewReader(body))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		a, err := http.DefaultClient.Do(q)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Body.Close()).To(gomega.Succeed())
	}
	return &store.Client{Address: address}, fault
}

func submit(ctx context.Context, store store.Store, identity string) submission.Outcome {
	s := &submission.Submission{Store: store, Identity: identity, Text: []byte(identity), Pause: time.Millisecond}
	o, err := s.Run(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return o
}

var _ = ginkgo.Describe("A submission", func() {
	ctx := context.Background()

	ginkgo.It("gets the next version", func() {
		store, _ := newStore()
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
		gomega.Expect(submit(ctx, store, "b")).To(gomega.Equal(submission.Accepted{Version: 2, Current: 2}))
	})

	ginkgo.It("does no harm when it is repeated", func() {
		store, _ := newStore()
		submit(ctx, store, "a")
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
		submit(ctx, store, "b")
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 2}))
	})

	ginkgo.It("finds out that it won when its answer was lost", func() {
		store, fault := newStore()
		fault(`{"lose": 1}`)
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
	})

	ginkgo.It("goes on after an outage", func() {
		store, fault := newStore()
		fault(`{"outage": 50}`)
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
	})

	ginkgo.It("is unsettled while the platform is away", func() {
		store, fault := newStore()
		fault(`{"outage": 600000}`)
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		gomega.Expect(submit(short, store, "a")).To(gomega.BeAssignableToTypeOf(submission.Unsettled{}))
	})

	ginkgo.It("is above the version in force when the store lost it", func() {
		store, _ := newStore()
		s := &submission.Submission{Store: store, Identity: "a", Text: []byte("a"), Floor: 41}
		gomega.Expect(s.Run(ctx)).To(gomega.Equal(submission.Accepted{Version: 42, Current: 42}))
	})

	for name, lose := range map[string]int{"": 0, ", with answers lost": 4} {
		ginkgo.It("wins its version alone among ten"+name, func() {
			const racers = 10
			store, fault := newStore()
			fault(fmt.Sprintf(`{"lose": %d}`, lose))
			outcomes := make([]submission.Outcome, racers)
			var all sync.WaitGroup
			for i := range racers {
				all.Go(func() {
					defer ginkgo.GinkgoRecover()
					outcomes[i] = submit(ctx, store, fmt.Sprint("racer-", i))
				})
			}
			all.Wait()
			won := map[uint64]string{}
			for i, o := range outcomes {
				if a, ok := o.(submission.Accepted); ok {
					gomega.Expect(won).NotTo(gomega.HaveKey(a.Version))
					won[a.Version] = fmt.Sprint("racer-", i)
				}
			}
			gomega.Expect(won).NotTo(gomega.BeEmpty())
			for _, o := range outcomes {
				if l, ok := o.(submission.Lost); ok {
					gomega.Expect(won[l.Version]).To(gomega.Equal(l.Winner))
				}
			}
		})
	}
})
