package manifest_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/customer"
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

func withCustomers(customers string) string {
	return `{"groups": [{"name": "g", "targets": ` + targets + `}], "customers": ` + customers + `}`
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
	"an unknown field":             {text: "{\n\"gruops\": []}", error: `m.json:2: gruops: unknown field; write one of customers, groups, kinds`},
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
	"a customer without a name":    {text: withCustomers(`[{"keys": ["s3cret"]}]`), error: `write the customer's name`},
	"a customer without keys":      {text: withCustomers("[{\"name\": \"a\", \"keys\": []},\n{\"name\": \"b\"}]"), error: `:5: customers[1]: write the customer's keys, or an empty list`},
	"a duplicate customer":         {text: withCustomers(`[{"name": "a", "keys": []}, {"name": "a", "keys": []}]`), error: `customer "a" stands twice`},
	"a key of two customers":       {text: withCustomers(`[{"name": "a", "keys": ["s3cret"]}, {"name": "b", "keys": ["s3cret"]}]`), error: `customers[1].keys[0]: key stands twice`},
	"a duplicate key":              {text: withCustomers(`[{"name": "a", "keys": ["s3cret", "s3cret"]}]`), error: `customers[0].keys[1]: key stands twice`},
	"an empty key":                 {text: withCustomers(`[{"name": "a", "keys": ["s3cret", ""]}]`), error: `write a text in quotes that is not empty`},
	"a key with a space":           {text: withCustomers(`[{"name": "a", "keys": ["s3cret s3cret"]}]`), error: `write a key without spaces`},
	"a negative rate":              {text: withCustomers(`[{"name": "a", "keys": ["s3cret"], "rate": -1}]`), error: `write a number from 0 to 1e+06`},
	"a negative priority":          {text: withCustomers(`[{"name": "a", "keys": ["s3cret"], "priority": -1}]`), error: `write a whole number from 0 to 1000`},
	"a public kind in words":       {text: withKinds(`[{"name": "k", "access": "read", "public": "yes"}]`), error: `write true or false`},
	"too many bytes":               {text: strings.Repeat(" ", manifest.MaxBytes+1), error: fmt.Sprintf(`write at most %d bytes`, manifest.MaxBytes)},
}

var _ = ginkgo.Describe("Parse", func() {
	for name, c := range invalid {
		ginkgo.It("rejects "+name, func() {
			_, err := manifest.Parse("m.json", []byte(c.text))
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.error)))
			// Errors are logged and printed.
			gomega.Expect(err.Error()).NotTo(gomega.ContainSubstring("s3cret"))
		})
	}

	ginkgo.It("accepts customers and public kinds", func() {
		text := `{"groups": [{"name": "g", "targets": ` + targets + `}], "kinds": [{"name": "k", "access": "read", "public": true}],
			"customers": [{"name": "miny420", "keys": ["3fgf", "iqrh"], "priority": 1, "rate": 246, "burst": 24.5}, {"name": "idle", "keys": []}]}`
		m, err := manifest.Parse("m.json", []byte(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(m.Customers()).To(gomega.Equal([]customer.Entry{
			{Customer: customer.Customer{Name: "miny420", Priority: 1, Rate: 246, Burst: 24.5}, Keys: []customer.Digest{customer.DigestOf("3fgf"), customer.DigestOf("iqrh")}},
			{Customer: customer.Customer{Name: "idle"}},
		}))
		_, err = customer.NewSet(m.Customers())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		k, _ := m.Kind("k")
		gomega.Expect(k.Public()).To(gomega.BeTrue())
	})

	// VMs that do not check keys would serve everybody.
	ginkgo.It("tells VMs without support for customers apart by whether there is a list", func() {
		for customers, want := range map[string]bool{`[]`: true, `[{"name": "a", "keys": []}]`: true, "": false} {
			text := withKinds(`[]`)
			if customers != "" {
				text = withCustomers(customers)
			}
			m, err := manifest.Parse("m.json", []byte(text))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(errors.Is(m.RejectCustomers(), manifest.ErrCustomersUnsupported)).To(gomega.Equal(want))
		}
	})

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
