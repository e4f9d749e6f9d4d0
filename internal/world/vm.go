package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// vm is a simulated VM: it runs the group machine and performs the machine's
// actions on the simulated network.
type vm struct {
	node
	world       *World
	machine     *group.Machine
	slots       map[uint64]*slot
	statusConns map[string]*conn
	requests    map[uint64]*request
	nextTick    time.Duration
}

// slot is a connection from a VM to a target for requests.
type slot struct {
	conn   *conn
	target *target
	// inFlight is the ID of the run whose reply is due; zero if none is.
	inFlight uint64
	// tx is the open transaction on the connection, or nil; txSession is the
	// session that began it.
	tx        *replica.Tx
	txSession uint64
	// countedByTarget reports that the target accepted the connection and
	// counts it towards its limit; closedAtTarget that the target has noticed
	// that the VM closed it.
	countedByTarget bool
	closedAtTarget  bool
}

func vmName(i int) string { return fmt.Sprintf("v%d", i) }

func newVM(w *World, i int) *vm {
	return &vm{node: node{name: vmName(i), zone: i % w.Scenario.Zones, generation: 1}, world: w}
}

func (v *vm) start() {
	w := v.world
	v.slots = map[uint64]*slot{}
	v.statusConns = map[string]*conn{}
	v.requests = map[uint64]*request{}
	v.machine = &group.Machine{
		Name:        "g",
		VM:          v.name,
		Zone:        zoneName(v.zone),
		Incarnation: w.newID(),
		Rank:        v.rank(),
		Limits:      w.Limits,
		Seed:        w.Seed,
		Strict:      true,
	}
	for _, t := range w.targets {
		v.machine.Members = append(v.machine.Members, group.Member{
			Name:        t.name,
			Zone:        zoneName(t.zone),
			Connections: max(1, w.Scenario.ConnectionLimit/w.Scenario.VMs),
		})
	}
	v.step(group.Ticked{})
}

