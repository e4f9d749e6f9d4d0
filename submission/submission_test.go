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
	injectFault := func(body string) {
		q, err := http.NewRequest(http.MethodPut, s.URL+"/v1/faults", strings.NewReader(body))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		a, err := http.DefaultClient.Do(q)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Body.Close()).To(gomega.Succeed())
	}
	return &store.Client{Address: address}, injectFault
}

func submit(ctx context.Context, store store.Store, identity string) submission.Outcome {
	s := &submission.Submission{Store: store, ID: identity, Text: []byte(identity), RetryInterval: time.Millisecond}
	o, err := s.Run(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return o
}

var _ = ginkgo.Describe("Submission", func() {
	ctx := context.Background()

	ginkgo.It("receives the next version", func() {
		store, _ := newStore()
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
		gomega.Expect(submit(ctx, store, "b")).To(gomega.Equal(submission.Accepted{Version: 2, Current: 2}))
	})

	ginkgo.It("is idempotent", func() {
		store, _ := newStore()
		submit(ctx, store, "a")
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
		submit(ctx, store, "b")
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 2}))
	})

	ginkgo.It("is accepted when the answer to its write is lost", func() {
		store, fault := newStore()
		fault(`{"lose": 1}`)
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
	})

	ginkgo.It("is retried until an outage of the store ends", func() {
		store, fault := newStore()
		fault(`{"outage": 50}`)
		gomega.Expect(submit(ctx, store, "a")).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
	})

	ginkgo.It("is unknown if the store is unavailable until the context ends", func() {
		store, fault := newStore()
		fault(`{"outage": 600000}`)
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		gomega.Expect(submit(shortCtx, store, "a")).To(gomega.BeAssignableToTypeOf(submission.Unknown{}))
	})

	ginkgo.It("receives a version above the one in force when the store has lost it", func() {
		store, _ := newStore()
		s := &submission.Submission{Store: store, ID: "a", Text: []byte("a"), KnownVersion: 41}
		gomega.Expect(s.Run(ctx)).To(gomega.Equal(submission.Accepted{Version: 42, Current: 42}))
	})

	for name, lostAnswers := range map[string]int{"": 0, " and answers are lost": 4} {
		ginkgo.It("never shares its version when ten are submitted concurrently"+name, func() {
			const submitters = 10
			store, fault := newStore()
			fault(fmt.Sprintf(`{"lose": %d}`, lostAnswers))
			outcomes := make([]submission.Outcome, submitters)
			var wait sync.WaitGroup
			for i := range submitters {
				wait.Go(func() {
					defer ginkgo.GinkgoRecover()
					outcomes[i] = submit(ctx, store, fmt.Sprint("submitter-", i))
				})
			}
			wait.Wait()
			winners := map[uint64]string{}
			for i, o := range outcomes {
				if a, ok := o.(submission.Accepted); ok {
					gomega.Expect(winners).NotTo(gomega.HaveKey(a.Version))
					winners[a.Version] = fmt.Sprint("submitter-", i)
				}
			}
			gomega.Expect(winners).NotTo(gomega.BeEmpty())
			for _, o := range outcomes {
				if l, ok := o.(submission.Conflict); ok {
					gomega.Expect(winners[l.Version]).To(gomega.Equal(l.Winner))
				}
			}
		})
	}
})
