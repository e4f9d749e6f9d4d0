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

// maxGap is the longest acceptable time without an acknowledged write after a
// failure that leaves a majority. Faults are injected at faultAt; a run goes on
// for recovery after that, and for as long again without new operations.
const (
	maxGap   = 3 * time.Second
	faultAt  = 5 * time.Second
	recovery = 15 * time.Second
)

// TestMain sets the seed and the number of TestRandom's runs: seed 1 and 40
// runs, or SOAK_SEED and SOAK_CHECKS from the environment.
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

var scenarios = map[string]func() world.Scenario{
	"cooperative": world.Cooperative,
	"habimana":    world.Habimana,
}

var _ = ginkgo.Describe("The consistency guarantees under one or two failures", func() {
	for name, c := range map[string]struct {
		faults []world.Fault
		// gap bounds the time without an acknowledged write; zero means no
		// bound, for failures that leave no majority.
		gap time.Duration
	}{
		"primary killed":                         {faults: []world.Fault{world.KillTarget{Target: world.Primary}}, gap: maxGap},
		"primary killed and restarted":           {faults: []world.Fault{world.KillTarget{Target: world.Primary, For: 2 * time.Second}}, gap: maxGap},
		"primary frozen":                         {faults: []world.Fault{world.FreezeTarget{Target: world.Primary, For: 8 * time.Second}}, gap: maxGap},
		"primary cut off from VMs":               {faults: []world.Fault{world.CutTarget{Target: world.Primary, VMs: true, For: 8 * time.Second}}, gap: maxGap},
		"primary cut off from replicas":          {faults: []world.Fault{world.CutTarget{Target: world.Primary, Targets: true, For: 8 * time.Second}}, gap: maxGap},
		"primary receives, cannot send":          {faults: []world.Fault{world.CutTarget{Target: world.Primary, VMs: true, Targets: true, OneWay: true, For: 8 * time.Second}}, gap: maxGap},
		"primary killed, platform unavailable":   {faults: []world.Fault{world.Outage{For: 20 * time.Second}, world.KillTarget{Target: world.Primary}}, gap: maxGap},
		"primary killed, platform answers lost":  {faults: []world.Fault{world.Outage{Lossy: true, For: 20 * time.Second}, world.KillTarget{Target: world.Primary}}, gap: maxGap},
		"primary killed, first-ranked VM frozen": {faults: []world.Fault{world.KillTarget{Target: world.Primary}, world.FreezeVM{VM: 0, For: 6 * time.Second}}, gap: maxGap},
		"connections to primary silent":          {faults: []world.Fault{world.Silence{Target: world.Primary}}, gap: maxGap},
		"connections to replica silent":          {faults: []world.Fault{world.Silence{Target: 1}}, gap: maxGap},
		"replicas lagging by 6 s":                {faults: []world.Fault{world.Lag{Target: 1, By: 6 * time.Second, For: 8 * time.Second}, world.Lag{Target: 2, By: 6 * time.Second, For: 8 * time.Second}}, gap: maxGap},
		"zone of the primary cut off":            {faults: []world.Fault{world.CutZone{Zone: 0, For: 8 * time.Second}}, gap: maxGap},
		"primary is leaving":                     {faults: []world.Fault{world.Leave{Target: world.Primary}}, gap: maxGap},
		"replica is leaving":                     {faults: []world.Fault{world.Leave{Target: 2}}, gap: maxGap},
		"VM killed":                              {faults: []world.Fault{world.KillVM{VM: 0, For: time.Second}}, gap: maxGap},
		"VM frozen":                              {faults: []world.Fault{world.FreezeVM{VM: 1, For: 6 * time.Second}}, gap: maxGap},
		"two targets killed":                     {faults: []world.Fault{world.KillTarget{Target: 0, For: 6 * time.Second}, world.KillTarget{Target: 1, For: 7 * time.Second}}},
		"all zones cut from each other":          {faults: []world.Fault{world.CutZone{Zone: 0, For: 6 * time.Second}, world.CutZone{Zone: 1, For: 6 * time.Second}}},
	} {
		for customer, scenario := range scenarios {
			for _, seed := range []uint64{1, 2, 3} {
				ginkgo.It(fmt.Sprintf("hold: %s, %s, seed %d", name, customer, seed), func() {
					w := &world.World{Scenario: scenario(), Seed: seed}
					w.Start()
					for _, f := range c.faults {
						w.At(faultAt, f)
					}
					w.Run(faultAt + recovery)
					w.Drain(recovery)
					gomega.Expect(w.Check()).To(gomega.Succeed())
					if c.gap > 0 {
						gomega.Expect(w.History().LongestWriteGap(faultAt)).To(gomega.BeNumerically("<", c.gap))
					}
				})
			}
		}
	}
})

