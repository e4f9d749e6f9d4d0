package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/quota"
	"amaranthsill/store"
	"amaranthsill/succession"
)

// limitFleet is VMs that call each other in virtual time.
type limitFleet struct {
	t     *testing.T
	begun time.Time
	vms   []*limitVM

	lock     sync.Mutex
	admitted []time.Duration
	refused  atomic.Int64
}

// limitVM is a VM of a limitFleet.
type limitVM struct {
	*VM
	// cut makes calls from and to the VM time out.
	cut atomic.Bool
	// calls counts the calls that it sent; most is the most that were in flight at once.
	calls, inFlight, most atomic.Int64
}

var errCut = errors.New("VM is cut off")

// withLimitFleet runs a test on VMs in virtual time, of which all have delegated.
func withLimitFleet(t *testing.T, vms int, customers []customer.Customer, test func(*limitFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &limitFleet{t: t, begun: time.Now()}
		set := []customer.Entry{}
		for _, c := range customers {
			set = append(set, customer.Entry{Customer: c})
		}
		all, err := customer.NewSet(set)
		if err != nil {
			t.Fatal(err)
		}
		for i := range vms {
			f.vms = append(f.vms, f.newVM(i, &catalog.Configuration{Version: 1, Customers: all}))
		}
		for _, v := range f.vms {
			for _, p := range f.vms {
				entry := fmt.Sprintf(`{"name": %q, "zone": %q, "address": %q}`, p.Settings.VM(), p.Settings.Zone(), p.Settings.VM())
				v.directory.Apply(store.Item{Key: vmPrefix + p.Settings.VM(), Value: []byte(entry), Revision: 10})
			}
			go v.admission.run(ctx)
		}
		time.Sleep(5 * time.Second)
		test(f)
		cancel()
		time.Sleep(time.Minute)
	})
}

