package pool

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthsill/group"
	"amaranthsill/query"
)

// scriptedConn is a connection on which each Send makes the next of the replies arrive.
type scriptedConn struct {
	sent  []Order
	steps [][]query.Reply
	queue []query.Reply
}

func (c *scriptedConn) Send(orders ...Order) error {
	c.sent = append(c.sent, orders...)
	if len(c.steps) > 0 {
		c.queue = append(c.queue, c.steps[0]...)
		c.steps = c.steps[1:]
	}
	return nil
}

func (c *scriptedConn) Receive() (query.Reply, error) {
	if len(c.queue) == 0 {
		return query.Reply{}, errors.New("no answer arrives")
	}
	r := c.queue[0]
	c.queue = c.queue[1:]
	return r, nil
}

func (c *scriptedConn) Pending() bool               { return false }
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }
func (c *scriptedConn) Close()                      {}

func plainIn(s query.State) query.Reply { return query.Reply{State: s, Position: group.At(1, 1)} }

func failedIn(s query.State, c query.Code) query.Reply {
	return query.Reply{State: s, Position: group.At(1, 1), Failure: &query.Failure{Code: c, Detail: "s-1"}}
}

func write(id string) Forward {
	return Forward{Query: query.Query{ID: id, Text: "WRITE a b", Operation: query.Write{Item: "a"}}}
}

// Guards against a write that is reported as not run, and tried again, although the target
// reported that it ran: one earlier refusal that comes again outweighs the answer proper.
func TestRepeatedRefusalDoesNotOutweighNewFailure(t *testing.T) {
	idle := plainIn(query.StateIdle)
	busy, late := failedIn(query.StateIdle, query.CodeBusy), failedIn(query.StateIdle, query.CodeTimeout)
	c := &scriptedConn{steps: [][]query.Reply{
		{busy},
		{idle, idle, late, busy}, // The last is the copy.
		{idle, failedIn(query.StateIdle, query.CodeNoStatement)},
	}}
	m := &Matcher{Conn: c, Target: "s-1", Repeats: &Repeats{}}
	if err := m.Send(write("w1")); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Receive(); err != nil {
		t.Fatal(err)
	}
	if err := m.Send(Align{}, Align{}, write("w2")); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if r, err := m.Receive(); err != nil || r.Failure != nil {
			t.Fatalf("answer %+v, error %v", r, err)
		}
	}
	if r, err := m.Receive(); err == nil && (r.Failure == nil || r.Failure.Code.NotRun()) {
		t.Fatalf("write that ran was answered with %v", r.Failure)
	}
}

// Guards against a connection that is closed, and a failure that is lost, because no order
// is accepted in a failed transaction.
func TestFirstFailureInTransactionIsReturned(t *testing.T) {
	open := plainIn(query.StateOpen)
	c := &scriptedConn{steps: [][]query.Reply{
		{open, open, open},
		{failedIn(query.StateFailed, query.CodeFailed)},
		{failedIn(query.StateFailed, query.CodeMalformed)},
	}}
	m := &Matcher{Conn: c, Target: "s-1", Repeats: &Repeats{}}
	if err := m.Send(Begin{}); err != nil {
		t.Fatal(err)
	}
	if r, err := m.Receive(); err != nil || r.Failure != nil {
		t.Fatalf("answer %+v, error %v", r, err)
	}
	if err := m.Send(write("w1")); err != nil {
		t.Fatal(err)
	}
	if r, err := m.Receive(); err != nil || r.Failure == nil {
		t.Fatalf("answer %+v, error %v", r, err)
	}
}

// Guards against a Locate, which fails, in an open transaction.
func TestNothingThatFailsIsSentInTransaction(t *testing.T) {
	open, busy := plainIn(query.StateOpen), failedIn(query.StateIdle, query.CodeBusy)
	receipt := open
	receipt.Receipt = "receipt of w2"
	c := &scriptedConn{steps: [][]query.Reply{
		{busy},
		{open, open, open},
		{busy, receipt}, // The first is the copy.
		{open, failedIn(query.StateFailed, query.CodeNoStatement)},
	}}
	m := &Matcher{Conn: c, Target: "s-1", Repeats: &Repeats{}}
	for _, o := range []Order{write("w1"), Begin{}, write("w2")} {
		if err := m.Send(o); err != nil {
			t.Fatal(err)
		}
		r, err := m.Receive()
		t.Logf("%T: %+v, error %v", o, r, err)
	}
	for _, o := range c.sent {
		if _, locates := o.(Locate); locates {
			t.Fatal("Locate was sent in a transaction")
		}
	}
}

