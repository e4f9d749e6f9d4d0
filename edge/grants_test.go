package edge

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
)

// grantFleet is VMs that confirm and move the leadership of one group, choir, in virtual
// time. Its targets a, b and c are primaries when they were promoted last. The primary
// before never steps down, as one that is cut off.
type grantFleet struct {
	t     *testing.T
	begun time.Time
	store *leaseStore

	lock sync.Mutex
	vms  []*grantVM
	// hosts holds the names of VMs by their addresses.
	hosts []string
	// leader is the target that was promoted last, and promotions counts the promotions.
	leader     string
	promotions int
	// moving makes every VM try to move the leadership, or only the mover if that is set.
	moving bool
	mover  string
	// faults holds what VMs relied on at a wrong time.
	faults []string
}

// grantVM is a VM of a grantFleet.
type grantVM struct {
	*VM
	fleet     *grantFleet
	registrar *registrar
	stop      context.CancelFunc
	// side is the part of a split network in which the VM is, and down reports that
	// its process has ended.
	side int
	down bool
	// refused holds the kinds of calls to the store that fail for the VM, and late how
	// long after its failure a write takes effect; zero if it takes none.
	refused map[string]bool
	late    time.Duration
}

// withGrantFleet runs a test on VMs in virtual time, after they all rely on the record.
func withGrantFleet(t *testing.T, vms int, test func(*grantFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &grantFleet{t: t, begun: time.Now(), leader: "a"}
		f.store = &leaseStore{now: f.now, items: map[string]store.Item{}, leases: map[store.LeaseID]*lease{}, changed: make(chan struct{})}
		for i := range vms {
			f.start(fmt.Sprintf("vm-%d", i), i%3, true)
		}
		time.Sleep(500 * time.Millisecond)
		if err := f.vms[0].mover.Start(t.Context(), map[string]string{"choir": "a"}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.watch(ctx)
		time.Sleep(2 * time.Second)
		for _, v := range f.vms {
			if !v.relies() {
				t.Errorf("%s does not rely on the leader record", v.Settings.VM())
			}
		}
		test(f)
		cancel()
		for _, v := range f.vms {
			v.kill()
		}
		time.Sleep(time.Minute)
		for _, fault := range f.faults {
			t.Error(fault)
		}
	})
}

func (f *grantFleet) now() time.Duration { return time.Hour + time.Since(f.begun) }

// watch looks all the time for VMs that release answers of a target that another one
// has replaced.
func (f *grantFleet) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		f.lock.Lock()
		for _, v := range f.vms {
			l := v.grants.Lead("choir")
			if !v.down && l.Target != f.leader && v.grants.IsLeader("choir", l.Target) && len(f.faults) < 5 {
				f.faults = append(f.faults, fmt.Sprintf("%s: %s relies on %s of record %s after %s was promoted", f.now(), v.Settings.VM(), l.Target, v.grants.Record().Revision, f.leader))
			}
		}
		f.lock.Unlock()
	}
}

// Promote implements succession.Promoter.
func (f *grantFleet) Promote(_ context.Context, _, target string, _ uint64) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.leader = target
	f.promotions++
	return nil
}

