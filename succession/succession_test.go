package succession_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

func TestSuccession(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "succession")
}

// ledger is a store in memory whose answers the test may lose.
type ledger struct {
	lock     sync.Mutex
	revision uint64
	items    map[string]store.Item
	leases   map[store.Lease]bool
	next     store.Lease
	// lose is how many transactions take effect without an answer, and late
	// how many do so only later.
	lose, late int
	// slow is how long a read takes.
	slow time.Duration
}

func newLedger() *ledger {
	return &ledger{revision: 7, items: map[string]store.Item{}, leases: map[store.Lease]bool{}}
}

func (l *ledger) Read(_ context.Context, key string) (store.Item, uint64, error) {
	time.Sleep(l.slow)
	l.lock.Lock()
	defer l.lock.Unlock()
	i, ok := l.items[key]
	if !ok {
		return store.Item{}, l.revision, store.ErrAbsent
	}
	return i, l.revision, nil
}

func (l *ledger) List(context.Context, string) ([]store.Item, uint64, error) {
	return nil, l.revision, nil
}

func (l *ledger) Follow(context.Context, string, uint64, time.Duration) ([]store.Item, uint64, error) {
	return nil, l.revision, nil
}

func (l *ledger) Apply(_ context.Context, t store.Transaction) (uint64, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.late > 0 {
		l.late--
		go func() {
			time.Sleep(300 * time.Millisecond)
			l.lock.Lock()
			defer l.lock.Unlock()
			// Its effect is all that counts; nobody hears the answer.
			_, _ = l.apply(t)
		}()
		return 0, store.ErrUnavailable
	}
	r, err := l.apply(t)
	if l.lose > 0 {
		l.lose--
		return 0, store.ErrUnavailable
	}
	return r, err
}

func (l *ledger) apply(t store.Transaction) (uint64, error) {
	for _, c := range t.Conditions {
		if l.items[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	l.revision++
	for _, p := range t.Puts {
		l.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, Revision: l.revision, Lease: p.Lease}
	}
	return l.revision, nil
}

func (l *ledger) Grant(context.Context, time.Duration) (store.Lease, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.next++
	l.leases[l.next] = true
	return l.next, nil
}

func (l *ledger) Renew(_ context.Context, n store.Lease) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !l.leases[n] {
		return store.ErrNoLease
	}
	return nil
}

func (l *ledger) End(_ context.Context, n store.Lease) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.leases, n)
	return nil
}

// platform promotes targets and takes control orders.
type platform struct {
	lock    sync.Mutex
	reports map[string]*pool.Report
	down    map[string]bool
	tokens  []uint64
	calls   []string
	// silent is how many promotions take effect without an answer.
	silent int
	// before runs at each promotion, before it takes effect.
	before func()
}

func newPlatform() *platform {
	p := &platform{reports: map[string]*pool.Report{}, down: map[string]bool{}}
	for i, id := range []string{"a", "b", "c"} {
		p.reports[id] = &pool.Report{Role: pool.RoleReplica, Term: 3, Received: group.At(3, uint64(9-i))}
	}
	p.reports["a"].Role = pool.RolePrimary
	return p
}

