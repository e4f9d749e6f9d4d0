package pool

import (
	"testing"

	"amaranthsill/group"
	"amaranthsill/query"
)

// Guards against a wait for an answer that came, on a replica whose log was cut back by a
// promotion and has not yet received anything of the new term.
func TestAnswersAfterLogWasCutBack(t *testing.T) {
	at := func(offset uint64, state query.State) query.Reply {
		return query.Reply{State: state, Position: group.At(1, offset)}
	}
	c := &scriptedConn{steps: [][]query.Reply{
		{at(1, query.StateOpen), at(1, query.StateOpen), at(1, query.StateOpen)},
		{at(1, query.StateIdle)},
		{at(2, query.StateOpen), at(2, query.StateOpen), at(2, query.StateOpen)},
		{at(2, query.StateIdle)},
		{at(1, query.StateOpen), at(1, query.StateOpen), at(1, query.StateOpen)},
	}}
	m := &Matcher{Conn: c, Target: "s-1", Repeats: &Repeats{}}
	for i, o := range []Order{Begin{ReadOnly: true}, Rollback{}, Begin{ReadOnly: true}, Rollback{}, Begin{ReadOnly: true}} {
		if err := m.Send(o); err != nil {
			t.Fatal(err)
		}
		if r, err := m.Receive(); err != nil || r.Failure != nil {
			t.Fatalf("order %d: answer %+v, error %v", i, r, err)
		}
	}
}
