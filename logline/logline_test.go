package logline_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/logline"
)

func TestLogline(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logline")
}

// blockableOutput is a log output whose Write blocks while the test holds its
// lock.
type blockableOutput struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (s *blockableOutput) Write(b []byte) (int, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.text.Write(b)
}

var _ = ginkgo.Describe("Logs", func() {
	ginkgo.It("never block the caller and count the lines dropped for a slow output", func() {
		out := &blockableOutput{}
		out.lock.Lock()
		w := logline.NewWriter(out)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 5000 {
				// Write returns no errors.
				_, _ = w.Write([]byte("line\n"))
			}
		}()
		gomega.Eventually(done).Should(gomega.BeClosed())
		gomega.Expect(w.Dropped()).To(gomega.BeNumerically(">", 3000))
		out.lock.Unlock()
		w.Close()
		gomega.Expect(int64(strings.Count(out.text.String(), "\n"))).To(gomega.Equal(5000 - w.Dropped()))
	})

	// Guards against a process that outlasts its grace period, or panics at its end.
	ginkgo.It("let the process exit although nobody reads them, and may be written after that", func() {
		out := &blockableOutput{}
		out.lock.Lock()
		defer out.lock.Unlock()
		w := logline.NewWriter(out)
		_, _ = w.Write([]byte("line\n"))
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			w.CloseWithin(10 * time.Millisecond)
		}()
		gomega.Eventually(closed, "5s").Should(gomega.BeClosed())
		_, err := w.Write([]byte("late\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.It("limit the rate of one message and report the number of suppressed lines", func() {
		out := &blockableOutput{}
		w := logline.NewWriter(out)
		log := logline.New(w)
		for i := range 1000 {
			log.Info("statement refused as not run", "request", i)
		}
		log.Info("connection to the store lost", "while", "test")
		time.Sleep(1100 * time.Millisecond)
		log.Info("statement refused as not run", "request", 1000)
		w.Close()
		lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
		gomega.Expect(len(lines)).To(gomega.BeNumerically("<=", 62))
		last := map[string]any{}
		gomega.Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &last)).To(gomega.Succeed())
		gomega.Expect(last["leftout"]).To(gomega.BeNumerically(">", 900))
		gomega.Expect(out.text.String()).To(gomega.ContainSubstring("connection to the store lost"))
	})
})
