package quota_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthsill/quota"
)

// TestMain fixes the seed of the properties, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSumStaysWithinTheLimit guards against a share that is used at two places at once, or
// tokens that are used later than they are counted.
func TestSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{
			Rate:  rapid.SampledFrom([]float64{1.6, 10, 60, 246}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{1, 2, 10, 60, 246}).Draw(t, "burst"),
		}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "vms"), limit)
		f.latency = time.Duration(rapid.IntRange(0, 60).Draw(t, "latency")) * time.Millisecond
		f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		f.late = rapid.Float64Range(0, 0.3).Draw(t, "late")
		f.twice = rapid.Float64Range(0, 0.3).Draw(t, "twice")
		load := rapid.Float64Range(0.5, 4).Draw(t, "load")
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			f.disturb(rapid.IntRange(0, 8).Draw(t, "disturbance"), limit)
			busy := f.anyVM()
			f.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "length"))*time.Millisecond, func() {
				f.poisson(load*limit.Rate, func() *vm {
					if f.random.IntN(2) == 0 {
						return busy
					}
					return f.anyVM()
				})
			})
		}
		if e := f.excess(limit); e > 0.01 {
			t.Fatalf("%d operations exceed the limit in a window by %.2f", len(f.admitted), e)
		}
	})
}

// disturb makes one of the failures that the design allows for.
func (f *fleet) disturb(kind int, limit quota.Limit) {
	v := f.anyVM()
	switch kind {
	case 0:
		for _, v := range f.vms {
			v.side = 0
		}
	case 1:
		for _, v := range f.vms {
			v.side = f.random.IntN(2)
		}
	case 2:
		v.pausedUntil = f.now + time.Duration(f.random.Int64N(int64(3*time.Second)))
	case 3:
		f.random.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	case 4:
		f.restart(v, f.now+quota.HoldTime)
	case 5:
		f.loss, f.late, f.twice = 0, 0, 0
	case 6:
		// A version with a lower limit, or that from before, reaches one VM.
		factor := 0.5 + 0.5*float64(f.random.IntN(2))
		v.limit = quota.Limit{Rate: factor * limit.Rate, Burst: factor * limit.Burst}
	case 7:
		// The VM has learned of others that do not use a share yet.
		v.vms = len(f.vms) + f.random.IntN(3)
	default:
		v.side = 2
	}
}

// TestMostOfTheLimitIsAdmitted guards against tokens that expire unused, or that wait at
// the limiter, while a customer asks for more than its limit. Where the burst is less than
// a second's operations, a random load leaves a part of the limit unused in any case; the
// measure is then a token bucket at one place.
func TestMostOfTheLimitIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1.6, 10, 60, 246}).Draw(t, "rate")
		limit := quota.Limit{Rate: rate, Burst: max(2, rate*rapid.Float64Range(0.5, 2).Draw(t, "burst"))}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "vms"), limit)
		f.latency = time.Duration(rapid.IntRange(0, 20).Draw(t, "latency")) * time.Millisecond
		demand := f.movingDemand(rate * rapid.Float64Range(1.5, 7).Draw(t, "load"))
		f.run(5*time.Second, func() { demand() })
		before := len(f.admitted)
		ideal, level, length := 0, 0.0, 40*time.Second
		f.run(length, func() {
			level = min(level+rate*tick.Seconds(), limit.Burst)
			n := min(demand(), int(level))
			ideal += n
			level -= float64(n)
		})
		got, want := float64(len(f.admitted)-before), 0.95*rate*length.Seconds()
		if limit.Burst < rate || rate < 10 {
			want = 0.85 * float64(ideal)
		}
		if got < want {
			t.Fatalf("%.0f operations admitted, want %.0f; a token bucket at one place admits %d", got, want, ideal)
		}
	})
}

