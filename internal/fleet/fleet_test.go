package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthsill/internal/fleet"
)

// TestMain sets the seed (1) and the number (60) of TestRandom's runs.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestFleet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleet")
}

// A new manifest must be in force on all VMs within smallFleetLimit on a small
// fleet without faults, and within largeFleetLimit otherwise. Fleets get warmUp
// to learn of all VMs before the first check.
const (
	smallFleetLimit = 2 * time.Second
	largeFleetLimit = 15 * time.Second
	warmUp          = 20 * time.Second
)

var _ = ginkgo.Describe("A manifest", func() {
	for name, c := range map[string]struct {
		vms   int
		zones int
		fault func(*fleet.Fleet)
		limit time.Duration
	}{
		"on a small fleet":               {vms: 8, zones: 3, limit: smallFleetLimit},
		"on a large fleet":               {vms: 300, zones: 5, limit: largeFleetLimit},
		"with a frozen watcher":          {vms: 8, zones: 3, limit: largeFleetLimit, fault: func(f *fleet.Fleet) { f.Freeze(0, 5*time.Second) }},
		"with a third of the VMs frozen": {vms: 50, zones: 5, limit: largeFleetLimit, fault: func(f *fleet.Fleet) { freezeSome(f, 17, 5*time.Second) }},
		"with a zone that was cut off":   {vms: 50, zones: 5, limit: largeFleetLimit, fault: func(f *fleet.Fleet) { f.CutZone(1, 4*time.Second) }},
		"during replacements":            {vms: 50, zones: 5, limit: largeFleetLimit, fault: func(f *fleet.Fleet) { replaceSome(f, 10) }},
	} {
		ginkgo.It("is in force on all VMs in time, "+name, func() {
			f := &fleet.Fleet{Seed: 1, Zones: c.zones}
			f.AddVMs(c.vms)
			f.Run(warmUp)
			if c.fault != nil {
				c.fault(f)
			}
			f.Publish()
			f.Run(warmUp + c.limit)
			gomega.Expect(f.LatestInForceEverywhere()).To(gomega.BeTrue())
		})
	}

	ginkgo.It("is confirmed while the platform answers, and not during an outage", func() {
		f := &fleet.Fleet{Seed: 1, Zones: 3}
		f.AddVMs(8)
		f.Publish()
		f.Run(2 * time.Minute)
		gomega.Expect(f.UnconfirmedVMs()).To(gomega.BeZero())
		f.Outage(10 * time.Minute)
		f.Run(4 * time.Minute)
		gomega.Expect(f.UnconfirmedVMs()).To(gomega.Equal(8))
		f.Run(14 * time.Minute)
		gomega.Expect(f.UnconfirmedVMs()).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("A target that is listed as leaving", func() {
	const leavingLimit = 3 * time.Second
	for name, vms := range map[string]int{"a small fleet": 8, "a large fleet": 300} {
		ginkgo.It("is known as leaving to all VMs in time, and then as no longer leaving, on "+name, func() {
			f := &fleet.Fleet{Seed: 1, Zones: 3}
			f.AddTarget("choir-a")
			f.AddVMs(vms)
			f.Run(warmUp)
			f.SetLeaving("choir-a", true)
			f.Run(warmUp + leavingLimit)
			gomega.Expect(f.VMsAwareOfLeaving("choir-a")).To(gomega.Equal(vms))
			f.SetLeaving("choir-a", false)
			f.Run(2 * warmUp)
			gomega.Expect(f.VMsAwareOfLeaving("choir-a")).To(gomega.BeZero())
		})
	}
})

func freezeSome(f *fleet.Fleet, n int, d time.Duration) {
	for i := range n {
		f.Freeze(i*3, d)
	}
}

func replaceSome(f *fleet.Fleet, n int) {
	for i := range n {
		f.Replace(i * 5)
	}
}

// TestRandom injects eight random faults a run and checks that no VM goes back
// to an older version of the manifest, and that after the faults all VMs have
// the last version in force and agree on the roster.
func TestRandom(t *testing.T) {
	const faults = 8
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet.Fleet{Seed: rapid.Uint64().Draw(t, "seed"), Zones: 3}
		f.AddVMs(rapid.IntRange(3, 12).Draw(t, "vms"))
		for i := range faults {
			at := time.Duration(rapid.IntRange(5, 60).Draw(t, fmt.Sprint("at", i))) * time.Second
			duration := time.Duration(rapid.IntRange(1, 30).Draw(t, fmt.Sprint("lasting", i))) * time.Second
			index := rapid.IntRange(0, 20).Draw(t, fmt.Sprint("which", i))
			kind := rapid.IntRange(0, 4).Draw(t, fmt.Sprint("kind", i))
			f.At(at, func() { injectFault(f, kind, index, duration) })
		}
		for i := range 10 {
			f.At(time.Duration(5+i*6)*time.Second, f.Publish)
		}
		f.Run(4 * time.Minute)
		if len(f.Violations()) > 0 {
			t.Fatal(f.Violations())
		}
		if !f.LatestInForceEverywhere() {
			t.Fatal("a VM does not have the last version")
		}
		if !f.RostersAgree() {
			t.Fatal("VMs disagree on the roster")
		}
	})
}

func injectFault(f *fleet.Fleet, kind, index int, d time.Duration) {
	switch kind {
	case 0:
		f.Freeze(index, d)
	case 1:
		f.CutZone(index, d)
	case 2:
		f.Outage(d)
	case 3:
		f.Replace(index)
	default:
		f.Publish()
	}
}
