package soak

import (
	"fmt"
	"time"

	"amaranthsill/internal/site"
)

// harm injects faults, some at the same time, until the run's length is over.
func (r *Run) harm() {
	begun := time.Now()
	for time.Since(begun) < r.Length {
		n := r.random.IntN(len(faults))
		f := faults[n]
		lasting := time.Duration(r.random.Int64N(int64(longestFault)))
		r.Logf("seed %d: %v %s for %v", r.Seed, time.Since(begun).Round(time.Millisecond), f.name, lasting.Round(time.Millisecond))
		undo := f.inject(r)
		if undo != nil {
			time.AfterFunc(lasting, undo)
		}
		time.Sleep(time.Duration(r.random.Int64N(int64(longestPause))))
	}
	// Faults that began last end by themselves.
	time.Sleep(longestFault)
}

// heal undoes what may be left.
func (r *Run) heal() {
	r.site.Store.SetDown(false)
	r.site.Store.SetDeaf(false)
	for _, p := range r.paths {
		p.Set(Pass)
	}
	for _, g := range groups {
		for _, s := range r.site.Servers(g) {
			s.SetDark(false)
			s.SetFull(false)
			s.SetDeaf(false)
			s.Mute(0)
		}
	}
	for _, v := range r.vms {
		v.Store.Set(Pass)
		v.Resume()
		if err := v.Start(false); err != nil {
			r.broke("%v", err)
		}
	}
}

// faultKind injects one fault and returns what ends it; nil if it ends by
// itself.
type faultKind struct {
	name   string
	inject func(*Run) func()
}

var faults = []faultKind{
	{"a VM is killed and started", func(r *Run) func() {
		v := r.anyVM()
		v.Kill()
		return func() { r.start(v) }
	}},
	{"all VMs of the first zone are killed and started", func(r *Run) func() {
		for _, v := range r.vms[:3] {
			v.Kill()
		}
		return func() {
			for _, v := range r.vms[:3] {
				r.start(v)
			}
		}
	}},
	{"a VM is stopped and started", func(r *Run) func() {
		v := r.anyVM()
		go func() {
			v.Stop()
			r.start(v)
		}()
		return nil
	}},
	{"a VM is paused", func(r *Run) func() {
		v := r.anyVM()
		v.Pause()
		return v.Resume
	}},
	{"the store is down", func(r *Run) func() {
		r.site.Store.SetDown(true)
		return func() { r.site.Store.SetDown(false) }
	}},
	{"the store forgets its history", func(r *Run) func() {
		r.site.Store.Compact()
		return nil
	}},
	{"watches hear nothing", func(r *Run) func() {
		r.site.Store.SetDeaf(true)
		return func() { r.site.Store.SetDeaf(false) }
	}},
	{"answers of the store are lost", func(r *Run) func() {
		r.site.Store.Lose(2)
		return nil
	}},
	{"a VM is cut from the store", func(r *Run) func() {
		v := r.anyVM()
		v.Store.Set([]Fault{Mute, Deaf, Refuse, Slow}[r.random.IntN(4)])
		return func() { v.Store.Set(Pass) }
	}},
	{"connections to the store go silent", func(r *Run) func() {
		r.anyVM().Store.Silence()
		return nil
	}},
	{"the path to a server is harmed", func(r *Run) func() {
		p := r.anyPath()
		p.Set([]Fault{Mute, Deaf, Refuse, Slow}[r.random.IntN(4)])
		return func() { p.Set(Pass) }
	}},
	{"connections to a server are reset", func(r *Run) func() {
		r.anyPath().Reset()
		return nil
	}},
	{"connections to a server go silent", func(r *Run) func() {
		r.anyPath().Silence()
		return nil
	}},
	{"a leader goes dark", func(r *Run) func() {
		s := r.site.Leader(groups[r.random.IntN(len(groups))])
		if s == nil {
			return nil
		}
		s.SetDark(true)
		return func() { s.SetDark(false) }
	}},
	{"answers of a leader are lost", func(r *Run) func() {
		s := r.site.Leader(groups[r.random.IntN(len(groups))])
		if s == nil {
			return nil
		}
		s.Mute(3)
		return func() { s.Mute(0) }
	}},
	{"a replica receives nothing", func(r *Run) func() {
		s := r.site.Servers(groups[r.random.IntN(len(groups))])[r.random.IntN(3)]
		s.SetDeaf(true)
		return func() { s.SetDeaf(false) }
	}},
	{"a server is full", func(r *Run) func() {
		s := r.site.Servers(groups[r.random.IntN(len(groups))])[r.random.IntN(3)]
		s.SetFull(true)
		return func() { s.SetFull(false) }
	}},
	{"configurations come in quick succession", func(r *Run) func() {
		for range 1 + r.random.IntN(4) {
			n := routeNamed(fmt.Sprintf("extra%d", len(r.routes)))
			r.routes = append(r.routes, n)
			r.site.Configure([]site.Route{n})
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}},
}

func (r *Run) anyVM() *VM { return r.vms[r.random.IntN(len(r.vms))] }

func (r *Run) anyPath() *Proxy { return r.paths[r.random.IntN(len(r.paths))] }

func (r *Run) start(v *VM) {
	if err := v.Start(false); err != nil {
		r.broke("%v", err)
	}
}
