package edge_test

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/catalog"
	"amaranthsill/edge"
	"amaranthsill/group"
	"amaranthsill/platform"
	"amaranthsill/query"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// departures is a directory with a clock that the test sets.
type departures struct {
	*edge.Directory
	now      time.Duration
	revision store.Revision
}

func newDepartures() *departures {
	s, err := edge.ParseSettings("vm.json", []byte(settings))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d := &departures{now: time.Hour}
	clock := func() time.Duration { return d.now }
	d.Directory = &edge.Directory{
		Adapter: platform.NewAdapter(s, logr.Discard()), Catalog: &catalog.Catalog{}, Self: "vm-0", Log: logr.Discard(),
		Grants: &succession.Grants{Length: time.Second, Now: clock}, Now: clock,
	}
	return d
}

// register writes the entry of a replica, as started at a time, on a port.
func (d *departures) register(id, state string, born, port int) {
	d.revision++
	d.Apply(store.Item{Key: "servers/" + id, Revision: d.revision, Value: fmt.Appendf(nil,
		`{"service":"choir","address":"10.1.0.9:%d","zone":"coban","slots":3,"state":%q,"db_role":"replica","version":"v1","cold_left_ms":0,"seq":1,"born":%d}`, port, state, born)})
}

// remove removes an entry and lets the time pass for which it is kept in use.
func (d *departures) remove(id string) {
	d.revision++
	d.Apply(store.Item{Key: "servers/" + id, Revision: d.revision, Deleted: true})
	d.now += 3 * time.Second
	d.Expire()
}

// end has a departed target found to have ended.
func (d *departures) end(id string) {
	t, found := d.FindDeparted("choir", id)
	gomega.Expect(found).To(gomega.BeTrue())
	d.RecordEnded(t)
	d.now++
}

// lead writes a leader record.
func (d *departures) lead(l succession.Lead) {
	d.revision++
	text, err := succession.Record{Lease: 1, Leads: map[string]succession.Lead{"choir": l}}.Encode()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d.Apply(store.Item{Key: succession.RecordKey, Revision: d.revision, Value: text})
}

// names returns the departed targets with the times of their starts.
func (d *departures) names(committedAt time.Duration) []string {
	list := []string{}
	for _, t := range d.Departed("choir", committedAt) {
		list = append(list, fmt.Sprintf("%s/%d", t.ID, t.Incarnation))
	}
	return list
}

