package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

func TestDutyBeginsAgainAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		begun := []time.Duration{}
		start := time.Now()
		runDuty(ctx, logr.Discard(), "test", func(context.Context) {
			begun = append(begun, time.Since(start))
			if len(begun) < 3 {
				panic("entry that cannot be handled")
			}
			cancel()
		})
		want := []time.Duration{0, dutyRestartDelay, 2 * dutyRestartDelay}
		if len(begun) != len(want) || begun[1] != want[1] || begun[2] != want[2] {
			t.Errorf("begun at %v, want %v", begun, want)
		}
	})
}

func TestDutyThatEndsIsNotBegunAgain(t *testing.T) {
	runs := 0
	runDuty(context.Background(), logr.Discard(), "test", func(context.Context) { runs++ })
	if runs != 1 {
		t.Errorf("duty ran %d times, want once", runs)
	}
}
