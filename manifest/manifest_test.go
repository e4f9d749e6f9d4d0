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

var faults = map[string]struct {
	text  string
	error string
}{
	"no JSON":             {text: `{`, error: `m.json:1: document: write JSON with comments`},
	"a list":              {text: `[]`, error: `m.json:1: document: write an object in braces`},
	"nothing in it":       {text: `{}`, error: `write at least one group under groups`},
	"an unknown field":    {text: "{\n\"gruops\": []}", error: `m.json:2: gruops: unknown field; write one of groups, kinds`},
	"a field twice":       {text: `{"groups": [], "groups": []}`, error: `groups: field stands twice`},
	"a group of two":      {text: withTargets(`[{"name": "a", "zone": "x", "address": "10.0.0.1:1", "connections": 1}, {"name": "b", "zone": "x", "address": "10.0.0.1:2", "connections": 1}]`), error: `write an odd number of targets from 3 to 7, not 2`},
	"a bad address":       {text: withTargets(strings.Replace(targets, "10.0.0.2:5432", "db.example:5432", 1)), error: `groups[0].targets[1].address: "db.example:5432" is no address`},
	"a port of zero":      {text: withTargets(strings.Replace(targets, "10.0.0.2:5432", "10.0.0.2:0", 1)), error: `is no address`},
	"an address twice":    {text: withTargets(strings.Replace(targets, "10.0.0.2", "10.0.0.1", 1)), error: `address 10.0.0.1:5432 stands twice`},
	"a target twice":      {text: withTargets(strings.Replace(targets, `"b"`, `"a"`, 1)), error: `target "a" stands twice`},
	"no connections":      {text: withTargets(strings.Replace(targets, `, "connections": 20`, "", 1)), error: `write under connections how many the target takes`},
	"too many":            {text: withTargets(strings.Replace(targets, `20`, "2000000", 1)), error: `write a whole number from 1 to 10000`},
	"a write with an age": {text: withKinds("[\n{\"name\": \"k\", \"access\": \"write\", \"age\": \"2s\"}]"), error: `a write has no age; remove age or write "read" under access`},
	"a patient write":     {text: withKinds(`[{"name": "k", "access": "write", "patience": "1s"}]`), error: `a write waits for no replica`},
	"too much patience":   {text: withKinds(`[{"name": "k", "access": "read", "patience": "9s"}]`), error: `patience is not below the timeout of 5s`},
	"a read to repeat":    {text: withKinds(`[{"name": "k", "access": "read", "repeat": true}]`), error: `a read may always be repeated`},
	"a kind twice":        {text: withKinds(`[{"name": "k", "access": "read"}, {"name": "k", "access": "read"}]`), error: `kind "k" stands twice`},
	"no access":           {text: withKinds(`[{"name": "k"}]`), error: `write under access "read" or "write", not ""`},
	"a bad duration":      {text: withKinds(`[{"name": "k", "access": "read", "age": "2"}]`), error: `write a duration in quotes from "1ms" to "24h0m0s"`},
	"an objective of one": {text: withKinds(`[{"name": "k", "access": "read", "objective": 1}]`), error: `write a number above 0 and below 1`},
	"a name with a space": {text: withKinds(`[{"name": "a b", "access": "read"}]`), error: `write a name of letters, digits, - and _`},
	"too many bytes":      {text: strings.Repeat(" ", manifest.MaxBytes+1), error: fmt.Sprintf(`write at most %d bytes`, manifest.MaxBytes)},
}

var _ = ginkgo.Describe("Parse", func() {
	for name, c := range faults {
		ginkgo.It("refuses "+name, func() {
			_, err := manifest.Parse("m.json", []byte(c.text))
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.error)))
		})
	}

	ginkgo.It("reads the example", func() {
		text, err := os.ReadFile("../examples/choir.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		m, err := manifest.Parse("choir.json", text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m.Groups()).To(gomega.HaveLen(2))
		k, ok := m.Kind("payment")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(k.Repeat()).To(gomega.BeFalse())
		gomega.Expect(k.Objective()).To(gomega.Equal(0.9999))
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

func FuzzParse(f *testing.F) {
	for _, c := range faults {
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
