package soak

import (
	"fmt"
	"slices"
	"time"

	"amaranthsill/internal/site"
)

// injectFaults injects random faults, which may overlap, for r.Length, and returns once
// the longest possible fault after that has ended.
func (r *Run) injectFaults() {
	start := time.Now()
	kinds := faults
	if r.Losses {
		kinds = slices.Concat(faults, lossFaults)
	}
	if r.Customers {
		kinds = slices.Concat(kinds, customerFaults)
	}
	if r.Stutter {
		kinds = slices.Concat(kinds, stutterFaults)
	}
	if r.Calm {
		time.Sleep(r.Length)
		return
	}
	longest, pause := maxFaultDuration, maxFaultInterval
	if r.Incident {
		longest, pause = maxIncidentDuration, maxIncidentInterval
	}
	for time.Since(start) < r.Length {
		f := kinds[r.random.IntN(len(kinds))]
		if r.Incident && r.random.IntN(5) > 0 {
			f = incidentFaults[r.random.IntN(len(incidentFaults))]
		}
		duration := time.Duration(r.random.Int64N(int64(longest)))
		r.Logf("seed %d: %v %s for %v", r.Seed, time.Since(start).Round(time.Millisecond), f.name, duration.Round(time.Millisecond))
		undo := f.inject(r)
		if undo != nil {
			time.AfterFunc(duration, undo)
		}
		time.Sleep(time.Duration(r.random.Int64N(int64(pause))))
	}
	// Wait until the timers of the last faults have ended them.
	time.Sleep(longest)
}

// clearFaults ends the faults that are still active and starts all VMs that are down.
func (r *Run) clearFaults() {
	r.site.Store.SetDown(false)
	r.site.Store.SetWatchesPaused(false)
	if r.network != nil {
		r.network.heal()
		r.site.SetCallDelay(0)
	}
	for _, p := range r.proxies {
		p.Set(Forward)
	}
	r.setStutter(stutterShare)
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			s.SetUnresponsive(false)
			s.SetBusy(false)
			s.SetReplicationPaused(false)
			s.DropAnswers(0)
			s.Restart()
		}
	}
	for _, v := range r.vms {
		v.Store.Set(Forward)
		if v.duty != nil {
			v.duty.Set(Forward)
		}
		v.Resume()
		if err := v.Start(false); err != nil {
			r.reportViolation("%v", err)
		}
	}
}

// faultKind is a kind of fault. inject injects it and returns the function that ends it;
// nil if the fault needs no end.
type faultKind struct {
	name   string
	inject func(*Run) func()
}

// faults are the kinds of faults. A seed selects them by index, so a change of their
// order changes what each seed does.
var faults = []faultKind{
	{"a VM is killed, then started", func(r *Run) func() {
		v := r.randomVM()
		v.Kill()
		return func() { r.startVM(v) }
	}},
	{"all VMs of the first zone are killed, then started", func(r *Run) func() {
		for _, v := range r.vms[:3] {
			v.Kill()
		}
		return func() {
			for _, v := range r.vms[:3] {
				r.startVM(v)
			}
		}
	}},
	{"a VM is stopped gracefully and started", func(r *Run) func() {
		v := r.randomVM()
		go func() {
			v.Stop()
			r.startVM(v)
		}()
		return nil
	}},
	{"a VM is paused", func(r *Run) func() {
		v := r.randomVM()
		v.Pause()
		return v.Resume
	}},
	{"the store refuses all calls", func(r *Run) func() {
		r.site.Store.SetDown(true)
		return func() { r.site.Store.SetDown(false) }
	}},
	{"the store drops its change history", func(r *Run) func() {
		r.site.Store.Compact()
		return nil
	}},
	{"watches of the store deliver no events", func(r *Run) func() {
		r.site.Store.SetWatchesPaused(true)
		return func() { r.site.Store.SetWatchesPaused(false) }
	}},
	{"the answers to two transactions of the store are lost", func(r *Run) func() {
		r.site.Store.DropAnswers(2)
		return nil
	}},
	{"the connections of a VM to the store fail", func(r *Run) func() {
		v := r.randomVM()
		v.Store.Set([]Fault{DropAll, DropAnswers, RefuseAll, Delay}[r.random.IntN(4)])
		return func() { v.Store.Set(Forward) }
	}},
	{"open connections of a VM to the store are blackholed", func(r *Run) func() {
		r.randomVM().Store.Blackhole()
		return nil
	}},
	{"the connections to a server fail", func(r *Run) func() {
		p := r.randomProxy()
		p.Set([]Fault{DropAll, DropAnswers, RefuseAll, Delay}[r.random.IntN(4)])
		return func() { p.Set(Forward) }
	}},
	{"open connections to a server are reset", func(r *Run) func() {
		r.randomProxy().Reset()
		return nil
	}},
	{"open connections to a server are blackholed", func(r *Run) func() {
		r.randomProxy().Blackhole()
		return nil
	}},
	{"a leader is unresponsive", func(r *Run) func() {
		s := r.site.Leader(r.groups[r.random.IntN(len(r.groups))])
		if s == nil {
			return nil
		}
		s.SetUnresponsive(true)
		return func() { s.SetUnresponsive(false) }
	}},
	{"the answers to three requests to a leader are lost", func(r *Run) func() {
		s := r.site.Leader(r.groups[r.random.IntN(len(r.groups))])
		if s == nil {
			return nil
		}
		s.DropAnswers(3)
		return func() { s.DropAnswers(0) }
	}},
	{"replication to a server is paused", func(r *Run) func() {
		s := r.site.Servers(r.groups[r.random.IntN(len(r.groups))])[r.random.IntN(3)]
		s.SetReplicationPaused(true)
		return func() { s.SetReplicationPaused(false) }
	}},
	{"a server answers BUSY", func(r *Run) func() {
		s := r.site.Servers(r.groups[r.random.IntN(len(r.groups))])[r.random.IntN(3)]
		s.SetBusy(true)
		return func() { s.SetBusy(false) }
	}},
	{"several configurations are written 50 ms apart", func(r *Run) func() {
		for range 1 + r.random.IntN(4) {
			n := newRoute(fmt.Sprintf("extra%d", len(r.extraRoutes)))
			r.extraRoutes = append(r.extraRoutes, n)
			r.site.Configure([]site.Route{n})
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}},
}

// lossFaults are the kinds of faults in which the store loses what it acknowledged.
var lossFaults = []faultKind{
	{"the store comes back from a copy taken now", func(r *Run) func() {
		before := r.site.Store.Copy()
		return func() { r.site.Store.Restore(before) }
	}},
	{"the store is away, and comes back from a copy taken now", func(r *Run) func() {
		before := r.site.Store.Copy()
		time.AfterFunc(maxFaultDuration/2, func() { r.site.Store.SetDown(true) })
		return func() {
			r.site.Store.Restore(before)
			r.site.Store.SetDown(false)
		}
	}},
	{"all VMs are killed, and the store comes back from a copy taken now", func(r *Run) func() {
		before := r.site.Store.Copy()
		for _, v := range r.vms {
			v.Kill()
		}
		return func() {
			r.site.Store.Restore(before)
			for _, v := range r.vms {
				r.startVM(v)
			}
		}
	}},
}

func (r *Run) randomVM() *VM { return r.vms[r.random.IntN(len(r.vms))] }

func (r *Run) randomProxy() *Proxy { return r.proxies[r.random.IntN(len(r.proxies))] }

func (r *Run) startVM(v *VM) {
	if err := v.Start(false); err != nil {
		r.reportViolation("%v", err)
	}
}
