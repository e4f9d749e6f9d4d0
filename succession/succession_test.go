package succession_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/store"
	"amaranthsill/succession"
)

func TestSuccession(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "succession")
}

// memoryStore is an in-memory store that can lose answers and delay writes.
type memoryStore struct {
	lock     sync.Mutex
	era      uint64
	revision uint64
	items    map[string]store.Item
	leases   map[store.LeaseID]bool
	next     store.LeaseID
	// lostAnswers is the number of next transactions that take effect without
	// an answer, and delayedWrites the number that do so 300 ms later.
	lostAnswers, delayedWrites int
	// keepLeases makes the store end no lease, without an answer.
	keepLeases bool
	// readDelay is the duration of a read.
	readDelay time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 7, items: map[string]store.Item{}, leases: map[store.LeaseID]bool{}}
}

// at returns the revision of a change in the present era.
func (l *memoryStore) at(number uint64) store.Revision { return store.At(l.era, number) }

// copy returns a copy of the items and leases, for restore.
func (l *memoryStore) copy() *memoryStore {
	l.lock.Lock()
	defer l.lock.Unlock()
	return &memoryStore{revision: l.revision, items: maps.Clone(l.items), leases: maps.Clone(l.leases), next: l.next}
}

// restore makes the store come back from a copy, in the next era.
func (l *memoryStore) restore(c *memoryStore) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.era++
	l.revision, l.items, l.leases, l.next = c.revision, maps.Clone(c.items), maps.Clone(c.leases), c.next
}

func (l *memoryStore) Era() uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.era
}

func (l *memoryStore) Read(_ context.Context, key string) (store.Item, store.Revision, error) {
	time.Sleep(l.readDelay)
	l.lock.Lock()
	defer l.lock.Unlock()
	i, ok := l.items[key]
	if !ok {
		return store.Item{}, l.at(l.revision), store.ErrAbsent
	}
	i.Revision = l.at(i.Revision.Number())
	return i, l.at(l.revision), nil
}

func (l *memoryStore) List(context.Context, string) ([]store.Item, store.Revision, error) {
	return nil, l.at(l.revision), nil
}

func (l *memoryStore) Watch(context.Context, string, store.Revision, time.Duration) ([]store.Item, store.Revision, error) {
	return nil, l.at(l.revision), nil
}

func (l *memoryStore) Apply(_ context.Context, t store.Transaction) (store.Revision, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.delayedWrites > 0 {
		l.delayedWrites--
		go func() {
			time.Sleep(300 * time.Millisecond)
			l.lock.Lock()
			defer l.lock.Unlock()
			// The caller has been told that the store is unavailable.
			_, _ = l.apply(t)
		}()
		return 0, store.ErrUnavailable
	}
	r, err := l.apply(t)
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, store.ErrUnavailable
	}
	return r, err
}

func (l *memoryStore) apply(t store.Transaction) (store.Revision, error) {
	for _, c := range t.Conditions {
		if l.items[c.Key].Revision.Number() != c.Revision.Number() || c.Revision != 0 && c.Revision.Era() != l.era {
			return 0, store.ErrConflict
		}
	}
	l.revision++
	for _, p := range t.Puts {
		l.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, Revision: l.at(l.revision), Lease: p.Lease}
	}
	return l.at(l.revision), nil
}

func (l *memoryStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.next++
	l.leases[l.next] = true
	return l.next, nil
}

func (l *memoryStore) Renew(_ context.Context, n store.LeaseID) (uint64, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !l.leases[n] {
		return l.era, store.ErrNoLease
	}
	return l.era, nil
}

func (l *memoryStore) End(_ context.Context, n store.LeaseID) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.keepLeases {
		return store.ErrUnavailable
	}
	delete(l.leases, n)
	return nil
}