func (f *limitFleet) newVM(i int, c *catalog.Configuration) *limitVM {
	text := fmt.Sprintf(`{"vm": "vm-%d", "zone": "zone-%d", "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "peers": "10.0.0.1:3",
		"metrics": "10.0.0.1:4", "relay": "10.0.0.1:5", "store": "10.0.0.1:6", "duty": "10.0.0.1:7", "memory": 512, "grace": "6s", "first": true}`, i, i%3)
	settings, err := ParseSettings("vm.json", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	v := &limitVM{VM: &VM{Settings: settings, Now: f.now, Log: logr.Discard(), startedAt: f.now(), catalog: &catalog.Catalog{}}}
	v.catalog.Update(c)
	v.grants = &succession.Grants{Length: succession.GrantLength, Now: f.now}
	v.directory = &Directory{
		Adapter: Adapter{ParseTargetKey: func(string) (string, bool) { return "", false }},
		Catalog: v.catalog, Grants: v.grants, Self: settings.VM(), Now: f.now, Log: logr.Discard(),
	}
	v.registered.Store(true)
	v.fleet = newFleet(v.VM)
	v.fleet.http = &http.Client{Transport: limitTransport{f, v}}
	v.admission = newLimits(v.fleet)
	return v
}

func (f *limitFleet) now() time.Duration { return time.Hour + time.Since(f.begun) }

// limitTransport passes requests to the VM whose name is the host, after latency.
type limitTransport struct {
	*limitFleet
	from *limitVM
}

// latency is the one-way latency between regions.
const latency = 20 * time.Millisecond

func (l limitTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	l.from.calls.Add(1)
	l.from.most.Store(max(l.from.most.Load(), l.from.inFlight.Add(1)))
	defer l.from.inFlight.Add(-1)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	time.Sleep(latency)
	to := l.named(q.URL.Host)
	if l.from.cut.Load() || to.cut.Load() {
		<-q.Context().Done()
		return nil, errCut
	}
	w := httptest.NewRecorder()
	r := q.Clone(context.Background())
	r.Body = io.NopCloser(bytes.NewReader(body))
	to.fleet.handler().ServeHTTP(w, r)
	time.Sleep(latency)
	if err := q.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

func (f *limitFleet) named(name string) *limitVM {
	for _, v := range f.vms {
		if v.Settings.VM() == name {
			return v
		}
	}
	f.t.Errorf("call to unknown VM %s", name)
	return f.vms[0]
}

// limiterOf returns the first limiter of a customer.
func (f *limitFleet) limiterOf(name string) *limitVM {
	l := f.vms[0].admission
	p := l.placesOf(l.directory.members(), len(f.vms), quota.BucketOf(name, quota.Buckets(len(f.vms))))
	return f.named(p.order[0])
}

// offer sends operations of a customer to the VMs in turn, as long as given.
func (f *limitFleet) offer(c *customer.Customer, every, length time.Duration, vms ...*limitVM) {
	wait := sync.WaitGroup{}
	for i := 0; time.Duration(i)*every < length; i++ {
		wait.Go(func() {
			if _, ok := vms[i%len(vms)].admission.Admit(f.t.Context(), c); !ok {
				f.refused.Add(1)
				return
			}
			f.lock.Lock()
			defer f.lock.Unlock()
			f.admitted = append(f.admitted, f.now())
		})
		time.Sleep(every)
	}
	wait.Wait()
}

// since returns how many operations were admitted from a time on.
func (f *limitFleet) since(from time.Duration) int {
	n := 0
	for _, at := range f.admitted {
		if at >= from {
			n++
		}
	}
	return n
}

// checkSum reports a window of any length in which more was admitted than the limit.
func (f *limitFleet) checkSum(c customer.Customer) {
	for i, from := range f.admitted {
		for j, to := range f.admitted[i:] {
			if most := c.Rate*(to-from).Seconds() + c.Burst; float64(j+1) > most+0.01 {
				f.t.Fatalf("%d operations admitted in %s, want at most %.1f", j+1, to-from, most)
			}
		}
	}
}

// TestLimitsRefuseNothingBelow guards against refusals of a customer within its limit
// while nothing fails, on VMs that it has not used before. When a limiter stops, the shares
// rest for longer than an operation waits, and the next begins without tokens, so a VM may
// refuse two operations.
func TestLimitsRefuseNothingBelow(t *testing.T) {
	cases := map[string]struct {
		customer customer.Customer
		every    time.Duration
		stops    bool
	}{
		"small":                    {customer.Customer{Name: "small", Rate: 1.6, Burst: 2}, 700 * time.Millisecond, false},
		"large":                    {customer.Customer{Name: "large", Rate: 246, Burst: 246}, 5 * time.Millisecond, false},
		"large, its limiter stops": {customer.Customer{Name: "large", Rate: 246, Burst: 246}, 10 * time.Millisecond, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withLimitFleet(t, 40, []customer.Customer{c.customer}, func(f *limitFleet) {
				vms := f.vms
				if c.stops {
					stopped := f.limiterOf(c.customer.Name)
					vms = []*limitVM{}
					for _, v := range f.vms {
						if v != stopped {
							vms = append(vms, v)
						}
					}
					time.AfterFunc(5*time.Second, func() { stopped.stopping.Store(true) })
				}
				f.offer(&c.customer, c.every, 20*time.Second, vms...)
				f.checkSum(c.customer)
				allowed := int64(0)
				if c.stops {
					allowed = 2 * int64(len(vms))
				}
				t.Logf("%d operations refused, %d admitted", f.refused.Load(), len(f.admitted))
				if n := f.refused.Load(); n > allowed {
					t.Errorf("%d operations refused, want at most %d", n, allowed)
				}
			})
		})
	}
}

// TestLimitsHoldThroughFailures guards against admissions above the limit, and against
// refusals for longer than the delegations last, when VMs are cut off.
func TestLimitsHoldThroughFailures(t *testing.T) {
	c := customer.Customer{Name: "large", Rate: 100, Burst: 100}
	cases := map[string]struct {
		cut func(f *limitFleet) []*limitVM
		// want is the least part of the limit that is admitted on the VMs that are not
		// cut off, from 3 s after the failure on.
		want float64
	}{
		"the limiter":            {func(f *limitFleet) []*limitVM { return []*limitVM{f.limiterOf(c.Name)} }, 0.85},
		"another VM":             {func(f *limitFleet) []*limitVM { return []*limitVM{f.vms[0]} }, 0.85},
		"half of the VMs, split": {func(f *limitFleet) []*limitVM { return f.vms[:5] }, 0.4},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			withLimitFleet(t, 10, []customer.Customer{c}, func(f *limitFleet) {
				go func() {
					time.Sleep(5 * time.Second)
					for _, v := range k.cut(f) {
						v.cut.Store(true)
					}
					time.Sleep(10 * time.Second)
					for _, v := range f.vms {
						v.cut.Store(false)
					}
				}()
				from := f.now() + 8*time.Second
				f.offer(&c, 4*time.Millisecond, 15*time.Second, f.vms...)
				f.checkSum(c)
				if got := float64(f.since(from)); got < k.want*c.Rate*7 {
					t.Errorf("%.0f operations admitted in 7 s of the failure, want %.0f", got, k.want*c.Rate*7)
				}
			})
		})
	}
}

// TestLimitsCauseFewCalls guards against a call for each operation of a customer far over
// its limit, and against calls where nothing is limited.
func TestLimitsCauseFewCalls(t *testing.T) {
	cases := map[string]struct {
		customer customer.Customer
		want     float64
	}{
		"far over its limit": {customer.Customer{Name: "large", Rate: 30, Burst: 30}, 10},
		"without a limit":    {customer.Customer{Name: "large"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withLimitFleet(t, 6, []customer.Customer{c.customer}, func(f *limitFleet) {
				count := func() (calls int64) {
					for _, v := range f.vms {
						calls += v.calls.Load()
					}
					return calls
				}
				before := count()
				f.offer(&c.customer, 2*time.Millisecond, 10*time.Second, f.vms...)
				perSecond := float64(count()-before) / 10 / float64(len(f.vms))
				t.Logf("%.1f calls a second per VM; admitted %d, refused %d", perSecond, len(f.admitted), f.refused.Load())
				if perSecond > c.want {
					t.Errorf("%.1f calls a second per VM, want at most %.1f", perSecond, c.want)
				}
				for _, v := range f.vms {
					if n := v.most.Load(); n > int64(quota.Buckets(len(f.vms))) {
						t.Errorf("%d calls in flight at once, want one for each hash bucket", n)
					}
				}
			})
		})
	}
}