// Candidates implements succession.Targets.
func (f *grantFleet) Candidates(string) []pool.Target {
	return []pool.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// Departed implements succession.Targets.
func (f *grantFleet) Departed(string) []pool.Target { return nil }

// Ended implements succession.Targets.
func (f *grantFleet) Ended(string) []pool.Target { return nil }

// Reached implements succession.Targets.
func (f *grantFleet) Reached(string, string) query.Position { return query.Position{} }

// KeptLog implements succession.Targets.
func (f *grantFleet) KeptLog(pool.Target, query.Position) bool { return true }

// Recall implements succession.Targets.
func (f *grantFleet) Recall(context.Context, string) error { return nil }

// SyncReplicas implements succession.Targets.
func (f *grantFleet) SyncReplicas(string) int { return 0 }

// Order implements succession.Targets.
func (f *grantFleet) Order(ctx context.Context, _, target string, o pool.Order) (pool.Report, error) {
	time.Sleep(5 * time.Millisecond)
	f.lock.Lock()
	defer f.lock.Unlock()
	_, status := o.(pool.Status)
	switch {
	case !status:
		return pool.Report{}, errCut
	case target == f.leader:
		return pool.Report{Role: pool.RolePrimary, Term: uint64(f.promotions)}, ctx.Err()
	}
	return pool.Report{Role: pool.RoleReplica, Term: uint64(f.promotions)}, ctx.Err()
}

// start starts a VM on a side of the network, and the process of an earlier start of the
// same name must have ended.
func (f *grantFleet) start(name string, zone int, first bool) *grantVM {
	text := fmt.Sprintf(`{"vm": %q, "zone": "zone-%d", "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "peers": "10.0.0.%d:3",
		"metrics": "10.0.0.1:4", "relay": "10.0.0.1:5", "store": "10.0.0.1:6", "duty": "10.0.0.1:7", "memory": 512, "grace": "6s", "first": %t, "seeds": ["10.0.0.0:3", "10.0.0.1:3", "10.0.0.2:3", "10.0.0.3:3"]}`, name, zone, f.host(name), first)
	settings, err := ParseSettings("vm.json", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	v := &grantVM{fleet: f, refused: map[string]bool{}}
	v.VM = &VM{Settings: settings, Now: f.now, Log: f.log(name)}
	v.Adapter = Adapter{Store: &storeView{leaseStore: f.store, vm: v}, Promoter: f, ParseTargetKey: func(string) (string, bool) { return "", false }}
	v.prepare()
	v.VM.fleet.http = &http.Client{Transport: grantTransport{f, v}}
	v.mover.Targets = f
	v.registrar = &registrar{VM: v.VM}
	f.lock.Lock()
	f.vms = slices.DeleteFunc(f.vms, func(o *grantVM) bool { return o.Settings.VM() == name })
	f.vms = append(f.vms, v)
	f.lock.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	v.registrar.start(ctx)
	go (&storeFollower{VM: v.VM}).run(ctx)
	go (&recordConfirmer{VM: v.VM}).run(ctx)
	go (&outagePoller{fleet: v.VM.fleet}).run(ctx)
	go (&silenceWatcher{fleet: v.VM.fleet}).run(ctx)
	go v.supervise(ctx)
	return v
}

// host returns the number of a VM's address, which stays the same when it starts again.
func (f *grantFleet) host(name string) int {
	if !slices.Contains(f.hosts, name) {
		f.hosts = append(f.hosts, name)
	}
	return slices.Index(f.hosts, name)
}

// log returns a log of a VM that the test shows.
func (f *grantFleet) log(name string) logr.Logger {
	return funcr.New(func(_, args string) { f.t.Log(f.now(), name, args) }, funcr.Options{})
}

// supervise tries to move the leadership while the fleet wants that, as a supervisor does.
func (v *grantVM) supervise(ctx context.Context) {
	s := &supervisor{VM: v.VM, states: map[string]*groupState{}, startupComplete: true, startupCompletedAt: v.startedAt}
	for ctx.Err() == nil {
		time.Sleep(superviseInterval)
		v.directory.Expire()
		s.collectMoves()
		v.fleet.lock.Lock()
		moving := v.fleet.moving && (v.fleet.mover == "" || v.fleet.mover == v.Settings.VM())
		v.fleet.lock.Unlock()
		if l := s.grants.Lead("choir"); !moving && !l.Moving() {
			delete(s.states, "choir")
			continue
		}
		s.updateLeader(ctx, "choir", s.pool("choir"), s.directory.Targets("choir"))
	}
}

// relies reports whether the VM releases answers of a leader.
func (v *grantVM) relies() bool { return v.grants.IsLeader("choir", v.grants.Lead("choir").Target) }

// kill ends the VM's process.
func (v *grantVM) kill() {
	v.fleet.lock.Lock()
	v.down = true
	v.fleet.lock.Unlock()
	v.stop()
}

// setMoving makes the VMs try to move the leadership, or not.
func (f *grantFleet) setMoving(moving bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.moving = moving
}

// setMover lets only one VM try to move the leadership.
func (f *grantFleet) setMover(name string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.mover = name
}

// delayWrites makes refused writes of a VM take effect after a time.
func (v *grantVM) delayWrites(late time.Duration) {
	v.fleet.lock.Lock()
	defer v.fleet.lock.Unlock()
	v.late = late
}

// moveOnce has the leadership moved, and waits until a target was promoted, which it has
// to be if done is true, or until the limit has passed.
func (f *grantFleet) moveOnce(limit time.Duration, done bool) {
	f.lock.Lock()
	before := f.promotions
	f.lock.Unlock()
	f.setMoving(true)
	defer f.setMoving(false)
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(10 * time.Millisecond) {
		f.lock.Lock()
		now := f.promotions
		f.lock.Unlock()
		if now != before {
			f.setMoving(false)
			time.Sleep(3 * time.Second)
			return
		}
	}
	if done {
		f.t.Error("leadership was not moved")
	}
}

// cut separates VMs from all others and refuses all of their calls to the store.
func (f *grantFleet) cut(vms ...*grantVM) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, v := range vms {
		v.side = 1
		v.refused = map[string]bool{"": true}
	}
}

// join ends the separation of a VM.
func (f *grantFleet) join(v *grantVM) {
	f.lock.Lock()
	defer f.lock.Unlock()
	v.side = 0
}

// refuse refuses kinds of calls of a VM to the store.
func (v *grantVM) refuse(kinds ...string) {
	v.fleet.lock.Lock()
	defer v.fleet.lock.Unlock()
	v.refused = map[string]bool{}
	for _, kind := range kinds {
		v.refused[kind] = true
	}
}

// grantTransport passes requests between the VMs of a grantFleet.
type grantTransport struct {
	*grantFleet
	from *grantVM
}

func (g grantTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond + rand.N(4*time.Millisecond))
	to := g.reached(q.URL.Host, g.from)
	if to == nil {
		<-q.Context().Done()
		return nil, errCut
	}
	w := httptest.NewRecorder()
	r := q.Clone(context.Background())
	r.Body = io.NopCloser(bytes.NewReader(body))
	to.VM.fleet.handler().ServeHTTP(w, r)
	time.Sleep(time.Millisecond + rand.N(4*time.Millisecond))
	if g.reached(q.URL.Host, g.from) != to {
		<-q.Context().Done()
	}
	if err := q.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// reached returns the VM at a host if it is reached from another one; nil otherwise.
func (f *grantFleet) reached(host string, from *grantVM) *grantVM {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, v := range f.vms {
		if v.Settings.PeerAddress() == host && !v.down && !from.down && v.side == from.side {
			return v
		}
	}
	return nil
}

// lease is a lease of a leaseStore.
type lease struct {
	ttl, until time.Duration
}

// leaseStore is a store in memory whose leases expire.
type leaseStore struct {
	now func() time.Duration

	lock     sync.Mutex
	revision store.Revision
	next     store.LeaseID
	items    map[string]store.Item
	history  []store.Item
	leases   map[store.LeaseID]*lease
	changed  chan struct{}
}

// expire removes the leases that have ended, with their keys.
func (s *leaseStore) expire() {
	for id, l := range s.leases {
		if l.until <= s.now() {
			s.end(id)
		}
	}
}

func (s *leaseStore) end(id store.LeaseID) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.set(store.Item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
}

func (s *leaseStore) set(i store.Item) {
	s.items[i.Key] = i
	if i.Deleted {
		delete(s.items, i.Key)
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends the leases of all VMs' entries.
func (s *leaseStore) lapse() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id, l := range s.leases {
		if l.ttl == entryTTL {
			s.end(id)
		}
	}
}

func (s *leaseStore) apply(t store.Transaction) (store.Revision, error) {
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, store.ErrNoLease
		}
	}
	s.revision++
	for _, p := range t.Puts {
		_, replaced := s.items[p.Key]
		s.set(store.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease, Replaced: replaced})
	}
	return s.revision, nil
}

