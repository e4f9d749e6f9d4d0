// Package world is a deterministic simulation of package group: it runs the
// group machines of several VMs in virtual time, against simulated targets,
// network links, the platform's promotion lease and callers. It never sleeps,
// and every random choice follows from the seed, so a run with the same seed
// and settings repeats exactly.
//
// It tests the routing and failover of one group. Package fleet does the same
// for the membership of VMs; packages site and standin simulate the
// surroundings of real VMs, in real time and over TCP.
//
// # Usage
//
//	w := &world.World{Scenario: world.Cooperative(), Seed: 1}
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

// Scenario describes the topology, the delays and the workload of one run.
type Scenario struct {
	// Zones is the number of availability zones, with one target each.
	Zones int
	// VMs is the number of VMs, assigned to the zones in turn.
	VMs int
	// InterZoneDelay is the one-way delay between zones, before jitter.
	InterZoneDelay time.Duration
	// IntraZoneDelay is the one-way delay inside a zone, before jitter.
	IntraZoneDelay time.Duration
	// ClientDelay is the one-way delay between callers and VMs.
	ClientDelay time.Duration
	// Jitter bounds the random addition to each delay, as a multiple of that
	// delay.
	Jitter float64
	// Loss is the probability, 0 to 1, that one transmission of a message is
	// lost and has to be retransmitted.
	Loss float64
	// ConnectionLimit is the most request connections that a target accepts from
	// all VMs together.
	ConnectionLimit int
	// Slots is how many requests a target runs concurrently.
	Slots int
	// DialTime is how long a target takes to set up a new connection, in
	// addition to the network delays.
	DialTime time.Duration
	// ServiceTime is how long a request runs on a target.
	ServiceTime time.Duration
	// Lag is the time between a replica's receipt of a log entry and the
	// moment when reads see it.
	Lag time.Duration
	// Sessions is the number of sessions that callers open.
	Sessions int
	// Think is the mean think time: the pause between the end of a session's
	// request and its next one.
	Think time.Duration
	// ReadShare and AgedReadShare are the shares, 0 to 1, of current reads and
	// of reads with a stated age. The rest are writes; TransactionShare is the
	// share of these that are sent as transactions.
	ReadShare        float64
	AgedReadShare    float64
	TransactionShare float64
	// MaxStaleness is how old the data may be that reads with a stated age return.
	MaxStaleness time.Duration
	// ReplicaWait is how much longer than a round trip to the primary a read may
	// wait for a replica; zero means group.Limits.ReplicaWait.
	ReplicaWait time.Duration
	// Roam is the number of operations (a transaction counts once) after
	// which a session switches to another VM; zero means never.
	Roam int
	// KeepToken reports that a session keeps its session token when it switches
	// VMs at its Roam count.
	KeepToken bool
	// Timeout is each request's deadline, counted from its arrival at the VM.
	Timeout time.Duration
	// Policy is how reads are routed.
	Policy Policy
}

// Policy is a read routing policy. Those besides PolicyFull are baselines for
// experiments.
type Policy uint8

// The read routing policies.
const (
	// PolicyFull is the routing of package group, unchanged.
	PolicyFull Policy = iota
	// PolicyPrimary sends every read to the primary.
	PolicyPrimary
	// PolicyFloor reads from any replica whose applied position has reached
	// the session's floor, without waiting and without a read index.
	PolicyFloor
)

// Cooperative returns the scenario of the customer Cooperativa Coral Voces del
// Altiplano.
func Cooperative() Scenario {
	s := commonShape()
	s.InterZoneDelay = 5 * time.Millisecond
	s.ClientDelay = time.Millisecond
	s.ConnectionLimit = 20
	s.ReadShare, s.AgedReadShare = 0.3, 0.5
	return s
}

// Habimana returns the scenario of the customer Habimana Freres Fiscal Recovery.
func Habimana() Scenario {
	s := commonShape()
	s.InterZoneDelay = 3500 * time.Microsecond
	s.ClientDelay = 3 * time.Millisecond
	s.ConnectionLimit = 40
	s.ReadShare, s.AgedReadShare = 0.3, 0.3
	return s
}

