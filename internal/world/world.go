// Package world runs the decisions of package group in virtual time, against
// fakes of the targets, the network, the platform's lease and the callers.
// Nothing in it waits, and a seed decides everything that is left to chance.
//
// # Usage
//
//	w := &world.World{Shape: world.Cooperative(), Seed: 1}
//	w.Start()
//	w.At(5*time.Second, world.KillTarget{Target: 0, For: 10 * time.Second})
//	w.Run(60 * time.Second)
//	err := w.Check()
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthsill/group"
)

// Shape describes the machines, the links and the work of one run.
type Shape struct {
	// Zones is the number of availability zones, with one target each.
	Zones int
	// VMs is the number of entry VMs; they are spread over the zones.
	VMs int
	// Between is the one-way delay between zones.
	Between time.Duration
	// Within is the one-way delay inside a zone.
	Within time.Duration
	// Client is the one-way delay between callers and VMs.
	Client time.Duration
	// Jitter is the most that a delay grows, as a multiple of itself.
	Jitter float64
	// Loss is the share of messages that must be sent again.
	Loss float64
	// Connections is how many connections a target takes from all VMs.
	Connections int
	// Slots is how many requests a target runs at a time.
	Slots int
	// Dial is how long a new connection takes besides the trips.
	Dial time.Duration
	// Service is how long a request runs on a target.
	Service time.Duration
	// Lag is how long a replica takes to show a received entry.
	Lag time.Duration
	// Sessions is the number of callers' sessions.
	Sessions int
	// Think is the mean time between a session's requests.
	Think time.Duration
	// Reads and Aged are the shares of current and of aged reads among the
	// requests; the rest are writes, of which Transactions is the share that
	// comes as transactions.
	Reads        float64
	Aged         float64
	Transactions float64
	// Age is the stated age of aged reads.
	Age time.Duration
	// Patience is how long reads may wait for a replica; zero means the
	// machine's own choice.
	Patience time.Duration
	// Roam is the number of requests after which a session changes its VM;
	// zero means never.
	Roam int
	// Token reports that sessions take their token along.
	Token bool
	// Timeout bounds each request.
	Timeout time.Duration
	// Policy is how reads are routed.
	Policy Policy
}

// Policy is a way to route reads, for comparison.
type Policy uint8

// The policies.
const (
	// PolicyFull is the system's own.
	PolicyFull Policy = iota
	// PolicyPrimary sends every read to the primary.
	PolicyPrimary
	// PolicyFloor takes any replica at or above the session's floor, without
	// waiting and without a read index.
	PolicyFloor
)

// Cooperative is the shape of Cooperativa Coral Voces del Altiplano.
func Cooperative() Shape {
	s := common()
	s.Between = 5 * time.Millisecond
	s.Client = time.Millisecond
	s.Connections = 20
	s.Reads, s.Aged = 0.3, 0.5
	return s
}

// Habimana is the shape of Habimana Freres Fiscal Recovery.
func Habimana() Shape {
	s := common()
	s.Between = 3500 * time.Microsecond
	s.Client = 3 * time.Millisecond
	s.Connections = 40
	s.Reads, s.Aged = 0.3, 0.3
	return s
}

func common() Shape {
	return Shape{
		Zones:        3,
		VMs:          6,
		Within:       300 * time.Microsecond,
		Slots:        3,
		Dial:         12 * time.Millisecond,
		Service:      time.Millisecond,
		Lag:          5 * time.Millisecond,
		Jitter:       0.2,
		Sessions:     24,
		Think:        100 * time.Millisecond,
		Transactions: 0.1,
		Age:          2 * time.Second,
		Roam:         10,
		Token:        true,
		Timeout:      5 * time.Second,
	}
}

// World is one run. Set the exported fields before Start.
type World struct {
	Shape Shape
	Seed  uint64
	// Limits are the machines' times; the zero value means
	// group.DefaultLimits.
	Limits group.Limits
	// Idle starts no callers.
	Idle bool
	// Clock, if not nil, measures the time that the machines take.
	Clock func() time.Time
	// Trace receives a line for each note and fault; nil means none.
	Trace func(now time.Duration, line string)

	now      time.Duration
	queue    queue
	sequence uint64
	random   *rand.Rand
	targets  []*target
	vms      []*vm
	sessions []*session
	platform platform
	cuts     map[link]bool
	stopped  bool
	failures []string
	steps    int
	spent    time.Duration
	nextID   uint64
	history  History
	started  []time.Duration
}

// Steps returns how many events the machines have taken.
func (w *World) Steps() int { return w.steps }

// Spent returns the time that the machines took, by Clock.
func (w *World) Spent() time.Duration { return w.spent }

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// Start builds the machines. The first promotion takes place in Run.
func (w *World) Start() {
	if w.Limits == (group.Limits{}) {
		w.Limits = group.DefaultLimits()
	}
	w.random = rand.New(rand.NewPCG(w.Seed, w.Seed^0x9e3779b97f4a7c15))
	w.cuts = map[link]bool{}
	for z := range w.Shape.Zones {
		w.targets = append(w.targets, newTarget(w, z))
	}
	for i := range w.Shape.VMs {
		w.vms = append(w.vms, newVM(w, i))
	}
	for _, v := range w.vms {
		v.start()
	}
	if w.Idle {
		return
	}
	for i := range w.Shape.Sessions {
		s := newSession(w, i)
		w.sessions = append(w.sessions, s)
		w.after(settle+w.chance(w.Shape.Think), s.next)
	}
}

// settle is the time that the first promotion gets before callers come.
const settle = 2 * time.Second

// Run lets the virtual time pass until the given moment.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*entry)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Quiet stops new requests and lets those under way end.
func (w *World) Quiet(d time.Duration) {
	w.stopped = true
	w.Run(w.now + d)
}

// fail records a promise that did not hold.
func (w *World) fail(format string, args ...any) {
	const most = 20
	if len(w.failures) < most {
		w.failures = append(w.failures, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *World) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.now, fmt.Sprintf(format, args...))
	}
}

func (w *World) id() uint64 {
	w.nextID++
	return w.nextID
}

// chance returns a random time with the given mean, at most three times it.
func (w *World) chance(mean time.Duration) time.Duration {
	const most = 3
	return min(most*mean, time.Duration(w.random.ExpFloat64()*float64(mean)))
}

func (w *World) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, &entry{at: w.now + max(d, 0), sequence: w.sequence, do: do})
}

// entry is something that will happen.
type entry struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// queue orders entries by time, then by the order of their making.
type queue []*entry

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*entry)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
