package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
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

// ciSeeds are run by default, before the regressions.
var ciSeeds = []uint64{1, 2, 3}

// customerSeeds are run by default with customers.
var customerSeeds = []uint64{1, 2}

// lossSeeds are run by default with losses of the store.
var lossSeeds = []uint64{1, 2}

func TestSoak(t *testing.T) {
	list := append([]uint64{}, ciSeeds...)
	for _, seed := range regressions {
		list = append(list, seed)
	}
	if *seedCount > 0 {
		list = list[:0]
		for i := range *seedCount {
			list = append(list, *firstSeed+uint64(i))
		}
	}
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
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			folder, err := os.MkdirTemp(*logFolder, fmt.Sprintf("soak-%d-", seed))
			if err != nil {
				t.Fatal(err)
			}
			execute(t, &soak.Run{Seed: seed, Program: program, Folder: folder, Length: *faultDuration, Losses: *losses, Customers: *customers, Incident: *incident, Stutter: *stutter, Hostile: *hostile, Calm: *calm, Promotion: *promotion, Logf: t.Logf})
		})
	}
	if *seedCount > 0 {
		return
	}
	for _, seed := range customerSeeds {
		t.Run(fmt.Sprintf("customers/%d", seed), func(t *testing.T) {
			folder, err := os.MkdirTemp(*logFolder, fmt.Sprintf("soak-customers-%d-", seed))
			if err != nil {
				t.Fatal(err)
			}
			execute(t, &soak.Run{Seed: seed, Program: program, Folder: folder, Length: *faultDuration, Customers: true, Logf: t.Logf})
		})
	}
	for _, seed := range lossSeeds {
		t.Run(fmt.Sprintf("losses/%d", seed), func(t *testing.T) {
			folder, err := os.MkdirTemp(*logFolder, fmt.Sprintf("soak-losses-%d-", seed))
			if err != nil {
				t.Fatal(err)
			}
			execute(t, &soak.Run{Seed: seed, Program: program, Folder: folder, Length: *faultDuration, Losses: true, Logf: t.Logf})
		})
	}
}

// execute runs one seed, and keeps its logs if it fails.
func execute(t *testing.T, r *soak.Run) {
	if err := r.Execute(); err != nil {
		t.Errorf("%v\nlogs are kept in %s", err, r.Folder)
		return
	}
	if err := os.RemoveAll(r.Folder); err != nil {
		t.Error(err)
	}
}
