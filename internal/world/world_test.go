package world_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthsill/internal/world"
)

// The aims for the failover gap, and the time that a run gets after its last
// fault.
const (
	worstGap = 3 * time.Second
	strike   = 5 * time.Second
	heal     = 15 * time.Second
)

// TestMain fixes the seed of the randomised runs unless a soak asks for
// another one.
func TestMain(m *testing.M) {
	flag.Parse()
	seed, checks := "1", "40"
	if s := os.Getenv("SOAK_SEED"); s != "" {
		seed, checks = s, os.Getenv("SOAK_CHECKS")
		fmt.Println("soak with seed", seed, "and", checks, "runs")
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestWorld(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "world")
}

var shapes = map[string]func() world.Shape{
	"cooperative": world.Cooperative,
	"habimana":    world.Habimana,
}

var _ = ginkgo.Describe("Promises under one failure or two", func() {
	for name, c := range map[string]struct {
		faults []world.Fault
		// gap is the longest time without an acknowledged write; zero if the
		// failure leaves no majority.
		gap time.Duration
	}{
		"primary killed":                    {faults: []world.Fault{world.KillTarget{Target: world.Primary}}, gap: worstGap},
		"primary killed and restarted":      {faults: []world.Fault{world.KillTarget{Target: world.Primary, For: 2 * time.Second}}, gap: worstGap},
		"primary frozen":                    {faults: []world.Fault{world.FreezeTarget{Target: world.Primary, For: 8 * time.Second}}, gap: worstGap},
		"primary cut off from callers' VMs": {faults: []world.Fault{world.CutTarget{Target: world.Primary, VMs: true, For: 8 * time.Second}}, gap: worstGap},
		"primary cut off from replicas":     {faults: []world.Fault{world.CutTarget{Target: world.Primary, Targets: true, For: 8 * time.Second}}, gap: worstGap},
		"primary heard but deaf":            {faults: []world.Fault{world.CutTarget{Target: world.Primary, VMs: true, Targets: true, OneWay: true, For: 8 * time.Second}}, gap: worstGap},
		"primary killed, platform away":     {faults: []world.Fault{world.Outage{For: 20 * time.Second}, world.KillTarget{Target: world.Primary}}, gap: worstGap},
		"primary killed, answers lost":      {faults: []world.Fault{world.Outage{Lossy: true, For: 20 * time.Second}, world.KillTarget{Target: world.Primary}}, gap: worstGap},
		"primary killed, promoter frozen":   {faults: []world.Fault{world.KillTarget{Target: world.Primary}, world.FreezeVM{VM: 0, For: 6 * time.Second}}, gap: worstGap},
		"connections to primary silent":     {faults: []world.Fault{world.Silence{Target: world.Primary}}, gap: worstGap},
		"connections to replica silent":     {faults: []world.Fault{world.Silence{Target: 1}}, gap: worstGap},
		"replicas far behind":               {faults: []world.Fault{world.Lag{Target: 1, By: 6 * time.Second, For: 8 * time.Second}, world.Lag{Target: 2, By: 6 * time.Second, For: 8 * time.Second}}, gap: worstGap},
		"zone of the primary cut off":       {faults: []world.Fault{world.CutZone{Zone: 0, For: 8 * time.Second}}, gap: worstGap},
		"primary is leaving":                {faults: []world.Fault{world.Leave{Target: world.Primary}}, gap: worstGap},
		"replica is leaving":                {faults: []world.Fault{world.Leave{Target: 2}}, gap: worstGap},
		"VM killed":                         {faults: []world.Fault{world.KillVM{VM: 0, For: time.Second}}, gap: worstGap},
		"VM frozen":                         {faults: []world.Fault{world.FreezeVM{VM: 1, For: 6 * time.Second}}, gap: worstGap},
		"two targets killed":                {faults: []world.Fault{world.KillTarget{Target: 0, For: 6 * time.Second}, world.KillTarget{Target: 1, For: 7 * time.Second}}},
		"all zones cut from each other":     {faults: []world.Fault{world.CutZone{Zone: 0, For: 6 * time.Second}, world.CutZone{Zone: 1, For: 6 * time.Second}}},
	} {
		for user, shape := range shapes {
			for _, seed := range []uint64{1, 2, 3} {
				ginkgo.It(fmt.Sprintf("hold: %s, %s, seed %d", name, user, seed), func() {
					w := &world.World{Shape: shape(), Seed: seed}
					w.Start()
					for _, f := range c.faults {
						w.At(strike, f)
					}
					w.Run(strike + heal)
					w.Quiet(heal)
					gomega.Expect(w.Check()).To(gomega.Succeed())
					if c.gap > 0 {
						gomega.Expect(w.History().Gap(strike)).To(gomega.BeNumerically("<", c.gap))
					}
				})
			}
		}
	}
})

var _ = ginkgo.Describe("A write that may run twice", func() {
	ginkgo.It("never takes effect after a later write of its session", func() {
		// The first run of a write is held up on a frozen primary while the
		// second one is acknowledged.
		for seed := range uint64(40) {
			s := world.Cooperative()
			s.Think = 4 * time.Millisecond
			s.Reads, s.Aged, s.Transactions, s.Roam = 0.3, 0, 0, 0
			w := &world.World{Shape: s, Seed: seed}
			w.Start()
			w.At(3*time.Second, world.FreezeTarget{Target: world.Primary, For: 560*time.Millisecond + time.Duration(seed)*2*time.Millisecond})
			w.Run(5 * time.Second)
			w.Quiet(10 * time.Second)
			gomega.Expect(w.Check()).To(gomega.Succeed())
		}
	})
})

var _ = ginkgo.Describe("A read with a stated age", func() {
	ginkgo.It("is not answered with data older than that, however long it was held", func() {
		s := world.Habimana()
		s.Think, s.Reads, s.Aged, s.Token = 60*time.Millisecond, 0.25, 0.25, false
		s.Loss, s.Jitter = 0.01, 3
		w := &world.World{Shape: s, Seed: 5}
		w.Start()
		for at, f := range map[time.Duration]world.Fault{
			3000: world.CutTarget{Target: 1, VMs: true, For: 7521 * time.Millisecond},
			3002: world.KillTarget{Target: world.Primary, For: 52 * time.Millisecond},
			3003: world.KillTarget{Target: 0, For: 1419 * time.Millisecond},
			3009: world.KillTarget{Target: 1, For: 74 * time.Millisecond},
			3052: world.FreezeTarget{Target: world.Primary, For: 547 * time.Millisecond},
			3232: world.CutZone{Zone: 1, For: 103 * time.Millisecond},
			3534: world.FreezeTarget{Target: world.Primary, For: 122 * time.Millisecond},
			6313: world.CutTarget{Target: world.Primary, Targets: true, For: 8 * time.Second},
		} {
			w.At(at*time.Millisecond, f)
		}
		w.Run(22 * time.Second)
		w.Quiet(20 * time.Second)
		gomega.Expect(w.Check()).To(gomega.Succeed())
	})
})

var _ = ginkgo.Describe("A healthy primary", func() {
	ginkgo.It("is not replaced over an hour of lossy links", func() {
		s := world.Cooperative()
		s.Loss, s.Jitter = 0.01, 3
		w := &world.World{Shape: s, Seed: 1, Idle: true}
		w.Start()
		w.Run(time.Hour)
		gomega.Expect(w.Promotions(3 * time.Second)).To(gomega.BeZero())
	})
})

// TestRandom strikes random failures, any of them together or twice.
func TestRandom(t *testing.T) {
	const faults = 8
	steps, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		w := &world.World{Shape: drawShape(t), Seed: rapid.Uint64().Draw(t, "seed")}
		w.Start()
		for i := range faults {
			at := rapid.IntRange(3000, 20000).Draw(t, "at")
			f := world.DrawFault(func(label string, least, most int) int {
				return rapid.IntRange(least, most).Draw(t, label+strconv.Itoa(i))
			})
			w.At(time.Duration(at)*time.Millisecond, f)
		}
		w.Run(22 * time.Second)
		w.Quiet(20 * time.Second)
		steps += w.Steps()
		if err := w.Check(); err != nil {
			t.Fatal(err)
		}
	})
	// The 40 runs that CI makes are a million events.
	const leastOfRun = 25000
	if steps < runs*leastOfRun {
		t.Fatalf("%d kernel events in %d runs, want at least %d", steps, runs, runs*leastOfRun)
	}
}

func drawShape(t *rapid.T) world.Shape {
	s := world.Cooperative()
	if rapid.Bool().Draw(t, "habimana") {
		s = world.Habimana()
	}
	s.Think = 60 * time.Millisecond
	s.Reads, s.Aged = 0.25, 0.25
	s.Token = rapid.Bool().Draw(t, "token")
	if rapid.Bool().Draw(t, "lossy") {
		s.Loss, s.Jitter = 0.01, 3
	}
	return s
}
