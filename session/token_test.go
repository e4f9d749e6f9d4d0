package session_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/group"
	"amaranthsill/session"
)

func TestSession(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "session")
}

var texts = map[string]struct {
	text string
	good bool
}{
	"the empty text":  {text: "", good: true},
	"one group":       {text: "choir:3.17", good: true},
	"two groups":      {text: "choir:3.17;dues:2.9", good: true},
	"no position":     {text: "choir"},
	"no group":        {text: ":3.17"},
	"a bad position":  {text: "choir:3"},
	"a negative term": {text: "choir:-3.17"},
	"a term overflow": {text: "choir:99999999999999999999.1"},
	"an empty part":   {text: "choir:3.17;"},
	"a third number":  {text: "choir:3.17.4"},
}

var _ = ginkgo.Describe("Parse", func() {
	for name, c := range texts {
		ginkgo.It(fmt.Sprintf("reads %s: %v", name, c.good), func() {
			t, err := session.Parse(c.text)
			if !c.good {
				gomega.Expect(err).To(gomega.MatchError(session.ErrToken))
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(t.String()).To(gomega.Equal(c.text))
		})
	}
})

func ExampleToken_Advance() {
	t, _ := session.Parse("choir:3.17")
	t = t.Advance("choir", group.At(3, 12))
	t = t.Advance("dues", group.At(1, 4))
	fmt.Println(t)
	// Output: choir:3.17;dues:1.4
}

func FuzzParse(f *testing.F) {
	for _, c := range texts {
		f.Add(c.text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		first, err := session.Parse(text)
		if err != nil {
			return
		}
		again, err := session.Parse(first.String())
		if err != nil || again.String() != first.String() {
			t.Fatalf("token %q changes when it is formatted and parsed again: %v", text, err)
		}
	})
}
