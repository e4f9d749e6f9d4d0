// Package fleet runs the control machines of many VMs over in-memory links in
// virtual time, with a fake of the platform's list and of the manifest in its
// store.
//
// # Usage
//
//	f := &fleet.Fleet{Seed: 1, Zones: 5}
//	f.Grow(860)
//	f.Run(time.Minute)
//	f.Publish()
//	f.Run(2 * time.Minute)
//	fmt.Println(f.Everywhere())
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

// linkWay is the least one-way delay between two VMs.
const linkWay = 5 * time.Millisecond

// manifestBytes is the size of a compressed manifest that a fetch carries.
const manifestBytes = 40 << 10

// Fleet is many control machines and the links between them. Set the exported
// fields before Grow.
type Fleet struct {
	// Seed decides everything that is left to chance.
	Seed uint64
	// Zones is the number of availability zones.
	Zones int

	now      time.Duration
	queue    events
	sequence int
	random   *rand.Rand
	vms      []*control
	byName   map[string]*control
	started  uint64
	version  uint64
	sent     int
	calls    int
	cpu      time.Duration
	outage   time.Duration
	cuts     map[int]time.Duration
	targets  []string
	leaving  map[string]bool
	failures []string
}

// control is one VM's machine.
type control struct {
	fleet   *Fleet
	machine *roster.Machine
	name    string
	zone    int
	version uint64
	gone    bool
	frozen  time.Duration
	wake    time.Duration
}

// Grow adds VMs that start together.
func (f *Fleet) Grow(n int) {
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, uint64(n)))
		f.byName = map[string]*control{}
		f.cuts = map[int]time.Duration{}
	}
	first := len(f.vms)
	for i := range n {
		f.add(fmt.Sprintf("vm-%04d", first+i), i)
	}
	for _, c := range f.vms[first:] {
		c.begin()
	}
}

func (f *Fleet) add(name string, zone int) *control {
	f.started++
	zone %= f.Zones
	self := roster.NewMember(name, fmt.Sprintf("z%d", zone), name+":1", f.started, roster.StateAlive)
	c := &control{fleet: f, name: name, zone: zone, machine: &roster.Machine{Self: self, Limits: roster.DefaultLimits(), Seed: f.started}}
	f.byName[name] = c
	f.vms = append(f.vms, c)
	return c
}

// begin reads the platform's list and takes up the VM's duties.
func (c *control) begin() {
	if c.fleet.platformUp(c) {
		c.step(roster.Listed{Members: c.fleet.list()})
	}
	c.follow()
}

func (f *Fleet) platformUp(c *control) bool {
	return f.now >= f.outage && f.now >= f.cuts[c.zone]
}

