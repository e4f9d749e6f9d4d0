package main

import (
	"fmt"
	"slices"
	"time"

	"amaranthsill/internal/world"
)

// user is a users' shape by name.
type user struct {
	name  string
	shape func() world.Shape
}

var users = []user{
	{name: "cooperative", shape: world.Cooperative},
	{name: "habimana", shape: world.Habimana},
}

// policy is a way to route reads by name.
type policy struct {
	name     string
	policy   world.Policy
	patience time.Duration
}

var policies = []policy{
	{name: "full", policy: world.PolicyFull},
	{name: "full, patience 250ms", policy: world.PolicyFull, patience: 250 * time.Millisecond},
	{name: "primary only", policy: world.PolicyPrimary},
	{name: "floor only", policy: world.PolicyFloor},
}

// readCase is one row of the table of reads.
type readCase struct {
	user   user
	lag    time.Duration
	policy policy
	token  bool
}

// reads measures where reads are answered, for sessions that change their VM
// after every tenth request.
func reads(int) table {
	cases := []readCase{}
	for _, u := range users {
		for _, lag := range []time.Duration{5 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second} {
			for _, token := range []bool{true, false} {
				for _, p := range policies {
					cases = append(cases, readCase{user: u, lag: lag, policy: p, token: token})
				}
			}
		}
	}
	return table{
		heading: []string{"user", "lag", "token", "policy", "aged on replica", "current on replica", "all on replica", "median ms", "p99 ms", "refused", "unknown", "wrong", "check"},
		rows:    each(len(cases), func(i int) []string { return cases[i].run() }),
	}
}

func (c readCase) run() []string {
	const (
		length = 120 * time.Second
		rest   = 20 * time.Second
	)
	s := c.user.shape()
	s.Lag = c.lag
	s.Token = c.token
	s.Policy = c.policy.policy
	s.Patience = c.policy.patience
	w := &world.World{Shape: s, Seed: 1}
	w.Start()
	w.Run(length)
	w.Quiet(rest)
	verdict := "holds"
	if err := w.Check(); err != nil {
		verdict = err.Error()
	}
	h := w.History()
	return []string{
		c.user.name, c.lag.String(), fmt.Sprint(c.token), c.policy.name,
		percent(h.AgedReplica, h.AgedReads),
		percent(h.Replica-h.AgedReplica, h.Reads-h.AgedReads),
		percent(h.Replica, h.Reads),
		milliseconds(quantile(h.Latencies, 0.5)), milliseconds(quantile(h.Latencies, 0.99)),
		fmt.Sprint(h.Refused), fmt.Sprint(h.Unknown), fmt.Sprint(h.Broken), verdict,
	}
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}
