package world

import (
	"fmt"
	"time"

	"amaranthsill/group"
)

// Fault is a failure that is brought about.
type Fault interface {
	// strike brings the failure about.
	strike(w *World)
}

// KillTarget kills a target and restarts it later, if For is not zero.
type KillTarget struct {
	Target int
	For    time.Duration
}

// FreezeTarget stops a target for a while.
type FreezeTarget struct {
	Target int
	For    time.Duration
}

// CutTarget cuts a target off from the VMs, the other targets, or both.
type CutTarget struct {
	Target  int
	VMs     bool
	Targets bool
	// OneWay cuts only what the target sends.
	OneWay bool
	For    time.Duration
}

// CutZone cuts a zone off from all others.
type CutZone struct {
	Zone int
	For  time.Duration
}

// Silence makes all open connections to a target silent.
type Silence struct{ Target int }

// Lag makes a replica show entries late.
type Lag struct {
	Target int
	By     time.Duration
	For    time.Duration
}

// Outage stops the platform; with Lossy it only loses its answers.
type Outage struct {
	Lossy bool
	For   time.Duration
}

// KillVM kills a VM and starts a new one in its place.
type KillVM struct {
	VM  int
	For time.Duration
}

// FreezeVM stops a VM for a while.
type FreezeVM struct {
	VM  int
	For time.Duration
}

// Leave makes a target leave for good: it is to get no new work.
type Leave struct{ Target int }

func (f Leave) strike(w *World) {
	t := w.pick(f.Target)
	for _, v := range w.vms {
		members := append([]group.Member{}, v.machine.Members...)
		for i, m := range members {
			members[i].Leaving = m.Leaving || m.Name == t.name
		}
		v.step(group.Configured{Members: members, Rank: v.rank()})
	}
	t.left = true
}

// Primary stands for the target that leads the group when the fault strikes.
const Primary = -1

// At strikes a fault at a time.
func (w *World) At(t time.Duration, f Fault) {
	w.after(t-w.now, func() {
		w.trace("fault %T%+v", f, f)
		f.strike(w)
	})
}

// pick returns a target by number, or the primary.
func (w *World) pick(i int) *target {
	if i != Primary {
		return w.targets[i%len(w.targets)]
	}
	best := w.targets[0]
	for _, t := range w.targets {
		if t.replica.Role() == group.RolePrimary && t.replica.Term() >= best.replica.Term() {
			best = t
		}
	}
	return best
}

func (f KillTarget) strike(w *World) {
	t := w.pick(f.Target)
	if t.down {
		return
	}
	t.kill()
	if f.For > 0 {
		w.after(f.For, t.restart)
	}
}

func (f FreezeTarget) strike(w *World) {
	t := w.pick(f.Target)
	t.until = max(t.until, w.now+f.For)
}

func (f CutTarget) strike(w *World) {
	t := w.pick(f.Target)
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
		w.cut(link{t.name, o}, f.For)
		if !f.OneWay {
			w.cut(link{o, t.name}, f.For)
		}
	}
}

func (f CutZone) strike(w *World) {
	inside, outside := []string{}, []string{}
	for _, p := range w.places() {
		if p.zone == f.Zone%w.Shape.Zones {
			inside = append(inside, p.name)
		} else {
			outside = append(outside, p.name)
		}
	}
	for _, a := range inside {
		for _, b := range outside {
			w.cut(link{a, b}, f.For)
			w.cut(link{b, a}, f.For)
		}
	}
}

func (w *World) places() []*place {
	out := []*place{}
	for _, t := range w.targets {
		out = append(out, &t.place)
	}
	for _, v := range w.vms {
		out = append(out, &v.place)
	}
	return out
}

func (w *World) cut(l link, d time.Duration) {
	w.cuts[l] = true
	w.after(d, func() { delete(w.cuts, l) })
}

func (f Silence) strike(w *World) {
	t := w.pick(f.Target)
	for _, v := range w.vms {
		for _, s := range v.slots {
			if s.target == t {
				s.conn.silent = true
			}
		}
		for _, c := range v.controls {
			if c.b == &t.place {
				c.silent = true
			}
		}
	}
}

func (f Lag) strike(w *World) {
	t := w.pick(f.Target)
	t.lag = f.By
	w.after(f.For, func() { t.lag = w.Shape.Lag })
}

func (f Outage) strike(w *World) {
	if f.Lossy {
		w.platform.lossy = w.now + f.For
		return
	}
	w.platform.outage = w.now + f.For
}

func (f KillVM) strike(w *World) {
	v := w.vms[f.VM%len(w.vms)]
	if v.down {
		return
	}
	v.kill()
	w.after(max(f.For, time.Millisecond), v.restart)
}

func (f FreezeVM) strike(w *World) {
	v := w.vms[f.VM%len(w.vms)]
	v.until = max(v.until, w.now+f.For)
}

// noted traces a machine's note and remembers when promotions started.
func (w *World) noted(v *vm, e group.NoteEvent) {
	switch e := e.(type) {
	case group.PromotionStarted:
		w.started = append(w.started, w.now)
		w.trace("%s %T %+v", v.name, e, e)
	case group.PromotionEnded, group.PrimaryChanged, group.TargetSetAside, group.TargetLost, group.TargetBack:
		w.trace("%s %T %+v", v.name, e, e)
	default:
		panic(fmt.Sprintf("world: unknown note %T", e))
	}
}

// Promotions returns how many promotions were started at or after t.
func (w *World) Promotions(t time.Duration) int {
	n := 0
	for _, at := range w.started {
		if at >= t {
			n++
		}
	}
	return n
}
