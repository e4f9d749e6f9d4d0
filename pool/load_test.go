package pool_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/customer"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// The figures of the deployment whose load these tests have.
const (
	siteCustomers   = 85
	siteSlots       = 4
	siteConnections = 70
	// siteHolders is the number of VMs that hold connections to one target.
	siteHolders = 5
	// siteLoad is the number of statements that a group gets in a second: 700
	// operations of 1.44 statements in 8 groups.
	siteLoad = 700 * 1.44 / 8
	// siteTime is how long the load lasts.
	siteTime = 12 * time.Second
	// siteObjective is the objective of the routes, half of which may be spent in the
	// queue, and siteTimeout the time for which a statement may wait for a target.
	siteObjective, siteTimeout = 500 * time.Millisecond, 600 * time.Millisecond
)

// site is a group of three targets, with the VMs that hold connections to them, and the
// customers that use them, in the virtual time of a test's bubble.
type site struct {
	targets map[string]*standIn
	vms     []*pool.Group
	limits  pool.Limits
	begun   time.Time
	wait    sync.WaitGroup
	// factor returns what a customer sends at a time on a route, in its usual load.
	factor func(rank, route int, at time.Duration) float64
	// load is the usual load of the group in statements a second.
	load float64
	// wave is the number of statements that each customer sends at the start.
	wave int
	// counted reports whether statements that are sent at a time count.
	counted func(at time.Duration) bool
	// writes is the share of the statements that need the leader.
	writes float64

	lock     sync.Mutex
	services []service
	// opensBefore is the number of connections that were opened in the first half.
	opensBefore int
}

// service is what one customer got.
type service struct {
	sent, served, overloaded int
	// byRoute counts the statements that were sent, and those that were served within
	// the objective, for each route.
	byRoute [2][2]int
	took    []time.Duration
}

// fraction returns which part of the customer's statements was served in time.
func (s *service) fraction() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// newSite returns a site with ten times the figures if scale is 10.
func newSite(scale int) *site {
	s := &site{targets: map[string]*standIn{}, begun: time.Now(), load: siteLoad * float64(scale), writes: 0.4}
	s.factor = func(int, int, time.Duration) float64 { return 1 }
	s.counted = func(time.Duration) bool { return true }
	s.services = make([]service, siteCustomers*scale)
	list := []pool.Target{}
	for _, id := range []string{"a", "b", "c"} {
		s.targets[id] = newStandIn(siteSlots*scale, siteConnections*scale)
		list = append(list, pool.Target{ID: id, Group: "choir", Zone: "coban", Slots: siteSlots * scale})
	}
	s.limits = pool.Limits{Connections: siteConnections * scale, VMs: siteHolders * scale}
	for range siteHolders * scale {
		g := &pool.Group{Name: "choir", Zone: "coban", Dialer: s, Now: s.now, Log: logr.Discard()}
		g.SetIdleAllowance(s.limits.IdleAllowance())
		g.Configure(list, s.limits.Base())
		g.SetLeader("a")
		s.vms = append(s.vms, g)
	}
	return s
}

func (s *site) now() time.Duration { return time.Hour + time.Since(s.begun) }

func (s *site) Affinity(pool.Target, string) string { return "direct" }

func (s *site) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

func (s *site) Dial(ctx context.Context, t pool.Target, name string) (pool.Link, query.Position, error) {
	return s.targets[t.ID].Dial(ctx, t, name)
}

// run has all customers send their load, while events happen.
func (s *site) run(events func(*site)) {
	ctx, cancel := context.WithCancel(context.Background())
	total := 0.0
	for i := range s.services {
		total += math.Pow(float64(i+1), -1.2)
	}
	go s.supervise(ctx)
	for i := range s.services {
		usual := s.load * math.Pow(float64(i+1), -1.2) / total
		// The limit is a quarter above the usual load of all groups.
		c := &customer.Customer{Name: fmt.Sprintf("c-%d", i), Rate: 1.25 * usual * 8 / 1.44}
		s.wait.Go(func() { s.send(c, i, usual) })
	}
	s.wait.Go(func() {
		time.Sleep(siteTime / 2)
		s.opensBefore = s.opens()
	})
	if events != nil {
		events(s)
	}
	s.wait.Wait()
	cancel()
	time.Sleep(time.Second)
}

