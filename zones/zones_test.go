package zones_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthsill/zones"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestZones(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "zones")
}

const ms = time.Millisecond

var _ = ginkgo.Describe("Prices", func() {
	t := &zones.Traffic{Zones: 2 * ms, Regions: 10 * ms, RegionOf: map[string]string{"a": "x", "b": "x", "c": "y"}}
	for name, c := range map[string]struct {
		from, to string
		price    time.Duration
	}{
		"in the zone":                {"a", "a", 0},
		"in the region":              {"a", "b", 6 * ms},
		"between regions":            {"a", "c", 30 * ms},
		"to a zone of no region":     {"a", "d", 30 * ms},
		"in the zone of no region":   {"d", "d", 0},
		"between zones of no region": {"d", "e", 30 * ms},
	} {
		ginkgo.It("are proportional to the bytes: "+name, func() {
			gomega.Expect(t.Price(c.from, c.to, 3000)).To(gomega.Equal(c.price))
		})
	}
})

var _ = ginkgo.Describe("The distance", func() {
	ginkgo.It("is the least round trip of locate orders, whatever the target's execution time", func() {
		d, e := zones.Distance{}, zones.Executions{}
		d.AddLocate(0, 9*ms)
		d.AddLocate(0, 7*ms)
		d.AddStatement(0, 400*ms, false, &e)
		gomega.Expect(d.Estimate(time.Second, 40*ms)).To(gomega.Equal(7 * ms))
	})

	ginkgo.It("forgets a minimum within 10 s, and keeps the last one without samples", func() {
		d := zones.Distance{}
		d.AddLocate(0, 5*ms)
		gomega.Expect(d.Estimate(time.Hour, 40*ms)).To(gomega.Equal(5 * ms))
		for now := time.Duration(0); now <= 10*time.Second; now += time.Second {
			d.AddLocate(now, 20*ms)
		}
		gomega.Expect(d.Estimate(10*time.Second, 40*ms)).To(gomega.Equal(20 * ms))
	})

	ginkgo.It("is inferred from statements less the shortest known execution if there is no locate order", func() {
		home, other, e := zones.Distance{}, zones.Distance{}, zones.Executions{}
		other.AddStatement(0, 47*ms, false, &e)
		gomega.Expect(other.Estimate(0, 40*ms)).To(gomega.Equal(40 * ms))
		home.AddStatement(0, 30*ms, true, &e)
		other.AddStatement(0, 47*ms, false, &e)
		gomega.Expect(other.Estimate(0, 40*ms)).To(gomega.Equal(17 * ms))
	})

	ginkgo.It("is measured each 2 s unless locate orders do so anyway", func() {
		d := zones.Distance{}
		gomega.Expect(d.ProbeDue(0)).To(gomega.BeTrue())
		gomega.Expect(d.ProbeDue(1999 * ms)).To(gomega.BeFalse())
		gomega.Expect(d.ProbeDue(2 * time.Second)).To(gomega.BeTrue())
		d.AddLocate(3*time.Second, ms)
		gomega.Expect(d.ProbeDue(4 * time.Second)).To(gomega.BeFalse())
	})
})

// advance makes one step with as many statements as needed to bring the shortage of the
// last second to the given percentage.
func advance(r *zones.Router, now *time.Duration, percent int, spare float64) {
	for i := range 100 {
		c := zones.Choice{InZone: &zones.Estimate{Rest: 10 * ms}, Outside: &zones.Estimate{Rest: 20 * ms}, Left: time.Second}
		if i < percent {
			c.Outside.Rest = 5 * ms
		}
		r.Count(r.Decide(c))
	}
	*now += zones.StepInterval
	r.Advance(*now, zones.Load{Spare: spare})
}

