// Package fleet is a simulation of package roster: it runs the roster state
// machines of many VMs in virtual time over in-memory links, against a simulated
// platform with its list of hosts and the manifest in its store. All random
// choices follow from a seed.
//
// It tests the membership of VMs and the distribution of the manifest, without
// groups and requests, which package world simulates.
//
// # Usage
//
//	f := &fleet.Fleet{Seed: 1, Zones: 5}
//	f.AddVMs(860)
//	f.Run(time.Minute)
//	f.Publish()
//	f.Run(2 * time.Minute)
//	fmt.Println(f.LatestInForceEverywhere())
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthsill/peer"
	"amaranthsill/roster"
)

// linkDelay is the least one-way delay between two VMs; a call's request takes
// up to twice that.
const linkDelay = 5 * time.Millisecond

// manifestBytes is the assumed size of the compressed manifest that one Fetch
// transfers.
const manifestBytes = 40 << 10

// Fleet is one simulation run. Set the exported fields before AddVMs.
type Fleet struct {
	// Seed determines the random choices of the run.
	Seed uint64
	// Zones is the number of availability zones; VMs are assigned to them in
	// turn.
	Zones int

	now           time.Duration
	queue         eventQueue
	sequence      int
	random        *rand.Rand
	vms           []*controller
	byName        map[string]*controller
	starts        uint64
	version       uint64
	bytesSent     int
	platformCalls int
	processorTime time.Duration
	outageUntil   time.Duration
	cutUntil      map[int]time.Duration
	targets       []string
	leaving       map[string]bool
	violations    []string
}

// controller is the control part of one simulated VM: its roster state
// machine and the version of the manifest that it has in force.
type controller struct {
	fleet   *Fleet
	machine *roster.Machine
	name    string
	zone    int
	version uint64
	// stopped reports that Replace has ended the VM.
	stopped     bool
	frozenUntil time.Duration
	// nextTick is the virtual time of the state machine's next Ticked event.
	nextTick time.Duration
}

// AddVMs adds n VMs, which all start at the present virtual time.
func (f *Fleet) AddVMs(n int) {
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, uint64(n)))
		f.byName = map[string]*controller{}
		f.cutUntil = map[int]time.Duration{}
	}
	first := len(f.vms)
	for i := range n {
		f.add(fmt.Sprintf("vm-%04d", first+i), i)
	}
	for _, c := range f.vms[first:] {
		c.start()
	}
}

func (f *Fleet) add(name string, zone int) *controller {
	f.starts++
	zone %= f.Zones
	self := roster.NewMember(name, fmt.Sprintf("z%d", zone), name+":1", f.starts, roster.StateAlive)
	c := &controller{fleet: f, name: name, zone: zone, machine: &roster.Machine{Self: self, Limits: roster.DefaultLimits(), Seed: f.starts}}
	f.byName[name] = c
	f.vms = append(f.vms, c)
	return c
}

// start gives the state machine the platform's list, if the platform can be
// reached, and starts the VM's polling of the platform.
func (c *controller) start() {
	if c.fleet.platformReachable(c) {
		c.step(roster.Listed{Members: c.fleet.listMembers()})
	}
	c.pollPlatform()
}

func (f *Fleet) platformReachable(c *controller) bool {
	return f.now >= f.outageUntil && f.now >= f.cutUntil[c.zone]
}

// listMembers returns the platform's list of hosts: the VMs that have not been
// stopped, and the hosts of the targets. A VM's address is never dialled, so its
// port is arbitrary, but it must not be empty: targets are the members without an
// address. Their zone is arbitrary too, since package roster only compares the
// zones of VMs.
func (f *Fleet) listMembers() []roster.Member {
	out := []roster.Member{}
	for _, c := range f.vms {
		if !c.stopped {
			out = append(out, roster.NewMember(c.name, c.machine.Self.Zone(), c.name+":1", c.machine.Self.Incarnation(), roster.StateAlive))
		}
	}
	for _, name := range f.targets {
		state := roster.StateAlive
		if f.leaving[name] {
			state = roster.StateLeaving
		}
		out = append(out, roster.NewMember(name, "z0", "", 0, state))
	}
	return out
}

// AddTarget adds a target's host to the platform's list. It resets the
// leaving marks of all targets.
func (f *Fleet) AddTarget(name string) {
	f.targets = append(f.targets, name)
	f.leaving = map[string]bool{}
}

// SetLeaving sets whether the platform's list shows a target's host as
// leaving. Call AddTarget first.
func (f *Fleet) SetLeaving(name string, leaving bool) { f.leaving[name] = leaving }

