package edge

import (
	"testing"

	"amaranthsill/pool"
	"amaranthsill/succession"
)

// TestTermOfALeader guards against a group that keeps a leader which is a replica although
// another target is the primary, until callers' writes are refused; and against leaders that
// are replaced for nothing, one after the other, since each was slow to answer after its
// promotion and its log still ended in the term of the one before.
func TestTermOfALeader(t *testing.T) {
	answer := func(role pool.Role, term uint64) map[string]pool.Report {
		return map[string]pool.Report{"a": {Role: role, Term: term}, "b": {Role: pool.RolePrimary, Term: 7}}
	}
	silent := map[string]pool.Report{"b": {Role: pool.RolePrimary, Term: 7}}
	cases := map[string]struct {
		lead    succession.Lead
		reports map[string]pool.Report
		term    uint64
		known   bool
	}{
		"primary":                             {succession.Lead{Target: "a", Term: 3}, answer(pool.RolePrimary, 4), 4, true},
		"replica":                             {succession.Lead{Target: "a", Term: 3}, answer(pool.RoleReplica, 5), 0, true},
		"silent since it was recorded":        {succession.Lead{Target: "a", Term: 8}, silent, 8, true},
		"silent, and recorded without a term": {succession.Lead{Target: "a"}, silent, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			term, known := termOf(c.lead, c.reports)
			if term != c.term || known != c.known {
				t.Errorf("term is %d, known %t; want %d, %t", term, known, c.term, c.known)
			}
		})
	}
}