func commonShape() Scenario {
	return Scenario{
		Zones:            3,
		VMs:              6,
		IntraZoneDelay:   300 * time.Microsecond,
		Slots:            3,
		DialTime:         12 * time.Millisecond,
		ServiceTime:      time.Millisecond,
		Lag:              5 * time.Millisecond,
		Jitter:           0.2,
		Sessions:         24,
		Think:            100 * time.Millisecond,
		TransactionShare: 0.1,
		MaxStaleness:     2 * time.Second,
		Roam:             10,
		KeepToken:        true,
		Timeout:          5 * time.Second,
	}
}

// World is one simulation run. Set the exported fields before Start.
type World struct {
	// Scenario is the topology and workload.
	Scenario Scenario
	// Seed determines all random choices of the run.
	Seed uint64
	// Limits are the limits of the VMs' group machines; the zero value means
	// group.DefaultLimits.
	Limits group.Limits
	// NoCallers runs the VMs and targets without any caller.
	NoCallers bool
	// Clock, if not nil, is a wall clock that times each step of the group
	// machines, for StepTime.
	Clock func() time.Time
	// Trace, if not nil, receives a line for each fault, restart and
	// machine's note, with the virtual time.
	Trace func(now time.Duration, line string)

	now             time.Duration
	queue           eventQueue
	sequence        uint64
	random          *rand.Rand
	targets         []*target
	vms             []*vm
	sessions        []*session
	platform        platform
	cuts            map[link]bool
	draining        bool
	violations      []string
	steps           int
	stepTime        time.Duration
	lastID          uint64
	history         History
	promotionStarts []time.Duration
}

// Steps returns how many events the VMs' group machines have handled.
func (w *World) Steps() int { return w.steps }

// StepTime returns the total time that the group machines' steps took, measured
// by Clock; it is zero without a Clock.
func (w *World) StepTime() time.Duration { return w.stepTime }

// Now returns the virtual time since the start of the run.
func (w *World) Now() time.Duration { return w.now }

// Start creates the targets, VMs and sessions at virtual time zero. The first
// promotion takes place in Run.
func (w *World) Start() {
	if w.Limits == (group.Limits{}) {
		w.Limits = group.DefaultLimits()
	}
	w.random = rand.New(rand.NewPCG(w.Seed, w.Seed^0x9e3779b97f4a7c15))
	w.cuts = map[link]bool{}
	for z := range w.Scenario.Zones {
		w.targets = append(w.targets, newTarget(w, z))
	}
	for i := range w.Scenario.VMs {
		w.vms = append(w.vms, newVM(w, i))
	}
	for _, v := range w.vms {
		v.start()
	}
	if w.NoCallers {
		return
	}
	for i := range w.Scenario.Sessions {
		s := newSession(w, i)
		w.sessions = append(w.sessions, s)
		w.schedule(warmUp+w.randomDuration(w.Scenario.Think), s.sendNext)
	}
}

// warmUp is the time allowed for the first promotion before sessions send
// their first requests.
const warmUp = 2 * time.Second

// Run advances the virtual time to until and runs all events due by then.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Drain stops sessions from starting new operations and runs for another d,
// in which those in flight finish.
func (w *World) Drain(d time.Duration) {
	w.draining = true
	w.Run(w.now + d)
}

// recordViolation records that an invariant did not hold, for Check. Only the
// first maxViolations are kept.
func (w *World) recordViolation(format string, args ...any) {
	const maxViolations = 20
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *World) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.now, fmt.Sprintf(format, args...))
	}
}

func (w *World) newID() uint64 {
	w.lastID++
	return w.lastID
}

// randomDuration returns an exponentially distributed time with the given
// mean, cut off at three times the mean.
func (w *World) randomDuration(mean time.Duration) time.Duration {
	const maxFactor = 3
	return min(maxFactor*mean, time.Duration(w.random.ExpFloat64()*float64(mean)))
}

func (w *World) schedule(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, &event{at: w.now + max(d, 0), sequence: w.sequence, do: do})
}

// event is a callback that is due at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventQueue is a heap of events, ordered by due time and then by the order in
// which they were scheduled.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
