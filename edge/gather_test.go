package edge

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthsill/peer/peerpb"
)

// TestZoneIsGatheredPastSilentVMs answers the pattern of a partition in which the first
// VMs of a zone are on the other side: the answer for the zone has to come while the last
// confirmation of the leader record is still valid.
func TestZoneIsGatheredPastSilentVMs(t *testing.T) {
	cases := map[string]struct {
		// after is when each VM answers, in the order in which they are asked;
		// negative for one that fails then.
		after []time.Duration
		// failed is the number, from one, of a VM that left an earlier call unanswered.
		failed int
		// want is the VM whose answer counts, and within when it is there.
		want   int
		within time.Duration
	}{
		"the first answers":             {[]time.Duration{40 * time.Millisecond}, 0, 0, 40 * time.Millisecond},
		"the first is slow":             {[]time.Duration{80 * time.Millisecond, time.Millisecond}, 0, 0, 80 * time.Millisecond},
		"the first refuses connections": {[]time.Duration{-time.Millisecond, 40 * time.Millisecond}, 0, 1, 41 * time.Millisecond},
		"the first is silent":           {[]time.Duration{time.Hour, 40 * time.Millisecond}, 0, 1, contactDelay + 40*time.Millisecond},
		"the first three are silent":    {[]time.Duration{time.Hour, time.Hour, time.Hour, 40 * time.Millisecond}, 0, 3, 3*contactDelay + 40*time.Millisecond},
		"the first is late, the second silent": {
			[]time.Duration{contactDelay + 10*time.Millisecond, time.Hour}, 0, 0, contactDelay + 10*time.Millisecond,
		},
		"the first is silent, as before": {[]time.Duration{time.Hour, 40 * time.Millisecond}, 1, 1, 40 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				patience := func(i int) time.Duration {
					if i == c.failed-1 {
						return 0
					}
					return contactDelay
				}
				got := gatherFirst(len(c.after), patience, func(i int) gathered {
					time.Sleep(max(c.after[i], -c.after[i]))
					return gathered{members: make([]*peerpb.Status, i+1), ok: c.after[i] > 0}
				})
				if len(got)-1 != c.want {
					t.Errorf("VM %d answered, want %d", len(got)-1, c.want)
				}
				if took := time.Since(begun); took != c.within {
					t.Errorf("took %s, want %s", took, c.within)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// TestGathersWithoutPatienceRunSideBySide answers a crash of the race detector: zones that
// were gathered at the same moment, past VMs that had left a call unanswered, waited on
// timers that had already expired, which in one bubble share the context of one thread.
func TestGathersWithoutPatienceRunSideBySide(t *testing.T) {
	none := func(int) time.Duration { return 0 }
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			zones := sync.WaitGroup{}
			for range 64 {
				zones.Go(func() {
					for range 50 {
						got := gatherFirst(3, none, func(i int) gathered {
							return gathered{members: make([]*peerpb.Status, i+1), ok: i == 2}
						})
						if len(got) != 3 {
							t.Errorf("VM %d answered, want the third", len(got))
						}
						outcomes, waiting := make(chan followed), 1
						if n := firstFollowed(outcomes, &waiting, 0); n != followedNone {
							t.Errorf("followed %d without an answer", n)
						}
					}
				})
			}
			zones.Wait()
		})
	}
}
