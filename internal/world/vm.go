package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// vm is one entry VM: a machine and what carries its actions out.
type vm struct {
	place
	world    *World
	machine  *group.Machine
	slots    map[uint64]*slot
	controls map[string]*conn
	requests map[uint64]*request
	wakeAt   time.Duration
}

// slot is a connection of the VM for requests.
type slot struct {
	conn   *conn
	target *target
	run    uint64
	// tx is the open transaction and the session that it belongs to.
	tx      *replica.Tx
	session uint64
	// admitted reports that the target counts the connection; gone that it
	// has noticed its end.
	admitted bool
	gone     bool
}

func vmName(i int) string { return fmt.Sprintf("v%d", i) }

func newVM(w *World, i int) *vm {
	return &vm{place: place{name: vmName(i), zone: i % w.Shape.Zones, life: 1}, world: w}
}

func (v *vm) start() {
	w := v.world
	v.slots = map[uint64]*slot{}
	v.controls = map[string]*conn{}
	v.requests = map[uint64]*request{}
	v.machine = &group.Machine{
		Name:        "g",
		VM:          v.name,
		Zone:        zoneName(v.zone),
		Incarnation: w.id(),
		Rank:        v.rank(),
		Limits:      w.Limits,
		Seed:        w.Seed,
		Strict:      true,
	}
	for _, t := range w.targets {
		v.machine.Members = append(v.machine.Members, group.Member{
			Name:        t.name,
			Zone:        zoneName(t.zone),
			Connections: max(1, w.Shape.Connections/w.Shape.VMs),
		})
	}
	v.step(group.Ticked{})
}

