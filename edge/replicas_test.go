package edge_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/internal/site"
	"amaranthsill/store"
)

// list writes the store's list of targets.
func (d *departures) list(text string) {
	d.revision++
	d.Apply(store.Item{Key: "amaranthsill/replicas/choir", Revision: d.revision, Value: []byte(text), Deleted: text == ""})
}

// listed is a list with the targets a and b.
const listed = `{"replicas":[{"id":"a","born":1,"address":"10.1.0.9:80"},{"id":"b","born":1,"address":"10.1.0.9:81"}]}`

var _ = ginkgo.Describe("A target that the store's list has", func() {
	// Guards against commits that are lost because the only replica with them left before
	// this VM started.
	for name, c := range map[string]struct {
		steps    func(d *departures)
		departed []string
	}{
		"has departed if it is not registered": {
			func(*departures) {},
			[]string{"b/1"},
		},
		"has departed if only a later start of it is registered": {
			func(d *departures) { d.register("b", "ready", 2, 81) },
			[]string{"b/1"},
		},
		"has departed if it leaves later": {
			func(d *departures) { d.remove("a") },
			[]string{"a/1", "b/1"},
		},
		"has not departed once it is registered": {
			func(d *departures) { d.names(0); d.register("b", "ready", 1, 81) },
			[]string{},
		},
		"still matters after the logs were compared, as long as it may run": {
			func(d *departures) { d.names(0); d.ForgetDeparted("choir", d.now+1) },
			[]string{"b/1"},
		},
		"matters no more once the list leaves it out and nothing else tells of it": {
			func(d *departures) {
				d.list(`{"replicas":[{"id":"a","born":1,"address":"10.1.0.9:80"}]}`)
			},
			[]string{},
		},
		"matters no more once the logs were compared, although the list has it still": {
			func(d *departures) { d.names(0); d.end("b"); d.ForgetDeparted("choir", d.now+1) },
			[]string{},
		},
		"matters again once it was forgotten, returned and left again": {
			func(d *departures) {
				d.names(0)
				d.end("b")
				d.ForgetDeparted("choir", d.now+1)
				d.register("b", "ready", 1, 81)
				d.remove("b")
			},
			[]string{"b/1"},
		},
		"matters no more if it drained and another one has its address": {
			func(d *departures) {
				d.list(`{"replicas":[{"id":"b","born":1,"address":"10.1.0.9:81","draining":true}]}`)
				d.register("c", "ready", 3, 81)
			},
			[]string{},
		},
		"still matters if it drained and nobody has its address": {
			func(d *departures) {
				d.list(`{"replicas":[{"id":"b","born":1,"address":"10.1.0.9:81","draining":true}]}`)
			},
			[]string{"b/1"},
		},
		"stays known once the list cannot be decoded": {
			func(d *departures) { d.names(0); d.list(`{"replicas":[[`) },
			[]string{"b/1"},
		},
	} {
		ginkgo.It(name, func() {
			d := newDepartures()
			d.list(listed)
			d.register("a", "ready", 1, 80)
			c.steps(d)
			gomega.Expect(d.names(0)).To(gomega.Equal(c.departed))
		})
	}
})

var _ = ginkgo.Describe("The list of targets of a group", func() {
	read := func(f *fixture) func() string {
		return func() string { return string(f.site.Store.Get("amaranthsill/replicas/choir")) }
	}

	ginkgo.It("has those that are registered and those whose commits may be alone, and goes with sync_replicas", func() {
		f := openFixture(syncedZones, 3)
		servers := f.site.Servers("choir")
		for _, v := range servers {
			gomega.Eventually(read(f), recoveryTimeout, "20ms").Should(gomega.ContainSubstring(v.ID))
		}
		f.writeUnheard()
		servers[1].Crash()
		f.site.Store.Delete("servers/" + servers[1].ID)
		gomega.Consistently(read(f), 5*time.Second, "50ms").Should(gomega.ContainSubstring(servers[1].ID))
		servers[2].SetReplicationPaused(false)
		f.vms[0].session("choir-own").must("WRITE bar 1")
		gomega.Eventually(read(f), 2*recoveryTimeout, "20ms").ShouldNot(gomega.ContainSubstring(servers[1].ID))
		f.site.SetSyncReplicas(0)
		f.site.Configure(nil)
		gomega.Eventually(read(f), recoveryTimeout, "20ms").Should(gomega.BeEmpty())
	})

	// Guards against a group that stays without a leader: the VMs that compare the logs took
	// a departed replica off the list, the others put it back, and so on in turns.
	ginkgo.It("leaves a departed replica out for good although not every VM compares the logs", func() {
		f := openFixture(syncedZones, 4)
		f.vms[1].session("choir-own").must("WRITE bar 1")
		gone := f.site.Servers("choir")[1]
		gomega.Eventually(read(f), recoveryTimeout, "20ms").Should(gomega.ContainSubstring(gone.ID))
		gone.Crash()
		f.site.Store.Delete("servers/" + gone.ID)
		time.Sleep(6 * time.Second)
		gomega.Consistently(read(f), 5*time.Second, "5ms").ShouldNot(gomega.ContainSubstring(gone.ID))
	})

	ginkgo.It("gets a departed replica back that it lost while this one may have commits alone", func() {
		f := openFixture(syncedZones, 3)
		f.writeUnheard()
		gone := f.site.Servers("choir")[1]
		gone.Crash()
		f.site.Store.Delete("servers/" + gone.ID)
		time.Sleep(4 * time.Second)
		gomega.Expect(read(f)()).To(gomega.ContainSubstring(gone.ID))
		f.site.Store.PutBytes("amaranthsill/replicas/choir", []byte(`{"replicas":[]}`))
		gomega.Eventually(read(f), 3*time.Second, "20ms").Should(gomega.ContainSubstring(gone.ID))
		gomega.Consistently(read(f), 3*time.Second, "20ms").Should(gomega.ContainSubstring(gone.ID))
	})

	ginkgo.It("is not written for a group that commits asynchronously", func() {
		f := openFixture(site.Options{Groups: []string{"choir"}, Zones: zones}, 3)
		gomega.Consistently(read(f), 2*time.Second, "50ms").Should(gomega.BeEmpty())
	})
})