// TestLimitMetricsAreBounded guards against a label for each customer, and counters that
// fall when another customer gets one.
func TestLimitMetricsAreBounded(t *testing.T) {
	m := newLimitMetrics()
	count := func(n, each int) {
		for i := range n {
			for range each {
				m.decided(fmt.Sprintf("customer-%d", i), true)
			}
		}
	}
	sum := func(list map[string]limitCounts) (total uint64) {
		for _, c := range list {
			total += c.admitted
		}
		return total
	}
	count(3, 2)
	first := m.byLabel()
	count(50, 1)
	second := m.byLabel()
	if len(first) != 3 || len(second) != maxCustomerLabels+1 || sum(second) != 56 {
		t.Errorf("%d and then %d labels with a sum of %d, want 3, %d and 56", len(first), len(second), sum(second), maxCustomerLabels+1)
	}
	for name, c := range first {
		if second[name].admitted < c.admitted {
			t.Errorf("counter of %s fell", name)
		}
	}
}

// BenchmarkAdmitWithTokens measures an admission from tokens at hand, with all that is
// between the caller and them.
func BenchmarkAdmitWithTokens(b *testing.B) {
	text := strings.NewReplacer("\n", "").Replace(`{"vm": "vm-0", "zone": "z", "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "peers": "10.0.0.1:3",
		"metrics": "10.0.0.1:4", "relay": "10.0.0.1:5", "store": "10.0.0.1:6", "duty": "10.0.0.1:7", "memory": 512, "grace": "6s", "first": true}`)
	settings, err := ParseSettings("vm.json", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	v := &VM{Settings: settings, Now: func() time.Duration { return time.Hour }, Log: logr.Discard()}
	l := newLimits(newFleet(v))
	c := &customer.Customer{Name: "choir", Rate: 1e15, Burst: 1e15}
	bucket := newLimitBucket(l, 0, 0)
	bucket.client.SetStanding(true, true)
	// The VM has used its own share, which is all, for 50 minutes.
	bucket.client.Next(10*time.Minute, nil, 1)
	l.layout.Store(&limitLayout{buckets: []*limitBucket{bucket}})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := l.Admit(b.Context(), c); !ok {
			b.Fatal("no token is left")
		}
	}
}

// TestVMsOwnTheirSharesAfterTheyVanish guards against a share that is divided among the
// other VMs while a VM that is cut off still uses it.
func TestVMsOwnTheirSharesAfterTheyVanish(t *testing.T) {
	cases := map[string]struct {
		left  bool
		after time.Duration
		want  int
	}{
		"vanished":          {false, shareRetention, 2},
		"vanished long ago": {false, shareRetention + time.Second, 1},
		"left":              {true, time.Second, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := vmCounter{seen: map[string]time.Duration{}, left: map[string]bool{}}
			both := newMembership([]Peer{{Name: "vm-0"}, {Name: "vm-1"}})
			if got := n.count(time.Hour, both, map[string]bool{"vm-1": c.left}); got != 2 {
				t.Errorf("%d VMs, want 2", got)
			}
			one := newMembership([]Peer{{Name: "vm-0"}})
			if got := n.count(time.Hour+c.after, one, nil); got != c.want || n.last() != got {
				t.Errorf("%d VMs, want %d", got, c.want)
			}
		})
	}
}

// TestVMDelegatesOnceOthersCountIt guards against a new VM that delegates a share while
// the others still divide the limits among themselves, and against a pause of the whole
// system after all VMs were lost: those that return were counted all the while.
func TestVMDelegatesOnceOthersCountIt(t *testing.T) {
	cases := map[string]struct {
		first       bool
		returned    bool
		registered  time.Duration
		after       time.Duration
		wantCounted bool
	}{
		"has just joined":            {false, false, time.Second, joinDelay - 1, false},
		"joined":                     {false, false, time.Second, joinDelay, true},
		"returned":                   {false, true, time.Second, 0, true},
		"first start of the system":  {true, false, time.Second, 0, true},
		"long after the first start": {true, false, time.Minute, joinDelay - 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			l := newLimits(newFleet(&VM{Settings: Settings{first: c.first}, startedAt: now, Now: func() time.Duration { return now }, directory: &Directory{selfReturned: c.returned}}))
			now += c.registered
			if l.counted(false) {
				t.Error("counted before it is registered")
			}
			l.counted(true)
			now += c.after
			if got := l.counted(true); got != c.wantCounted {
				t.Errorf("counted %v, want %v", got, c.wantCounted)
			}
		})
	}
}