// rank is the first VM of each zone, in order; the others do not watch.
func (v *vm) rank() int {
	for i, o := range v.world.vms {
		if o == v && i < v.world.Shape.Zones {
			return i
		}
	}
	return -1
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

func (v *vm) step(e group.Event) {
	w := v.world
	w.steps++
	actions := append([]group.Action{}, v.decide(e)...)
	for _, a := range actions {
		v.carry(a)
	}
	at := v.machine.Next(w.now)
	if v.wakeAt > w.now && v.wakeAt <= at {
		return
	}
	v.wakeAt = at
	w.wake(&v.place, at-w.now, func() {
		if v.wakeAt == at {
			v.step(group.Ticked{})
		}
	})
}

// decide steps the machine and measures it, if the world has a clock.
func (v *vm) decide(e group.Event) []group.Action {
	w := v.world
	if w.Clock == nil {
		return v.machine.Step(w.now, e)
	}
	begin := w.Clock()
	actions := v.machine.Step(w.now, e)
	w.spent += w.Clock().Sub(begin)
	return actions
}

func (v *vm) carry(a group.Action) {
	switch a := a.(type) {
	case group.Dial:
		v.dial(a)
	case group.Hang:
		v.hang(a)
	case group.Run:
		v.run(a)
	case group.Rollback:
		v.rollback(a)
	case group.Answer:
		v.answer(a)
	case group.Ask:
		v.ask(a)
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
		v.world.noted(v, a.Event)
	case group.Breach:
		v.world.fail("%s: %s", v.name, a.Text)
	default:
		panic(fmt.Sprintf("world: unknown action %T", a))
	}
}

// open makes a new connection; ready runs on the target after the handshake,
// failed on the VM if the target refuses.
func (v *vm) open(t *target, ready func(*conn), failed func()) *conn {
	c := v.world.connect(&v.place, &t.place)
	if t.down {
		if v.world.reaches(&v.place, &t.place) {
			v.world.wake(&v.place, 2*v.world.delay(&v.place, &t.place), failed)
		}
		return c
	}
	c.send(&v.place, func() {
		c.send(&t.place, func() {
			c.send(&v.place, func() {
				v.world.wake(&t.place, v.world.Shape.Dial, func() { ready(c) })
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
		if t.open >= v.world.Shape.Connections {
			c.send(&t.place, func() { v.step(group.SlotLost{Slot: a.Slot, Full: true}) })
			return
		}
		if s.gone {
			return
		}
		t.open++
		s.admitted = true
		c.send(&t.place, func() { v.step(group.Dialed{Slot: a.Slot}) })
	}, func() { v.step(group.SlotLost{Slot: a.Slot}) })
}

func (v *vm) hang(a group.Hang) {
	s := v.slots[a.Slot]
	delete(v.slots, a.Slot)
	if s == nil {
		return
	}
	v.world.closeSlot(v, s)
}

// closeSlot closes a connection. The target notices in its own time: after
// what was sent before, or after a keep-alive if nothing gets through.
func (w *World) closeSlot(v *vm, s *slot) {
	const keepAlive = 10 * time.Second
	t := s.target
	life := t.life
	noticed := func() {
		if s.gone || t.life != life {
			return
		}
		s.gone = true
		s.tx = nil
		if s.admitted {
			t.open--
		}
	}
	s.conn.send(&v.place, noticed)
	s.conn.closed = true
	w.after(keepAlive, noticed)
}

func (v *vm) run(a group.Run) {
	s := v.slots[a.Slot]
	q := v.requests[a.Request]
	if s == nil || q == nil {
		v.world.wake(&v.place, 0, func() { v.step(group.Broke{Run: a.Run}) })
		return
	}
	if s.target.down || s.conn.stale() {
		v.world.wake(&v.place, 0, func() { v.step(group.Broke{Run: a.Run}) })
		return
	}
	if s.target.left && s.tx == nil {
		v.world.fail("%s sent request %d to leaving %s", v.name, q.id, s.target.name)
	}
	s.run = a.Run
	s.conn.send(&v.place, func() {
		s.target.work(func() { v.execute(s, q, a.Run) })
	})
}

// execute runs a request on the target and sends the reply.
func (v *vm) execute(s *slot, q *request, run uint64) {
	t := s.target
	if s.tx != nil && s.session != q.session.id {
		v.world.fail("request of session %d ran in the transaction of session %d", q.session.id, s.session)
	}
	reply, result := t.execute(s, q)
	if s.conn.closed {
		// The connection went while the request ran; it may have taken
		// effect.
		return
	}
	s.conn.send(&t.place, func() {
		s.run = 0
		q.results[run] = result
		v.step(group.Finished{Run: run, Reply: reply})
	})
}

func (v *vm) rollback(a group.Rollback) {
	s := v.slots[a.Slot]
	if s == nil || s.conn.stale() {
		v.world.wake(&v.place, 0, func() { v.step(group.Broke{Run: a.Run}) })
		return
	}
	s.conn.send(&v.place, func() {
		s.tx = nil
		s.conn.send(&s.target.place, func() {
			v.step(group.Finished{Run: a.Run, Reply: group.Reply{Status: s.target.status(), First: s.target.replica.Applied()}})
		})
	})
}

// lostTarget breaks the VM's connections to a target that died.
func (v *vm) lostTarget(t *target) {
	if !v.world.reaches(&v.place, &t.place) {
		return
	}
	if c := v.controls[controlName(t.name, false, false)]; c != nil && !c.silent && !c.closed {
		v.world.wake(&v.place, v.world.delay(&v.place, &t.place), func() { v.step(group.Disconnected{Target: t.name}) })
	}
	for _, id := range slices.Sorted(maps.Keys(v.slots)) {
		s := v.slots[id]
		if s.target != t || s.conn.silent {
			continue
		}
		run := s.run
		v.world.wake(&v.place, v.world.delay(&v.place, &t.place), func() {
			if v.slots[id] != s {
				return
			}
			delete(v.slots, id)
			if run != 0 {
				v.step(group.Broke{Run: run, Sent: true})
				return
			}
			v.step(group.SlotLost{Slot: id})
		})
	}
}

func (v *vm) ask(a group.Ask) {
	t := v.world.target(a.Target)
	key := controlName(a.Target, !a.Received.IsZero(), !a.Applied.IsZero())
	c := v.controls[key]
	failed := func() { v.step(group.Unheard{Target: a.Target, Ask: a.Ask}) }
	if a.Fresh || c == nil {
		if c != nil {
			c.closed = true
		}
		v.controls[key] = v.open(t, func(c *conn) { v.poll(t, c, a) }, failed)
		return
	}
	if c.stale() {
		v.world.wake(&v.place, 0, failed)
		return
	}
	c.send(&v.place, func() { v.poll(t, c, a) })
}

// controlName names the VM's connection for one kind of status request.
func controlName(target string, received, applied bool) string {
	return fmt.Sprint(target, received, applied)
}

// poll answers a status request, at once or when its position is reached.
func (v *vm) poll(t *target, c *conn, a group.Ask) {
	p := &poll{received: a.Received, applied: a.Applied, term: t.replica.Term()}
	p.answer = func() {
		s := t.status()
		c.send(&t.place, func() { v.step(group.Heard{Target: a.Target, Ask: a.Ask, Status: s}) })
	}
	if t.satisfies(p) {
		p.answer()
		return
	}
	t.polls = append(t.polls, p)
	v.world.wake(&t.place, a.Wait, func() {
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
		t.changed()
		c.send(&t.place, func() {
			v.step(group.Commanded{Target: name, Attempt: attempt, Done: err == nil, Status: s})
		})
	}, func() { v.step(group.Commanded{Target: name, Attempt: attempt}) })
}

// askPeers asks the first VM that is up in each other zone.
func (v *vm) askPeers(name string) {
	asked := map[int]bool{v.zone: true}
	for _, o := range v.world.vms {
		if o.down || asked[o.zone] {
			continue
		}
		asked[o.zone] = true
		c := v.world.connect(&v.place, &o.place)
		c.send(&v.place, func() {
			hears := o.machine.Hears(name)
			c.send(&o.place, func() { v.step(group.PeerSaw{Zone: zoneName(o.zone), Target: name, Hears: hears}) })
		})
	}
}

// platform is the fake of the promotion lease.
type platform struct {
	holder string
	until  time.Duration
	// outage is until when the platform does not answer; lossy until when
	// its answers get lost after they took effect.
	outage time.Duration
	lossy  time.Duration
}

func (p *platform) acquire(v *vm, attempt string) {
	const life = 2 * time.Second
	w := v.world
	w.after(w.delay(&v.place, &v.place)+w.Shape.Between, func() {
		if w.now < p.outage {
			return
		}
		outcome := group.LeaseDenied
		if p.holder == attempt || w.now >= p.until {
			p.holder, p.until = attempt, w.now+life
			outcome = group.LeaseHeld
		}
		if w.now < p.lossy {
			return
		}
		w.wake(&v.place, w.Shape.Between, func() {
			v.step(group.LeaseAnswered{Attempt: attempt, Outcome: outcome})
		})
	})
}

func (p *platform) release(v *vm, attempt string) {
	w := v.world
	w.after(w.Shape.Between, func() {
		if w.now >= p.outage && p.holder == attempt {
			p.until = 0
		}
	})
}

func (v *vm) kill() {
	v.down = true
	v.world.trace("%s killed", v.name)
	for _, id := range slices.Sorted(maps.Keys(v.requests)) {
		q := v.requests[id]
		q.session.lost(q)
	}
	for _, id := range slices.Sorted(maps.Keys(v.slots)) {
		v.world.closeSlot(v, v.slots[id])
	}
}

func (v *vm) restart() {
	v.life++
	v.down = false
	v.until = 0
	v.wakeAt = 0
	v.start()
}
