package statement_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/statement"
)

func TestStatement(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "statement")
}

var queries = map[string]struct {
	query string
	hints statement.Hints
	bad   bool
}{
	"no comment":          {query: "select 1"},
	"an empty query":      {query: ""},
	"a kind":              {query: "/* kind=tracks */ select 1", hints: statement.Hints{Kind: "tracks"}},
	"a kind and a key":    {query: "  /*kind=dues key=8f2a*/ select 1", hints: statement.Hints{Kind: "dues", Key: "8f2a"}},
	"another comment":     {query: "/* by the roster page */ select 1"},
	"a trailing comment":  {query: "select 1 /* kind=dues */"},
	"an unclosed comment": {query: "/* kind=dues", bad: true},
	"an empty key":        {query: "/* key= */ select 1", bad: true},
	"a key with a quote":  {query: "/* key=a'b */ select 1", bad: true},
	"a key beyond ASCII":  {query: "/* key=\u00e9 */ select 1", bad: true},
	"an unknown hint":     {query: "/* speed=fast kind=dues */ select 1", hints: statement.Hints{Kind: "dues"}},
	"a nested comment":    {query: "/* kind=a /* kind=b */ select 1", hints: statement.Hints{Kind: "b"}},
}

var _ = ginkgo.Describe("ParseHints", func() {
	for name, c := range queries {
		ginkgo.It("reads "+name, func() {
			h, err := statement.ParseHints(c.query)
			if c.bad {
				gomega.Expect(err).To(gomega.MatchError(statement.ErrHint))
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(h).To(gomega.Equal(c.hints))
		})
	}
})

var _ = ginkgo.Describe("Check", func() {
	for query, good := range map[string]bool{
		"select 1":                           true,
		"begin":                              true,
		"/* kind=x */ insert into t":         true,
		"settle the bill":                    true,
		"set search_path = x":                false,
		"/* a */ /* b */ SET x = 1":          false,
		"prepare p as select 1":              false,
		"listen x":                           false,
		"copy t from stdin":                  false,
		"\n\tdiscard all":                    false,
		"/* a comment without an end set x ": true,
	} {
		ginkgo.It(fmt.Sprintf("checks %q: %v", query, good), func() {
			err := statement.CheckSupported(query)
			if good {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			gomega.Expect(err).To(gomega.MatchError(statement.ErrUnsupported))
		})
	}
})

var _ = ginkgo.Describe("ParseSetting", func() {
	for query, want := range map[string]statement.Setting{
		"set amaranthsill.kind = 'marks'":    {Name: "kind", Value: "marks"},
		"SET amaranthsill.kind TO marks;":    {Name: "kind", Value: "marks"},
		"show amaranthsill.session":          {Name: "session", Show: true},
		"set amaranthsill.session='a:1.2'  ": {Name: "session", Value: "a:1.2"},
	} {
		ginkgo.It("reads "+query, func() {
			s, ok := statement.ParseSetting(query)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(s).To(gomega.Equal(want))
		})
	}
	for _, query := range []string{"", "set", "set x = 1", "show all", "select 1"} {
		ginkgo.It(fmt.Sprintf("does not read %q", query), func() {
			_, ok := statement.ParseSetting(query)
			gomega.Expect(ok).To(gomega.BeFalse())
		})
	}
})

func ExampleParseHints() {
	h, _ := statement.ParseHints("/* kind=payment key=8f2a */ insert into payments (key, value) values ('7', '20')")
	fmt.Println(h.Kind, h.Key)
	// Output: payment 8f2a
}

func FuzzParseHints(f *testing.F) {
	for _, c := range queries {
		f.Add(c.query)
	}
	f.Fuzz(func(t *testing.T, query string) {
		h, err := statement.ParseHints(query)
		if err == nil && len(h.Key) > statement.MaxKeyBytes {
			t.Fatalf("key of %d bytes was accepted", len(h.Key))
		}
		// No query may cause a panic.
		_ = statement.CheckSupported(query)
		_, _ = statement.ParseSetting(query)
	})
}