// storeView is a leaseStore as one VM reaches it.
type storeView struct {
	*leaseStore
	vm *grantVM
}

var _ store.TransactionalStore = &storeView{}

// call passes a call of a kind to the store: read, list, watch, apply, grant, renew or
// end. A kind that is refused fails.
func (s *storeView) call(ctx context.Context, kind string, run func()) error {
	time.Sleep(time.Millisecond + rand.N(4*time.Millisecond))
	refused, _ := s.state(kind)
	if !refused {
		s.lock.Lock()
		s.expire()
		run()
		s.lock.Unlock()
		time.Sleep(time.Millisecond + rand.N(4*time.Millisecond))
		refused, _ = s.state(kind)
	}
	if refused {
		return s.fail(ctx)
	}
	if ctx.Err() != nil {
		return errors.Join(store.ErrUnavailable, ctx.Err())
	}
	return nil
}

// write is like call for a write, which may take effect after it has failed.
func (s *storeView) write(ctx context.Context, kind string, run, late func()) error {
	refused, after := s.state(kind)
	if !refused {
		return s.call(ctx, kind, run)
	}
	if after > 0 {
		time.AfterFunc(after, func() {
			s.lock.Lock()
			defer s.lock.Unlock()
			late()
		})
	}
	return s.fail(ctx)
}