// movingDemand returns a function that offers the operations of one tick, most of them at
// a VM that changes each second, and returns their number.
func (f *fleet) movingDemand(rate float64) func() int {
	busy, moved := f.anyVM(), f.now
	return func() int {
		if f.now-moved >= time.Second {
			moved, busy = f.now, f.anyVM()
		}
		n := f.arrivals(rate)
		for range n {
			if f.random.IntN(4) > 0 {
				f.offer(busy)
			} else {
				f.offer(f.anyVM())
			}
		}
		return n
	}
}

// TestNothingIsRefusedWithinTheLimit guards against refusals of small customers whose
// operations come in pairs, at any VM.
func TestNothingIsRefusedWithinTheLimit(t *testing.T) {
	cases := map[string]struct {
		limit  quota.Limit
		vms    int
		bunch  int
		period time.Duration
	}{
		"pairs":              {quota.Limit{Rate: 1.6, Burst: 2}, 86, 2, 1600 * time.Millisecond},
		"singles":            {quota.Limit{Rate: 1.6, Burst: 2}, 86, 1, 630 * time.Millisecond},
		"burst of the whole": {quota.Limit{Rate: 246, Burst: 246}, 86, 246, 1400 * time.Millisecond},
		"steady":             {quota.Limit{Rate: 246, Burst: 246}, 86, 1, 5 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(7, c.vms, c.limit)
			f.latency = 20 * time.Millisecond
			f.run(4*time.Second, func() {})
			next := f.now
			f.run(30*time.Second, func() {
				for ; f.now >= next; next += c.period {
					for range c.bunch {
						f.offer(f.anyVM())
					}
				}
			})
			if f.refused > 0 {
				t.Errorf("%d operations refused, %d admitted", f.refused, len(f.admitted))
			}
		})
	}
}

// TestCallsAreFew guards against a customer far over its limit that makes its VMs ask for
// each operation.
func TestCallsAreFew(t *testing.T) {
	cases := map[string]struct {
		vms  int
		rate float64
	}{
		"large customer, many VMs":  {86, 246},
		"large customer, three VMs": {3, 246},
		"small customer, many VMs":  {86, 1.6},
		"small customer, one VM":    {1, 1.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, c.vms, quota.Limit{Rate: c.rate, Burst: max(c.rate, 2)})
			f.latency = 200 * time.Microsecond
			f.run(5*time.Second, func() {})
			before := f.calls()
			f.run(20*time.Second, func() { f.poisson(max(7*c.rate, 20*float64(c.vms)), f.anyVM) })
			perSecond := float64(f.calls()-before) / 20 / float64(c.vms)
			t.Logf("%.1f calls a second per VM", perSecond)
			if perSecond > 12 {
				t.Errorf("%.1f calls a second per VM, want at most 12", perSecond)
			}
		})
	}
}

func (f *fleet) calls() int {
	n := 0
	for _, v := range f.vms {
		n += v.calls
	}
	return n
}

// BenchmarkAdmit measures one admission from tokens at hand.
func BenchmarkAdmit(b *testing.B) {
	limit := quota.Limit{Rate: 1e12, Burst: 1e12}
	c := quota.NewClient("vm-0", 0)
	c.SetStanding(true, true)
	p := quota.NewPool(0, 0, 5)
	limits := func(string) (quota.Limit, bool) { return limit, true }
	now := time.Second
	exchange := func() {
		if call, ok := c.Next(now, []string{"vm-0"}, 1); ok {
			c.Answered(now, call, p.Allot(now, call.Request, limits))
		}
	}
	c.Admit(now, choir, limit)
	for range 1000 {
		c.Enqueue(choir)
	}
	exchange()
	exchange()
	now += time.Second
	for range 100_000_000 {
		c.Enqueue(choir)
	}
	exchange()
	b.ReportAllocs()
	for b.Loop() {
		if outcome, _ := c.Admit(now, choir, limit); outcome != quota.Admitted {
			b.Fatal("no token is left")
		}
	}
}