// VMsAwareOfLeaving returns how many VMs know that the named host is leaving.
func (f *Fleet) VMsAwareOfLeaving(name string) int {
	n := 0
	for _, c := range f.vms {
		if !c.stopped && c.machine.LeavingNames()[name] {
			n++
		}
	}
	return n
}

// pollPlatform polls the platform while the VM watches it for its
// zone: for the list of hosts once a second and for the manifest every fifth
// time, which stands for the renewal of a watch. The phase is random.
func (c *controller) pollPlatform() {
	const interval = time.Second
	const manifestEvery = 5
	f := c.fleet
	round := 0
	var poll func()
	poll = func() {
		if c.stopped {
			return
		}
		if c.machine.WatchesPlatform() && c.running() {
			f.platformCalls++
			reachable := f.platformReachable(c)
			if reachable {
				c.step(roster.Listed{Members: f.listMembers()})
			}
			if round%manifestEvery == 0 && reachable {
				f.platformCalls++
				c.install(f.version)
				c.step(roster.VersionHeld{Document: peer.ManifestDocument, Version: f.version, Confirmed: true})
			}
		}
		round++
		f.schedule(interval, poll)
	}
	f.schedule(time.Duration(f.random.Int64N(int64(interval))), poll)
}

func (c *controller) running() bool { return !c.stopped && c.fleet.now >= c.frozenUntil }

func (c *controller) step(e roster.Event) {
	f := c.fleet
	if c.stopped {
		return
	}
	if !c.running() {
		f.schedule(c.frozenUntil-f.now, func() { c.step(e) })
		return
	}
	begin := time.Now()
	actions := append([]roster.Action{}, c.machine.Step(f.now, e)...)
	f.processorTime += time.Since(begin)
	for _, a := range actions {
		c.perform(a)
	}
	if at := c.machine.Next(); at != c.nextTick {
		c.nextTick = at
		f.schedule(at-f.now, func() {
			if !c.stopped && c.nextTick == at {
				c.step(roster.Ticked{})
			}
		})
	}
}

func (c *controller) perform(a roster.Action) {
	f := c.fleet
	switch a := a.(type) {
	case roster.Send:
		f.countMessage(a.Knowledge)
		to := f.byName[a.To.Name()]
		f.deliver(c, to, func() { to.receive(c, a) }, func() { c.step(roster.Failed{To: a.To.Name()}) })
	case roster.Fetch:
		from := f.byName[a.From.Name()]
		f.deliver(c, from, func() {
			version := from.version
			f.bytesSent += manifestBytes
			f.schedule(linkDelay, func() { c.install(version) })
		}, func() { c.step(roster.Failed{To: a.From.Name()}) })
	case roster.Reply, roster.Changed:
	default:
		panic(fmt.Sprintf("fleet: unknown roster action %T", a))
	}
}

// deliver runs do once a call has reached another VM. If that VM has ended,
// failed runs after a round trip; if it is frozen or cut off, after the call's
// timeout.
func (f *Fleet) deliver(from, to *controller, do, failed func()) {
	const callTimeout = 2 * time.Second
	switch {
	case to == nil || to.stopped:
		f.schedule(2*linkDelay, failed)
		return
	case f.separated(from, to) || !to.running():
		f.schedule(callTimeout, failed)
		return
	}
	f.schedule(linkDelay+time.Duration(f.random.Int64N(int64(linkDelay))), do)
}

// separated reports whether two VMs are in different zones one of which is cut
// off.
func (f *Fleet) separated(a, b *controller) bool {
	if a.zone == b.zone {
		return false
	}
	return f.now < f.cutUntil[a.zone] || f.now < f.cutUntil[b.zone]
}

func (c *controller) receive(from *controller, s roster.Send) {
	f := c.fleet
	if c.stopped {
		return
	}
	begin := time.Now()
	actions := append([]roster.Action{}, c.machine.Step(f.now, roster.Received{Knowledge: s.Knowledge})...)
	f.processorTime += time.Since(begin)
	for _, a := range actions {
		if r, ok := a.(roster.Reply); ok {
			f.countMessage(r.Knowledge)
			f.schedule(linkDelay, func() { from.step(roster.Answered{From: c.name, Knowledge: r.Knowledge}) })
			continue
		}
		c.perform(a)
	}
}

