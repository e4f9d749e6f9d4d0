package main

import (
	"fmt"
	"slices"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/world"
)

// primaryFailure is a set of faults that take a group's primary out of service.
type primaryFailure struct {
	name   string
	faults []world.Fault
}

// permanent is the length of faults that last beyond the end of a run.
const permanent = time.Hour

var primaryFailures = []primaryFailure{
	{name: "killed", faults: []world.Fault{world.KillTarget{Target: world.Primary}}},
	{name: "frozen", faults: []world.Fault{world.FreezeTarget{Target: world.Primary, For: permanent}}},
	{name: "cut off from VMs only", faults: []world.Fault{world.CutTarget{Target: world.Primary, VMs: true, For: permanent}}},
	{name: "cut off from replicas only", faults: []world.Fault{world.CutTarget{Target: world.Primary, Targets: true, For: permanent}}},
	{name: "killed, platform away", faults: []world.Fault{world.Outage{For: permanent}, world.KillTarget{Target: world.Primary}}},
}

// Schedule of a failover run: the faults begin at faultAt, callers send requests
// until runEnd, and requests in flight may end within drainTime after that.
const (
	faultAt   = 5 * time.Second
	runEnd    = 15 * time.Second
	drainTime = 10 * time.Second
)

// measureFailovers measures the longest time without an acknowledged write for
// each workload and each failure of the primary.
func measureFailovers(seeds int) table {
	t := table{heading: []string{"user", "primary", "seeds", "median gap ms", "worst gap ms", "promotions a run", "failed checks"}}
	for _, w := range workloads {
		for _, f := range primaryFailures {
			t.rows = append(t.rows, failoverRow(w, f, seeds, group.DefaultLimits()))
		}
	}
	return t
}

// failoverResult is the result of one failover run.
type failoverResult struct {
	// gap is the longest time without an acknowledged write.
	gap        time.Duration
	promotions int
	failed     bool
}

// failoverRow runs one failure with seeds 1 to seeds and returns the table row.
func failoverRow(w workload, f primaryFailure, seeds int, limits group.Limits) []string {
	all := parallelMap(seeds, func(i int) failoverResult { return runFailover(w, f, uint64(i+1), limits) })
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
		w.name, f.name, fmt.Sprint(seeds),
		milliseconds(quantile(gaps, 0.5)), milliseconds(slices.Max(gaps)),
		fmt.Sprintf("%.2f", float64(promotions)/float64(seeds)), fmt.Sprint(failed),
	}
}

func runFailover(load workload, f primaryFailure, seed uint64, limits group.Limits) failoverResult {
	s := load.scenario()
	s.ReadShare, s.AgedReadShare = 0.2, 0.2
	s.Think = 40 * time.Millisecond
	w := &world.World{Scenario: s, Seed: seed, Limits: limits}
	w.Start()
	for _, fault := range f.faults {
		w.At(faultAt, fault)
	}
	w.Run(runEnd)
	// LongestWriteGap covers only the time between acknowledged writes. If
	// writes never resume, the time from the last one to the end of the run
	// counts.
	gap := max(w.History().LongestWriteGap(faultAt), runEnd-lastAcknowledged(w))
	w.Drain(drainTime)
	return failoverResult{gap: gap, promotions: w.PromotionsSince(faultAt), failed: w.Check() != nil}
}

// lastAcknowledged returns the time of the last acknowledged write, or zero.
func lastAcknowledged(w *world.World) time.Duration {
	a := w.History().AcknowledgedAt
	if len(a) == 0 {
		return 0
	}
	return a[len(a)-1]
}

// sweepDetectionTimes scales the failure detection times and measures the write
// unavailability against the number of false-positive promotions.
func sweepDetectionTimes(seeds int) table {
	t := table{heading: []string{"detection times", "loss", "needless promotions in an hour", "median gap ms, killed", "worst", "median gap ms, frozen", "worst"}}
	for _, scale := range []float64{0.1, 0.2, 0.4, 0.7, 1, 2} {
		limits := scaleDetectionTimes(scale)
		killed := failoverRow(workloads[0], primaryFailures[0], seeds, limits)
		frozen := failoverRow(workloads[0], primaryFailures[1], seeds, limits)
		losses := []float64{0.01, 0.05}
		needless := parallelMap(len(losses), func(i int) int { return needlessPromotions(losses[i], limits) })
		for i, loss := range losses {
			t.rows = append(t.rows, []string{
				fmt.Sprintf("x %.1f (stream %v)", scale, limits.PrimarySilence), fmt.Sprintf("%.0f%%", loss*100), fmt.Sprint(needless[i]),
				killed[3], killed[4], frozen[3], frozen[4],
			})
		}
	}
	return t
}

// scaleDetectionTimes returns the default limits with all detection times
// multiplied by a factor.
func scaleDetectionTimes(by float64) group.Limits {
	l := group.DefaultLimits()
	for _, d := range []*time.Duration{&l.StatusTimeout, &l.ReconnectTimeout, &l.PrimarySilence, &l.PrimarySilenceIfReachable, &l.Grace} {
		*d = time.Duration(float64(*d) * by)
	}
	return l
}

// needlessPromotions returns the number of promotions in an hour without faults,
// at the given share of lost messages. The startup time is not counted.
func needlessPromotions(loss float64, limits group.Limits) int {
	const startUp = 10 * time.Second
	s := world.Cooperative()
	s.Loss, s.Jitter = loss, 3
	w := &world.World{Scenario: s, Seed: 1, NoCallers: true, Limits: limits}
	w.Start()
	w.Run(time.Hour)
	return w.PromotionsSince(startUp)
}

// sweepProbeIntervals varies the interval of status requests and measures their
// rate, the write unavailability and the number of false-positive promotions.
func sweepProbeIntervals(seeds int) table {
	t := table{heading: []string{"probe", "status requests a second, one watched group", "median gap ms, killed", "worst", "median gap ms, frozen", "worst", "median gap ms, cut off from VMs", "worst", "needless promotions in an hour, 1% loss"}}
	for _, probe := range []time.Duration{100, 200, 300, 500, 1000} {
		l := group.DefaultLimits()
		l.ProbeInterval = probe * time.Millisecond
		row := []string{l.ProbeInterval.String(), fmt.Sprintf("%.1f", idleCost(0, l).statusRequests)}
		for _, f := range primaryFailures[:3] {
			r := failoverRow(workloads[0], f, seeds, l)
			row = append(row, r[3], r[4])
		}
		t.rows = append(t.rows, append(row, fmt.Sprint(needlessPromotions(0.01, l))))
	}
	return t
}
