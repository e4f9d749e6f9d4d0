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
	seeds  = flag.Int("seeds", 0, "how many seeds to run, instead of the short run")
	first  = flag.Uint64("first", 1, "the first of these seeds")
	length = flag.Duration("length", 8*time.Second, "for how long faults are injected with each seed")
	keep   = flag.String("keep", "", "folder for the logs of seeds that fail; the system's temporary one by default")
)

// regressions are the seeds that ever failed, with their cause.
var regressions = map[string]uint64{
	"the check counted a read's age from the read, not from its transaction":         100,
	"the check judged by values, and a write in doubt took effect after a later one": 1006,
	"a VM that ceased to hold connections relayed a commit without its meaning":      2033,
	"another connection took the port of a VM that was down":                         1019,
}

// shortRun are the seeds of CI.
var shortRun = []uint64{1, 2, 3}

func TestSoak(t *testing.T) {
	list := append([]uint64{}, shortRun...)
	for _, seed := range regressions {
		list = append(list, seed)
	}
	if *seeds > 0 {
		list = list[:0]
		for i := range *seeds {
			list = append(list, *first+uint64(i))
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
			folder, err := os.MkdirTemp(*keep, fmt.Sprintf("soak-%d-", seed))
			if err != nil {
				t.Fatal(err)
			}
			r := &soak.Run{Seed: seed, Program: program, Folder: folder, Length: *length, Logf: t.Logf}
			if err := r.Play(); err != nil {
				t.Errorf("%v\nlogs are kept in %s", err, folder)
				return
			}
			if err := os.RemoveAll(folder); err != nil {
				t.Error(err)
			}
		})
	}
}
