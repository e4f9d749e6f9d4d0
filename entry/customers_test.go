package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/store"
	"amaranthsill/submission"
)

var _ = ginkgo.Describe("A manifest with customers", func() {
	// A VM that put it in force would serve callers without a key.
	ginkgo.It("is not put in force, and the last one stays", func() {
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		f := startSite(ctx, 1)
		text := strings.Replace(f.site.Manifest(), "{", `{"customers": [{"name": "miny", "keys": ["3fgf"]}],`, 1)
		s := &submission.Submission{Store: &store.Client{Address: f.site.PlatformAddress}, Text: []byte(text)}
		outcome, err := s.Run(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(outcome).To(gomega.Equal(submission.Accepted{Version: 2, Current: 2}))
		readMetrics := func() string {
			a, err := http.Get("http://" + f.vms[0].admin + "/metrics")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = a.Body.Close() }()
			b, err := io.ReadAll(a.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return string(b)
		}
		gomega.Eventually(readMetrics, "10s", "50ms").Should(gomega.MatchRegexp("amaranthsill_manifests_unreadable_total [1-9]"))
		gomega.Expect(readMetrics()).To(gomega.MatchRegexp("amaranthsill_manifest_version 1\n"))
		c := f.mustConnect(ctx, 0, "choir", "")
		_, err = c.Exec(ctx, "/* kind=lookup */ select count(*) from marks")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Close(ctx)).To(gomega.Succeed())
	})
})