// supervise divides the targets' connections among the VMs again and again.
func (s *site) supervise(ctx context.Context) {
	shares := pool.Shares{}
	for ctx.Err() == nil {
		for i, g := range s.vms {
			for _, c := range g.Claims() {
				g.SetBudget(c.Target, shares.Divide(s.now(), fmt.Sprint(i), c, s.limits))
			}
			g.Configure(g.Targets(), s.limits.Base())
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// opens returns the number of connections that were opened to the targets.
func (s *site) opens() int {
	n := 0
	for _, d := range s.targets {
		d.lock.Lock()
		n += d.opens
		d.lock.Unlock()
	}
	return n
}

// opensPerSecond returns how many were opened in a second of the second half, on average.
func (s *site) opensPerSecond() float64 {
	return float64(s.opens()-s.opensBefore) / float64(len(s.targets)) / (siteTime / 2).Seconds()
}

// maxFactor is the largest factor of any pattern.
const maxFactor = 7.5

// send sends a customer's statements, at random times.
func (s *site) send(c *customer.Customer, rank int, usual float64) {
	r := rand.New(rand.NewPCG(uint64(rank), 1))
	for range s.wave {
		s.start(r, c, rank, r.IntN(2))
	}
	for {
		time.Sleep(time.Duration(r.ExpFloat64() / usual / maxFactor * float64(time.Second)))
		at := time.Since(s.begun)
		if at > siteTime {
			return
		}
		route := r.IntN(2)
		if r.Float64()*maxFactor > s.factor(rank, route, at) {
			continue
		}
		s.start(r, c, rank, route)
	}
}

// start sends one statement of a customer.
func (s *site) start(r *rand.Rand, c *customer.Customer, rank, route int) {
	n := pool.Need{Customer: c, Priority: route, Leader: r.Float64() < s.writes, Until: s.now() + siteTimeout, QueueDeadline: s.now() + siteObjective/2}
	if !n.Leader {
		n.Floor, n.FloorAge = group.At(1, 9), 100*time.Millisecond
	}
	work := time.Duration(3+r.IntN(13)) * time.Millisecond
	s.wait.Go(func() { s.serve(n, rank, work) })
}

// serve runs one statement and counts how it ends.
func (s *site) serve(n pool.Need, rank int, work time.Duration) {
	begun := s.now()
	slot, err := s.vms[rank%len(s.vms)].Acquire(context.Background(), n)
	if err == nil {
		_, err = slot.Run(order(n.Customer.Name, work), s.now()+time.Minute)
		slot.Release()
	}
	took := s.now() - begun
	if !s.counted(begun - time.Hour) {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	v := &s.services[rank]
	v.sent++
	v.byRoute[n.Priority][0]++
	switch {
	case err != nil:
		v.overloaded++
	case took <= siteObjective:
		v.served++
		v.byRoute[n.Priority][1]++
		v.took = append(v.took, took)
	}
}

// report describes what the customers got: the least served, the mean of the least
// served tenth, and of all; then the connections.
func (s *site) report() string {
	l := s.sorted(nil)
	evictions, foreign, maxOpening, maxOpen := 0, 0, 0, 0
	for _, d := range s.targets {
		foreign += d.foreign
		maxOpening, maxOpen = max(maxOpening, d.maxOpening), max(maxOpen, d.maxOpen)
	}
	for _, g := range s.vms {
		evictions += g.Evictions()
	}
	sent, served, slowest := 0, 0, time.Duration(0)
	for _, v := range l {
		sent, served = sent+v.sent, served+v.served
		slowest = max(slowest, v.latency())
	}
	return fmt.Sprintf("least %.3f, least tenth %.3f, all %.4f of %d; slowest mean %s, first rank %.3f in %s; %d opens, in the end %.1f a second and target, %d evictions, %d foreign, %d opening and %d open at once",
		l[0].fraction(), meanFraction(l[:len(l)/10]), float64(served)/float64(sent), sent, slowest, s.services[0].fraction(), s.services[0].latency(), s.opens(), s.opensPerSecond(), evictions, foreign, maxOpening, maxOpen)
}

// latency returns the mean time that the customer's served statements took.
func (s *service) latency() time.Duration {
	sum := time.Duration(0)
	for _, d := range s.took {
		sum += d
	}
	return sum / time.Duration(max(len(s.took), 1))
}

// sorted returns what customers got, the least served first, without those that are
// excluded by rank.
func (s *site) sorted(excluded []int) []service {
	list := []service{}
	for i, v := range s.services {
		if v.sent > 0 && !slices.Contains(excluded, i) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b service) int { return cmp.Compare(a.fraction(), b.fraction()) })
	return list
}

func meanFraction(list []service) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v.fraction()
	}
	return sum / float64(len(list))
}

// pattern is a kind of load, with the service that it must leave to the customers.
type pattern struct {
	prepare func(*site)
	// events happen while the load lasts.
	events func(*site)
	// bursting are the ranks of the customers that send more than usual, and fraction is
	// which part of their statements must be served in time.
	bursting []int
	fraction float64
	// least is which part of the statements of each other customer must be served in time,
	// rounded down to whole statements, and tenth the mean of the least served tenth.
	least, tenth float64
	// first is which part of each customer's statements on the route of the higher priority
	// must be served in time, rounded down to whole statements.
	first float64
	// opens is how many connections may be opened to a target in a second, in the second
	// half of the load; zero means any number.
	opens float64
	// slowest is the longest mean time of a customer's served statements.
	slowest time.Duration
}

// burst has customers send seven times their usual load for six seconds.
func burst(ranks ...int) func(*site) {
	return func(s *site) {
		// All statements need the leader, so that the burst fills it.
		s.writes = 1
		s.factor = func(rank, _ int, at time.Duration) float64 {
			if slices.Contains(ranks, rank) && at > 3*time.Second && at < 9*time.Second {
				return 7
			}
			return 1
		}
	}
}

// setLeader sets the leader that all VMs know.
func (s *site) setLeader(id string) {
	for _, g := range s.vms {
		g.SetLeader(id)
	}
}

var patterns = map[string]pattern{
	"customers on fewer connections": {least: 1, tenth: 1, slowest: 40 * time.Millisecond, opens: 4},
	"one customer at seven times":    {prepare: burst(0), bursting: []int{0}, fraction: 0.9, least: 1, tenth: 1, slowest: 60 * time.Millisecond},
	"two customers at seven times":   {prepare: burst(0, 1), bursting: []int{0, 1}, fraction: 0.9, least: 0.85, tenth: 0.95, slowest: 150 * time.Millisecond},
	"one route at two and a half times": {
		prepare: func(s *site) {
			s.writes, s.load = 1, 1.5*s.load
			s.factor = func(_, route int, at time.Duration) float64 {
				if route == 1 && at > 4*time.Second && at < 9*time.Second {
					return 2.5
				}
				return 1
			}
		},
		first: 1, least: 0.9, tenth: 0.95, slowest: 100 * time.Millisecond,
	},
	"all VMs start at once": {prepare: func(s *site) { s.wave = 1 }, least: 0.65, tenth: 0.9, slowest: 250 * time.Millisecond},
	"leader lost": {
		prepare: func(s *site) {
			// Statements that run when the leader fails are lost, and those that are sent
			// early in the second without a leader cannot be served in time.
			s.counted = func(at time.Duration) bool { return at < 4900*time.Millisecond || at > 5900*time.Millisecond }
		},
		events: func(s *site) {
			time.Sleep(5 * time.Second)
			s.setLeader("")
			s.targets["a"].lock.Lock()
			s.targets["a"].down = true
			s.targets["a"].lock.Unlock()
			time.Sleep(time.Second)
			s.setLeader("b")
		},
		least: 0.9, tenth: 0.95, slowest: 250 * time.Millisecond,
	},
	"replicas lagging": {
		prepare: func(s *site) { s.load = 2 * s.load },
		events: func(s *site) {
			time.Sleep(4 * time.Second)
			for range 50 {
				for _, g := range s.vms {
					g.RecordLag("b", 5*time.Second)
					g.RecordLag("c", 5*time.Second)
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		least: 0.9, tenth: 0.95, slowest: 100 * time.Millisecond,
	},
}

// TestServiceOfCustomers guards against customers that are not served under the loads of
// a deployment with many, with its figures and ten times as many, while others are.
func TestServiceOfCustomers(t *testing.T) {
	for name, p := range patterns {
		for _, scale := range []int{1, 10} {
			t.Run(fmt.Sprintf("%s, %d times the figures", name, scale), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(scale)
					if p.prepare != nil {
						p.prepare(s)
					}
					s.run(p.events)
					t.Log(s.report())
					s.check(t, &p)
				})
			})
		}
	}
}

// check compares what the customers got with what a pattern must leave them.
func (s *site) check(t *testing.T, p *pattern) {
	t.Helper()
	for id, d := range s.targets {
		if d.foreign > 0 || d.maxOpen > d.limit {
			t.Errorf("target %s ran %d statements on another customer's connection and had %d connections", id, d.foreign, d.maxOpen)
		}
	}
	if got, most := s.opensPerSecond(), p.opens*float64(len(s.vms)/siteHolders); p.opens > 0 && got > most {
		t.Errorf("%.1f connections were opened in a second to each target, want %.1f", got, most)
	}
	for _, i := range p.bursting {
		if got := s.services[i].fraction(); got < p.fraction {
			t.Errorf("of the bursting customer %d %.3f was served, want %.3f", i, got, p.fraction)
		}
	}
	l := s.sorted(p.bursting)
	if got := meanFraction(l[:len(l)/10]); got < p.tenth {
		t.Errorf("of the least served tenth %.3f was served, want %.3f", got, p.tenth)
	}
	for _, v := range l {
		if v.served < int(p.least*float64(v.sent)) {
			t.Errorf("of %d statements of a customer %d were served, want %.3f", v.sent, v.served, p.least)
		}
		if f := v.byRoute[0]; f[1] < int(p.first*float64(f[0])) {
			t.Errorf("of %d statements of a customer on the first route %d were served, want %.3f", f[0], f[1], p.first)
		}
		if v.latency() > p.slowest {
			t.Errorf("a customer's statements took %s, want %s", v.latency(), p.slowest)
		}
	}
}