var _ = ginkgo.Describe("A target that departed", func() {
	// Guards against commits that are lost because the only replica with them is no longer
	// registered, and so is not missed when a new leader is chosen.
	for name, c := range map[string]struct {
		steps    func(d *departures)
		departed []string
	}{
		"still matters after its entry was removed": {
			func(d *departures) { d.remove("a") },
			[]string{"a/1"},
		},
		"still matters as long as its log was not passed on after a drain": {
			func(d *departures) { d.register("a", "draining", 1, 80); d.remove("a") },
			[]string{"a/1"},
		},
		"matters no more once a target at its address has got its log": {
			func(d *departures) {
				d.register("a", "draining", 1, 80)
				d.remove("a")
				d.register("b", "ready", 2, 80)
			},
			[]string{},
		},
		"still matters if the new target at its address did not get its log": {
			func(d *departures) { d.remove("a"); d.register("b", "ready", 2, 80) },
			[]string{"a/1"},
		},
		"matters no more once it is registered again": {
			func(d *departures) { d.remove("a"); d.register("a", "ready", 1, 80) },
			[]string{},
		},
		"still matters if it started again, since it may have lost its log": {
			func(d *departures) { d.register("a", "ready", 2, 80) },
			[]string{"a/1"},
		},
		"still matters if only its second start drained": {
			func(d *departures) {
				d.register("a", "draining", 2, 80)
				d.remove("a")
				d.register("b", "ready", 3, 80)
			},
			[]string{"a/1"},
		},
		"matters no more once it had ended and a leader was recorded that had every commit": {
			func(d *departures) { d.remove("a"); d.end("a"); d.lead(succession.Lead{Target: "c", Since: 9}) },
			[]string{},
		},
		"still matters while the leadership is being moved": {
			func(d *departures) {
				d.remove("a")
				d.end("a")
				d.lead(succession.Lead{Target: "p", Mover: "vm-0/1/1"})
			},
			[]string{"a/1"},
		},
		"still matters if the record of the same leader is written again": {
			func(d *departures) { d.remove("a"); d.end("a"); d.lead(succession.Lead{Target: "p", Since: 1}) },
			[]string{"a/1"},
		},
		"still matters although a leader was recorded, since it may receive its commits": {
			func(d *departures) { d.remove("a"); d.lead(succession.Lead{Target: "c", Since: 9}) },
			[]string{"a/1"},
		},
		"still matters if it ended only after the leader was recorded": {
			func(d *departures) { d.remove("a"); d.lead(succession.Lead{Target: "c", Since: 9}); d.end("a") },
			[]string{"a/1"},
		},
		"matters again once it runs again without an entry": {
			func(d *departures) {
				d.remove("a")
				d.end("a")
				d.ForgetDeparted("choir", d.now)
				t, _ := d.FindDeparted("choir", "a")
				d.RecordRuns(t, query.Position{})
			},
			[]string{"a/1"},
		},
		"matters, as each of several does": {
			func(d *departures) {
				d.register("b", "ready", 1, 81)
				d.remove("a")
				d.remove("b")
				d.end("b")
				d.ForgetDeparted("choir", d.now)
			},
			[]string{"a/1"},
		},
		"still matters if another service has its entry": {
			func(d *departures) {
				d.revision++
				d.Apply(store.Item{Key: "servers/a", Revision: d.revision, Value: []byte(`{"service":"guild","address":"10.1.0.9:80","zone":"coban","slots":3,"state":"ready","db_role":"replica","version":"v1","cold_left_ms":0,"seq":1,"born":1}`)})
			},
			[]string{"a/1"},
		},
	} {
		ginkgo.It(name, func() {
			d := newDepartures()
			d.lead(succession.Lead{Target: "p", Since: 1})
			d.register("a", "ready", 1, 80)
			c.steps(d)
			gomega.Expect(d.names(0)).To(gomega.Equal(c.departed))
		})
	}

	// Guards against commits that are lost because a target without an entry goes on to
	// receive them.
	ginkgo.It("matters as long as it may run, whatever is acknowledged and compared", func() {
		d := newDepartures()
		d.register("a", "ready", 1, 80)
		d.remove("a")
		gomega.Expect(d.names(d.now + time.Minute)).To(gomega.Equal([]string{"a/1"}))
		d.ForgetDeparted("choir", d.now+time.Minute)
		gomega.Expect(d.names(d.now + time.Minute)).To(gomega.Equal([]string{"a/1"}))
	})

	ginkgo.It("matters no more once it has ended and a later commit was acknowledged, or the logs were compared", func() {
		d := newDepartures()
		d.register("a", "ready", 1, 80)
		d.remove("a")
		ended := d.now
		d.end("a")
		gomega.Expect(d.names(ended + 4*time.Second)).To(gomega.Equal([]string{"a/1"}))
		gomega.Expect(d.names(ended + 6*time.Second)).To(gomega.BeEmpty())
		d.ForgetDeparted("choir", ended)
		gomega.Expect(d.names(0)).To(gomega.Equal([]string{"a/1"}))
		d.ForgetDeparted("choir", ended+1)
		gomega.Expect(d.names(0)).To(gomega.BeEmpty())
	})

	ginkgo.It("has lost its log if it tells of less than before", func() {
		d := newDepartures()
		d.register("a", "ready", 1, 80)
		d.remove("a")
		t, _ := d.FindDeparted("choir", "a")
		for _, step := range []struct {
			offset uint64
			kept   bool
		}{{5, true}, {9, true}, {7, false}, {9, true}} {
			gomega.Expect(d.RecordRuns(t, group.At(1, step.offset))).To(gomega.Equal(step.kept))
		}
	})

	ginkgo.It("has ended once two questions a second apart got no answer", func() {
		d := newDepartures()
		d.register("a", "ready", 1, 80)
		d.remove("a")
		t, _ := d.FindDeparted("choir", "a")
		for _, step := range []struct {
			after time.Duration
			runs  bool
			ended bool
		}{{0, false, false}, {900 * time.Millisecond, false, false}, {0, true, false}, {2 * time.Second, false, false}, {time.Second, false, true}} {
			d.now += step.after
			if step.runs {
				d.RecordRuns(t, query.Position{})
			} else {
				d.RecordSilent(t)
			}
			gomega.Expect(d.names(d.now + time.Minute)).To(gomega.HaveLen(map[bool]int{false: 1, true: 0}[step.ended]))
		}
	})

	ginkgo.It("does not matter in a group that commits asynchronously", func() {
		d := newDepartures()
		d.Catalog.Update(&catalog.Configuration{Version: 1, Groups: map[string]catalog.Group{"choir": {Name: "choir"}}})
		d.register("a", "ready", 1, 80)
		d.remove("a")
		gomega.Expect(d.names(0)).To(gomega.BeEmpty())
	})
})