var _ = ginkgo.Describe("The cross-zone share", func() {
	const unlimited = 1e9

	ginkgo.It("follows the shortage by at most one step each interval", func() {
		r, now := &zones.Router{}, time.Duration(0)
		r.Advance(now, zones.Load{})
		for i := range 5 {
			advance(r, &now, 50, unlimited)
			gomega.Expect(r.Value()).To(gomega.BeNumerically("~", float64(i+1)*zones.MaxStepUp, 1e-6))
		}
		advance(r, &now, 50, unlimited)
		gomega.Expect(r.Value()).To(gomega.BeNumerically("~", 0.5, 1e-6))
		previous := r.Value()
		for r.Value() > 0 {
			advance(r, &now, 0, unlimited)
			gomega.Expect(previous - r.Value()).To(gomega.BeNumerically("<=", zones.MaxStepDown+1e-6))
			previous = r.Value()
		}
	})

	ginkgo.It("does not change while the shortage stays within the band", func() {
		r, now := &zones.Router{}, time.Duration(0)
		r.Advance(now, zones.Load{})
		for range 10 {
			advance(r, &now, 50, unlimited)
		}
		before := r.Value()
		for i := range 20 {
			advance(r, &now, []int{48, 53}[i%2], unlimited)
			gomega.Expect(r.Value()).To(gomega.Equal(before))
		}
	})

	ginkgo.It("never exceeds the spare capacity outside", func() {
		r, now := &zones.Router{}, time.Duration(0)
		r.Advance(now, zones.Load{})
		for range 20 {
			advance(r, &now, 100, 0)
		}
		gomega.Expect(r.Value()).To(gomega.BeZero())
	})

	ginkgo.It("is halved by a refusal outside, and does not rise for a time that doubles up to 8 s", func() {
		r, now := &zones.Router{}, time.Duration(0)
		r.Advance(now, zones.Load{})
		for range 10 {
			advance(r, &now, 100, unlimited)
		}
		gomega.Expect(r.Value()).To(gomega.BeNumerically("~", 1, 1e-6))
		for _, hold := range []int{1, 2, 4, 8, 16, 32, 32} {
			before := r.Value()
			r.FullOutside(now)
			gomega.Expect(r.Value()).To(gomega.BeNumerically("~", before/2, 1e-6))
			held := r.Value()
			for range hold - 1 {
				advance(r, &now, 100, unlimited)
				gomega.Expect(r.Value()).To(gomega.Equal(held))
			}
			advance(r, &now, 100, unlimited)
			gomega.Expect(r.Value()).To(gomega.BeNumerically(">", held))
		}
	})

	ginkgo.It("is zero after 5 s without statements, as after a pause of the VM", func() {
		r, now := &zones.Router{}, time.Duration(0)
		r.Advance(now, zones.Load{})
		for range 12 {
			advance(r, &now, 100, unlimited)
		}
		r.Advance(now+6*time.Second, zones.Load{Spare: unlimited})
		gomega.Expect(r.Value()).To(gomega.BeZero())
	})

	ginkgo.It("is reported once it has changed by 0.2", func() {
		r, now := &zones.Router{}, time.Duration(0)
		r.Advance(now, zones.Load{})
		changes := 0
		for range 10 {
			advance(r, &now, 100, unlimited)
			if _, _, changed := r.Change(); changed {
				changes++
			}
		}
		gomega.Expect(changes).To(gomega.Equal(5))
	})

	ginkgo.It("bounds what leaves, and its own steps, under any demand", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r, now := &zones.Router{}, time.Duration(0)
			r.Advance(now, zones.Load{})
			allowance := 1.0
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				value := r.Value()
				for range rapid.IntRange(0, 30).Draw(t, "statements") {
					outside := time.Duration(rapid.IntRange(1, 20).Draw(t, "outside")) * ms
					d := r.Decide(zones.Choice{InZone: &zones.Estimate{Rest: 10 * ms}, Outside: &zones.Estimate{Rest: outside}, Left: time.Second})
					r.Count(d)
					allowance += value
					if d.Leave {
						allowance--
					}
				}
				if allowance < -1e-6 {
					t.Fatalf("more statements left than the share allows: %v", allowance)
				}
				if value == 0 {
					// A share that begins again admits its first statement at once.
					allowance = max(allowance, 1)
				}
				now += zones.StepInterval
				spare := float64(rapid.IntRange(0, 50).Draw(t, "spare"))
				waiting := rapid.IntRange(0, 20).Draw(t, "waiting")
				r.Advance(now, zones.Load{Waiting: waiting, Spare: spare})
				if r.Value() < 0 || r.Value() > 1 || r.Value() > value+zones.MaxStepUp+1e-9 {
					t.Fatalf("share went from %v to %v", value, r.Value())
				}
			}
		})
	})
})