// list is the platform's list of VMs, as it stands once all have started.
func (f *Fleet) list() []roster.Member {
	out := []roster.Member{}
	for _, c := range f.vms {
		if !c.gone {
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

// AddTarget puts a target's machine on the platform's list.
func (f *Fleet) AddTarget(name string) {
	f.targets = append(f.targets, name)
	f.leaving = map[string]bool{}
}

// SetLeaving marks a target's machine on the platform's list.
func (f *Fleet) SetLeaving(name string, leaving bool) { f.leaving[name] = leaving }

// KnowLeaving returns how many VMs know that a machine is leaving.
func (f *Fleet) KnowLeaving(name string) int {
	n := 0
	for _, c := range f.vms {
		if !c.gone && c.machine.LeavingNames()[name] {
			n++
		}
	}
	return n
}

// follow is a spreader's duty: a watch of 5 s and a list each second.
func (c *control) follow() {
	const pause = time.Second
	const watch = 5
	f := c.fleet
	turn := 0
	var duty func()
	duty = func() {
		if c.gone {
			return
		}
		if c.machine.Spreader() && c.awake() {
			f.calls++
			up := f.platformUp(c)
			if up {
				c.step(roster.Listed{Members: f.list()})
			}
			if turn%watch == 0 && up {
				f.calls++
				c.hold(f.version)
				c.step(roster.Held{Document: peer.ManifestDocument, Version: f.version, Confirmed: true})
			}
		}
		turn++
		f.after(pause, duty)
	}
	f.after(time.Duration(f.random.Int64N(int64(pause))), duty)
}

func (c *control) awake() bool { return !c.gone && c.fleet.now >= c.frozen }

func (c *control) step(e roster.Event) {
	f := c.fleet
	if c.gone {
		return
	}
	if !c.awake() {
		f.after(c.frozen-f.now, func() { c.step(e) })
		return
	}
	begin := time.Now()
	actions := append([]roster.Action{}, c.machine.Step(f.now, e)...)
	f.cpu += time.Since(begin)
	for _, a := range actions {
		c.carry(a)
	}
	if at := c.machine.Next(); at != c.wake {
		c.wake = at
		f.after(at-f.now, func() {
			if !c.gone && c.wake == at {
				c.step(roster.Ticked{})
			}
		})
	}
}

func (c *control) carry(a roster.Action) {
	f := c.fleet
	switch a := a.(type) {
	case roster.Send:
		f.count(a.Knowledge)
		to := f.byName[a.To.Name()]
		f.deliver(c, to, func() { to.receive(c, a) }, func() { c.step(roster.Failed{To: a.To.Name()}) })
	case roster.Fetch:
		from := f.byName[a.From.Name()]
		f.deliver(c, from, func() {
			version := from.version
			f.sent += manifestBytes
			f.after(linkWay, func() { c.hold(version) })
		}, func() { c.step(roster.Failed{To: a.From.Name()}) })
	case roster.Reply, roster.Changed:
	default:
		panic(fmt.Sprintf("experiment: unknown action %T", a))
	}
}

// deliver takes a call to another VM, or fails it.
func (f *Fleet) deliver(from, to *control, do, failed func()) {
	const silent = 2 * time.Second
	switch {
	case to == nil || to.gone:
		f.after(2*linkWay, failed)
		return
	case f.apart(from, to) || !to.awake():
		f.after(silent, failed)
		return
	}
	f.after(linkWay+time.Duration(f.random.Int64N(int64(linkWay))), do)
}

// apart reports whether a cut separates two VMs.
func (f *Fleet) apart(a, b *control) bool {
	if a.zone == b.zone {
		return false
	}
	return f.now < f.cuts[a.zone] || f.now < f.cuts[b.zone]
}

func (c *control) receive(from *control, s roster.Send) {
	f := c.fleet
	if c.gone {
		return
	}
	begin := time.Now()
	actions := append([]roster.Action{}, c.machine.Step(f.now, roster.Received{Knowledge: s.Knowledge})...)
	f.cpu += time.Since(begin)
	for _, a := range actions {
		if r, ok := a.(roster.Reply); ok {
			f.count(r.Knowledge)
			f.after(linkWay, func() { from.step(roster.Answered{From: c.name, Knowledge: r.Knowledge}) })
			continue
		}
		c.carry(a)
	}
}

func (c *control) hold(version uint64) {
	if c.gone {
		return
	}
	if !c.awake() {
		c.fleet.after(c.frozen-c.fleet.now, func() { c.hold(version) })
		return
	}
	if version <= c.version {
		return
	}
	c.version = version
	c.step(roster.Held{Document: peer.ManifestDocument, Version: version})
	if now := c.machine.Version(peer.ManifestDocument); now < version {
		c.fleet.failures = append(c.fleet.failures, fmt.Sprintf("%s went down from version %d to %d", c.name, version, now))
	}
}

// headerBytes is what a call costs on the wire besides its message.
const headerBytes = 120

func (f *Fleet) count(k roster.Knowledge) {
	f.sent += headerBytes + proto.Size(peer.ToKnowledge(k))
}

// Publish puts a new version into the platform; the spreaders' watches see
// it.
func (f *Fleet) Publish() {
	f.version++
	version := f.version
	for _, c := range f.vms {
		if c.gone || !c.machine.Spreader() || !f.platformUp(c) {
			continue
		}
		f.after(linkWay, func() {
			c.hold(version)
			c.step(roster.Held{Document: peer.ManifestDocument, Version: version, Confirmed: true})
		})
	}
}

// Everywhere reports whether every VM has the latest version in force.
func (f *Fleet) Everywhere() bool {
	for _, c := range f.vms {
		if !c.gone && c.version < f.version {
			return false
		}
	}
	return true
}

// Agreed reports whether every VM knows exactly the VMs that are up.
func (f *Fleet) Agreed() bool {
	up := 0
	for _, c := range f.vms {
		if !c.gone {
			up++
		}
	}
	for _, c := range f.vms {
		if !c.gone && len(c.machine.VMs()) != up {
			return false
		}
	}
	return true
}

// Blind returns how many VMs cannot confirm their version.
func (f *Fleet) Blind() int {
	n := 0
	for _, c := range f.vms {
		if !c.gone && c.machine.Blind(peer.ManifestDocument) {
			n++
		}
	}
	return n
}

// Replace ends a VM without a word and starts another in its zone.
func (f *Fleet) Replace(i int) {
	old := f.vms[i%len(f.vms)]
	if old.gone {
		return
	}
	old.gone = true
	n := f.add(fmt.Sprintf("new-%04d", f.started), old.zone)
	n.begin()
}

// Freeze stops a VM for a while.
func (f *Fleet) Freeze(i int, d time.Duration) {
	c := f.vms[i%len(f.vms)]
	c.frozen = max(c.frozen, f.now+d)
}

// CutZone cuts a zone off from the others and from the platform.
func (f *Fleet) CutZone(zone int, d time.Duration) {
	f.cuts[zone%f.Zones] = f.now + d
}

// Outage stops the platform for a while.
func (f *Fleet) Outage(d time.Duration) { f.outage = f.now + d }

// Cost is what the fleet has spent so far.
type Cost struct {
	// Sent counts bytes sent by all VMs.
	Sent int
	// Calls counts calls to the platform.
	Calls int
	// Processor is the time that all machines took.
	Processor time.Duration
}

// Cost returns what the fleet has spent so far.
func (f *Fleet) Cost() Cost { return Cost{Sent: f.sent, Calls: f.calls, Processor: f.cpu} }

// Now returns the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// At runs something at a time.
func (f *Fleet) At(t time.Duration, do func()) { f.after(t-f.now, do) }

// Failures returns the promises that did not hold.
func (f *Fleet) Failures() []string { return f.failures }

func (f *Fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now + max(d, 0), sequence: f.sequence, do: do})
}

// Run lets the virtual time pass until the given moment.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// event is something that will happen.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// events orders by time, then by the order of making.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
