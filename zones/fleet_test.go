package zones_test

import (
	"context"
	"errors"
	"math/rand"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/session"
	"amaranthsill/zones"
)

// fleet is a model of VMs and targets in several zones, to be run in a synctest bubble.
type fleet struct {
	begin   time.Time
	regions map[string]string
	targets map[string]*modelTarget
	vms     []*modelVM

	lock sync.Mutex
	// cut holds the zones that are split from the others.
	cut map[string]bool
	// gone holds the targets that have left.
	gone map[string]bool
}

func (f *fleet) now() time.Duration { return time.Since(f.begin) + time.Hour }

// second returns the seconds since the begin.
func (f *fleet) second() float64 { return time.Since(f.begin).Seconds() }

// trip returns the one-way latency between two zones.
func (f *fleet) trip(from, to string) time.Duration {
	switch {
	case from == to:
		return 200 * time.Microsecond
	case f.regions[from] == f.regions[to]:
		return 1400 * time.Microsecond
	default:
		return 20 * time.Millisecond
	}
}

func (f *fleet) split(from, to string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return from != to && (f.cut[from] || f.cut[to])
}

func (f *fleet) setCut(zone string, cut bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.cut[zone] = cut
}

func (f *fleet) setGone(target string, gone bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.gone[target] = gone
}

// registered returns the targets that have not left.
func (f *fleet) registered() []pool.Target {
	f.lock.Lock()
	defer f.lock.Unlock()
	list := []pool.Target{}
	for _, t := range f.targets {
		if !f.gone[t.ID] {
			list = append(list, t.Target)
		}
	}
	return list
}

// modelTarget runs as many statements at once as it has slots, those of its own zone
// first. Up to queueFactor times as many wait; the rest is refused as full.
type modelTarget struct {
	pool.Target
	lock       sync.Mutex
	execution  time.Duration
	active     int
	own, other []chan bool
	// turnedAway is the number of statements from other zones that were refused.
	turnedAway int
}

const queueFactor = 4

func (t *modelTarget) setExecution(d time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.execution = d
}

// execute runs a statement; false if it is refused.
func (t *modelTarget) execute(own bool) bool {
	t.lock.Lock()
	if t.active == t.Slots {
		if len(t.own)+len(t.other) == queueFactor*t.Slots {
			if !own || len(t.other) > 0 {
				t.turnedAway++
			}
			if !own || len(t.other) == 0 {
				t.lock.Unlock()
				return false
			}
			t.other[len(t.other)-1] <- false
			t.other = t.other[:len(t.other)-1]
		}
		turn := make(chan bool, 1)
		if own {
			t.own = append(t.own, turn)
		} else {
			t.other = append(t.other, turn)
		}
		t.lock.Unlock()
		if !<-turn {
			return false
		}
		t.lock.Lock()
	} else {
		t.active++
	}
	d := t.execution
	t.lock.Unlock()
	time.Sleep(d)
	t.lock.Lock()
	defer t.lock.Unlock()
	switch {
	case len(t.own) > 0:
		t.own[0] <- true
		t.own = t.own[1:]
	case len(t.other) > 0:
		t.other[0] <- true
		t.other = t.other[1:]
	default:
		t.active--
	}
	return true
}

// modelVM is a VM with callers that send reads.
type modelVM struct {
	*pool.Group
	fleet *fleet
	rate  func(second float64) float64

	lock sync.Mutex
	// seconds counts the results by the second in which the statement arrived, and
	// shares holds the share at each step.
	seconds []results
	shares  []float64
}

// results counts statements by the zone in which they were served.
type results struct {
	sent, refused int
	served        map[string]int
	took          time.Duration
}

// Dial implements pool.Dialer.
func (v *modelVM) Dial(_ context.Context, t pool.Target, _ string) (pool.Link, query.Position, error) {
	if v.fleet.split(v.Zone, t.Zone) {
		time.Sleep(300 * time.Millisecond)
		return nil, query.Position{}, errors.New("no route")
	}
	time.Sleep(4*v.fleet.trip(v.Zone, t.Zone) + 12*time.Millisecond)
	return &modelLink{vm: v, target: v.fleet.targets[t.ID]}, query.Position{}, nil
}

func (v *modelVM) Affinity(pool.Target, string) string { return "" }

func (v *modelVM) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

// modelLink is a link with at most one order under way.
type modelLink struct {
	vm     *modelVM
	target *modelTarget
	order  pool.Order

	lock     sync.Mutex
	deadline time.Time
}

func (l *modelLink) Send(o ...pool.Order) error {
	l.order = o[len(o)-1]
	return nil
}

