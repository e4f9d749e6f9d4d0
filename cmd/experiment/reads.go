package main

import (
	"fmt"
	"slices"
	"time"

	"amaranthsill/internal/world"
)

// workload is the workload and topology of one of the users.
type workload struct {
	name     string
	scenario func() world.Scenario
}

var workloads = []workload{
	{name: "cooperative", scenario: world.Cooperative},
	{name: "habimana", scenario: world.Habimana},
}

// readPolicy is a policy for routing reads. A replicaWait of zero means the
// default wait for a replica.
type readPolicy struct {
	name        string
	policy      world.Policy
	replicaWait time.Duration
}

// readPolicies has the system's own policy with two settings, and two baselines.
var readPolicies = []readPolicy{
	{name: "full", policy: world.PolicyFull},
	{name: "full, patience 250ms", policy: world.PolicyFull, replicaWait: 250 * time.Millisecond},
	{name: "primary only", policy: world.PolicyPrimary},
	{name: "floor only", policy: world.PolicyFloor},
}

// readCase is one combination of parameters, which gives one row of the table.
type readCase struct {
	workload workload
	// lag is the replication lag.
	lag    time.Duration
	policy readPolicy
	// token reports whether sessions take their token to another VM.
	token bool
}

// measureReads measures the share of reads that replicas answer, and the
// latency, for sessions that move to another VM after every tenth request. The
// number of seeds is not used.
func measureReads(int) table {
	cases := []readCase{}
	for _, w := range workloads {
		for _, lag := range []time.Duration{5 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second} {
			for _, token := range []bool{true, false} {
				for _, p := range readPolicies {
					cases = append(cases, readCase{workload: w, lag: lag, policy: p, token: token})
				}
			}
		}
	}
	return table{
		heading: []string{"user", "lag", "token", "policy", "aged on replica", "current on replica", "all on replica", "median ms", "p99 ms", "refused", "unknown", "wrong", "check"},
		rows:    parallelMap(len(cases), func(i int) []string { return cases[i].run() }),
	}
}

// run simulates the case and returns its table row.
func (c readCase) run() []string {
	const (
		length = 120 * time.Second
		drain  = 20 * time.Second
	)
	s := c.workload.scenario()
	s.Lag = c.lag
	s.KeepToken = c.token
	s.Policy = c.policy.policy
	s.ReplicaWait = c.policy.replicaWait
	w := &world.World{Scenario: s, Seed: 1}
	w.Start()
	w.Run(length)
	w.Drain(drain)
	checkResult := "holds"
	if err := w.Check(); err != nil {
		checkResult = err.Error()
	}
	h := w.History()
	return []string{
		c.workload.name, c.lag.String(), fmt.Sprint(c.token), c.policy.name,
		percent(h.AgedReplicaReads, h.AgedReads),
		percent(h.ReplicaReads-h.AgedReplicaReads, h.Reads-h.AgedReads),
		percent(h.ReplicaReads, h.Reads),
		milliseconds(quantile(h.Latencies, 0.5)), milliseconds(quantile(h.Latencies, 0.99)),
		fmt.Sprint(h.Refused), fmt.Sprint(h.Unknown), fmt.Sprint(h.StaleOwnReads), checkResult,
	}
}

// quantile returns the q-quantile of the durations, or zero if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}