var _ = ginkgo.Describe("A decision", func() {
	near := func(wait, rest time.Duration) *zones.Estimate { return &zones.Estimate{Wait: wait, Rest: rest} }
	far := func(rest, price time.Duration) *zones.Estimate { return &zones.Estimate{Rest: rest, Price: price} }
	for name, c := range map[string]struct {
		choice zones.Choice
		leave  bool
		reason zones.Reason
	}{
		"stays if the zone is faster":                {zones.Choice{InZone: near(0, 10*ms), Outside: far(12*ms, 0), Left: time.Second}, false, zones.ReasonInZone},
		"stays if the price exceeds the gain":        {zones.Choice{InZone: near(10*ms, 10*ms), Outside: far(12*ms, 9*ms), Left: time.Second}, false, zones.ReasonInZone},
		"leaves if the gain exceeds the price":       {zones.Choice{InZone: near(10*ms, 10*ms), Outside: far(12*ms, 7*ms), Left: time.Second}, true, zones.ReasonCost},
		"leaves at any price if it would be refused": {zones.Choice{InZone: near(60*ms, 10*ms), Outside: far(12*ms, time.Hour), Left: 50 * ms}, true, zones.ReasonRefusal},
		"leaves if the zone has no target":           {zones.Choice{Outside: far(time.Second, time.Hour), Unfit: zones.ReasonNoTarget}, true, zones.ReasonNoTarget},
		"leaves if no target of the zone is fresh":   {zones.Choice{Outside: far(time.Second, time.Hour), Unfit: zones.ReasonFreshness}, true, zones.ReasonFreshness},
		"stays if there is no target outside":        {zones.Choice{InZone: near(time.Minute, 10*ms)}, false, zones.ReasonInZone},
	} {
		ginkgo.It(name, func() {
			r, now := &zones.Router{}, time.Duration(0)
			r.Advance(now, zones.Load{})
			for range 10 {
				advance(r, &now, 100, 1e9)
			}
			d := r.Decide(c.choice)
			gomega.Expect(d.Leave).To(gomega.Equal(c.leave))
			gomega.Expect(d.Reason).To(gomega.Equal(c.reason))
		})
	}

	ginkgo.It("leaves a lagging target for a better one also while the share is zero", func() {
		r := &zones.Router{}
		lagging := zones.Choice{InZone: near(0, 50*ms), Outside: far(12*ms, 0), Left: time.Second, Lagging: true}
		d := r.Decide(lagging)
		gomega.Expect(d.Leave).To(gomega.BeTrue())
		gomega.Expect(d.Reason).To(gomega.Equal(zones.ReasonFreshness))
		lagging.Outside = far(12*ms, time.Second)
		gomega.Expect(r.Decide(lagging).Leave).To(gomega.BeFalse())
	})

	ginkgo.It("leaves a zone without targets also while the share is zero, and no other", func() {
		r := &zones.Router{}
		gomega.Expect(r.Decide(zones.Choice{Outside: far(ms, 0), Unfit: zones.ReasonNoTarget}).Leave).To(gomega.BeTrue())
		d := r.Decide(zones.Choice{InZone: near(time.Second, ms), Outside: far(ms, 0), Left: ms})
		gomega.Expect(d.Leave).To(gomega.BeFalse())
		gomega.Expect(d.Preferred).To(gomega.BeTrue())
	})
})
