package main

import (
	"fmt"
	"slices"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/world"
)

// failure is a way to lose a primary, by name.
type failure struct {
	name   string
	faults []world.Fault
}

// ever outlasts every run.
const ever = time.Hour

var failures = []failure{
	{name: "killed", faults: []world.Fault{world.KillTarget{Target: world.Primary}}},
	{name: "frozen", faults: []world.Fault{world.FreezeTarget{Target: world.Primary, For: ever}}},
	{name: "cut off from VMs only", faults: []world.Fault{world.CutTarget{Target: world.Primary, VMs: true, For: ever}}},
	{name: "cut off from replicas only", faults: []world.Fault{world.CutTarget{Target: world.Primary, Targets: true, For: ever}}},
	{name: "killed, platform away", faults: []world.Fault{world.Outage{For: ever}, world.KillTarget{Target: world.Primary}}},
}

// The times of a failover run.
const (
	strikeAt = 5 * time.Second
	runUntil = 15 * time.Second
	restFor  = 10 * time.Second
)

func failovers(seeds int) table {
	t := table{heading: []string{"user", "primary", "seeds", "median gap ms", "worst gap ms", "promotions a run", "failed checks"}}
	for _, u := range users {
		for _, f := range failures {
			t.rows = append(t.rows, failoverRow(u, f, seeds, group.DefaultLimits()))
		}
	}
	return t
}

// outcome is what one failover run gave.
type outcome struct {
	gap        time.Duration
	promotions int
	failed     bool
}

func failoverRow(u user, f failure, seeds int, limits group.Limits) []string {
	all := each(seeds, func(i int) outcome { return failover(u, f, uint64(i+1), limits) })
	gaps := []time.Duration{}
	promotions, failed := 0, 0
	for _, o := range all {
		gaps = append(gaps, o.gap)
		promotions += o.promotions
		if o.failed {
			failed++
		}
	}
	return []string{
		u.name, f.name, fmt.Sprint(seeds),
		milliseconds(quantile(gaps, 0.5)), milliseconds(slices.Max(gaps)),
		fmt.Sprintf("%.2f", float64(promotions)/float64(seeds)), fmt.Sprint(failed),
	}
}

func failover(u user, f failure, seed uint64, limits group.Limits) outcome {
	s := u.shape()
	s.Reads, s.Aged = 0.2, 0.2
	s.Think = 40 * time.Millisecond
	w := &world.World{Shape: s, Seed: seed, Limits: limits}
	w.Start()
	for _, fault := range f.faults {
		w.At(strikeAt, fault)
	}
	w.Run(runUntil)
	// A write that is never acknowledged again counts as the whole run.
	gap := max(w.History().Gap(strikeAt), runUntil-lastAcknowledged(w))
	w.Quiet(restFor)
	return outcome{gap: gap, promotions: w.Promotions(strikeAt), failed: w.Check() != nil}
}

func lastAcknowledged(w *world.World) time.Duration {
	a := w.History().Acknowledged
	if len(a) == 0 {
		return 0
	}
	return a[len(a)-1]
}

// sweep scales the detection times and shows what a shorter gap costs.
func sweep(seeds int) table {
	t := table{heading: []string{"detection times", "loss", "needless promotions in an hour", "median gap ms, killed", "worst", "median gap ms, frozen", "worst"}}
	for _, scale := range []float64{0.1, 0.2, 0.4, 0.7, 1, 2} {
		limits := scaled(scale)
		killed := failoverRow(users[0], failures[0], seeds, limits)
		frozen := failoverRow(users[0], failures[1], seeds, limits)
		losses := []float64{0.01, 0.05}
		needless := each(len(losses), func(i int) int { return needlessIn(losses[i], limits) })
		for i, loss := range losses {
			t.rows = append(t.rows, []string{
				fmt.Sprintf("x %.1f (stream %v)", scale, limits.Stream), fmt.Sprintf("%.0f%%", loss*100), fmt.Sprint(needless[i]),
				killed[3], killed[4], frozen[3], frozen[4],
			})
		}
	}
	return t
}

func scaled(by float64) group.Limits {
	l := group.DefaultLimits()
	for _, d := range []*time.Duration{&l.Ask, &l.Fresh, &l.Stream, &l.StreamAlone, &l.Grace} {
		*d = time.Duration(float64(*d) * by)
	}
	return l
}

func needlessIn(loss float64, limits group.Limits) int {
	const settled = 10 * time.Second
	s := world.Cooperative()
	s.Loss, s.Jitter = loss, 3
	w := &world.World{Shape: s, Seed: 1, Idle: true, Limits: limits}
	w.Start()
	w.Run(time.Hour)
	return w.Promotions(settled)
}

// probes varies the time between status requests and shows what it costs and
// what a longer one does to the gap.
func probes(seeds int) table {
	t := table{heading: []string{"probe", "status requests a second, one watched group", "median gap ms, killed", "worst", "median gap ms, frozen", "worst", "median gap ms, cut off from VMs", "worst", "needless promotions in an hour, 1% loss"}}
	for _, probe := range []time.Duration{100, 200, 300, 500, 1000} {
		l := group.DefaultLimits()
		l.Probe = probe * time.Millisecond
		row := []string{l.Probe.String(), fmt.Sprintf("%.1f", watchCost(0, l).asks)}
		for _, f := range failures[:3] {
			r := failoverRow(users[0], f, seeds, l)
			row = append(row, r[3], r[4])
		}
		t.rows = append(t.rows, append(row, fmt.Sprint(needlessIn(0.01, l))))
	}
	return t
}
