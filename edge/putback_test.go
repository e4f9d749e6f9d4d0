package edge

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// listFleet is a store with the list of a group's targets, and the VMs that write it. Each
// knows a change 0.1 s after it was made.
type listFleet struct {
	store.TransactionalStore
	lock     sync.Mutex
	revision store.Revision
	list     store.Item
	vms      []*supervisor
}

// Apply implements store.TransactionalStore for the list.
func (f *listFleet) Apply(_ context.Context, t store.Transaction) (store.Revision, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if t.Conditions[0].Revision != f.list.Revision {
		return 0, store.ErrConflict
	}
	f.put(t.Puts[0].Value)
	return f.revision, nil
}

// lose empties the list.
func (f *listFleet) lose() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.put([]byte(`{"replicas":[]}`))
}

// put writes the list. The caller holds the lock.
func (f *listFleet) put(value []byte) {
	f.revision++
	f.list = store.Item{Key: replicaPrefix + "choir", Value: value, Revision: f.revision}
	for _, s := range f.vms {
		f.tell(s, f.list, 100*time.Millisecond)
	}
}

func (f *listFleet) tell(s *supervisor, i store.Item, delay time.Duration) {
	time.AfterFunc(delay, func() { s.directory.Apply(i) })
}

func (f *listFleet) has(id string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return strings.Contains(string(f.list.Value), `"`+id+`"`)
}

// change has a target's entry written, or removed, which the VMs know after their delays.
func (f *listFleet) change(id string, deleted bool, delays []time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.revision++
	for i, s := range f.vms {
		f.tell(s, store.Item{Key: "servers/" + id, Revision: f.revision, Deleted: deleted}, delays[i])
	}
}

// run supervises a VM until the context ends.
func (f *listFleet) run(ctx context.Context, s *supervisor) {
	for ctx.Err() == nil {
		s.directory.Expire()
		s.checkDeparted(ctx, "choir", s.states["choir"])
		s.recordReplicas(ctx, s.catalog.Current().Groups)
		sleep(ctx, superviseInterval)
	}
}

// openListFleet returns VMs of which each finds with reached whether the replicas have all
// that the leader has.
func openListFleet(t *testing.T, vms int, reached func(context.Context, string, string) bool) *listFleet {
	t.Helper()
	f := &listFleet{}
	begun := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(begun) }
	c := &catalog.Catalog{}
	c.Update(&catalog.Configuration{Version: 1, Groups: map[string]catalog.Group{"choir": {Name: "choir", SyncReplicas: 1}}})
	adapter := Adapter{
		Store:          f,
		ParseTargetKey: func(key string) (string, bool) { return strings.CutPrefix(key, "servers/") },
		DecodeTarget: func(i store.Item) (pool.Target, error) {
			return pool.Target{ID: strings.TrimPrefix(i.Key, "servers/"), Group: "choir", Incarnation: 1}, nil
		},
	}
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		settings, err := ParseSettings("vm.json", fmt.Appendf(nil, `{"vm": %q, "zone": "coban", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3",
			"metrics": "127.0.0.1:4", "relay": "127.0.0.1:5", "store": "127.0.0.1:6", "duty": "127.0.0.1:7", "memory": 512, "grace": "2s"}`, name))
		if err != nil {
			t.Fatal(err)
		}
		v := &VM{Settings: settings, Adapter: adapter, Now: now, Log: logr.Discard(), catalog: c}
		v.control = &controlClient{v}
		v.holders.Store(&map[string]groupHolders{})
		v.synced.Store(true)
		v.registered.Store(true)
		v.directory = &Directory{Adapter: adapter, Catalog: c, Self: name, Now: now, Log: logr.Discard()}
		f.vms = append(f.vms, &supervisor{
			VM: v, reached: reached, runs: func(context.Context, string, string) (runState, query.Position) { return stateEnded, query.Position{} }, replicasDifferSince: map[string]time.Duration{},
			states: map[string]*groupState{"choir": {lead: succession.Lead{Target: "p", Since: 1}}},
		})
	}
	for _, s := range f.vms {
		for i := range vms {
			name := fmt.Sprintf("vm-%d", i)
			s.directory.Apply(store.Item{Key: vmPrefix + name, Revision: 1, Value: fmt.Appendf(nil, `{"name": %q, "address": "127.0.0.1:3"}`, name)})
		}
	}
	f.revision = 1
	return f
}

// Guards against a group that stays without a leader: VMs that had found at different times
// that a departed replica matters no more, or had not compared the logs at all, put it back
// on the list in turns.
func TestDepartedReplicaIsPutBackOnlyIfItMatters(t *testing.T) {
	cases := map[string]struct {
		delays  []time.Duration
		matters bool
	}{
		"known at once":                         {[]time.Duration{0, 0, 0}, false},
		"known half a second later":             {[]time.Duration{0, 500 * time.Millisecond, 550 * time.Millisecond}, false},
		"known a second later":                  {[]time.Duration{0, time.Second, time.Second}, false},
		"known a second later by one":           {[]time.Duration{time.Second, 0, 0}, false},
		"known 1.5 s later":                     {[]time.Duration{0, 1500 * time.Millisecond, 0}, false},
		"VMs that do not compare":               {[]time.Duration{0, 0, 0, 0, 0}, false},
		"known later and not compared":          {[]time.Duration{0, time.Second, 0, time.Second, 0}, false},
		"commits that it may have alone":        {[]time.Duration{0, 500 * time.Millisecond, 0}, true},
		"the same with VMs that do not compare": {[]time.Duration{0, time.Second, 0, 500 * time.Millisecond, 0}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := openListFleet(t, len(c.delays), func(context.Context, string, string) bool {
					time.Sleep(3 * time.Millisecond)
					return !c.matters
				})
				none := make([]time.Duration, len(c.delays))
				for _, id := range []string{"p", "a", "b"} {
					f.change(id, false, none)
				}
				for _, s := range f.vms {
					go f.run(ctx, s)
				}
				time.Sleep(3 * time.Second)
				f.change("a", true, c.delays)
				time.Sleep(4 * time.Second)
				if c.matters {
					f.lose()
				}
				time.Sleep(3 * time.Second)
				for range 6000 {
					if f.has("a") != c.matters {
						t.Fatalf("on the list: %t, want %t", f.has("a"), c.matters)
					}
					time.Sleep(5 * time.Millisecond)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