// fakePlatform promotes targets and answers control orders.
type fakePlatform struct {
	lock    sync.Mutex
	reports map[string]*pool.Report
	down    map[string]bool
	tokens  []uint64
	calls   []string
	// absent holds the targets whose entries are gone from the store.
	absent map[string]bool
	// busy holds the targets that refuse orders because all their slots are taken.
	busy map[string]bool
	// latest is the target that was promoted last. A call for it changes nothing as
	// long as it is a primary.
	latest string
	// term is the newest term of the group. An order to step down may raise the term
	// of a replica above it.
	term uint64
	// effectDelay is the time from a call until the target leads, and zombieTime the
	// time for which a primary goes on after another target was promoted.
	effectDelay, zombieTime time.Duration
	// outstanding counts the promotions by target that have not taken effect yet.
	outstanding map[string]int
	// slow is a target that answers orders late, by slowness or 20 ms.
	slow     string
	slowness time.Duration
	// syncReplicas is how many replicas receive a commit before it is acknowledged,
	// departed holds the replicas that are registered no more, and draining those that are
	// about to end.
	syncReplicas int
	departed     []string
	// reached is how far the VM knows the old leader's log to reach.
	reached query.Position
	// told holds how far the logs of departed targets reached before.
	told map[string]query.Position
	// ended holds those that are registered no more and were found to have ended.
	ended []string
	// gone holds further targets that are not registered, of which the VM does not know.
	gone []string
	// recalled replaces departed at a call of Recall, unless it is nil or recallFails is set.
	recalled    []string
	recallFails bool
	draining    map[string]bool
	// lostPromotions is the number of next promotions that never take effect.
	lostPromotions int
	// unansweredPromotions is the number of next promotions that take effect
	// without an answer.
	unansweredPromotions int
	// beforePromotion runs in each promotion call before it takes effect.
	beforePromotion func()
}

func newFakePlatform() *fakePlatform {
	p := &fakePlatform{
		reports: map[string]*pool.Report{}, down: map[string]bool{}, busy: map[string]bool{},
		latest: "a", term: 3, zombieTime: time.Hour, outstanding: map[string]int{},
	}
	for i, id := range []string{"a", "b", "c"} {
		p.reports[id] = &pool.Report{Role: pool.RoleReplica, Term: 3, Received: group.At(3, uint64(9-i))}
	}
	p.reports["a"].Role = pool.RolePrimary
	return p
}

func (p *fakePlatform) Promote(_ context.Context, _, target string, token uint64) error {
	if p.beforePromotion != nil {
		p.beforePromotion()
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.tokens = append(p.tokens, token)
	p.calls = append(p.calls, target)
	if p.down[target] {
		return succession.ErrRejected
	}
	switch {
	case p.leads(target):
	case p.lostPromotions > 0:
		p.lostPromotions--
	case p.effectDelay > 0:
		p.outstanding[target]++
		time.AfterFunc(p.effectDelay, func() {
			p.lock.Lock()
			defer p.lock.Unlock()
			p.outstanding[target]--
			p.lead(target)
		})
	default:
		p.lead(target)
	}
	if p.unansweredPromotions > 0 {
		p.unansweredPromotions--
		return succession.ErrNoAnswer
	}
	return nil
}

// leads reports whether a target is the present primary. The caller holds the lock.
func (p *fakePlatform) leads(target string) bool {
	return p.latest == target && p.reports[target].Role == pool.RolePrimary
}

// lead makes a target the primary of the next term. The caller holds the lock.
func (p *fakePlatform) lead(target string) {
	if p.leads(target) {
		return
	}
	p.term++
	term := p.term
	p.latest = target
	p.reports[target].Role = pool.RolePrimary
	p.reports[target].Term = term
	time.AfterFunc(p.zombieTime, func() {
		p.lock.Lock()
		defer p.lock.Unlock()
		for _, r := range p.reports {
			if r.Term < term {
				r.Role, r.Term = pool.RoleReplica, term
			}
		}
	})
}

// highestTerm returns the highest term of all targets. The caller holds the lock.
func (p *fakePlatform) highestTerm() uint64 {
	highest := uint64(0)
	for _, r := range p.reports {
		highest = max(highest, r.Term)
	}
	return highest
}

// setBusy makes targets refuse orders, or accept them again.
func (p *fakePlatform) setBusy(busy bool, targets ...string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, t := range targets {
		p.busy[t] = busy
	}
}

// setDown cuts targets off, or connects them again.
func (p *fakePlatform) setDown(down bool, targets ...string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, t := range targets {
		p.down[t] = down
	}
}

// isPromoted reports whether a target is a primary or may become one by a call that was
// made already.
func (p *fakePlatform) isPromoted(target string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.reports[target].Role == pool.RolePrimary || p.outstanding[target] > 0
}

// calledFor returns the targets of all calls so far.
func (p *fakePlatform) calledFor() []string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return slices.Clone(p.calls)
}

func (p *fakePlatform) Candidates(string) []pool.Target {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := []pool.Target{}
	for _, id := range []string{"a", "b", "c"} {
		if !slices.Contains(p.departed, id) && !slices.Contains(p.ended, id) && !slices.Contains(p.gone, id) {
			list = append(list, pool.Target{ID: id, Absent: p.absent[id], Draining: p.draining[id]})
		}
	}
	return list
}

func (p *fakePlatform) Departed(string) []pool.Target {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := []pool.Target{}
	for _, id := range p.departed {
		list = append(list, pool.Target{ID: id})
	}
	return list
}

