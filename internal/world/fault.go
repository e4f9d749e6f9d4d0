package world

import (
	"fmt"
	"time"

	"amaranthsill/group"
)

// Fault is a failure that At injects into a run. Numbers of targets, VMs and
// zones count from zero and wrap around; a target may also be Primary. Traces
// print the types and fields under their own names.
type Fault interface {
	// inject applies the fault at the current virtual time.
	inject(w *World)
}

// KillTarget kills a target and restarts it after For; zero means never. It
// has no effect on a target that is down.
type KillTarget struct {
	Target int
	For    time.Duration
}

// FreezeTarget pauses a target for the time For: it runs nothing and reads no
// message, and its connections stay open.
type FreezeTarget struct {
	Target int
	For    time.Duration
}

// CutTarget cuts the network links between a target and all VMs, all other
// targets, or both, for the time For.
type CutTarget struct {
	Target  int
	VMs     bool
	Targets bool
	// OneWay cuts only the direction from the target.
	OneWay bool
	For    time.Duration
}

// CutZone cuts the network links between a zone and all others for the time
// For.
type CutZone struct {
	Zone int
	For  time.Duration
}

// Silence makes the connections for requests and status requests that VMs have
// open to a target drop every message, without an error at either end. New
// connections work.
type Silence struct{ Target int }

// Lag sets a target's apply lag to By for the time For. It delays reads only
// while the target is a replica.
type Lag struct {
	Target int
	By     time.Duration
	For    time.Duration
}

// Outage makes the platform ignore lease requests for the time For. With Lossy
// it still carries requests out, but its answers to acquisitions are lost.
type Outage struct {
	Lossy bool
	For   time.Duration
}

// KillVM kills a VM and starts a new one with its name after For, at the
// earliest after one millisecond. It has no effect on a VM that is down.
type KillVM struct {
	VM  int
	For time.Duration
}

// FreezeVM pauses a VM for the time For.
type FreezeVM struct {
	VM  int
	For time.Duration
}

// Leave marks a target as leaving, for the rest of the run: VMs must send it
// no new work.
type Leave struct{ Target int }

func (f Leave) inject(w *World) {
	t := w.resolveTarget(f.Target)
	for _, v := range w.vms {
		members := append([]group.Member{}, v.machine.Members...)
		for i, m := range members {
			members[i].Leaving = m.Leaving || m.Name == t.name
		}
		v.step(group.Configured{Members: members, Rank: v.rank()})
	}
	t.leaving = true
}

// Primary is the target number that stands for the group's primary at the time
// when the fault is injected.
const Primary = -1

// At injects a fault at virtual time t.
func (w *World) At(t time.Duration, f Fault) {
	w.schedule(t-w.now, func() {
		w.trace("fault %T%+v", f, f)
		f.inject(w)
	})
}

// resolveTarget returns a target by number. For Primary it returns the primary
// of the highest term. It returns target 0 if there is no primary, or if target
// 0 has a higher term than every primary.
func (w *World) resolveTarget(i int) *target {
	if i != Primary {
		return w.targets[i%len(w.targets)]
	}
	leader := w.targets[0]
	for _, t := range w.targets {
		if t.replica.Role() == group.RolePrimary && t.replica.Term() >= leader.replica.Term() {
			leader = t
		}
	}
	return leader
}

func (f KillTarget) inject(w *World) {
	t := w.resolveTarget(f.Target)
	if t.down {
		return
	}
	t.kill()
	if f.For > 0 {
		w.schedule(f.For, t.restart)
	}
}

func (f FreezeTarget) inject(w *World) {
	t := w.resolveTarget(f.Target)
	t.frozenUntil = max(t.frozenUntil, w.now+f.For)
}

func (f CutTarget) inject(w *World) {
	t := w.resolveTarget(f.Target)
	others := []string{}
	if f.VMs {
		for _, v := range w.vms {
			others = append(others, v.name)
		}
	}
	if f.Targets {
		for _, o := range w.targets {
			if o != t {
				others = append(others, o.name)
			}
		}
	}
	for _, o := range others {
		w.cutLink(link{t.name, o}, f.For)
		if !f.OneWay {
			w.cutLink(link{o, t.name}, f.For)
		}
	}
}

func (f CutZone) inject(w *World) {
	inside, outside := []string{}, []string{}
	for _, n := range w.nodes() {
		if n.zone == f.Zone%w.Scenario.Zones {
			inside = append(inside, n.name)
		} else {
			outside = append(outside, n.name)
		}
	}
	for _, a := range inside {
		for _, b := range outside {
			w.cutLink(link{a, b}, f.For)
			w.cutLink(link{b, a}, f.For)
		}
	}
}

func (w *World) nodes() []*node {
	out := []*node{}
	for _, t := range w.targets {
		out = append(out, &t.node)
	}
	for _, v := range w.vms {
		out = append(out, &v.node)
	}
	return out
}

func (w *World) cutLink(l link, d time.Duration) {
	w.cuts[l] = true
	w.schedule(d, func() { delete(w.cuts, l) })
}

func (f Silence) inject(w *World) {
	t := w.resolveTarget(f.Target)
	for _, v := range w.vms {
		for _, s := range v.slots {
			if s.target == t {
				s.conn.silent = true
			}
		}
		for _, c := range v.statusConns {
			if c.b == &t.node {
				c.silent = true
			}
		}
	}
}

func (f Lag) inject(w *World) {
	t := w.resolveTarget(f.Target)
	t.lag = f.By
	w.schedule(f.For, func() { t.lag = w.Scenario.Lag })
}

func (f Outage) inject(w *World) {
	if f.Lossy {
		w.platform.lossyUntil = w.now + f.For
		return
	}
	w.platform.outageUntil = w.now + f.For
}

func (f KillVM) inject(w *World) {
	v := w.vms[f.VM%len(w.vms)]
	if v.down {
		return
	}
	v.kill()
	w.schedule(max(f.For, time.Millisecond), v.restart)
}

func (f FreezeVM) inject(w *World) {
	v := w.vms[f.VM%len(w.vms)]
	v.frozenUntil = max(v.frozenUntil, w.now+f.For)
}

// handleNote traces a group machine's note and records the start times of
// promotions.
func (w *World) handleNote(v *vm, e group.NoteEvent) {
	switch e := e.(type) {
	case group.PromotionStarted:
		w.promotionStarts = append(w.promotionStarts, w.now)
		w.trace("%s %T %+v", v.name, e, e)
	case group.PromotionEnded, group.PrimaryChanged, group.TargetSetAside, group.TargetLost, group.TargetBack:
		w.trace("%s %T %+v", v.name, e, e)
	default:
		panic(fmt.Sprintf("world: unknown note %T", e))
	}
}

// PromotionsSince returns how many promotion attempts VMs started at or after
// virtual time t.
func (w *World) PromotionsSince(t time.Duration) int {
	n := 0
	for _, at := range w.promotionStarts {
		if at >= t {
			n++
		}
	}
	return n
}
