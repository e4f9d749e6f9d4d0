package customer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/customer"
)

func TestCustomer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "customer")
}

func entry(name string, keys ...string) customer.Entry {
	e := customer.Entry{Customer: customer.Customer{Name: name}}
	for _, k := range keys {
		e.Keys = append(e.Keys, customer.DigestOf(k))
	}
	return e
}

var _ = ginkgo.Describe("Set", func() {
	invalid := map[string][]customer.Entry{
		"an entry without a name":           {entry("")},
		"a name that is given twice":        {entry("choir"), entry("choir")},
		"a key that two customers hold":     {entry("choir", "k1"), entry("band", "k1")},
		"a key that a customer holds twice": {entry("choir", "k1", "k1")},
		"a negative rate":                   {{Customer: customer.Customer{Name: "choir", Rate: -1}}},
		"a negative burst":                  {{Customer: customer.Customer{Name: "choir", Burst: -1}}},
	}
	for name, entries := range invalid {
		ginkgo.It("rejects "+name, func() {
			_, err := customer.NewSet(entries)
			gomega.Expect(err).To(gomega.MatchError(customer.ErrInvalid))
		})
	}

	// A lookup by a part of the digest would let in a caller whose key only resembles one.
	ginkgo.It("tells keys apart whose digests have the same first 8 bytes", func() {
		one, two, three := customer.DigestOf("k"), customer.DigestOf("k"), customer.DigestOf("k")
		two[31]++
		three[8]++
		s, err := customer.NewSet([]customer.Entry{
			{Customer: customer.Customer{Name: "one"}, Keys: []customer.Digest{one}},
			{Customer: customer.Customer{Name: "two"}, Keys: []customer.Digest{two}},
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for d, name := range map[customer.Digest]string{one: "one", two: "two"} {
			c, ok := s.Lookup(d)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(c.Name).To(gomega.Equal(name))
		}
		_, ok := s.Lookup(three)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

// designSet returns the largest set that the system is designed for.
func designSet(tb testing.TB) *customer.Set {
	entries := []customer.Entry{}
	for i := range 10_000 {
		name := fmt.Sprintf("c%d", i)
		entries = append(entries, entry(name, name+"-1", name+"-2", name+"-3"))
	}
	s, err := customer.NewSet(entries)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// TestMemoryOfDesignSet guards against a set that leaves too little of a VM of 184 MB.
func TestMemoryOfDesignSet(t *testing.T) {
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := designSet(t)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("10,000 customers with 30,000 keys use %d kB", used>>10)
	if used > 32<<20 {
		t.Errorf("set uses %d bytes, more than 32 MB", used)
	}
	runtime.KeepAlive(s)
}

func BenchmarkLookup(b *testing.B) {
	s := designSet(b)
	digests := []customer.Digest{}
	for i := range 1024 {
		digests = append(digests, customer.DigestOf(fmt.Sprintf("c%d-2", 9*i)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := s.Lookup(digests[i%len(digests)]); !ok {
			b.Fatal("key is unknown")
		}
	}
}

// BenchmarkStart measures what the start of a session adds: digest and lookup.
func BenchmarkStart(b *testing.B) {
	s := designSet(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Lookup(customer.DigestOf("c4711-2")); !ok {
			b.Fatal("key is unknown")
		}
	}
}
