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

// stuck is a reader that stops reading until it is let go.
type stuck struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.text.Write(b)
}

var _ = ginkgo.Describe("Logs", func() {
	ginkgo.It("never hold up their writer, and count what a slow reader misses", func() {
		out := &stuck{}
		out.lock.Lock()
		w := logline.NewWriter(out)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 5000 {
				// Write never fails.
				_, _ = w.Write([]byte("line\n"))
			}
		}()
		gomega.Eventually(done).Should(gomega.BeClosed())
		gomega.Expect(w.Dropped()).To(gomega.BeNumerically(">", 3000))
		out.lock.Unlock()
		w.Close()
		gomega.Expect(int64(strings.Count(out.text.String(), "\n"))).To(gomega.Equal(5000 - w.Dropped()))
	})

	ginkgo.It("keep a flood of one message within its bound and say what is left out", func() {
		out := &stuck{}
		w := logline.NewWriter(out)
		log := logline.New(w)
		for i := range 1000 {
			log.Info("statement refused as not run", "request", i)
		}
		log.Info("store is lost", "while", "test")
		time.Sleep(1100 * time.Millisecond)
		log.Info("statement refused as not run", "request", 1000)
		w.Close()
		lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
		gomega.Expect(len(lines)).To(gomega.BeNumerically("<=", 62))
		last := map[string]any{}
		gomega.Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &last)).To(gomega.Succeed())
		gomega.Expect(last["leftout"]).To(gomega.BeNumerically(">", 900))
		gomega.Expect(out.text.String()).To(gomega.ContainSubstring("store is lost"))
	})
})
