package edge

import (
	"testing"

	"amaranthsill/pool"
)

// TestTermOfALeaderThatSteppedDown guards against a group that keeps a leader which is a
// replica although another target is the primary, until callers' writes are refused.
func TestTermOfALeaderThatSteppedDown(t *testing.T) {
	cases := map[string]struct {
		leader pool.Report
		term   uint64
	}{
		"primary": {pool.Report{Role: pool.RolePrimary, Term: 4}, 4},
		"replica": {pool.Report{Role: pool.RoleReplica, Term: 5}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &supervisor{}
			term, known := s.termOf("choir", "a", map[string]pool.Report{"a": c.leader})
			if term != c.term || !known {
				t.Errorf("term is %d, known %t; want %d, known", term, known, c.term)
			}
		})
	}
}
