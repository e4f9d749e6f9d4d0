package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthsill/peer"
	"amaranthsill/roster"
)

// spread measures the control machines of many VMs over in-memory links.
func spread(int) table {
	t := table{heading: []string{
		"VMs", "zones", "s to last VM", "idle B/s sent a VM", "busy B/s sent a VM", "platform calls/s", "cpu share a VM", "KB a VM",
	}}
	for _, n := range []int{8, 50, 200, 860} {
		row := spreadRow(n)
		fmt.Fprintln(os.Stderr, row)
		t.rows = append(t.rows, row)
	}
	return t
}

// The times of a spread run. The busy part has a tenth of a day's changes and
// replacements in ten minutes, so its rate is divided by dayRatio.
const (
	joinFor  = time.Minute
	idleFor  = 2 * time.Minute
	busyFor  = 10 * time.Minute
	dayRatio = 14.4
	changes  = 64
	replaced = 23
	zones    = 5
	linkWay  = 5 * time.Millisecond
)

// manifestBytes is the size of a compressed manifest that a fetch carries.
const manifestBytes = 40 << 10

func spreadRow(n int) []string {
	before := heapInUse()
	f := &fleet{random: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		f.add(fmt.Sprintf("vm-%03d", i), i)
	}
	for _, c := range f.vms {
		c.begin()
	}
	f.run(joinFor)
	perVM := (heapInUse() - before) / n
	sent, calls := f.sent, f.calls
	f.run(joinFor + idleFor)
	idle := float64(f.sent-sent) / idleFor.Seconds() / float64(n)
	callRate := float64(f.calls-calls) / idleFor.Seconds()
	slowest := f.submit()
	sent = f.sent
	cpu, from := f.cpu, f.now
	for i := range changes {
		f.after(time.Duration(i)*busyFor/changes, func() { f.publish() })
	}
	for i := range replaced {
		f.after(time.Duration(i)*busyFor/replaced, func() { f.replace(i) })
	}
	f.run(from + busyFor)
	busy := idle + (float64(f.sent-sent)/busyFor.Seconds()/float64(n)-idle)/dayRatio
	share := float64(f.cpu-cpu) / float64(busyFor) / float64(n)
	return []string{
		fmt.Sprint(n), fmt.Sprint(zones), fmt.Sprintf("%.2f", slowest.Seconds()),
		fmt.Sprintf("%.0f", idle), fmt.Sprintf("%.0f", busy), fmt.Sprintf("%.1f", callRate),
		fmt.Sprintf("%.5f%%", share*100), fmt.Sprint(perVM >> 10),
	}
}

func heapInUse() int {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// fleet is many control machines and the links between them.
type fleet struct {
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
	replaced int
}

// control is one VM's machine.
type control struct {
	fleet   *fleet
	machine *roster.Machine
	name    string
	version uint64
	gone    bool
	wake    time.Duration
}

// add makes a VM's machine.
func (f *fleet) add(name string, zone int) *control {
	f.started++
	self := roster.NewMember(name, fmt.Sprintf("z%d", zone%zones), name+":1", f.started, roster.StateAlive)
	c := &control{fleet: f, name: name, machine: &roster.Machine{Self: self, Limits: roster.DefaultLimits(), Seed: f.started}}
	if f.byName == nil {
		f.byName = map[string]*control{}
	}
	f.byName[name] = c
	f.vms = append(f.vms, c)
	return c
}

// begin reads the platform's list and takes up the VM's duties.
func (c *control) begin() {
	c.step(roster.Listed{Members: c.fleet.list()})
	c.follow()
}

// list is the platform's list of VMs, as it stands once all have started.
func (f *fleet) list() []roster.Member {
	out := []roster.Member{}
	for _, c := range f.vms {
		if !c.gone {
			out = append(out, roster.NewMember(c.name, c.machine.Self.Zone(), c.name+":1", c.machine.Self.Incarnation(), roster.StateAlive))
		}
	}
	return out
}

// follow is a spreader's duty: a watch of 20 s and a list each second.
func (c *control) follow() {
	const pause = time.Second
	const watch = 20
	f := c.fleet
	turn := 0
	var duty func()
	duty = func() {
		if c.gone {
			return
		}
		if c.machine.Spreader() {
			f.calls++
			c.step(roster.Listed{Members: f.list()})
			if turn%watch == 0 {
				f.calls++
				c.step(roster.Held{Document: peer.ManifestDocument, Version: f.version, Confirmed: true})
			}
		}
		turn++
		f.after(pause, duty)
	}
	f.after(time.Duration(f.random.Int64N(int64(pause))), duty)
}

func (c *control) step(e roster.Event) {
	f := c.fleet
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
		f.deliver(func() { to.receive(c, a) }, to == nil || to.gone, func() { c.step(roster.Failed{To: a.To.Name()}) })
	case roster.Fetch:
		from := f.byName[a.From.Name()]
		f.deliver(func() {
			version := from.version
			f.sent += manifestBytes
			f.after(linkWay, func() { c.hold(version) })
		}, from == nil || from.gone, func() { c.step(roster.Failed{To: a.From.Name()}) })
	case roster.Reply, roster.Changed:
	default:
		panic(fmt.Sprintf("experiment: unknown action %T", a))
	}
}

func (f *fleet) deliver(do func(), gone bool, failed func()) {
	if gone {
		f.after(2*linkWay, failed)
		return
	}
	f.after(linkWay+time.Duration(f.random.Int64N(int64(linkWay))), do)
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
	if version <= c.version || c.gone {
		return
	}
	c.version = version
	c.step(roster.Held{Document: peer.ManifestDocument, Version: version})
}

// headerBytes is what a call costs on the wire besides its message.
const headerBytes = 120

func (f *fleet) count(k roster.Knowledge) {
	f.sent += headerBytes + proto.Size(peer.ToKnowledge(k))
}

// publish puts a new version into the platform; the spreaders' watches see
// it.
func (f *fleet) publish() {
	f.version++
	version := f.version
	for _, c := range f.vms {
		if !c.gone && c.machine.Spreader() {
			f.after(linkWay, func() {
				c.hold(version)
				c.step(roster.Held{Document: peer.ManifestDocument, Version: version, Confirmed: true})
			})
		}
	}
}

// submit publishes a version and returns how long the last VM took.
func (f *fleet) submit() time.Duration {
	const step = 10 * time.Millisecond
	f.publish()
	from := f.now
	for f.now-from < time.Minute {
		f.run(f.now + step)
		if f.everywhere() {
			break
		}
	}
	return f.now - from
}

func (f *fleet) everywhere() bool {
	for _, c := range f.vms {
		if !c.gone && c.version < f.version {
			return false
		}
	}
	return true
}

// replace ends a VM without a word and starts another.
func (f *fleet) replace(i int) {
	old := f.vms[f.random.IntN(len(f.vms))]
	if old.gone {
		return
	}
	old.gone = true
	f.replaced++
	n := f.add(fmt.Sprintf("new-%03d", i), i)
	n.begin()
	n.hold(f.version)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now + max(d, 0), sequence: f.sequence, do: do})
}

func (f *fleet) run(until time.Duration) {
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