// delayedConn is a stutteringConn that sends each answer at most twice, and of which answers
// that nobody waits for may arrive late.
type delayedConn struct {
	*stutteringConn
	// copies is the greatest number of copies that arrive between two answers proper.
	copies int
	// repeated holds the indices of the answers that were sent twice, and inFlight whether
	// each of those that arrive is a copy.
	repeated map[int]bool
	inFlight []bool
}

func (c *delayedConn) Send(orders ...Order) error {
	for _, o := range orders {
		c.copy()
		c.last = c.run(o)
		c.t.Logf("ORDER %T answer %d %+v", o, len(c.sent), c.last)
		c.sent = append(c.sent, c.last)
		c.arriving = append(c.arriving, c.last)
		c.inFlight = append(c.inFlight, false)
		c.copy()
	}
	return nil
}

func (c *delayedConn) copy() {
	for len(c.sent) > 0 && rapid.Bool().Draw(c.t, "copy") {
		n := 0
		for _, is := range c.inFlight {
			if is {
				n++
			}
		}
		i := rapid.IntRange(max(len(c.sent)-12, 0), len(c.sent)-1).Draw(c.t, "which")
		if n >= c.copies || c.repeated[i] {
			return
		}
		c.repeated[i] = true
		c.t.Logf("COPY of answer %d %+v", i, c.sent[i])
		c.arriving = append(c.arriving, c.sent[i])
		c.inFlight = append(c.inFlight, true)
	}
}

func (c *delayedConn) Receive() (query.Reply, error) {
	if len(c.inFlight) > 0 {
		c.inFlight = c.inFlight[1:]
	}
	r, err := c.stutteringConn.Receive()
	c.t.Logf("RECEIVE %+v %v", r, err)
	return r, err
}

func (c *delayedConn) Pending() bool {
	// Answers proper arrive long before the next order is sent.
	return slices.Contains(c.inFlight, false) || len(c.arriving) > 0 && rapid.Bool().Draw(c.t, "arrived")
}

func testDelayed(t *testing.T, copies int, warned, lenient bool) {
	rapid.Check(t, func(t *rapid.T) {
		c := &stutteringConn{t: t, offset: 1, lenient: lenient}
		d := &delayedConn{stutteringConn: c, copies: copies, repeated: map[int]bool{}}
		p := &Repeats{}
		if warned {
			p.Record("s-1")
		}
		m := &Matcher{Conn: d, Target: "s-1", Repeats: p}
		matched(t, c, m, func(o Order, r query.Reply, before uint64) {
			switch o := o.(type) {
			case Forward:
				if r.Failure == nil && r.Receipt != "receipt of "+o.Query.ID {
					t.Fatalf("statement %s got the answer %q", o.Query.ID, r.Receipt)
				}
				if r.Failure != nil && len(c.outside) > 0 && c.outside[len(c.outside)-1] == o.Query.ID {
					t.Fatalf("statement %s ran and was refused with %v", o.Query.ID, r.Failure)
				}
			case Begin:
				// A connection that is spent is closed, which rolls back.
				if (r.Failure == nil) != (c.state == query.StateOpen) && (r.Failure == nil || !m.Spent()) {
					t.Fatalf("transaction was answered with %v and is in state %d", r.Failure, c.state)
				}
			case Locate:
				if r.Position.Offset() < before {
					t.Fatalf("position %s is before %d", r.Position, before)
				}
			}
		})
	})
}

// Guards against a feigned refusal, position or transaction where copies arrive only after
// the next order was sent.
func TestRepeatedAnswersThatAreLate(t *testing.T) {
	for name, c := range map[string]struct {
		copies          int
		warned, lenient bool
	}{
		"one": {1, false, false}, "one, warned": {1, true, false},
		"one, lenient": {1, false, true}, "one, warned, lenient": {1, true, true},
		"two, warned": {2, true, false}, "two, warned, lenient": {2, true, true},
	} {
		t.Run(name, func(t *testing.T) { testDelayed(t, c.copies, c.warned, c.lenient) })
	}
}

// Guards against the same where two copies arrive at once from a target that was never seen to
// send answers twice.
func TestTwoRepeatedAnswersAtOnce(t *testing.T) {
	t.Run("strict", func(t *testing.T) { testDelayed(t, 2, false, false) })
	t.Run("lenient", func(t *testing.T) { testDelayed(t, 2, false, true) })
}
