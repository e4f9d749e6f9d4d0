package edge

import (
	"testing"
	"time"
)

// TestStopSchedule guards against a stop that ends answers before the last sixth of the
// grace period or transactions before its half, and against one that outlasts it.
func TestStopSchedule(t *testing.T) {
	for _, grace := range []time.Duration{minGrace, 2 * time.Second, 6 * time.Second, 30 * time.Second, maxGrace} {
		t.Run(grace.String(), func(t *testing.T) {
			s := newStopSchedule(grace)
			if s.abortTransactions < grace/2 {
				t.Errorf("transactions are rolled back after %s, want at least half of the grace period", s.abortTransactions)
			}
			// The answer of a target in another region takes some tens of milliseconds.
			if least := grace*5/6 + grace/20; s.cutOff < least {
				t.Errorf("answers are cut off after %s, want at least %s", s.cutOff, least)
			}
			steps := []time.Duration{0, s.closeCallers, s.abortTransactions, s.endWaiting, s.cutOff, s.exit, s.exit + LogTimeout, grace}
			for i := range steps[1:] {
				if steps[i] >= steps[i+1] {
					t.Errorf("step %d is at %s, the one after it at %s", i, steps[i], steps[i+1])
				}
			}
		})
	}
}
