package edge

import (
	"slices"
	"testing"
	"time"

	"amaranthsill/pool"
	"amaranthsill/store"
	"amaranthsill/succession"
)

func TestFailureCause(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		health pool.Health
		led    time.Duration
		want   string
	}{
		"healthy":                                              {pool.Health{}, 60 * second, ""},
		"unreachable for a second":                             {pool.Health{FailingFor: second, SinceLastFailure: second / 10}, 60 * second, "it does not answer over fresh connections"},
		"unreachable for 200 ms":                               {pool.Health{FailingFor: second / 5}, 60 * second, ""},
		"refuses connections for a second":                     {pool.Health{FailingFor: second, Refused: true}, 60 * second, "its address refuses connections"},
		"refuses connections for 300 ms, as in a restart":      {pool.Health{FailingFor: 300 * time.Millisecond, Refused: true}, 60 * second, ""},
		"refuses writes":                                       {pool.Health{ReadOnlyFor: second}, 60 * second, "it refuses writes"},
		"failed only before it led":                            {pool.Health{FailingFor: 7 * second, SinceLastFailure: 6 * second}, second, ""},
		"failed before and since, but has led for 100 ms only": {pool.Health{FailingFor: 7 * second, SinceLastFailure: second / 20}, second / 10, ""},
		"failed before and ever since it led":                  {pool.Health{FailingFor: 7 * second, SinceLastFailure: second / 20}, second, "it does not answer over fresh connections"},
		"refused writes before it led":                         {pool.Health{ReadOnlyFor: 7 * second}, second / 10, ""},
		"answer outstanding on an open connection":             {pool.Health{UnansweredFor: 3 * second}, 60 * second, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := failureCause(c.health, c.led); got != c.want {
				t.Errorf("cause %q, want %q", got, c.want)
			}
		})
	}
}

// TestUnregisteredLeader guards against a VM that moves a leadership back and forth with another
// one: it knew the new leader from the other VM, and took it to be gone since it had not read its
// entry yet.
func TestUnregisteredLeader(t *testing.T) {
	for name, c := range map[string]struct {
		startup  time.Duration
		complete store.Revision
		want     string
	}{
		"everything up to the record is known":      {0, 12, "its entry is gone"},
		"more than the record is known":             {0, 20, "its entry is gone"},
		"the record is newer than what is known":    {0, 11, ""},
		"the VM has just started":                   {59 * time.Second, 12, ""},
		"nothing was read from the store till then": {0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := &supervisor{VM: &VM{directory: &Directory{}}, startupComplete: true, startupCompletedAt: c.startup}
			s.directory.MarkComplete(c.complete)
			if got := s.causeUnregistered(&groupState{leadRevision: 12}, time.Minute); got != c.want {
				t.Errorf("cause %q, want %q", got, c.want)
			}
		})
	}
}

func TestConflictingPrimaries(t *testing.T) {
	targets := []pool.Target{
		{ID: "a", Role: pool.RolePrimary},
		{ID: "b", Role: pool.RoleReplica},
		{ID: "c", Role: pool.RolePrimary},
		{ID: "d", Role: pool.RolePrimary, Absent: true},
	}
	for name, c := range map[string]struct {
		lead succession.Lead
		want []string
	}{
		"one of two primaries leads": {succession.Lead{Target: "a"}, []string{"c"}},
		"a replica leads":            {succession.Lead{Target: "b"}, []string{"a", "c"}},
		"nobody leads yet":           {succession.Lead{}, []string{"a", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := conflictingPrimaries(targets, c.lead); !slices.Equal(got, c.want) {
				t.Errorf("conflicting primaries %v, want %v", got, c.want)
			}
		})
	}
}
