package edge_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/catalog"
	"amaranthsill/clock"
	"amaranthsill/customer"
	"amaranthsill/edge"
	"amaranthsill/platform"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

var _ = ginkgo.Describe("A directory", func() {
	const entry = `{"service":"choir","address":"10.1.0.9:80","zone":"coban","slots":3,"state":"ready","db_role":"replica","version":"v1","cold_left_ms":0,"seq":1,"born":1}`
	newDirectory := func() (*edge.Directory, *time.Duration) {
		now := time.Hour
		s, err := edge.ParseSettings("vm.json", []byte(settings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return &edge.Directory{
			Adapter: platform.NewAdapter(s, logr.Discard()), Catalog: &catalog.Catalog{}, Self: "vm-0", Log: logr.Discard(),
			Grants: &succession.Grants{Length: time.Second, Now: clock.SinceBoot},
			Now:    func() time.Duration { return now },
		}, &now
	}
	target := func(id string, revision store.Revision) store.Item {
		return store.Item{Key: "servers/" + id, Value: []byte(entry), Revision: revision}
	}

	ginkgo.It("returns every later change although one arrived out of order", func() {
		d, _ := newDirectory()
		d.Apply(target("early", 90))
		d.MarkComplete(90)
		d.Apply(target("ahead", 100))
		gomega.Expect(d.CompleteRevision()).To(gomega.Equal(store.Revision(90)))
		d.Apply(target("late", 95))
		keys := []string{}
		for _, i := range d.ItemsSince(90) {
			keys = append(keys, i.Key)
		}
		gomega.Expect(keys).To(gomega.ConsistOf("servers/ahead", "servers/late"))
	})

	ginkgo.It("keeps the newer of two states of a key, whichever arrives last", func() {
		d, _ := newDirectory()
		d.Apply(store.Item{Key: "servers/a", Revision: 9, Deleted: true})
		d.Apply(target("a", 8))
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
	})

	ginkgo.It("keeps a target in use for some time after its entry was removed, in case the store lost it", func() {
		d, now := newDirectory()
		d.Apply(target("a", 8))
		d.Apply(store.Item{Key: "servers/a", Revision: 9, Deleted: true})
		d.Expire()
		gomega.Expect(d.Targets("choir")).To(gomega.HaveLen(1))
		*now += 3 * time.Second
		d.Expire()
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
	})

	ginkgo.It("passes a configuration on without its keys, and tells of each newer version once", func() {
		d, _ := newDirectory()
		changes := make(chan struct{}, 9)
		d.Changed = func() { changes <- struct{}{} }
		configuration := func(version int, revision store.Revision) store.Item {
			text := fmt.Sprintf(`{"version":%d,"tenants":[{"name":"miny","api_keys":["3fgfsecret"]}]}`, version)
			return store.Item{Key: platform.ConfigurationKey, Value: []byte(text), Revision: revision}
		}
		d.Apply(configuration(7, 20))
		d.Apply(configuration(6, 21))
		d.Apply(configuration(8, 22))
		gomega.Eventually(changes).Should(gomega.HaveLen(2))
		gomega.Consistently(changes, "50ms").Should(gomega.HaveLen(2))
		items := d.ItemsSince(0)
		gomega.Expect(items).To(gomega.HaveLen(1))
		gomega.Expect(string(items[0].Value)).NotTo(gomega.ContainSubstring("3fgfsecret"))
		other, _ := newDirectory()
		other.Apply(items[0])
		c := other.Catalog.Current()
		gomega.Expect(c.Version).To(gomega.Equal(uint64(8)))
		_, known := c.Customers.Lookup(customer.DigestOf("3fgfsecret"))
		gomega.Expect(known).To(gomega.BeTrue())
	})

	ginkgo.It("drops a draining target as soon as its entry is removed", func() {
		d, _ := newDirectory()
		i := target("a", 8)
		i.Value = []byte(`{"service":"choir","address":"10.1.0.9:80","zone":"coban","slots":3,"state":"draining","db_role":"replica","version":"v1","cold_left_ms":0,"seq":1,"born":1}`)
		d.Apply(i)
		d.Apply(store.Item{Key: "servers/a", Revision: 9, Deleted: true})
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
	})

	odd := func(revision store.Revision) store.Item {
		return store.Item{Key: "servers/odd", Value: []byte(strings.Repeat("9", 1<<20)), Revision: revision}
	}

	// An entry of 1 MB that another writer changed each second gave as many lines, and a
	// state of 1 MB one of that length.
	ginkgo.It("logs an odd entry once a minute, with a bounded reason, and counts each change of it", func() {
		d, now := newDirectory()
		lines := []string{}
		d.Log = funcr.New(func(_, text string) { lines = append(lines, text) }, funcr.Options{})
		for n := range 90 {
			d.Apply(odd(store.Revision(10 + n)))
			*now += time.Second
		}
		gomega.Expect(lines).To(gomega.HaveLen(2))
		for _, l := range lines {
			gomega.Expect(l).To(gomega.ContainSubstring("servers/odd"))
			gomega.Expect(len(l)).To(gomega.BeNumerically("<", 1000))
		}
		gomega.Expect(d.InvalidEntries()).To(gomega.HaveKeyWithValue("target", 90))
	})

	ginkgo.It("counts entries of every kind that cannot be used, and keeps what it knows", func() {
		d, _ := newDirectory()
		d.Apply(target("a", 8))
		d.Apply(store.Item{Key: platform.ConfigurationKey, Value: []byte(`{"version":7}`), Revision: 9})
		for n, key := range []string{"servers/odd", "amaranthsill/vms/odd", platform.ConfigurationKey, succession.RecordKey} {
			d.Apply(store.Item{Key: key, Value: []byte("["), Revision: store.Revision(10 + n)})
		}
		gomega.Expect(d.InvalidEntries()).To(gomega.Equal(map[string]int{"target": 1, "vm": 1, "configuration": 1, "record": 1}))
		gomega.Expect(d.Targets("choir")).To(gomega.HaveLen(1))
		gomega.Expect(d.Catalog.Current().Version).To(gomega.Equal(uint64(7)))
	})

	// The VM that passed it on had messages that no other one accepted.
	ginkgo.It("does not pass on the text of an odd entry that is long", func() {
		d, _ := newDirectory()
		d.Apply(target("a", 8))
		d.Apply(odd(9))
		other, _ := newDirectory()
		for _, i := range d.ItemsSince(0) {
			gomega.Expect(len(i.Value)).To(gomega.BeNumerically("<", 1000))
			other.Apply(i)
		}
		gomega.Expect(other.Targets("choir")).To(gomega.HaveLen(1))
		gomega.Expect(other.InvalidEntries()).To(gomega.HaveKeyWithValue("target", 1))
	})

	// Changes are also taken in by goroutines in which a panic ends the process.
	ginkgo.It("takes an entry over which decoding panics for an odd one", func() {
		d, _ := newDirectory()
		decode := d.Adapter.DecodeTarget
		d.Adapter.DecodeTarget = func(i store.Item) (pool.Target, error) {
			if i.Key == "servers/odd" {
				panic("odd entry")
			}
			return decode(i)
		}
		d.Reset([]store.Item{odd(8), target("a", 9)}, 9)
		gomega.Expect(d.Targets("choir")).To(gomega.HaveLen(1))
		gomega.Expect(d.InvalidEntries()).To(gomega.HaveKeyWithValue("target", 1))
	})

	ginkgo.It("stops using a target whose entry became odd, as one whose entry was removed", func() {
		d, now := newDirectory()
		d.Apply(target("odd", 8))
		d.Apply(odd(9))
		gomega.Expect(d.Targets("choir")[0].Absent).To(gomega.BeTrue())
		*now += 3 * time.Second
		d.Expire()
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
		d.Apply(target("odd", 10))
		gomega.Expect(d.Targets("choir")).To(gomega.HaveLen(1))
	})
})
