package manifest_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/manifest"
)

func TestManifest(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "manifest")
}

const targets = `[
{"name": "a", "zone": "x", "address": "10.0.0.1:5432", "connections": 20},
{"name": "b", "zone": "y", "address": "10.0.0.2:5432", "connections": 20},
{"name": "c", "zone": "z", "address": "10.0.0.3:5432", "connections": 20}]`

func withKinds(kinds string) string {
	return `{"groups": [{"name": "g", "targets": ` + targets + `}], "kinds": ` + kinds + `}`
}

func withTargets(text string) string {
	return `{"groups": [{"name": "g", "targets": ` + text + `}]}`
}

var invalid = map[string]struct {
	text  string
	error string
}{
	"text that is no JSON":         {text: `{`, error: `m.json:1: document: write JSON with comments`},
	"a list in place of an object": {text: `[]`, error: `m.json:1: document: write an object in braces`},
	"an empty object":              {text: `{}`, error: `write at least one group under groups`},
	"an unknown field":             {text: "{\n\"gruops\": []}", error: `m.json:2: gruops: unknown field; write one of groups, kinds`},
	"a duplicate field":            {text: `{"groups": [], "groups": []}`, error: `groups: field stands twice`},
	"a group of two targets":       {text: withTargets(`[{"name": "a", "zone": "x", "address": "10.0.0.1:1", "connections": 1}, {"name": "b", "zone": "x", "address": "10.0.0.1:2", "connections": 1}]`), error: `write an odd number of targets from 3 to 7, not 2`},
	"a host name as address":       {text: withTargets(strings.Replace(targets, "10.0.0.2:5432", "db.example:5432", 1)), error: `groups[0].targets[1].address: "db.example:5432" is no address`},
	"port 0":                       {text: withTargets(strings.Replace(targets, "10.0.0.2:5432", "10.0.0.2:0", 1)), error: `is no address`},
	"a duplicate address":          {text: withTargets(strings.Replace(targets, "10.0.0.2", "10.0.0.1", 1)), error: `address 10.0.0.1:5432 stands twice`},
	"a duplicate target name":      {text: withTargets(strings.Replace(targets, `"b"`, `"a"`, 1)), error: `target "a" stands twice`},
	"a target without connections": {text: withTargets(strings.Replace(targets, `, "connections": 20`, "", 1)), error: `write under connections how many the target takes`},
	"too many connections":         {text: withTargets(strings.Replace(targets, `20`, "2000000", 1)), error: `write a whole number from 1 to 10000`},
	"a write with an age":          {text: withKinds("[\n{\"name\": \"k\", \"access\": \"write\", \"age\": \"2s\"}]"), error: `a write has no age; remove age or write "read" under access`},
	"a write with patience":        {text: withKinds(`[{"name": "k", "access": "write", "patience": "1s"}]`), error: `a write waits for no replica`},
	"patience above the timeout":   {text: withKinds(`[{"name": "k", "access": "read", "patience": "9s"}]`), error: `patience is not below the timeout of 5s`},
	"a read with repeat":           {text: withKinds(`[{"name": "k", "access": "read", "repeat": true}]`), error: `a read may always be repeated`},
	"a duplicate kind name":        {text: withKinds(`[{"name": "k", "access": "read"}, {"name": "k", "access": "read"}]`), error: `kind "k" stands twice`},
	"a kind without access":        {text: withKinds(`[{"name": "k"}]`), error: `write under access "read" or "write", not ""`},
	"a duration without a unit":    {text: withKinds(`[{"name": "k", "access": "read", "age": "2"}]`), error: `write a duration in quotes from "1ms" to "24h0m0s"`},
	"an objective of 1":            {text: withKinds(`[{"name": "k", "access": "read", "objective": 1}]`), error: `write a number above 0 and below 1`},
	"a name with a space":          {text: withKinds(`[{"name": "a b", "access": "read"}]`), error: `write a name of letters, digits, - and _`},
	"too many bytes":               {text: strings.Repeat(" ", manifest.MaxBytes+1), error: fmt.Sprintf(`write at most %d bytes`, manifest.MaxBytes)},
}

var _ = ginkgo.Describe("Parse", func() {
	for name, c := range invalid {
		ginkgo.It("rejects "+name, func() {
			_, err := manifest.Parse("m.json", []byte(c.text))
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.error)))
		})
	}

	ginkgo.It("accepts the example manifest", func() {
		text, err := os.ReadFile("../examples/choir.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		m, err := manifest.Parse("choir.json", text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m.Groups()).To(gomega.HaveLen(2))
		k, ok := m.Kind("payment")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(k.Repeatable()).To(gomega.BeFalse())
		gomega.Expect(k.SuccessObjective()).To(gomega.Equal(0.9999))
	})
})

func ExampleParse() {
	_, err := manifest.Parse("choir.json", []byte(`{
  "groups": [],
  "kinds": [
    {"name": "marks", "access": "write", "age": "2s"},
  ],
}`))
	fmt.Println(err)
	// Output:
	// check manifest: choir.json:4: kinds[0]: a write has no age; remove age or write "read" under access
}

// FuzzParse feeds arbitrary bytes to Parse, which must not panic and must not
// accept a manifest without groups.
func FuzzParse(f *testing.F) {
	for _, c := range invalid {
		f.Add([]byte(c.text))
	}
	f.Add([]byte(withKinds(`[{"name": "k", "access": "read", "age": "2s"}]`)))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := manifest.Parse("f", text)
		if err == nil && len(m.Groups()) == 0 {
			t.Fatal("a manifest without groups was accepted")
		}
	})
}
