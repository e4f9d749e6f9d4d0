package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
)

func TestClock(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "clock")
}

var _ = ginkgo.Describe("A backoff", func() {
	ginkgo.It("doubles from Least up to Most and adds up to half of the pause as jitter", func() {
		b := clock.Backoff{Min: 100 * time.Millisecond, Max: time.Second}
		for _, least := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			least *= time.Millisecond
			gomega.Expect(b.Next()).To(gomega.And(gomega.BeNumerically(">=", least), gomega.BeNumerically("<=", least*3/2)))
		}
		b.Reset()
		gomega.Expect(b.Next()).To(gomega.BeNumerically("<=", 150*time.Millisecond))
	})

	ginkgo.It("returns from Pause when the context is cancelled", func() {
		b := clock.Backoff{Min: time.Hour, Max: time.Hour}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		b.Wait(ctx)
	})
})