func (l *modelLink) SetDeadline(t time.Time) error {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.deadline = t
	return nil
}

func (l *modelLink) Close() {}

// travel passes one way; its error reports that the message was lost.
func (l *modelLink) travel() error {
	time.Sleep(l.vm.fleet.trip(l.vm.Zone, l.target.Zone))
	if !l.vm.fleet.split(l.vm.Zone, l.target.Zone) {
		return nil
	}
	for {
		l.lock.Lock()
		passed := time.Now().After(l.deadline)
		l.lock.Unlock()
		if passed {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *modelLink) Receive() (query.Reply, error) {
	if err := l.travel(); err != nil {
		return query.Reply{}, err
	}
	r := query.Reply{Receipt: "mac", Rows: []string{string(make([]byte, 200))}}
	if _, ok := l.order.(pool.Locate); ok {
		r = query.Reply{Position: group.At(1, 1)}
	} else if !l.target.execute(l.target.Zone == l.vm.Zone) {
		r = query.Reply{Failure: &query.Failure{Code: query.CodeBusy}}
	}
	return r, l.travel()
}

// addVMs adds VMs to a zone, each of which sends a rate of reads a second.
func (f *fleet) addVMs(zone string, count int, traffic zones.Traffic, rate func(second float64) float64) {
	traffic.RegionOf = f.regions
	for range count {
		v := &modelVM{fleet: f, rate: rate}
		v.Group = &pool.Group{Name: "choir", Zone: zone, Dialer: v, Now: f.now, Log: logr.Discard(), Traffic: &traffic}
		f.vms = append(f.vms, v)
	}
}

// run runs all VMs for a time.
func (f *fleet) run(d time.Duration) {
	running := sync.WaitGroup{}
	for i, v := range f.vms {
		v.seconds = make([]results, int(d/time.Second)+1)
		for s := range v.seconds {
			v.seconds[s].served = map[string]int{}
		}
		running.Go(func() { v.supervise(d) })
		running.Go(func() { v.send(d, rand.New(rand.NewSource(int64(i+1)))) })
	}
	running.Wait()
}

// supervise configures the pool again and again, as a VM's supervisor does.
func (v *modelVM) supervise(d time.Duration) {
	for i := 0; v.fleet.second() < d.Seconds(); i++ {
		v.Configure(v.fleet.registered(), 64)
		v.SetLeader("b")
		if i%5 == 0 {
			v.lock.Lock()
			v.shares = append(v.shares, v.CrossZoneShare())
			v.lock.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// send sends reads until the time is over, and waits for their results.
func (v *modelVM) send(d time.Duration, r *rand.Rand) {
	running := sync.WaitGroup{}
	defer running.Wait()
	time.Sleep(time.Duration(r.Int63n(int64(50 * time.Millisecond))))
	for v.fleet.second() < d.Seconds() {
		rate := v.rate(v.fleet.second())
		if rate == 0 {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		running.Go(v.read)
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
	}
}

// read sends one read with all its tries, as package front does.
func (v *modelVM) read() {
	begin := v.fleet.now()
	second := int(v.fleet.second())
	n := pool.Need{Until: begin + 560*time.Millisecond, QueueDeadline: begin + 250*time.Millisecond, Route: "r"}
	zone := ""
	for range 6 {
		s, err := v.Acquire(context.Background(), n)
		if err != nil {
			break
		}
		a, err := s.Execute(pool.Forward{Query: query.Query{Text: "get item"}}, &session.State{}, nil, begin+800*time.Millisecond)
		s.Release()
		if err != nil {
			n.Tried = append(n.Tried, s.Target())
			continue
		}
		if a.Failure == nil {
			zone = v.fleet.targets[s.Target()].Zone
			break
		}
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	c := &v.seconds[second]
	c.sent++
	if zone == "" {
		c.refused++
		return
	}
	c.served[zone]++
	c.took += v.fleet.now() - begin
}

// sum returns the results of a zone's callers from one second to another.
func (f *fleet) sum(zone string, from, to int) results {
	sum := results{served: map[string]int{}}
	for _, v := range f.vms {
		if v.Zone != zone {
			continue
		}
		for _, c := range v.seconds[from:to] {
			sum.sent += c.sent
			sum.refused += c.refused
			sum.took += c.took
			for z, n := range c.served {
				sum.served[z] += n
			}
		}
	}
	return sum
}

// part returns the part of the sent statements that was served in some zones.
func (r results) part(zone ...string) float64 {
	n := 0
	for _, z := range zone {
		n += r.served[z]
	}
	return float64(n) / float64(max(r.sent, 1))
}
