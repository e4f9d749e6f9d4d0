package edge

import (
	"testing"
	"time"

	"amaranthsill/store"
	"amaranthsill/succession"
)

// TestNewestConfiguration guards against VMs that serve a key although it may have been
// revoked without their knowledge, and against VMs that refuse all customers while the
// store is away for a short time.
func TestNewestConfiguration(t *testing.T) {
	const start = time.Hour
	cases := map[string]struct {
		// confirmed is the age of the last confirmation of the configuration; negative
		// if there was none.
		confirmed time.Duration
		// record is the age of the last confirmation of the leader record, by the store or by
		// VMs; negative if there was none.
		record time.Duration
		want   bool
	}{
		"never confirmed":                          {-1, 0, false},
		"confirmed just now":                       {0, 0, true},
		"confirmed 3 s ago":                        {3 * time.Second, 10 * time.Second, true},
		"cut off for more than 3 s":                {3001 * time.Millisecond, 1100 * time.Millisecond, false},
		"before there is a leader record":          {3001 * time.Millisecond, -1, false},
		"store away, confirmed by VMs":             {5 * time.Second, 900 * time.Millisecond, true},
		"store away for longer, confirmed by VMs":  {5501 * time.Millisecond, 0, false},
		"store away, no longer confirmed by VMs":   {5 * time.Second, 1001 * time.Millisecond, false},
		"record confirmed for longer than the VMs": {time.Second, 5 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := start
			clock := func() time.Duration { return now }
			v := &VM{Now: clock, grants: &succession.Grants{Length: time.Second, Now: clock}}
			if c.record >= 0 {
				v.grants.ConfirmRecord(succession.Record{Revision: 7, Stored: store.Revision(7)}, start-c.record)
			}
			if c.confirmed >= 0 {
				v.confirmConfiguration(start - c.confirmed)
				v.confirmConfiguration(start - c.confirmed - time.Minute)
			}
			if got := v.hasNewestConfiguration(); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