// fail returns the error of a call that is not answered.
func (s *storeView) fail(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	<-limited.Done()
	return store.ErrUnavailable
}

// state returns whether a kind of calls is refused, and after what time a write takes
// effect then.

func (s *storeView) state(kind string) (refused bool, late time.Duration) {
	f := s.vm.fleet
	f.lock.Lock()
	defer f.lock.Unlock()
	return s.vm.down || s.vm.refused[""] || s.vm.refused[kind], s.vm.late
}

func (s *storeView) Era() uint64 { return 0 }

func (s *storeView) Read(ctx context.Context, key string) (i store.Item, r store.Revision, err error) {
	ok := false
	failed := s.call(ctx, "read", func() { i, ok = s.items[key]; r = s.revision })
	if failed == nil && !ok {
		return i, r, store.ErrAbsent
	}
	return i, r, failed
}

func (s *storeView) List(ctx context.Context, prefix string) (list []store.Item, r store.Revision, err error) {
	err = s.call(ctx, "list", func() {
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) {
				list = append(list, i)
			}
		}
		r = s.revision
	})
	return list, r, err
}

func (s *storeView) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (list []store.Item, r store.Revision, err error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		var changed chan struct{}
		err = s.call(ctx, "watch", func() {
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
					list = append(list, i)
				}
			}
			r, changed = s.revision, s.changed
		})
		if err != nil || len(list) > 0 {
			return list, r, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, r, nil
		case <-ctx.Done():
			return nil, 0, store.ErrUnavailable
		}
	}
}

func (s *storeView) Apply(ctx context.Context, t store.Transaction) (r store.Revision, err error) {
	failed := s.write(ctx, "apply", func() { r, err = s.apply(t) }, func() {
		// The caller has been told that the store is unavailable.
		_, _ = s.apply(t)
	})
	return r, cmp.Or(failed, err)
}

func (s *storeView) Grant(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = s.call(ctx, "grant", func() {
		s.next++
		id = s.next
		s.leases[id] = &lease{ttl, s.now() + ttl}
	})
	return id, err
}

func (s *storeView) Renew(ctx context.Context, id store.LeaseID) (uint64, error) {
	ended := false
	err := s.call(ctx, "renew", func() {
		l := s.leases[id]
		if ended = l == nil; !ended {
			l.until = s.now() + l.ttl
		}
	})
	if err == nil && ended {
		return 0, store.ErrNoLease
	}
	return 0, err
}

func (s *storeView) End(ctx context.Context, id store.LeaseID) error {
	end := func() { s.end(id) }
	return s.write(ctx, "end", end, end)
}