func (p *fakePlatform) Ended(string) []pool.Target {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := []pool.Target{}
	for _, id := range p.ended {
		list = append(list, pool.Target{ID: id})
	}
	return list
}

func (p *fakePlatform) Reached(string, string) query.Position { return p.reached }

func (p *fakePlatform) KeptLog(t pool.Target, received query.Position) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return received.Reaches(p.told[t.ID])
}

// Recall finds the targets that left before the VM started.
func (p *fakePlatform) Recall(context.Context, string) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.recallFails {
		return store.ErrUnavailable
	}
	if p.recalled != nil {
		p.departed = p.recalled
	}
	return nil
}

func (p *fakePlatform) SyncReplicas(string) int { return p.syncReplicas }

// setDeparted sets the targets that are registered no more.
func (p *fakePlatform) setDeparted(targets ...string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.departed = targets
}

func (p *fakePlatform) Order(ctx context.Context, _, target string, o pool.Order) (pool.Report, error) {
	p.lock.Lock()
	late := target == p.slow
	p.lock.Unlock()
	if late {
		time.Sleep(cmp.Or(p.slowness, 20*time.Millisecond))
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.down[target] {
		return pool.Report{}, errors.New("target is down")
	}
	if p.busy[target] {
		return pool.Report{}, &query.Failure{Code: query.CodeBusy, Detail: target}
	}
	if s, ok := o.(pool.StepDown); ok && s.Term > p.reports[target].Term {
		p.reports[target].Role = pool.RoleReplica
		p.reports[target].Term = s.Term
	}
	return *p.reports[target], ctx.Err()
}

// fakeFleet stands for the other VMs. The first yields members yield at once,
// and the next one after yieldDelay if that is set.
type fakeFleet struct {
	members    []succession.Member
	yields     int
	yieldDelay time.Duration
	// survey runs in each call of Survey and returns its result; nil returns that
	// all VMs answered and none remembers anything.
	survey func(ctx context.Context) succession.Survey
	// acknowledged is the result of Acknowledged; nil if it is not certain.
	acknowledged *query.Position
}

func (c *fakeFleet) Acknowledged(context.Context, string) (query.Position, bool) {
	if c.acknowledged == nil {
		return query.Position{}, false
	}
	return *c.acknowledged, true
}

func (c *fakeFleet) Survey(ctx context.Context, _ uint64) succession.Survey {
	if c.survey == nil {
		return succession.Survey{Complete: true}
	}
	return c.survey(ctx)
}

func (c *fakeFleet) Yield(context.Context, succession.Record) ([]succession.Member, <-chan string) {
	all := make(chan string, len(c.members))
	for _, m := range c.members[:c.yields] {
		all <- m.Name
	}
	if c.yieldDelay > 0 {
		time.AfterFunc(c.yieldDelay, func() { all <- c.members[c.yields].Name })
	}
	return c.members, all
}

func (c *fakeFleet) Announce(context.Context, succession.Record) {}

// fixture holds the collaborators of movers for one group, choir, which the
// target a leads at first.
type fixture struct {
	*memoryStore
	*fakePlatform
	*fakeFleet
	grants *succession.Grants
	known  bool
}

func newFixture() *fixture {
	s := &fixture{memoryStore: newMemoryStore(), fakePlatform: newFakePlatform(), fakeFleet: &fakeFleet{}, known: true}
	s.grants = &succession.Grants{Length: 100 * time.Millisecond, Now: clock.SinceBoot, Begun: clock.SinceBoot()}
	gomega.Expect(s.mover("vm-0").Start(context.Background(), map[string]string{"choir": "a"})).To(gomega.Succeed())
	return s
}

func (s *fixture) mover(vm string) *succession.Mover {
	return &succession.Mover{
		VM: vm, Incarnation: "1", Store: s.memoryStore, Grants: s.grants, Promoter: s.fakePlatform, Targets: s.fakePlatform,
		Fleet: s.fakeFleet, Known: func() bool { return s.known }, VMs: func() int { return 1 }, Now: clock.SinceBoot, Log: logr.Discard(),
	}
}

func (s *fixture) move(vm string) error {
	return s.mover(vm).Move(context.Background(), "choir", s.grants.Lead("choir"), "test")
}

var _ = ginkgo.Describe("A move", func() {
	ginkgo.It("demotes the old leader first and promotes the target with the longest log", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		s.fakePlatform.beforePromotion = func() {
			gomega.Expect(s.reports["a"].Role).To(gomega.Equal(pool.RoleReplica))
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir")).To(gomega.Equal(succession.Lead{Target: "b", Since: s.grants.Record().Revision, Term: 4}))
	})

	// Guards against a group that has no leader until other VMs take the move over, since
	// the VM that began it does not know that it did.
	ginkgo.It("may begin again at once if its write took effect after it was given up", func() {
		s := newFixture()
		m, from := s.mover("vm-0"), s.grants.Lead("choir")
		s.memoryStore.delayedWrites = 1
		gomega.Expect(m.Move(context.Background(), "choir", from, "test")).NotTo(gomega.Succeed())
		time.Sleep(400 * time.Millisecond)
		lead := s.stored().Leads["choir"]
		gomega.Expect(lead.Moving()).To(gomega.BeTrue())
		gomega.Expect(m.Abandoned("choir", lead)).To(gomega.BeTrue())
		s.grants.ConfirmRecord(s.stored(), clock.SinceBoot())
		begun := clock.SinceBoot()
		gomega.Expect(m.Move(context.Background(), "choir", lead, "test")).To(gomega.Succeed())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", 1400*time.Millisecond))
	})

	ginkgo.It("may begin again after a write that never took effect", func() {
		s := newFixture()
		s.setDown(true, "a", "b", "c")
		m := s.mover("vm-0")
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		gomega.Expect(m.Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
		first := s.stored().Leads["choir"]
		gomega.Expect(m.Abandoned("choir", first)).To(gomega.BeTrue())
		s.memoryStore.delayedWrites = 1
		gomega.Expect(m.Move(context.Background(), "choir", first, "test")).NotTo(gomega.Succeed())
		gomega.Expect(m.Abandoned("choir", first)).To(gomega.BeTrue())
	})

	ginkgo.It("promotes the old leader again if it alone holds acknowledged commits", func() {
		s := newFixture()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("a"))
	})

	ginkgo.It("does not promote an old leader that is gone from the store, nor wait for its log", func() {
		// The leader is cut off from its replicas and from the store, and steps down
		// through a VM that still reaches it.
		s := newFixture()
		s.fakePlatform.absent = map[string]bool{"a": true}
		begun := clock.SinceBoot()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})

	ginkgo.It("does not begin if its reason no longer holds when a slow store answers", func() {
		s := newFixture()
		before := s.grants.Record().Revision
		s.memoryStore.readDelay = 600 * time.Millisecond
		asked := 0
		err := s.mover("vm-0").MoveIf(context.Background(), "choir", s.grants.Lead("choir"), 0, "test", func(context.Context) bool {
			asked++
			return false
		})
		gomega.Expect(errors.Is(err, succession.ErrNotNeeded)).To(gomega.BeTrue())
		gomega.Expect(asked).To(gomega.Equal(1))
		gomega.Expect(s.fakePlatform.calls).To(gomega.BeEmpty())
		gomega.Expect(s.grants.Record().Revision).To(gomega.Equal(before))
	})

	ginkgo.It("succeeds when answers of the store are lost after the writes took effect", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		s.memoryStore.lostAnswers = 2
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
	})

	ginkgo.It("abandons a claim that takes effect later, so that another VM can take it over", func() {
		s := newFixture()
		s.memoryStore.delayedWrites = 1
		gomega.Expect(s.move("vm-0")).NotTo(gomega.Succeed())
		gomega.Expect(s.fakePlatform.calls).To(gomega.BeEmpty())
		gomega.Eventually(func() bool {
			i, _, err := s.Read(context.Background(), succession.RecordKey)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			r, err := succession.DecodeRecord(i)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			s.grants.Observe(r)
			return s.grants.Lead("choir").Moving()
		}).Should(gomega.BeTrue())
		gomega.Expect(s.move("vm-1")).To(gomega.Succeed())
	})

	ginkgo.It("calls for the same target again when a promotion gets no answer", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		s.fakePlatform.unansweredPromotions = 1
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.fakePlatform.calls).To(gomega.Equal([]string{"b", "b"}))
	})

	ginkgo.It("succeeds for exactly one of two concurrent VMs, with fencing tokens that never decrease", func() {
		s := newFixture()
		for round := range 5 {
			lead := s.grants.Lead("choir")
			results := make(chan error, 2)
			for i := range 2 {
				go func() {
					results <- s.mover(fmt.Sprintf("vm-%d", i)).Move(context.Background(), "choir", lead, "test")
				}()
			}
			failed := 0
			for range 2 {
				if <-results != nil {
					failed++
				}
			}
			gomega.Expect(failed).To(gomega.Equal(1), "round %d", round)
		}
		for i := 1; i < len(s.fakePlatform.tokens); i++ {
			gomega.Expect(s.fakePlatform.tokens[i]).To(gomega.BeNumerically(">=", s.fakePlatform.tokens[i-1]))
		}
	})

	ginkgo.It("waits for the grants of VMs that do not yield to expire, and for the old lease to end", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		s.fakePlatform.down["a"] = true
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}}
		old := s.grants.Record().Lease
		begun := clock.SinceBoot()
		s.fakePlatform.beforePromotion = func() {
			gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically(">=", s.grants.Length))
			_, err := s.Renew(context.Background(), old)
			gomega.Expect(errors.Is(err, store.ErrNoLease)).To(gomega.BeTrue())
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
	})

	ginkgo.It("begins the wait for grants to expire when half of the VMs have yielded", func() {
		// A confirmation that a VM gave just before it yielded is still valid.
		s := newFixture()
		s.fakePlatform.down["a"] = true
		for i := range 4 {
			s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: fmt.Sprint(i), Established: true})
		}
		// With this VM, the first makes two of five, and the late one three.
		s.fakeFleet.yields = 1
		s.fakeFleet.yieldDelay = 300 * time.Millisecond
		begun := clock.SinceBoot()
		s.fakePlatform.beforePromotion = func() {
			gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically(">=", s.fakeFleet.yieldDelay+s.grants.Length))
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
	})

	ginkgo.It("does not record the new leader while VMs may read from an old leader that has stepped down", func() {
		// Half of the VMs are on the other side of a network partition with the old
		// leader, which steps down through one of them. It still answers reads, and the
		// store may still confirm the older record.
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}, {Name: "y", Established: true}, {Name: "z", Established: true}}
		s.fakeFleet.yields = 1
		s.memoryStore.keepLeases = true
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		gomega.Expect(s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
		gomega.Expect(s.fakePlatform.calls).To(gomega.Equal([]string{"b"}))
		gomega.Expect(s.grants.Lead("choir").Moving()).To(gomega.BeTrue())
		s.memoryStore.lock.Lock()
		s.memoryStore.keepLeases = false
		s.memoryStore.lock.Unlock()
		s.fakeFleet.yields = 3
		gomega.Expect(s.mover("vm-1").Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir")).To(gomega.Equal(succession.Lead{Target: "b", Since: s.grants.Record().Revision, Term: 4}))
	})

	ginkgo.It("leaves a leader alone that serves most of the VMs", func() {
		// A partition separates this VM and x from the leader and all others, except for
		// one VM that has just started, through which the leader could be told to step
		// down.
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		for i := range 4 {
			s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: fmt.Sprint(i), Established: true})
		}
		s.fakeFleet.members = append([]succession.Member{{Name: "new"}}, s.fakeFleet.members...)
		s.fakeFleet.yields = 2
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		gomega.Expect(s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
		gomega.Expect(s.reports["a"].Role).To(gomega.Equal(pool.RolePrimary))
		gomega.Expect(s.fakePlatform.calls).To(gomega.BeEmpty())
	})

	ginkgo.It("counts the time since the first of several unfinished moves", func() {
		s := newFixture()
		s.fakePlatform.down["a"] = true
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}, {Name: "y", Established: true}, {Name: "z", Established: true}}
		since := clock.SinceBoot() - succession.OutageLength - 1900*time.Millisecond
		begun := clock.SinceBoot()
		err := s.mover("vm-0").MoveIf(context.Background(), "choir", s.grants.Lead("choir"), since, "test", func(context.Context) bool { return true })
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	ginkgo.It("does not count that time while VMs may renew the old lease", func() {
		// The store ends no lease for this VM, and one that this VM does not reach renews it.
		s := newFixture()
		s.fakePlatform.down["a"] = true
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}, {Name: "y", Established: true}, {Name: "z", Established: true}}
		s.memoryStore.keepLeases = true
		since := clock.SinceBoot() - time.Minute
		begun := clock.SinceBoot()
		time.AfterFunc(500*time.Millisecond, func() {
			s.memoryStore.lock.Lock()
			defer s.memoryStore.lock.Unlock()
			s.memoryStore.keepLeases = false
		})
		err := s.mover("vm-0").MoveIf(context.Background(), "choir", s.grants.Lead("choir"), since, "test", func(context.Context) bool { return true })
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically(">=", 500*time.Millisecond+s.grants.Length))
	})

	ginkgo.It("names the first of several unfinished moves, but not one that another leader followed", func() {
		s := newFixture()
		s.reports["b"].Received = group.At(3, 9)
		interrupted := func(vm string) succession.Lead {
			s.fakePlatform.down["b"], s.fakePlatform.down["c"] = true, true
			defer func() { s.fakePlatform.down["b"], s.fakePlatform.down["c"] = false, false }()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			gomega.Expect(s.mover(vm).Move(ctx, "choir", s.grants.Lead("choir"), "test")).NotTo(gomega.Succeed())
			return s.grants.Lead("choir")
		}
		s.fakePlatform.down["a"] = true
		first, second := interrupted("vm-0"), interrupted("vm-1")
		gomega.Expect(second.Mover).NotTo(gomega.Equal(first.Mover))
		gomega.Expect(second.Row()).To(gomega.Equal(first.Row()))
		gomega.Expect(s.move("vm-2")).To(gomega.Succeed())
		s.fakePlatform.down["a"] = false
		gomega.Expect(s.move("vm-2")).To(gomega.Succeed())
		s.fakePlatform.down["a"] = true
		gomega.Expect(interrupted("vm-3").Row()).NotTo(gomega.Equal(first.Row()))
	})

	ginkgo.It("may begin again at once if the old leader could be fenced only after the time for its promotion", func() {
		// The leader is on the other side of a network partition, and the store does not
		// end the old lease within the promotion window.
		s := newFixture()
		s.fakePlatform.down["a"] = true
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}, {Name: "y", Established: true}, {Name: "z", Established: true}}
		s.fakeFleet.yields = 1
		s.memoryStore.keepLeases = true
		time.AfterFunc(4200*time.Millisecond, func() {
			s.memoryStore.lock.Lock()
			defer s.memoryStore.lock.Unlock()
			s.memoryStore.keepLeases = false
		})
		m := s.mover("vm-0")
		err := m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")
		gomega.Expect(errors.Is(err, succession.ErrWindowExpired)).To(gomega.BeTrue())
		gomega.Expect(m.Abandoned("choir", s.grants.Lead("choir"))).To(gomega.BeTrue())
		gomega.Expect(s.mover("vm-1").Abandoned("choir", s.grants.Lead("choir"))).To(gomega.BeFalse())
		s.fakeFleet.yields = 3
		gomega.Expect(m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
		gomega.Expect(m.Abandoned("choir", s.grants.Lead("choir"))).To(gomega.BeFalse())
	})

	ginkgo.It("begins again before a split of the network ends, so that it has time to promote then", func() {
		// The leader and most VMs are on the other side for longer than a promotion window.
		s := newFixture()
		s.fakePlatform.down["a"] = true
		s.fakeFleet.members = []succession.Member{{Name: "x", Established: true}, {Name: "y", Established: true}, {Name: "z", Established: true}}
		m := s.mover("vm-0")
		begun := clock.SinceBoot()
		err := m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")
		gomega.Expect(errors.Is(err, succession.ErrNotBacked)).To(gomega.BeTrue())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", 3*time.Second))
		gomega.Expect(m.Abandoned("choir", s.grants.Lead("choir"))).To(gomega.BeTrue())
		s.fakeFleet.yields = 3
		begun = clock.SinceBoot()
		gomega.Expect(m.Move(context.Background(), "choir", s.grants.Lead("choir"), "test")).To(gomega.Succeed())
		gomega.Expect(clock.SinceBoot() - begun).To(gomega.BeNumerically("<", time.Second))
	})

	ginkgo.It("does not promote while enough VMs may confirm an older record for one another", func() {
		for name, c := range map[string]func(s *fixture){
			"most VMs do not yield": func(s *fixture) {
				for i := range 5 {
					s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: fmt.Sprint(i), Established: true})
				}
			},
			"only a third of the VMs has yielded": func(s *fixture) {
				for i := range 5 {
					s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: fmt.Sprint(i), Established: true})
				}
				s.fakeFleet.yields = 1
			},
			"half of the VMs have yielded, but not those that started lately": func(s *fixture) {
				for i := range 3 {
					s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: fmt.Sprint(i), Established: true})
				}
				s.fakeFleet.yields = 1
				s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: "new"})
			},
			"a silent VM is one of the half that have yielded": func(s *fixture) {
				for i := range 3 {
					s.fakeFleet.members = append(s.fakeFleet.members, succession.Member{Name: fmt.Sprint(i), Established: true, Silent: i == 0})
				}
				s.fakeFleet.yields = 1
			},
			"this VM is unknown to the others": func(s *fixture) { s.known = false },
		} {
			s := newFixture()
			s.fakePlatform.down["a"] = true
			c(s)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")
			cancel()
			gomega.Expect(err).To(gomega.HaveOccurred(), name)
			gomega.Expect(s.fakePlatform.calls).To(gomega.BeEmpty(), name)
		}
	})
})

