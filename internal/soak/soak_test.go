package soak_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthsill/internal/soak"
)

var (
	seedCount     = flag.Int("seeds", 0, "how many seeds to run, instead of the short run")
	firstSeed     = flag.Uint64("first", 1, "the first of these seeds")
	faultDuration = flag.Duration("length", 8*time.Second, "for how long faults are injected with each seed")
	losses        = flag.Bool("losses", false, "with these seeds, let the store come back from older copies too")
	customers     = flag.Bool("customers", false, "with these seeds, give callers customers with keys and limits")
	incident      = flag.Bool("incident", false, "with these seeds, run more VMs and groups, slow promotions, and cuts of the network")
	stutter       = flag.Bool("stutter", false, "with these seeds, let targets send one answer in 25 a second time, up to 400 ms later")
	hostile       = flag.Bool("hostile", false, "with these seeds, let callers and targets send bytes in data that are special elsewhere")
	calm          = flag.Bool("calm", false, "with these seeds, inject no other faults")
	promotion     = flag.Duration("promotion", 0, "with -incident, how long promotions take")
	logFolder     = flag.String("keep", "", "folder for the logs of seeds that fail; the system's temporary one by default")
)

// regressions are the seeds that have ever failed, by the cause of the failure.
var regressions = map[string]uint64{
	"the check measured staleness from the read, not from the start of its transaction":         100,
	"the check compared values, and a write with unknown outcome took effect after a later one": 1006,
	"a VM that stopped holding connections relayed a COMMIT without marking it as a commit":     2033,
	"an outgoing connection took the port of a VM that was down":                                1019,
}

// ciRuns are run by default, by the part of their tests' names before the seed.
var ciRuns = map[string]struct {
	options soak.Options
	seeds   []uint64
}{
	"":           {seeds: slices.AppendSeq([]uint64{1, 2, 3}, maps.Values(regressions))},
	"customers/": {soak.Options{Customers: true}, []uint64{1, 2}},
	"losses/":    {soak.Options{Losses: true}, []uint64{1, 2}},
	"hostile/":   {soak.Options{Hostile: true, Calm: true}, []uint64{60001}},
}

func TestSoak(t *testing.T) {
	program, err := soak.Build(t.TempDir(), func(name string, args ...string) error {
		out, err := exec.Command(name, args...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("run %s: %w: %s", name, err, out)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if *seedCount > 0 {
		for i := range *seedCount {
			execute(t, program, "", *firstSeed+uint64(i), soak.Options{Losses: *losses, Customers: *customers, Incident: *incident, Stutter: *stutter, Hostile: *hostile, Calm: *calm, Promotion: *promotion})
		}
		return
	}
	for name, c := range ciRuns {
		for _, seed := range c.seeds {
			execute(t, program, name, seed, c.options)
		}
	}
}

// execute runs one seed with some options, and keeps its logs if it fails.
func execute(t *testing.T, program, name string, seed uint64, options soak.Options) {
	t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
		folder, err := os.MkdirTemp(*logFolder, fmt.Sprintf("soak-%s%d-", strings.ReplaceAll(name, "/", "-"), seed))
		if err != nil {
			t.Fatal(err)
		}
		r := &soak.Run{Seed: seed, Program: program, Folder: folder, Length: *faultDuration, Options: options, Logf: t.Logf}
		if err := r.Execute(); err != nil {
			t.Errorf("%v\nlogs are kept in %s", err, folder)
			return
		}
		if err := os.RemoveAll(folder); err != nil {
			t.Error(err)
		}
	})
}