// TestNoVMReliesOnADeposedLeader answers the pattern of a leadership that was moved while a
// VM, which the move did not ask, went on releasing answers of the old leader: a write
// that it acknowledges is missing on the next one.
func TestNoVMReliesOnADeposedLeader(t *testing.T) {
	cases := map[string]func(f *grantFleet){
		"nothing else happens": func(f *grantFleet) {
			f.moveOnce(5*time.Second, true)
		},
		"a VM is cut off": func(f *grantFleet) {
			f.cut(f.vms[3])
			f.moveOnce(20*time.Second, true)
		},
		"a VM is cut off that could not register when it started": func(f *grantFleet) {
			late := f.start("late", 1, false)
			late.refuse("apply")
			time.Sleep(4 * time.Second)
			f.cut(late)
			f.moveOnce(20*time.Second, true)
		},
		"a VM is cut off that started when all entries had lapsed": func(f *grantFleet) {
			for _, v := range f.vms {
				v.refuse("apply")
			}
			f.store.lapse()
			late := f.start("late", 1, false)
			time.Sleep(500 * time.Millisecond)
			f.cut(late)
			for _, v := range f.vms[:4] {
				v.refuse()
			}
			time.Sleep(500 * time.Millisecond)
			f.moveOnce(20*time.Second, true)
		},
		"the old lease lives on": func(f *grantFleet) {
			for _, v := range f.vms {
				v.refuse("end")
			}
			f.cut(f.vms[3])
			f.vms[3].refuse("read", "list", "watch", "apply", "grant")
			f.moveOnce(20*time.Second, false)
		},
		"a VM is cut off that started again before its entry of departure was written": func(f *grantFleet) {
			v := f.vms[3]
			v.refuse("apply")
			v.delayWrites(2 * time.Second)
			v.registrar.deregister(f.t.Context())
			v.kill()
			again := f.start(v.Settings.VM(), 0, false)
			time.Sleep(2200 * time.Millisecond)
			f.cut(again)
			f.moveOnce(20*time.Second, true)
		},
		"a VM is cut off that was silent when the one that moves started": func(f *grantFleet) {
			f.cut(f.vms[3])
			f.vms[3].refuse("read", "list", "watch", "apply", "grant")
			time.Sleep(4 * time.Second)
			f.start("late", 1, false)
			time.Sleep(12 * time.Second)
			f.setMover("late")
			f.moveOnce(20*time.Second, true)
		},
		"a VM is cut off whose entry had expired when the one that moves started": func(f *grantFleet) {
			f.vms[3].refuse("")
			time.Sleep(12 * time.Second)
			f.start("late", 1, false)
			time.Sleep(12 * time.Second)
			f.cut(f.vms[3])
			f.setMover("late")
			f.moveOnce(20*time.Second, true)
		},
		"a VM is cut off whose entry lapsed before the others knew of it": func(f *grantFleet) {
			for _, v := range f.vms {
				v.refuse("watch", "list")
			}
			late := f.start("late", 1, false)
			time.Sleep(time.Second)
			late.refuse("grant", "apply")
			f.store.lapse()
			time.Sleep(3500 * time.Millisecond)
			f.cut(late)
			for _, v := range f.vms[:4] {
				v.refuse("watch")
			}
			f.moveOnce(20*time.Second, true)
		},
		// The entry expires with the lease of the earlier write, while the VM renews that of
		// the later one.
		"a VM is cut off whose entry was replaced by an earlier write of its own": func(f *grantFleet) {
			late := f.start("late", 1, false)
			late.refuse("apply")
			f.lock.Lock()
			late.late = 3 * time.Second
			f.lock.Unlock()
			time.Sleep(500 * time.Millisecond)
			late.refuse()
			time.Sleep(3500 * time.Millisecond)
			f.cut(late)
			late.refuse("watch", "list")
			time.Sleep(9 * time.Second)
			f.start("new", 1, false)
			time.Sleep(12 * time.Second)
			f.cut(late)
			f.mover = "new"
			f.moveOnce(20*time.Second, true)
		},
		"half of the VMs count the one that moves no more": func(f *grantFleet) {
			f.vms[0].refuse("")
			time.Sleep(40 * time.Second)
			f.cut(f.vms[2], f.vms[3])
			f.vms[0].refuse()
			f.setMover("vm-0")
			f.moveOnce(20*time.Second, true)
		},
		"VMs that most of the others do not know have joined soon after the first start": func(f *grantFleet) {
			f.cut(f.vms[1], f.vms[2], f.vms[3])
			f.start("late-1", 0, false)
			f.start("late-2", 1, false)
			time.Sleep(500 * time.Millisecond)
			f.setMover("vm-0")
			f.moveOnce(5*time.Second, false)
		},
		"a VM is cut off whose entry lapsed when the one that moves started": func(f *grantFleet) {
			f.vms[3].refuse("")
			f.store.lapse()
			f.start("late", 1, false)
			time.Sleep(11200 * time.Millisecond)
			f.cut(f.vms[3])
			f.setMover("late")
			f.moveOnce(20*time.Second, true)
		},
		"a VM starts again after it has yielded": func(f *grantFleet) {
			for _, v := range f.vms {
				v.refuse("end")
			}
			f.setMover("vm-0")
			last := f.vms[2]
			f.cut(last)
			last.refuse("read", "list", "watch", "apply", "grant", "end")
			f.setMoving(true)
			time.Sleep(700 * time.Millisecond)
			f.vms[3].kill()
			again := f.start("vm-3", 0, false)
			f.cut(again)
			time.Sleep(1300 * time.Millisecond)
			f.join(last)
			f.moveOnce(5*time.Second, true)
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { withGrantFleet(t, 4, test) })
	}
}