var _ = ginkgo.Describe("A leadership", func() {
	// cutOff returns the grants of a VM that has the record confirmed once more, and then
	// no more until its grant has expired.
	cutOff := func(s *fixture) *succession.Grants {
		g := &succession.Grants{Length: s.grants.Length, Now: clock.SinceBoot}
		g.ConfirmRecord(s.grants.Record(), clock.SinceBoot())
		time.Sleep(s.grants.Length)
		return g
	}

	// Guards against answers of a target that count as given in its present leadership,
	// although another one led in between.
	ginkgo.It("is not that of a target which leads again after another one, also for a VM that missed this", func() {
		s := newFixture()
		g := cutOff(s)
		before, certain := g.Leadership("choir", "a")
		gomega.Expect(before).NotTo(gomega.BeZero())
		gomega.Expect(certain).To(gomega.BeFalse())
		s.reports["b"].Received = group.At(3, 9)
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
		s.reports["a"].Received = group.At(4, 12)
		gomega.Expect(s.move("vm-1")).To(gomega.Succeed())
		g.ConfirmRecord(s.grants.Record(), clock.SinceBoot())
		after, certain := g.Leadership("choir", "a")
		gomega.Expect(certain).To(gomega.BeTrue())
		gomega.Expect(after).NotTo(gomega.Equal(before))
		err := g.AwaitLeadership(context.Background(), "choir", before, clock.SinceBoot()+time.Second)
		gomega.Expect(errors.Is(err, succession.ErrNotLeader)).To(gomega.BeTrue())
	})

	ginkgo.It("goes on when the record is written again, also for a VM that missed this", func() {
		s := newFixture()
		s.memoryStore.lock.Lock()
		clear(s.memoryStore.leases)
		s.memoryStore.lock.Unlock()
		g := cutOff(s)
		before, _ := g.Leadership("choir", "a")
		revision := s.grants.Record().Revision
		gomega.Expect(s.mover("vm-0").Renew(context.Background(), s.grants.Record().Lease)).To(gomega.Succeed())
		gomega.Expect(s.mover("vm-1").Start(context.Background(), map[string]string{"guild": "z"})).To(gomega.Succeed())
		gomega.Expect(s.grants.Record().Revision).To(gomega.BeNumerically(">", revision))
		g.ConfirmRecord(s.grants.Record(), clock.SinceBoot())
		after, certain := g.Leadership("choir", "a")
		gomega.Expect(certain).To(gomega.BeTrue())
		gomega.Expect(after).To(gomega.Equal(before))
	})

	ginkgo.It("gets a beginning when the record of a former build is written again", func() {
		s := newFixture()
		s.memoryStore.lock.Lock()
		i := s.memoryStore.items[succession.RecordKey]
		i.Value = []byte(`{"lease":1,"leads":{"choir":{"target":"a"},"guild":{"target":"z","mover":"vm-1/1/1"}}}`)
		s.memoryStore.items[succession.RecordKey] = i
		s.memoryStore.lock.Unlock()
		gomega.Expect(s.mover("vm-0").Renew(context.Background(), 1)).To(gomega.Succeed())
		r := s.grants.Record()
		gomega.Expect(r.Leads).To(gomega.Equal(map[string]succession.Lead{
			"choir": {Target: "a", Since: r.Revision}, "guild": {Target: "z", Mover: "vm-1/1/1"},
		}))
	})
})