// rank returns the VM's group.Machine.Rank: the first VM of each zone watches
// the group, ranked by zone, and the others return -1.
func (v *vm) rank() int {
	for i, o := range v.world.vms {
		if o == v && i < v.world.Scenario.Zones {
			return i
		}
	}
	return -1
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

func (v *vm) step(e group.Event) {
	w := v.world
	w.steps++
	actions := append([]group.Action{}, v.stepMachine(e)...)
	for _, a := range actions {
		v.perform(a)
	}
	at := v.machine.Next(w.now)
	if v.nextTick > w.now && v.nextTick <= at {
		return
	}
	v.nextTick = at
	w.scheduleOn(&v.node, at-w.now, func() {
		if v.nextTick == at {
			v.step(group.Ticked{})
		}
	})
}

// stepMachine passes an event to the group machine and, if World.Clock is set,
// adds the time that the step took to World.stepTime.
func (v *vm) stepMachine(e group.Event) []group.Action {
	w := v.world
	if w.Clock == nil {
		return v.machine.Step(w.now, e)
	}
	begin := w.Clock()
	actions := v.machine.Step(w.now, e)
	w.stepTime += w.Clock().Sub(begin)
	return actions
}

func (v *vm) perform(a group.Action) {
	switch a := a.(type) {
	case group.Dial:
		v.dial(a)
	case group.CloseSlot:
		v.closeSlot(a)
	case group.Run:
		v.run(a)
	case group.Rollback:
		v.rollback(a)
	case group.Answer:
		v.answer(a)
	case group.RequestStatus:
		v.requestStatus(a)
	case group.Fence:
		v.command(a.Target, a.Attempt, func(r *replica.Replica) error { return r.Fence(a.Term, a.Attempt) })
	case group.Promote:
		v.command(a.Target, a.Attempt, func(r *replica.Replica) error { return r.Promote(a.Term, a.Attempt, v.world.now) })
	case group.Follow:
		v.command(a.Target, "", func(r *replica.Replica) error { return r.Follow(a.Term, a.Primary, v.world.now) })
	case group.AcquireLease:
		v.world.platform.acquire(v, a.Attempt)
	case group.ReleaseLease:
		v.world.platform.release(v, a.Attempt)
	case group.AskPeers:
		v.askPeers(a.Target)
	case group.Note:
		v.world.handleNote(v, a.Event)
	case group.Breach:
		v.world.recordViolation("%s: %s", v.name, a.Text)
	default:
		panic(fmt.Sprintf("world: unknown group action %T", a))
	}
}

// open opens a connection to a target. After the handshake ready runs on the
// target. If the target is down but its network reachable, the connection is
// refused and failed runs on the VM; if packets are lost, neither runs.
func (v *vm) open(t *target, ready func(*conn), failed func()) *conn {
	c := v.world.connect(&v.node, &t.node)
	if t.down {
		if v.world.reachable(&v.node, &t.node) {
			v.world.scheduleOn(&v.node, 2*v.world.delay(&v.node, &t.node), failed)
		}
		return c
	}
	c.send(&v.node, func() {
		c.send(&t.node, func() {
			c.send(&v.node, func() {
				v.world.scheduleOn(&t.node, v.world.Scenario.DialTime, func() { ready(c) })
			})
		})
	})
	return c
}

func (v *vm) dial(a group.Dial) {
	t := v.world.target(a.Target)
	s := &slot{target: t}
	v.slots[a.Slot] = s
	s.conn = v.open(t, func(c *conn) {
		if t.openConnections >= v.world.Scenario.ConnectionLimit {
			c.send(&t.node, func() { v.step(group.SlotLost{Slot: a.Slot, Full: true}) })
			return
		}
		if s.closedAtTarget {
			return
		}
		t.openConnections++
		s.countedByTarget = true
		c.send(&t.node, func() { v.step(group.Dialed{Slot: a.Slot}) })
	}, func() { v.step(group.SlotLost{Slot: a.Slot}) })
}

func (v *vm) closeSlot(a group.CloseSlot) {
	s := v.slots[a.Slot]
	delete(v.slots, a.Slot)
	if s == nil {
		return
	}
	v.world.closeSlot(v, s)
}

// closeSlot closes a connection at the VM. The target notices when the close
// arrives, after all messages sent before it, or else after the keep-alive
// time; until then it counts the connection and keeps its transaction open.
func (w *World) closeSlot(v *vm, s *slot) {
	const keepAlive = 10 * time.Second
	t := s.target
	generation := t.generation
	noticeClose := func() {
		if s.closedAtTarget || t.generation != generation {
			return
		}
		s.closedAtTarget = true
		s.tx = nil
		if s.countedByTarget {
			t.openConnections--
		}
	}
	s.conn.send(&v.node, noticeClose)
	s.conn.closed = true
	w.schedule(keepAlive, noticeClose)
}

func (v *vm) run(a group.Run) {
	s := v.slots[a.Slot]
	q := v.requests[a.Request]
	if s == nil || q == nil {
		v.world.scheduleOn(&v.node, 0, func() { v.step(group.RunFailed{Run: a.Run}) })
		return
	}
	if s.target.down || s.conn.stale() {
		v.world.scheduleOn(&v.node, 0, func() { v.step(group.RunFailed{Run: a.Run}) })
		return
	}
	if s.target.leaving && s.tx == nil {
		v.world.recordViolation("%s sent request %d to %s, which is leaving", v.name, q.id, s.target.name)
	}
	s.inFlight = a.Run
	s.conn.send(&v.node, func() {
		s.target.runInSlot(func() { v.execute(s, q, a.Run) })
	})
}

// execute runs a request on the slot's target and sends the reply to the VM.
func (v *vm) execute(s *slot, q *request, run uint64) {
	t := s.target
	if s.tx != nil && s.txSession != q.session.id {
		v.world.recordViolation("request of session %d ran in the transaction of session %d", q.session.id, s.txSession)
	}
	reply, result := t.execute(s, q)
	if s.conn.closed {
		// The VM closed the connection while the request ran, so it gets no
		// reply, although the request may have taken effect.
		return
	}
	s.conn.send(&t.node, func() {
		s.inFlight = 0
		q.results[run] = result
		v.step(group.Finished{Run: run, Reply: reply})
	})
}

func (v *vm) rollback(a group.Rollback) {
	s := v.slots[a.Slot]
	if s == nil || s.conn.stale() {
		v.world.scheduleOn(&v.node, 0, func() { v.step(group.RunFailed{Run: a.Run}) })
		return
	}
	s.conn.send(&v.node, func() {
		s.tx = nil
		s.conn.send(&s.target.node, func() {
			v.step(group.Finished{Run: a.Run, Reply: group.Reply{Status: s.target.status(), First: s.target.replica.Applied()}})
		})
	})
}

// breakConnections reports the end of the VM's connections to a target whose
// process died. If the target's network is not reachable either, or the
// connection is silent, the VM learns nothing.
func (v *vm) breakConnections(t *target) {
	if !v.world.reachable(&v.node, &t.node) {
		return
	}
	if c := v.statusConns[statusConnKey(t.name, false, false)]; c != nil && !c.silent && !c.closed {
		v.world.scheduleOn(&v.node, v.world.delay(&v.node, &t.node), func() { v.step(group.Disconnected{Target: t.name}) })
	}
	for _, id := range slices.Sorted(maps.Keys(v.slots)) {
		s := v.slots[id]
		if s.target != t || s.conn.silent {
			continue
		}
		run := s.inFlight
		v.world.scheduleOn(&v.node, v.world.delay(&v.node, &t.node), func() {
			if v.slots[id] != s {
				return
			}
			delete(v.slots, id)
			if run != 0 {
				v.step(group.RunFailed{Run: run, Sent: true})
				return
			}
			v.step(group.SlotLost{Slot: id})
		})
	}
}

func (v *vm) requestStatus(a group.RequestStatus) {
	t := v.world.target(a.Target)
	key := statusConnKey(a.Target, !a.Received.IsZero(), !a.Applied.IsZero())
	c := v.statusConns[key]
	failed := func() { v.step(group.StatusFailed{Target: a.Target, Number: a.Number}) }
	if a.Fresh || c == nil {
		if c != nil {
			c.closed = true
		}
		v.statusConns[key] = v.open(t, func(c *conn) { v.servePoll(t, c, a) }, failed)
		return
	}
	if c.stale() {
		v.world.scheduleOn(&v.node, 0, failed)
		return
	}
	c.send(&v.node, func() { v.servePoll(t, c, a) })
}

// statusConnKey returns the key in vm.statusConns. A VM has one connection to
// each target for each kind of status request: without a position to wait for,
// with a received one, with an applied one.
func statusConnKey(target string, received, applied bool) string {
	return fmt.Sprint(target, received, applied)
}

// servePoll runs a status request on the target. It answers at once, or when
// the target reaches the position asked for, at the latest after a.Wait.
func (v *vm) servePoll(t *target, c *conn, a group.RequestStatus) {
	p := &poll{received: a.Received, applied: a.Applied, term: t.replica.Term()}
	p.answer = func() {
		s := t.status()
		c.send(&t.node, func() { v.step(group.StatusReceived{Target: a.Target, Number: a.Number, Status: s}) })
	}
	if t.satisfies(p) {
		p.answer()
		return
	}
	t.polls = append(t.polls, p)
	v.world.scheduleOn(&t.node, a.Wait, func() {
		if !p.done {
			p.done = true
			p.answer()
		}
	})
}

func (v *vm) command(name, attempt string, change func(*replica.Replica) error) {
	t := v.world.target(name)
	v.open(t, func(c *conn) {
		err := change(t.replica)
		s := t.status()
		t.answerPolls()
		c.send(&t.node, func() {
			v.step(group.CommandAnswered{Target: name, Attempt: attempt, Done: err == nil, Status: s})
		})
	}, func() { v.step(group.CommandAnswered{Target: name, Attempt: attempt}) })
}

// askPeers asks one VM in each other zone, the first that is up, whether the
// target answers it.
func (v *vm) askPeers(name string) {
	askedZones := map[int]bool{v.zone: true}
	for _, o := range v.world.vms {
		if o.down || askedZones[o.zone] {
			continue
		}
		askedZones[o.zone] = true
		c := v.world.connect(&v.node, &o.node)
		c.send(&v.node, func() {
			responsive := o.machine.Responsive(name)
			c.send(&o.node, func() { v.step(group.PeerReported{Zone: zoneName(o.zone), Target: name, Responsive: responsive}) })
		})
	}
}

// platform simulates the platform's promotion lease of the group.
type platform struct {
	holder     string
	leaseUntil time.Duration
	// Until outageUntil the platform ignores requests. Until lossyUntil it
	// carries them out, but its answers are lost.
	outageUntil time.Duration
	lossyUntil  time.Duration
}

func (p *platform) acquire(v *vm, attempt string) {
	const leaseTTL = 2 * time.Second
	w := v.world
	w.schedule(w.delay(&v.node, &v.node)+w.Scenario.InterZoneDelay, func() {
		if w.now < p.outageUntil {
			return
		}
		outcome := group.LeaseDenied
		if p.holder == attempt || w.now >= p.leaseUntil {
			p.holder, p.leaseUntil = attempt, w.now+leaseTTL
			outcome = group.LeaseHeld
		}
		if w.now < p.lossyUntil {
			return
		}
		w.scheduleOn(&v.node, w.Scenario.InterZoneDelay, func() {
			v.step(group.LeaseAnswered{Attempt: attempt, Outcome: outcome})
		})
	})
}

func (p *platform) release(v *vm, attempt string) {
	w := v.world
	w.schedule(w.Scenario.InterZoneDelay, func() {
		if w.now >= p.outageUntil && p.holder == attempt {
			p.leaseUntil = 0
		}
	})
}

func (v *vm) kill() {
	v.down = true
	v.world.trace("%s killed", v.name)
	for _, id := range slices.Sorted(maps.Keys(v.requests)) {
		q := v.requests[id]
		q.session.vmLost(q)
	}
	for _, id := range slices.Sorted(maps.Keys(v.slots)) {
		v.world.closeSlot(v, v.slots[id])
	}
}

func (v *vm) restart() {
	v.generation++
	v.down = false
	v.frozenUntil = 0
	v.nextTick = 0
	v.start()
}
