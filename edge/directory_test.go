package edge_test

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/catalog"
	"amaranthsill/clock"
	"amaranthsill/edge"
	"amaranthsill/platform"
	"amaranthsill/store"
	"amaranthsill/succession"
)

var _ = ginkgo.Describe("A directory", func() {
	const entry = `{"service":"choir","address":"10.1.0.9:80","zone":"coban","slots":3,"state":"ready","db_role":"replica"}`
	open := func() (*edge.Directory, *time.Duration) {
		now := time.Hour
		s, err := edge.ParseSettings("vm.json", []byte(settings))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return &edge.Directory{
			Adapter: platform.NewAdapter(s), Catalog: &catalog.Catalog{}, Self: "vm-0", Log: logr.Discard(),
			Grants: &succession.Grants{Length: time.Second, Now: clock.Boot},
			Now:    func() time.Duration { return now },
		}, &now
	}
	target := func(id string, revision uint64) store.Item {
		return store.Item{Key: "servers/" + id, Value: []byte(entry), Revision: revision}
	}

	ginkgo.It("hides no change from others when one was heard out of turn", func() {
		d, _ := open()
		d.Take(target("early", 90))
		d.Completed(90)
		d.Take(target("told", 100))
		gomega.Expect(d.Complete()).To(gomega.Equal(uint64(90)))
		d.Take(target("late", 95))
		keys := []string{}
		for _, i := range d.Since(90) {
			keys = append(keys, i.Key)
		}
		gomega.Expect(keys).To(gomega.ConsistOf("servers/told", "servers/late"))
	})

	ginkgo.It("keeps the newer of two states, whichever comes last", func() {
		d, _ := open()
		d.Take(store.Item{Key: "servers/a", Revision: 9, Deleted: true})
		d.Take(target("a", 8))
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
	})

	ginkgo.It("uses a target whose entry vanished for a moment, in case the store lost it", func() {
		d, now := open()
		d.Take(target("a", 8))
		d.Take(store.Item{Key: "servers/a", Revision: 9, Deleted: true})
		d.Expire()
		gomega.Expect(d.Targets("choir")).To(gomega.HaveLen(1))
		*now += 3 * time.Second
		d.Expire()
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
	})

	ginkgo.It("forgets a draining target as soon as it leaves", func() {
		d, _ := open()
		i := target("a", 8)
		i.Value = []byte(`{"service":"choir","address":"10.1.0.9:80","zone":"coban","slots":3,"state":"draining","db_role":"replica"}`)
		d.Take(i)
		d.Take(store.Item{Key: "servers/a", Revision: 9, Deleted: true})
		gomega.Expect(d.Targets("choir")).To(gomega.BeEmpty())
	})
})