func (c *controller) install(version uint64) {
	if c.stopped {
		return
	}
	if !c.running() {
		c.fleet.schedule(c.frozenUntil-c.fleet.now, func() { c.install(version) })
		return
	}
	if version <= c.version {
		return
	}
	c.version = version
	c.step(roster.VersionHeld{Document: peer.ManifestDocument, Version: version})
	if current := c.machine.Version(peer.ManifestDocument); current < version {
		c.fleet.violations = append(c.fleet.violations, fmt.Sprintf("%s went down from version %d to %d", c.name, version, current))
	}
}

// callOverheadBytes is the assumed size of a message's headers on the wire.
const callOverheadBytes = 120

func (f *Fleet) countMessage(k roster.Knowledge) {
	f.bytesSent += callOverheadBytes + proto.Size(peer.EncodeKnowledge(k))
}

// Publish puts the manifest's next version into the platform's store. The VMs
// that watch the platform and reach it get it after linkDelay, through their
// watch.
func (f *Fleet) Publish() {
	f.version++
	version := f.version
	for _, c := range f.vms {
		if c.stopped || !c.machine.WatchesPlatform() || !f.platformReachable(c) {
			continue
		}
		f.schedule(linkDelay, func() {
			c.install(version)
			c.step(roster.VersionHeld{Document: peer.ManifestDocument, Version: version, Confirmed: true})
		})
	}
}

// LatestInForceEverywhere reports whether every VM has the latest version of
// the manifest in force.
func (f *Fleet) LatestInForceEverywhere() bool {
	for _, c := range f.vms {
		if !c.stopped && c.version < f.version {
			return false
		}
	}
	return true
}

// RostersAgree reports whether every VM's roster holds as many VMs as there are.
func (f *Fleet) RostersAgree() bool {
	up := 0
	for _, c := range f.vms {
		if !c.stopped {
			up++
		}
	}
	for _, c := range f.vms {
		if !c.stopped && len(c.machine.VMs()) != up {
			return false
		}
	}
	return true
}

// UnconfirmedVMs returns how many VMs have not heard recently enough that the
// platform holds their version of the manifest as the latest; see
// roster.Limits.MaxUnconfirmed for the time.
func (f *Fleet) UnconfirmedVMs() int {
	n := 0
	for _, c := range f.vms {
		if !c.stopped && c.machine.Unconfirmed(peer.ManifestDocument) {
			n++
		}
	}
	return n
}

// Replace ends VM i without a message to the others and starts a new VM in its
// zone. The new VM gets the highest number. Numbers wrap around; on a VM that
// has ended there is no effect.
func (f *Fleet) Replace(i int) {
	old := f.vms[i%len(f.vms)]
	if old.stopped {
		return
	}
	old.stopped = true
	n := f.add(fmt.Sprintf("new-%04d", f.starts), old.zone)
	n.start()
}

// Freeze pauses VM i for the time d.
func (f *Fleet) Freeze(i int, d time.Duration) {
	c := f.vms[i%len(f.vms)]
	c.frozenUntil = max(c.frozenUntil, f.now+d)
}

// CutZone cuts a zone off from the other zones and the platform for the time d
// from now on, whatever an earlier call said.
func (f *Fleet) CutZone(zone int, d time.Duration) {
	f.cutUntil[zone%f.Zones] = f.now + d
}

// Outage makes the platform unreachable for all VMs for the time d from now on,
// whatever an earlier call said.
func (f *Fleet) Outage(d time.Duration) { f.outageUntil = f.now + d }

// Cost is the fleet's total use of network, platform and processor.
type Cost struct {
	// BytesSent is the number of bytes that all VMs sent to each other.
	BytesSent int
	// PlatformCalls is the number of requests to the platform.
	PlatformCalls int
	// ProcessorTime is the wall-clock time that the steps of all state machines took.
	ProcessorTime time.Duration
}

// Cost returns the fleet's use of resources since its start.
func (f *Fleet) Cost() Cost {
	return Cost{BytesSent: f.bytesSent, PlatformCalls: f.platformCalls, ProcessorTime: f.processorTime}
}

// Now returns the virtual time since the start of the run.
func (f *Fleet) Now() time.Duration { return f.now }

// At runs do at virtual time t.
func (f *Fleet) At(t time.Duration, do func()) { f.schedule(t-f.now, do) }

// Violations returns a line for each time that a VM went back to an older
// version of the manifest.
func (f *Fleet) Violations() []string { return f.violations }

func (f *Fleet) schedule(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now + max(d, 0), sequence: f.sequence, do: do})
}

// Run advances the virtual time to until and runs all events due by then.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// event is a callback that is due at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events, ordered by due time and then by the order in
// which they were scheduled.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
