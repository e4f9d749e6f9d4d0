package zones_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"amaranthsill/pool"
	"amaranthsill/zones"
)

// vmsInZone is the number of VMs of each zone, and capacity the number of reads a
// second that a target serves for each of them.
const (
	vmsInZone = 4
	capacity  = 50.0
)

func newFleet(scale int, inZone ...string) *fleet {
	f := &fleet{
		begin:   time.Now(),
		regions: map[string]string{"a": "west", "b": "west", "c": "east"},
		targets: map[string]*modelTarget{},
		cut:     map[string]bool{},
		gone:    map[string]bool{},
	}
	for _, zone := range inZone {
		f.targets[zone] = &modelTarget{
			Target:    pool.Target{ID: zone, Group: "choir", Zone: zone, Slots: 4 * scale},
			execution: 20 * time.Millisecond,
		}
	}
	return f
}

// steady is a demand that does not change, as a multiple of the zone's capacity.
func steady(load float64) func(float64) float64 {
	return func(float64) float64 { return load * capacity }
}

// pattern is a demand and its disturbances, with what has to hold afterwards.
type pattern struct {
	zones   []string
	traffic zones.Traffic
	load    map[string]func(second float64) float64
	seconds int
	disturb func(f *fleet)
	check   func(t *testing.T, f *fleet)
}

var usualTraffic = zones.Traffic{Zones: 3 * time.Millisecond, Regions: 30 * time.Millisecond}

// within fails the test if a value is outside of bounds.
func within(t *testing.T, what string, value, least, most float64) {
	t.Helper()
	if value < least || value > most {
		t.Errorf("%s is %.3f, want %.3f to %.3f", what, value, least, most)
	}
}

// at runs something at a second of the model.
func at(second float64, run func()) {
	time.Sleep(time.Duration(second * float64(time.Second)))
	run()
}