var _ = ginkgo.Describe("A write that may run twice", func() {
	ginkgo.It("never takes effect after a later write of its session", func() {
		// Failure guarded against: the first run of a write is delayed on a
		// frozen primary while its second run is acknowledged, and takes effect
		// only after a later write of the session.
		for seed := range uint64(40) {
			s := world.Cooperative()
			s.Think = 4 * time.Millisecond
			s.ReadShare, s.AgedReadShare, s.TransactionShare, s.Roam = 0.3, 0, 0, 0
			w := &world.World{Scenario: s, Seed: seed}
			w.Start()
			w.At(3*time.Second, world.FreezeTarget{Target: world.Primary, For: 560*time.Millisecond + time.Duration(seed)*2*time.Millisecond})
			w.Run(5 * time.Second)
			w.Drain(10 * time.Second)
			gomega.Expect(w.Check()).To(gomega.Succeed())
		}
	})
})

var _ = ginkgo.Describe("A read with a stated age", func() {
	ginkgo.It("is not answered with older data, however long the answer is delayed", func() {
		// Failure guarded against: a reply that was recent enough on arrival
		// waits at the VM for a majority's confirmation and is released when
		// its data is older than the stated age of 2 s. The last fault cuts the
		// primary off from its replicas for 8 s.
		s := world.Habimana()
		s.Think, s.ReadShare, s.AgedReadShare, s.KeepToken = 60*time.Millisecond, 0.25, 0.25, false
		s.Loss, s.Jitter = 0.01, 3
		w := &world.World{Scenario: s, Seed: 5}
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
		w.Drain(20 * time.Second)
		gomega.Expect(w.Check()).To(gomega.Succeed())
	})
})

var _ = ginkgo.Describe("A healthy primary", func() {
	ginkgo.It("is not replaced over an hour of lossy links", func() {
		s := world.Cooperative()
		s.Loss, s.Jitter = 0.01, 3
		w := &world.World{Scenario: s, Seed: 1, NoCallers: true}
		w.Start()
		w.Run(time.Hour)
		gomega.Expect(w.PromotionsSince(3 * time.Second)).To(gomega.BeZero())
	})
})

// TestRandom checks the guarantees under eight random faults a run, which may
// overlap or repeat, on random scenarios and seeds.
func TestRandom(t *testing.T) {
	const faults = 8
	steps, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		w := &world.World{Scenario: drawShape(t), Seed: rapid.Uint64().Draw(t, "seed")}
		w.Start()
		for i := range faults {
			at := rapid.IntRange(3000, 20000).Draw(t, "at")
			f := world.DrawFault(func(label string, least, most int) int {
				return rapid.IntRange(least, most).Draw(t, label+strconv.Itoa(i))
			})
			w.At(time.Duration(at)*time.Millisecond, f)
		}
		w.Run(22 * time.Second)
		w.Drain(20 * time.Second)
		steps += w.Steps()
		if err := w.Check(); err != nil {
			t.Fatal(err)
		}
	})
	// CI makes 40 runs, which amounts to a million events.
	const minStepsPerRun = 25000
	if steps < runs*minStepsPerRun {
		t.Fatalf("%d kernel events in %d runs, want at least %d", steps, runs, runs*minStepsPerRun)
	}
}

func drawShape(t *rapid.T) world.Scenario {
	s := world.Cooperative()
	if rapid.Bool().Draw(t, "habimana") {
		s = world.Habimana()
	}
	s.Think = 60 * time.Millisecond
	s.ReadShare, s.AgedReadShare = 0.25, 0.25
	s.KeepToken = rapid.Bool().Draw(t, "token")
	if rapid.Bool().Draw(t, "lossy") {
		s.Loss, s.Jitter = 0.01, 3
	}
	return s
}
