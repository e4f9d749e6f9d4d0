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
var regressions = map[string]soakRun{
	"the check measured staleness from the read, not from the start of its transaction":         {seed: 100},
	"the check compared values, and a write with unknown outcome took effect after a later one": {seed: 1006},
	"a VM that stopped holding connections relayed a COMMIT without marking it as a commit":     {seed: 2033},
	"an outgoing connection took the port of a VM that was down":                                {seed: 1019},
	"a lone line feed ended a message":                                                          {60001, "hostile/", soak.Options{Hostile: true, Calm: true}},
	"an answer that a target sent twice was taken for that of another request":                  {60001, "stutter/", soak.Options{Stutter: true, Calm: true}},
	"the check gave a write of a transaction the code of its COMMIT":                            {65005, "stutter/", soak.Options{Stutter: true}},
	"a connection with an open transaction was used for other callers":                          {65102, "stutter/incident/", soak.Options{Stutter: true, Incident: true}},
}

// soakRun is one run.
type soakRun struct {
	seed uint64
	// name is the part of the test's name before the seed.
	name    string
	options soak.Options
}

// ciRuns are run by default, before the regressions.
var ciRuns = []soakRun{
	{seed: 1},
	{seed: 2},
	{seed: 3},
	{1, "customers/", soak.Options{Customers: true}},
	{2, "customers/", soak.Options{Customers: true}},
	{1, "losses/", soak.Options{Losses: true}},
	{2, "losses/", soak.Options{Losses: true}},
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
	list := slices.AppendSeq(slices.Clone(ciRuns), maps.Values(regressions))
	if *seedCount > 0 {
		list = nil
	}
	for i := range *seedCount {
		list = append(list, soakRun{*firstSeed + uint64(i), "", soak.Options{Losses: *losses, Customers: *customers, Incident: *incident, Stutter: *stutter, Hostile: *hostile, Calm: *calm, Promotion: *promotion}})
	}
	for _, r := range list {
		t.Run(fmt.Sprint(r.name, r.seed), func(t *testing.T) { execute(t, program, r) })
	}
}

// execute executes a run, and keeps its logs if it fails.
func execute(t *testing.T, program string, s soakRun) {
	folder, err := os.MkdirTemp(*logFolder, fmt.Sprintf("soak-%s%d-", strings.ReplaceAll(s.name, "/", "-"), s.seed))
	if err != nil {
		t.Fatal(err)
	}
	r := &soak.Run{Seed: s.seed, Program: program, Folder: folder, Length: *faultDuration, Options: s.options, Logf: t.Logf}
	if err := r.Execute(); err != nil {
		t.Errorf("%v\nlogs are kept in %s", err, r.Folder)
		return
	}
	if err := os.RemoveAll(r.Folder); err != nil {
		t.Error(err)
	}
}