// TestDelegationCountsFromTheEcho guards against a request that was late and delegates a
// share which its sender uses again.
func TestDelegationCountsFromTheEcho(t *testing.T) {
	cases := map[string]struct {
		arrives, at time.Duration
		want        float64
	}{
		"in time":                  {1100 * time.Millisecond, 2400 * time.Millisecond, 0.5},
		"expired":                  {1100 * time.Millisecond, 2500 * time.Millisecond, 0},
		"late, until the echo's":   {2300 * time.Millisecond, 2499 * time.Millisecond, 0.5},
		"late, and then expired":   {2300 * time.Millisecond, 2500 * time.Millisecond, 0},
		"too late to be delegated": {2600 * time.Millisecond, 2600 * time.Millisecond, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := quota.NewPool(0, 0, 5)
			q := quota.Request{VM: "vm-0", VMs: 2}
			if p.Allot(time.Second, q, nil); p.Share(time.Second) != 0 {
				t.Error("a request without an echo delegates")
			}
			q.Echo = 5 + uint64(time.Second)
			p.Allot(c.arrives, q, nil)
			if got := p.Share(c.at); got != c.want {
				t.Errorf("share %v at %v, want %v", got, c.at, c.want)
			}
			if r := p.Allot(c.at, quota.Request{VM: "vm-1", VMs: 2, Echo: 4}, nil); r.Stamp != 5+uint64(c.at) || p.Share(c.at) != c.want {
				t.Error("an echo of another start of the limiter delegates")
			}
		})
	}
}

// TestOwnShareStartsEmpty guards against tokens that were admitted by the limiter and
// again by the VM, and against a VM that uses its share before all others know it.
func TestOwnShareStartsEmpty(t *testing.T) {
	limit := quota.Limit{Rate: 20, Burst: 20}
	cases := map[string]struct {
		mayUseOwn bool
		after     time.Duration
		want      int
	}{
		"at once":                  {true, 0, 0},
		"after half a second":      {true, 510 * time.Millisecond, 5},
		"full":                     {true, time.Minute, 10},
		"not known to all the VMs": {false, time.Minute, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := quota.NewClient("vm-0", 0)
			client.SetStanding(true, c.mayUseOwn)
			client.Next(time.Second, nil, 2)
			got := 0
			for range 20 {
				if outcome, retry := client.Admit(time.Second+c.after, choir, limit); outcome == quota.Admitted {
					got++
				} else if outcome != quota.Refused || retry <= 0 {
					t.Errorf("outcome %v with retry %v, want a refusal", outcome, retry)
				}
			}
			if got != c.want {
				t.Errorf("%d operations admitted, want %d", got, c.want)
			}
		})
	}
}

// TestLimitOfANewVersion guards against tokens of an earlier limit that are still
// admitted, and against a raised limit that takes effect only once the old one is used up.
func TestLimitOfANewVersion(t *testing.T) {
	cases := map[string]struct{ before, after quota.Limit }{
		"lowered": {quota.Limit{Rate: 240, Burst: 240}, quota.Limit{Rate: 60, Burst: 60}},
		"raised":  {quota.Limit{Rate: 60, Burst: 60}, quota.Limit{Rate: 240, Burst: 240}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(11, 5, c.before)
			load := func() { f.poisson(600, f.anyVM) }
			f.run(10*time.Second, load)
			for _, v := range f.vms {
				v.limit = c.after
			}
			f.admitted = nil
			f.run(10*time.Second, load)
			if e := f.excess(c.after); e > 0.01 {
				t.Errorf("operations exceed the new limit in a window by %.2f", e)
			}
			if got, want := float64(len(f.admitted)), 0.95*c.after.Rate*10; got < want {
				t.Errorf("%.0f operations admitted in 10 s, want %.0f", got, want)
			}
		})
	}
}

