package explain_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/explain"
)

func TestExplain(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "explain")
}

const firstLog = `noise
{"time":"2026-03-09T09:52:36.1Z","level":"INFO","msg":"leader has to be replaced","group":"choir","leader":"a","cause":"it does not answer over fresh connections"}
{"time":"2026-03-09T09:52:36.2Z","level":"INFO","msg":"leader has to be replaced","group":"dues","leader":"x","cause":"it is draining"}
{"time":"2026-03-09T09:52:36.5Z","level":"INFO","msg":"outcome in doubt","request":"5c0e","group":"choir","target":"a","reason":"i/o timeout"}
`

const secondLog = `{"time":"2026-03-09T09:52:36.3Z","level":"INFO","msg":"leadership is being moved","group":"choir","from":"a"}
{"time":"2026-03-09T09:51:00Z","level":"INFO","msg":"VM is ready","version":3}
{"time":"2026-03-09T09:52:40Z","level":"INFO","msg":"leadership moved","group":"choir","to":"b"}
`

var _ = ginkgo.Describe("A timeline", func() {
	ginkgo.It("merges lines of several VMs about the request and its group, sorted by time", func() {
		s, err := explain.Read("5c0e",
			explain.Source{Name: "vm-1", Reader: strings.NewReader(firstLog)},
			explain.Source{Name: "vm-2", Reader: strings.NewReader(secondLog)})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		messages := []string{}
		for _, l := range s.Lines() {
			messages = append(messages, l.Source+": "+l.Message())
		}
		gomega.Expect(messages).To(gomega.Equal([]string{
			"vm-1: leader has to be replaced",
			"vm-2: leadership is being moved",
			"vm-1: outcome in doubt",
		}))
	})

	ginkgo.It("shows a loss of the store before a request that it affected", func() {
		log := `{"time":"2026-03-09T09:52:35.1Z","level":"INFO","msg":"store came back from an older copy; what it acknowledged lately is lost","era":2,"before":1,"record":"1/15"}
{"time":"2026-03-09T09:52:35.4Z","level":"INFO","msg":"leader record was written again after the store came back from an older copy","era":2,"record":"2/16","newest":"1/15","all":true}
{"time":"2026-03-09T09:52:36.5Z","level":"INFO","msg":"statement refused as not run","request":"5c0e","group":"choir","reason":"nobody confirms who leads"}
`
		s, err := explain.Read("5c0e", explain.Source{Name: "vm-1", Reader: strings.NewReader(log)})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Lines()).To(gomega.HaveLen(3))
		gomega.Expect(s.Lines()[0].Message()).To(gomega.HavePrefix("store came back from an older copy"))
	})

	ginkgo.It("returns ErrUnknown when no line carries the request ID", func() {
		_, err := explain.Read("none", explain.Source{Reader: strings.NewReader(firstLog)})
		gomega.Expect(errors.Is(err, explain.ErrUnknown)).To(gomega.BeTrue())
	})
})

func ExampleTimeline_Print() {
	s, err := explain.Read("5c0e", explain.Source{Name: "vm-1", Reader: strings.NewReader(firstLog)})
	if err != nil {
		panic(err)
	}
	if err := s.Print(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	//   09:52:36.100 vm-1 leader has to be replaced cause=it does not answer over fresh connections group=choir leader=a
	// > 09:52:36.500 vm-1 outcome in doubt group=choir reason=i/o timeout request=5c0e target=a
}

// Guards against a caller that writes lines of its own into a timeline by the ID of a query.
func TestTimelineHasOneLineForEachOfTheLog(t *testing.T) {
	log := `{"time":"2026-03-09T09:52:36.5Z","msg":"outcome\r\nforged","request":"5c0e\n> forged","group":"cho\u001bir"}` + "\n"
	s, err := explain.Read("5c0e\n> forged", explain.Source{Name: "vm\n1", Reader: strings.NewReader(log)})
	if err != nil {
		t.Fatal(err)
	}
	text := &strings.Builder{}
	if err := s.Print(text); err != nil {
		t.Fatal(err)
	}
	want := `> 09:52:36.500 vm\n1 outcome\r\nforged group=cho\x1bir request=5c0e\n> forged` + "\n"
	if text.String() != want {
		t.Errorf("printed %q, want %q", text, want)
	}
}
