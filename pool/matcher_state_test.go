package pool

import (
	"testing"

	"amaranthsill/query"
)

// Guards against a single write that ran and is reported as not run, because the failure of
// an earlier transaction came again.
func TestFailureOfTransactionIsNoneOfSingleWrite(t *testing.T) {
	open, idle := plainIn(query.StateOpen), plainIn(query.StateIdle)
	failed := failedIn(query.StateFailed, query.CodeReadOnly)
	receipt := idle
	receipt.Receipt = "receipt of w2"
	c := &scriptedConn{steps: [][]query.Reply{
		{open, open, open},
		{failed},
		{idle},
		{failed, receipt}, // The first is the copy.
		{idle, idle},
	}}
	m := &Matcher{Conn: c, Target: "s-1", Repeats: &Repeats{}}
	for _, o := range []Order{Begin{}, write("w1"), Rollback{}} {
		if err := m.Send(o); err != nil {
			t.Fatal(err)
		}
		if _, err := m.Receive(); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.Send(write("w2")); err != nil {
		t.Fatal(err)
	}
	if r, err := m.Receive(); err == nil && r.Failure != nil {
		t.Fatalf("write that ran was answered with %v", r.Failure)
	}
}