// TestShareRestsAfterADelegation guards against a VM that uses its share, or delegates it to
// another limiter, while the earlier one still counts it or has granted tokens from it.
func TestShareRestsAfterADelegation(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		free  bool
	}{
		"still delegated":      {quota.DelegationTime - time.Millisecond, false},
		"tokens not expired":   {quota.HoldTime - time.Millisecond, false},
		"after the hold":       {quota.HoldTime, true},
		"long after the hold":  {time.Minute, true},
		"right after the echo": {50 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const stamped = time.Second
			delegated := func() *quota.Client {
				client := quota.NewClient("vm-0", 0)
				client.SetStanding(true, true)
				for range 2 {
					call, _ := client.Next(stamped, []string{"vm-1"}, 2)
					client.Answered(stamped, call, quota.Response{Stamp: 7})
				}
				if client.HeldUntil() != stamped+quota.HoldTime {
					t.Fatalf("held until %v", client.HeldUntil())
				}
				return client
			}
			own := delegated()
			own.Next(stamped+c.after, nil, 2)
			if got := own.UsesOwnShare(); got != c.free {
				t.Errorf("uses its own share: %v, want %v", got, c.free)
			}
			other := delegated()
			at := stamped + c.after - 10*time.Millisecond
			if call, ok := other.Next(at, []string{"vm-2"}, 2); ok {
				other.Answered(at, call, quota.Response{Stamp: 8})
			}
			if call, ok := other.Next(stamped+c.after, []string{"vm-2"}, 2); (ok && call.Echo != 0) != c.free {
				t.Errorf("delegates to another limiter: %v, want %v", !c.free, c.free)
			}
		})
	}
}

// TestBurstRefillsOnceTokensExpired guards against tokens that are used after others have
// accrued in their place.
func TestBurstRefillsOnceTokensExpired(t *testing.T) {
	limit := func(string) (quota.Limit, bool) { return quota.Limit{Rate: 2, Burst: 2}, true }
	cases := map[string]struct {
		after time.Duration
		want  int
	}{
		"at once":                         {0, 0},
		"had they been debited at once":   {600 * time.Millisecond, 0},
		"half a second after they expire": {700 * time.Millisecond, 1},
		"long after":                      {time.Minute, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := quota.NewPool(0, 0, 0)
			q := quota.Request{VM: "vm-0", VMs: 1, Asks: []quota.Ask{{Customer: choir, Waiting: 5}}}
			now := time.Second
			for ; now < 4*time.Second; now += time.Second {
				p.Allot(now, quota.Request{VM: "vm-0", VMs: 1, Echo: uint64(now)}, limit)
			}
			if r := p.Allot(now, q, limit); r.Allowances[0].Granted != 2 {
				t.Fatalf("%d tokens granted, want the burst of 2", r.Allowances[0].Granted)
			}
			for at := now; at < now+c.after; at += 500 * time.Millisecond {
				p.Allot(at, quota.Request{VM: "vm-0", VMs: 1, Echo: uint64(at)}, limit)
			}
			r := p.Allot(now+c.after, q, limit).Allowances[0]
			if r.Granted != c.want || r.Retry <= 0 {
				t.Errorf("%d tokens granted with retry %v, want %d and a time to retry", r.Granted, r.Retry, c.want)
			}
		})
	}
}

// TestShareRestsAfterARestart guards against a VM that delegates a share which it
// delegated to another limiter before it restarted, or uses it itself.
func TestShareRestsAfterARestart(t *testing.T) {
	const restarted = time.Minute
	client := quota.NewClient("vm-0", restarted+quota.HoldTime)
	client.SetStanding(true, true)
	for now := restarted; now < restarted+2*quota.HoldTime; now += 100 * time.Millisecond {
		call, ok := client.Next(now, []string{"vm-1"}, 2)
		if !ok {
			continue
		}
		if call.Echo != 0 && now < restarted+quota.HoldTime {
			t.Errorf("delegates %v after the restart", now-restarted)
		}
		client.Answered(now, call, quota.Response{Stamp: 7})
	}
	if client.Limiter() != "vm-1" {
		t.Error("delegates to nobody after the hold")
	}
	if client.Next(restarted, nil, 2); client.UsesOwnShare() {
		t.Error("uses its own share during the hold")
	}
}