func (p *platform) Promote(_ context.Context, _, target string, token uint64) error {
	if p.before != nil {
		p.before()
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.tokens = append(p.tokens, token)
	p.calls = append(p.calls, target)
	if p.down[target] {
		return succession.ErrRejected
	}
	p.reports[target].Role = pool.RolePrimary
	p.reports[target].Term++
	if p.silent > 0 {
		p.silent--
		return succession.ErrNoAnswer
	}
	return nil
}

func (p *platform) Candidates(string) []pool.Target {
	return []pool.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

func (p *platform) Order(ctx context.Context, _, target string, o pool.Order) (pool.Report, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.down[target] {
		return pool.Report{}, errors.New("target is down")
	}
	if s, ok := o.(pool.StepDown); ok && s.Term > p.reports[target].Term {
		p.reports[target].Role = pool.RoleReplica
	}
	return *p.reports[target], ctx.Err()
}

// crowd are the other VMs, of which some yield at once and one later.
type crowd struct {
	members []succession.Member
	yields  int
	late    time.Duration
}

func (c *crowd) Yield(context.Context, succession.Record) ([]succession.Member, <-chan succession.Member) {
	all := make(chan succession.Member, len(c.members))
	for _, m := range c.members[:c.yields] {
		all <- m
	}
	if c.late > 0 {
		time.AfterFunc(c.late, func() { all <- c.members[c.yields] })
	}
	return c.members, all
}

type scene struct {
	*ledger
	*platform
	*crowd
	grants *succession.Grants
	known  bool
}

func newScene() *scene {
	s := &scene{ledger: newLedger(), platform: newPlatform(), crowd: &crowd{}, known: true}
	s.grants = &succession.Grants{Length: 100 * time.Millisecond, Now: clock.Boot, Begun: clock.Boot()}
	gomega.Expect(s.mover("vm-0").Start(context.Background(), map[string]string{"choir": "a"})).To(gomega.Succeed())
	return s
}

func (s *scene) mover(vm string) *succession.Mover {
	return &succession.Mover{
		VM: vm, Incarnation: "1", Ledger: s.ledger, Grants: s.grants, Promoter: s.platform, Targets: s.platform,
		Fleet: s.crowd, Known: func() bool { return s.known }, VMs: func() int { return 1 }, Now: clock.Boot, Log: logr.Discard(),
	}
}

func (s *scene) move(vm string) error {
	return s.mover(vm).Move(context.Background(), "choir", s.grants.Lead("choir"), "test")
}

var _ = ginkgo.Describe("A move", func() {
	ginkgo.It("steps the old leader down first and promotes the longest log", func() {
		s := newScene()
		s.reports["b"].Received = group.At(3, 9)
		s.platform.before = func() {
			gomega.Expect(s.reports["a"].Role).To(gomega.Equal(pool.RoleReplica))
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir")).To(gomega.Equal(succession.Lead{Target: "b"}))
	})

	ginkgo.It("promotes the old leader again rather than lose what it alone holds", func() {
		s := newScene()
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("a"))
	})

	ginkgo.It("is not begun when its reason is gone once the store answers", func() {
		s := newScene()
		before := s.grants.Record().Revision
		s.ledger.slow = 600 * time.Millisecond
		asked := 0
		err := s.mover("vm-0").MoveIf(context.Background(), "choir", s.grants.Lead("choir"), "test", func(context.Context) bool {
			asked++
			return false
		})
		gomega.Expect(errors.Is(err, succession.ErrNeedless)).To(gomega.BeTrue())
		gomega.Expect(asked).To(gomega.Equal(1))
		gomega.Expect(s.platform.calls).To(gomega.BeEmpty())
		gomega.Expect(s.grants.Record().Revision).To(gomega.Equal(before))
	})

	ginkgo.It("survives answers of the store that are lost after the effect", func() {
		s := newScene()
		s.reports["b"].Received = group.At(3, 9)
		s.ledger.lose = 2
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.grants.Lead("choir").Target).To(gomega.Equal("b"))
	})

	ginkgo.It("gives up a claim that takes effect later, and takes it over", func() {
		s := newScene()
		s.ledger.late = 1
		gomega.Expect(s.move("vm-0")).NotTo(gomega.Succeed())
		gomega.Expect(s.platform.calls).To(gomega.BeEmpty())
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

	ginkgo.It("asks for the same target again when a promotion gets no answer", func() {
		s := newScene()
		s.reports["b"].Received = group.At(3, 9)
		s.platform.silent = 1
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
		gomega.Expect(s.platform.calls).To(gomega.Equal([]string{"b", "b"}))
	})

	ginkgo.It("is made by one of two that try at once, and tokens only grow", func() {
		s := newScene()
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
		for i := 1; i < len(s.platform.tokens); i++ {
			gomega.Expect(s.platform.tokens[i]).To(gomega.BeNumerically(">=", s.platform.tokens[i-1]))
		}
	})

	ginkgo.It("waits for the grants of VMs that do not yield, and for the old lease to end", func() {
		s := newScene()
		s.reports["b"].Received = group.At(3, 9)
		s.platform.down["a"] = true
		s.crowd.members = []succession.Member{{Name: "x", Established: true}}
		old := s.grants.Record().Lease
		begun := clock.Boot()
		s.platform.before = func() {
			gomega.Expect(clock.Boot() - begun).To(gomega.BeNumerically(">=", s.grants.Length))
			gomega.Expect(errors.Is(s.Renew(context.Background(), old), store.ErrNoLease)).To(gomega.BeTrue())
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
	})

	ginkgo.It("counts the wait from the yield that makes a third", func() {
		// What a VM vouched for just before it yielded is still relied on.
		s := newScene()
		s.platform.down["a"] = true
		for i := range 4 {
			s.crowd.members = append(s.crowd.members, succession.Member{Name: fmt.Sprint(i), Established: true})
		}
		s.crowd.late = 300 * time.Millisecond
		begun := clock.Boot()
		s.platform.before = func() {
			gomega.Expect(clock.Boot() - begun).To(gomega.BeNumerically(">=", s.crowd.late+s.grants.Length))
		}
		gomega.Expect(s.move("vm-0")).To(gomega.Succeed())
	})

	ginkgo.It("does not promote while too many VMs may vouch for one another", func() {
		for name, c := range map[string]func(s *scene){
			"most of the fleet silent": func(s *scene) {
				for i := range 5 {
					s.crowd.members = append(s.crowd.members, succession.Member{Name: fmt.Sprint(i), Established: true})
				}
			},
			"this VM unknown to the others": func(s *scene) { s.known = false },
		} {
			s := newScene()
			s.platform.down["a"] = true
			c(s)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := s.mover("vm-0").Move(ctx, "choir", s.grants.Lead("choir"), "test")
			cancel()
			gomega.Expect(err).To(gomega.HaveOccurred(), name)
			gomega.Expect(s.platform.calls).To(gomega.BeEmpty(), name)
		}
	})
})

var _ = ginkgo.Describe("Grants", func() {
	const length = 100 * time.Millisecond
	record := func(revision uint64, lease store.Lease, l succession.Lead) succession.Record {
		return succession.Record{Lease: lease, Revision: revision, Leads: map[string]succession.Lead{"choir": l}}
	}
	resting := succession.Lead{Target: "a"}
	moving := succession.Lead{Target: "a", Mover: "vm-1"}
	tests := map[string]struct {
		steps func(g *succession.Grants, at func(time.Duration))
		holds bool
	}{
		"nothing known": {func(*succession.Grants, func(time.Duration)) {}, false},
		"observed but never confirmed": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, resting))
		}, false},
		"confirmed by its lease": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
		}, true},
		"confirmed by another lease": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(4, 0)
		}, false},
		"confirmed too long ago": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
			at(length)
		}, false},
		"suspended meanwhile": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
			at(time.Hour)
		}, false},
		"moving": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
			g.Observe(record(2, 6, moving))
		}, false},
		"an older record comes late": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(2, 6, moving))
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
		}, false},
		"vouched for after the store": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
			at(2 * time.Second)
			g.Vouch(1, 2*time.Second)
		}, true},
		"vouched for without the store ever": {func(g *succession.Grants, _ func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Vouch(1, 0)
		}, false},
		"vouched for after too long an outage": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
			at(succession.OutageLength)
			g.Vouch(1, succession.OutageLength)
		}, false},
		"vouched for an older record": {func(g *succession.Grants, at func(time.Duration)) {
			g.Observe(record(1, 5, resting))
			g.Confirm(5, 0)
			g.Observe(record(2, 6, resting))
			at(2 * time.Second)
			g.Vouch(1, 2*time.Second)
		}, false},
	}
	for name, c := range tests {
		ginkgo.It(name, func() {
			now := time.Duration(0)
			g := &succession.Grants{Length: length, Now: func() time.Duration { return now }}
			c.steps(g, func(t time.Duration) { now = t })
			gomega.Expect(g.Holds("choir", "a")).To(gomega.Equal(c.holds))
			gomega.Expect(g.Holds("choir", "b")).To(gomega.BeFalse())
		})
	}
})