var patterns = map[string]pattern{
	"a zone with twice its capacity beside one that is half idle": {
		zones: []string{"a", "b"}, traffic: usualTraffic, seconds: 16,
		load: map[string]func(float64) float64{"a": steady(2), "b": steady(0.5)},
		check: func(t *testing.T, f *fleet) {
			a, b := f.sum("a", 4, 15), f.sum("b", 4, 15)
			within(t, "part of a served in a", a.part("a"), 0.46, 0.54)
			within(t, "part of a served in b", a.part("b"), 0.12, 0.29)
			within(t, "part of b served", b.part("b"), 0.99, 1)
			// A VM's share exceeds the spare part of 0.25 by one step at most before it
			// is refused and halved; so the part that leaves stays within half of that.
			least, most := 1.0, 0.0
			for s := 4; s < 15; s++ {
				part := f.sum("a", s, s+1).part("b")
				least, most = min(least, part), max(most, part)
			}
			within(t, "oscillation", most-least, 0, (0.25+zones.MaxStepUp)/2)
		},
	},
	"all zones full": {
		zones: []string{"a", "b"}, traffic: usualTraffic, seconds: 20,
		load: map[string]func(float64) float64{"a": steady(2), "b": steady(2)},
		check: func(t *testing.T, f *fleet) {
			for _, zone := range []string{"a", "b"} {
				r := f.sum(zone, 4, 19)
				within(t, "part served in the zone", r.part(zone), 0.46, 0.54)
				within(t, "part served outside", r.part("a", "b")-r.part(zone), 0, 0.005)
				// Six refusals bring the time without a rise to 8 s. From then on, each 8 s
				// a share of 0.1 is halved three times until it is zero.
				tries := float64(f.targets[zone].turnedAway) / float64(len(f.vms)/2)
				within(t, "statements of a VM that were refused outside", tries, 0, 6+3*20/8.0)
			}
		},
	},
	"a load wave that moves from zone to zone": {
		zones: []string{"a", "b"}, traffic: usualTraffic, seconds: 24,
		load: map[string]func(float64) float64{
			"a": func(s float64) float64 { return capacity * []float64{0.3, 1.3}[int(s/6)%2] },
			"b": func(s float64) float64 { return capacity * []float64{1.3, 0.3}[int(s/6)%2] },
		},
		check: func(t *testing.T, f *fleet) {
			for wave := range 4 {
				high, low := "a", "b"
				if wave%2 == 0 {
					high, low = "b", "a"
				}
				// The share rises by 0.4 a second, to the 0.23 that have to leave; what
				// is queued until then takes another second.
				from, to := wave*6+2, wave*6+6
				r := f.sum(high, from, to)
				within(t, "part of the high zone served", r.part("a", "b"), 0.97, 1)
				within(t, "part of the high zone that left", r.part(low), 0.1, 0.4)
				r = f.sum(low, from, to)
				within(t, "part of the low zone served in it", r.part(low), 0.97, 1)
				for _, v := range f.vms {
					if v.Zone == low {
						within(t, "share at the end of the low demand", v.shares[4*to-1], 0, 0.15)
					}
				}
			}
		},
	},
	"a slow target in the zone": {
		zones: []string{"a", "b"}, traffic: usualTraffic, seconds: 30,
		load: map[string]func(float64) float64{"a": steady(0.4), "b": steady(0.4)},
		disturb: func(f *fleet) {
			at(4, func() { f.targets["a"].setExecution(200 * time.Millisecond) })
			at(6, func() { f.targets["a"].setExecution(20 * time.Millisecond) })
		},
		check: func(t *testing.T, f *fleet) {
			within(t, "part that left before", f.sum("a", 0, 4).part("b"), 0, 0.05)
			within(t, "part that left", f.sum("a", 7, 10).part("b"), 0.7, 1)
			// The share needs 2 s to rise to the 0.75 that have to leave.
			within(t, "part served at first", f.sum("a", 4, 7).part("a", "b"), 0.5, 1)
			within(t, "part served", f.sum("a", 7, 29).part("a", "b"), 0.99, 1)
			within(t, "part that left after", f.sum("a", 26, 29).part("b"), 0, 0.05)
		},
	},
	"a network partition between zones partway through": {
		zones: []string{"a", "b"}, traffic: usualTraffic, seconds: 20,
		load: map[string]func(float64) float64{"a": steady(1.3), "b": steady(0.3)},
		disturb: func(f *fleet) {
			at(5, func() { f.setCut("b", true) })
			at(6, func() { f.setCut("b", false) })
		},
		check: func(t *testing.T, f *fleet) {
			within(t, "part of a served before", f.sum("a", 2, 5).part("a", "b"), 0.97, 1)
			cut := f.sum("a", 8, 10)
			used := float64(cut.served["a"]) / (2 * capacity * float64(len(f.vms)/2))
			within(t, "part of a that left meanwhile", cut.part("b"), 0, 0)
			within(t, "used part of a's capacity meanwhile", used, 0.9, 1.1)
			within(t, "part of b served meanwhile", f.sum("b", 8, 10).part("b"), 0.99, 1)
			within(t, "part of a served after", f.sum("a", 14, 19).part("a", "b"), 0.97, 1)
		},
	},
	"a zone with no target left": {
		zones: []string{"a", "b"}, traffic: usualTraffic, seconds: 12,
		load: map[string]func(float64) float64{"a": steady(0.4), "b": steady(0.3)},
		disturb: func(f *fleet) {
			at(4, func() { f.setGone("a", true) })
			at(4, func() { f.setGone("a", false) })
		},
		check: func(t *testing.T, f *fleet) {
			within(t, "part that left before", f.sum("a", 0, 4).part("b"), 0, 0.05)
			within(t, "part served", f.sum("a", 0, 11).part("a", "b"), 0.99, 1)
			within(t, "part that left", f.sum("a", 5, 8).part("b"), 0.99, 1)
			within(t, "part that left after", f.sum("a", 9, 11).part("b"), 0, 0.05)
		},
	},
	"a price so high that only statements that would be refused leave": {
		zones: []string{"a", "b"}, traffic: zones.Traffic{Zones: time.Minute, Regions: time.Minute}, seconds: 16,
		load: map[string]func(float64) float64{
			"a": func(s float64) float64 { return capacity * []float64{0.8, 2}[int(s/8)%2] },
			"b": steady(0.3),
		},
		check: func(t *testing.T, f *fleet) {
			within(t, "part that left before", f.sum("a", 0, 7).part("b"), 0, 0)
			within(t, "part that left", f.sum("a", 12, 15).part("b"), 0.1, 0.4)
			for _, v := range f.vms {
				for _, n := range v.TrafficTotals() {
					if n.Reason == zones.ReasonCost {
						t.Errorf("%d statements left to be faster", n.Statements)
					}
				}
			}
		},
	},
	"two regions": {
		zones: []string{"a", "b", "c"}, traffic: usualTraffic, seconds: 16,
		load: map[string]func(float64) float64{"a": steady(1.3), "b": steady(0.3), "c": steady(0.3)},
		check: func(t *testing.T, f *fleet) {
			r := f.sum("a", 4, 15)
			within(t, "part served", r.part("a", "b", "c"), 0.98, 1)
			within(t, "part that left for the zone of the region", r.part("b"), 0.1, 0.4)
			within(t, "part that left for the other region", r.part("c"), 0, 0.03)
		},
	},
}

func TestCrossZonePatterns(t *testing.T) {
	for name, p := range patterns {
		for _, scale := range []int{1, 10} {
			t.Run(fmt.Sprintf("%s/%d", name, scale), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { p.run(t, scale) })
			})
		}
	}
}

func (p pattern) run(t *testing.T, scale int) {
	f := newFleet(scale, p.zones...)
	for _, zone := range p.zones {
		f.addVMs(zone, vmsInZone*scale, p.traffic, p.load[zone])
	}
	if p.disturb != nil {
		go p.disturb(f)
	}
	f.run(time.Duration(p.seconds) * time.Second)
	p.check(t, f)
	for _, v := range f.vms {
		for i := 1; i < len(v.shares); i++ {
			if v.shares[i] > v.shares[i-1]+zones.MaxStepUp+1e-9 {
				t.Fatalf("share rose from %v to %v in one step", v.shares[i-1], v.shares[i])
			}
		}
	}
	if t.Failed() {
		f.print(t, p)
	}
}

// print logs the results by zone and second.
func (f *fleet) print(t *testing.T, p pattern) {
	t.Helper()
	for s := range p.seconds {
		line := ""
		for _, zone := range p.zones {
			r := f.sum(zone, s, s+1)
			line += fmt.Sprintf(" | %s: sent %d, refused %d, served %v", zone, r.sent, r.refused, r.served)
		}
		t.Logf("second %d%s", s, line)
	}
}