var _ = ginkgo.Describe("Grants", func() {
	const length = 100 * time.Millisecond
	record := func(revision store.Revision, lease store.LeaseID, l succession.Lead) succession.Record {
		return succession.Record{Lease: lease, Era: revision.Era(), Revision: revision, Leads: map[string]succession.Lead{"choir": l}}
	}

	ginkgo.It("name no leader that was found deposed, until the time for that has passed", func() {
		now := 10 * time.Second
		g := &succession.Grants{Length: time.Second, Now: func() time.Duration { return now }}
		g.ConfirmRecord(record(1, 5, succession.Lead{Target: "a"}), now)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeTrue())
		l, _ := g.Leadership("choir", "a")
		g.Depose("choir", "b", now+time.Second)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeTrue())
		g.Depose("choir", "a", now+100*time.Millisecond)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeFalse())
		gomega.Expect(errors.Is(g.AwaitLeadership(context.Background(), "choir", l, now+time.Second), succession.ErrNotLeader)).To(gomega.BeTrue())
		now += 100 * time.Millisecond
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeTrue())
	})

	ginkgo.It("name a leader that was found deposed and has been made the leader again", func() {
		now := 10 * time.Second
		g := &succession.Grants{Length: time.Second, Now: func() time.Duration { return now }}
		g.ConfirmRecord(record(1, 5, succession.Lead{Target: "a", Since: 1}), now)
		g.Depose("choir", "a", now+time.Second)
		g.ConfirmRecord(record(2, 6, succession.Lead{Target: "a", Since: 1}), now)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeFalse())
		g.ConfirmRecord(record(5, 7, succession.Lead{Target: "a", Since: 5}), now)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeTrue())
	})
	first, second := store.At(1, 90), store.At(2, 80)
	stable := succession.Lead{Target: "a"}
	moving := succession.Lead{Target: "a", Mover: "vm-1"}
	tests := map[string]struct {
		steps func(g *succession.Grants, setNow func(time.Duration))
		holds bool
	}{
		"no record is known": {func(*succession.Grants, func(time.Duration)) {}, false},
		"observed but never confirmed": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, stable))
		}, false},
		"confirmed by its lease": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
		}, true},
		"confirmed by another lease": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(4, 0, 0)
		}, false},
		"confirmed too long ago": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
			at(length)
		}, false},
		"confirmed before a long suspension of the VM": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
			at(time.Hour)
		}, false},
		"leadership is being moved": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
			g.Observe(record(2, 6, moving))
		}, false},
		"an older record arrives after a newer one": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(2, 6, moving))
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
		}, false},
		"confirmed by peers after the store did": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
			at(2 * time.Second)
			g.ConfirmByPeers(1, 2*time.Second)
		}, true},
		"confirmed by peers but never by the store": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.ConfirmByPeers(1, 0)
		}, false},
		"confirmed by peers after too long an outage": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
			at(succession.OutageLength)
			g.ConfirmByPeers(1, succession.OutageLength)
		}, false},
		"confirmed by peers for an older record": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, stable))
			g.Confirm(5, 0, 0)
			g.Observe(record(2, 6, stable))
			at(2 * time.Second)
			g.ConfirmByPeers(1, 2*time.Second)
		}, false},
		"confirmed in its era": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(first, 5, stable))
			g.Confirm(5, 1, 0)
		}, true},
		"its lease lives on after the store came back from a copy": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(first, 5, stable))
			g.Confirm(5, 2, 0)
		}, false},
		"read from the copy that the store came back from": {func(g *succession.Grants, _ func(time.Duration)) {
			r := record(first, 5, stable)
			r.Stored = store.At(2, 90)
			g.ConfirmRecord(r, 0)
		}, false},
		"a lost record is known, and an older one read from the copy": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(first, 6, moving))
			r := record(store.At(1, 80), 5, stable)
			r.Stored = second
			g.ConfirmRecord(r, 0)
			g.Confirm(5, 2, 0)
		}, false},
		"written again after a loss, under a lower number": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(first, 6, moving))
			r := record(second, 7, stable)
			r.Stored = second
			g.ConfirmRecord(r, 0)
		}, true},
		"confirmed by an answer from before a loss that is known": {func(g *succession.Grants, _ func(time.Duration)) {
			g.ObserveEra(1)
			g.ObserveEra(2)
			g.Observe(record(first, 5, stable))
			g.Confirm(5, 1, 0)
		}, false},
	}
	ginkgo.It("are valid only while VMs that move a leadership count this one", func() {
		now := time.Hour
		g := &succession.Grants{Length: length, Now: func() time.Duration { return now }, Counted: true}
		g.Observe(record(1, 5, stable))
		g.Confirm(5, 0, now)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeFalse())
		gomega.Expect(g.ExpiredFor()).To(gomega.BeZero())
		g.Admit(now + time.Minute)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeTrue())
		now += time.Minute
		g.Confirm(5, 0, now)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeFalse())
		now += time.Second
		g.Confirm(5, 0, now)
		gomega.Expect(g.ExpiredFor()).To(gomega.Equal(time.Second))
		l, _ := g.Leadership("choir", "a")
		gomega.Expect(errors.Is(g.AwaitLeadership(context.Background(), "choir", l, now+time.Minute), succession.ErrUnconfirmed)).To(gomega.BeTrue())
		g.Admit(now + time.Minute)
		gomega.Expect(g.IsLeader("choir", "a")).To(gomega.BeTrue())
	})

	for name, c := range tests {
		ginkgo.It(name, func() {
			now := time.Duration(0)
			g := &succession.Grants{Length: length, Now: func() time.Duration { return now }}
			c.steps(g, func(t time.Duration) { now = t })
			gomega.Expect(g.IsLeader("choir", "a")).To(gomega.Equal(c.holds))
			gomega.Expect(g.IsLeader("choir", "b")).To(gomega.BeFalse())
		})
	}
})