// TestForgottenVMReadsTheRecordAgain guards against a VM that relies on the record that it
// knew before the others forgot it, as soon as it has registered again.
func TestForgottenVMReadsTheRecordAgain(t *testing.T) {
	withGrantFleet(t, 4, func(f *grantFleet) {
		v := f.vms[3]
		v.registrar.cancel()
		<-v.registrar.ended
		time.Sleep(40 * time.Second)
		if v.relies() {
			f.t.Error("VM without an entry relies on the record")
		}
		f.cut(v)
		v.refuse("read", "list", "watch")
		if err := v.registrar.step(f.t.Context()); err != nil {
			f.t.Error(err)
		}
		if err := v.registrar.admit(f.t.Context()); err == nil || v.grants.Admitted() {
			f.t.Errorf("VM may rely on the record before it has read it: %t, error %v", v.grants.Admitted(), err)
		}
		v.refuse()
		if err := v.registrar.admit(f.t.Context()); err != nil || !v.grants.Admitted() {
			f.t.Errorf("VM may rely on the record after it has read it: %t, error %v", v.grants.Admitted(), err)
		}
	})
}

// grantSeeds is how many seeds TestGrantsUnderFaults plays, and firstGrantSeed the first.
var (
	grantSeeds     = flag.Int("grants.seeds", 4, "how many random fleets are played")
	firstGrantSeed = flag.Uint64("grants.first", 1, "seed of the first one")
)

// TestGrantsUnderFaults moves leaderships while VMs start, stop, are cut off from one
// another and lose calls to the store, at random.
func TestGrantsUnderFaults(t *testing.T) {
	for i := range *grantSeeds {
		seed := *firstGrantSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			withGrantFleet(t, 3+r.IntN(4), func(f *grantFleet) { (&grantFaults{f, r}).play(90 * time.Second) })
		})
	}
}

// grantFaults disturbs a fleet.
type grantFaults struct {
	*grantFleet
	rand *rand.Rand
}

func (g *grantFaults) play(length time.Duration) {
	g.setMoving(true)
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(time.Duration(20+g.rand.IntN(1200)) * time.Millisecond) {
		v := g.vms[g.rand.IntN(len(g.vms))]
		switch n := g.rand.IntN(100); {
		case n < 15:
			g.split()
		case n < 40:
			g.refuseSome(v)
		case n < 50:
			g.heal()
		case n < 60:
			g.restart(v, false)
		case n < 68:
			g.restart(v, true)
		case n < 73:
			g.store.lapse()
		case n < 78:
			g.outage()
		case n < 80:
			// Entries expire meanwhile, and VMs forget others.
			time.Sleep(time.Duration(10+g.rand.IntN(30)) * time.Second)
		case n < 84 && len(g.vms) < 9:
			g.start(fmt.Sprintf("late-%d", g.rand.Uint32()), g.rand.IntN(3), false)
		default:
			g.setMoving(g.rand.IntN(4) > 0)
		}
	}
}

// split puts each VM on one of several sides.
func (g *grantFaults) split() {
	g.lock.Lock()
	defer g.lock.Unlock()
	sides := 2 + g.rand.IntN(2)
	for _, v := range g.vms {
		v.side = g.rand.IntN(sides)
	}
}

// refuseSome refuses some kinds of a VM's calls to the store, whose writes may take effect
// later.
func (g *grantFaults) refuseSome(v *grantVM) {
	kinds := []string{}
	for _, kind := range []string{"read", "list", "watch", "apply", "grant", "renew", "end"} {
		if g.rand.IntN(2) == 0 {
			kinds = append(kinds, kind)
		}
	}
	v.refuse(kinds...)
	g.lock.Lock()
	defer g.lock.Unlock()
	v.late = time.Duration(g.rand.IntN(3000)) * time.Millisecond * time.Duration(g.rand.IntN(2))
}

// outage refuses all calls to the store.
func (g *grantFaults) outage() {
	for _, v := range g.vms {
		v.refuse("")
	}
}

// heal ends all cuts.
func (g *grantFaults) heal() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, v := range g.vms {
		v.side, v.refused = 0, map[string]bool{}
	}
}

// restart stops a VM, which may write that it has left, and starts it again where it was.
func (g *grantFaults) restart(v *grantVM, leaves bool) {
	if leaves {
		ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
		v.registrar.deregister(ctx)
		cancel()
	}
	v.kill()
	time.Sleep(time.Duration(g.rand.IntN(2000)) * time.Millisecond)
	again := g.start(v.Settings.VM(), g.rand.IntN(3), false)
	g.lock.Lock()
	defer g.lock.Unlock()
	again.side = v.side
	if g.rand.IntN(2) == 0 {
		again.refused, again.late = v.refused, v.late
	}
}
