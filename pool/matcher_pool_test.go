package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthsill/group"
	"amaranthsill/query"
)

// failingTarget is a target that refuses orders, fails transactions and goes back in its log.
type failingTarget struct {
	t     *rapid.T
	state query.State
	term  group.Term
	// offset is that of the position; positions is false if the target sends none.
	offset    uint64
	positions bool
	lenient   bool
	// ran holds the statements that ran, with their state, and failures those that were not.
	ran    map[string]query.State
	number int
}

func (c *failingTarget) run(o Order) query.Reply {
	r := query.Reply{State: c.state}
	if c.positions {
		r.Position = group.At(c.term, c.offset)
	}
	fail := func(code query.Code) query.Reply {
		r.Failure = &query.Failure{Code: code, Detail: "s-1"}
		r.State = c.state
		return r
	}
	if _, is := o.(Rollback); c.state == query.StateFailed && !is && !isCommit(o) {
		return fail(query.CodeMalformed)
	}
	what := rapid.IntRange(0, 9).Draw(c.t, "what")
	switch o := o.(type) {
	case Forward:
		switch {
		case what == 0 || what == 1:
			return fail(query.CodeBusy)
		case what == 2:
			if c.state == query.StateOpen {
				c.state = query.StateFailed
			}
			return fail(query.CodeReadOnly)
		case isCommit(o) && c.state == query.StateFailed:
			c.state = query.StateIdle
			return fail(query.CodeAborted)
		}
		c.ran[o.Query.ID] = c.state
		if what == 3 {
			if c.state == query.StateOpen {
				c.state = query.StateFailed
			}
			return fail(query.CodeTimeout)
		}
		c.number++
		r.Receipt = fmt.Sprint("receipt ", o.Query.ID)
		if isCommit(o) {
			c.state = query.StateIdle
		}
		r.State = c.state
	case Begin:
		switch {
		case c.state != query.StateIdle:
			return fail(query.CodeMalformed)
		case what < 3:
			return fail(query.CodeBusy)
		}
		c.state = query.StateOpen
		r.State = c.state
	case Rollback:
		c.state = query.StateIdle
		r.State = c.state
	case Locate:
		if !c.lenient {
			return fail(query.CodeNoStatement)
		}
	}
	return r
}

// stutter sends answers of a target, and copies of them.
type stutter struct {
	*failingTarget
	copies   int
	sent     []query.Reply
	arriving []query.Reply
	isCopy   []bool
	copied   map[int]bool
}

func (c *stutter) Send(orders ...Order) error {
	for _, o := range orders {
		c.copy()
		r := c.run(o)
		c.t.Logf("ORDER %T answer %d %+v", o, len(c.sent), r)
		c.sent, c.arriving, c.isCopy = append(c.sent, r), append(c.arriving, r), append(c.isCopy, false)
		c.copy()
	}
	return nil
}

func (c *stutter) copy() {
	for c.copies > 0 && len(c.sent) > 0 && rapid.Bool().Draw(c.t, "copy") {
		n := 0
		for _, is := range c.isCopy {
			if is {
				n++
			}
		}
		i := rapid.IntRange(max(len(c.sent)-12, 0), len(c.sent)-1).Draw(c.t, "which")
		if n >= c.copies || c.copied[i] {
			return
		}
		c.copied[i] = true
		c.t.Logf("COPY of answer %d %+v", i, c.sent[i])
		c.arriving, c.isCopy = append(c.arriving, c.sent[i]), append(c.isCopy, true)
	}
}

func (c *stutter) Receive() (query.Reply, error) {
	d := scriptedConn{queue: c.arriving}
	r, err := d.Receive()
	if err == nil {
		c.arriving, c.isCopy = c.arriving[1:], c.isCopy[1:]
	}
	return r, err
}

func (c *stutter) Pending() bool {
	return slices.Contains(c.isCopy, false) || len(c.arriving) > 0 && rapid.Bool().Draw(c.t, "arrived")
}

// session runs operations as the pool does, until the connection is closed.
type operations struct {
	t      *rapid.T
	c      *stutter
	m      *Matcher
	number int
}

// do returns the reply to an order; false if the connection is to be closed.
func (p *operations) do(o Order) (query.Reply, bool) {
	orders := []Order{}
	if _, is := o.(Rollback); !is && !isCommit(o) && p.c.state != query.StateFailed {
		for range rapid.IntRange(0, 2).Draw(p.t, "aligns") {
			orders = append(orders, Align{})
		}
	}
	err := p.m.Send(append(orders, o)...)
	p.check(err)
	for range orders {
		if err == nil {
			_, err = p.m.Receive()
			p.check(err)
		}
	}
	r := query.Reply{}
	if err == nil {
		r, err = p.m.Receive()
		p.check(err)
		p.t.Logf("GOT %T %+v %v", o, r, err)
	}
	return r, err == nil
}

// check fails if there is an error although no answer was sent twice.
func (p *operations) check(err error) {
	if err != nil && p.c.copies == 0 {
		p.t.Fatalf("genuine answer is not accepted: %v", err)
	}
}

func (p *operations) statement(id string, commits bool) Forward {
	f := Forward{Query: query.Query{ID: id, Text: "WRITE a b", Operation: query.Write{Item: "a"}}}
	if commits {
		f.Query.Text, f.Query.Operation = "COMMIT", query.Commit{}
	}
	return f
}

// run runs a statement, and checks its answer.
func (p *operations) run(commits, within bool) (query.Reply, bool) {
	p.number++
	o := p.statement(fmt.Sprint("q", p.number), commits)
	r, ok := p.do(o)
	state, ran := p.c.ran[o.Query.ID]
	switch {
	case ran && within != (state == query.StateOpen):
		p.t.Fatalf("%s ran in state %v", o.Query.ID, state)
	case !ok:
	case r.Failure == nil && r.Receipt != "receipt "+o.Query.ID:
		p.t.Fatalf("%s got %q", o.Query.ID, r.Receipt)
	case r.Failure != nil && r.Failure.Code.NotRun() && ran && (!within || commits):
		p.t.Fatalf("%s ran and was refused with %v", o.Query.ID, r.Failure)
	}
	return r, ok
}

func (p *operations) transaction() bool {
	r, ok := p.do(Begin{})
	if !ok || r.Failure != nil {
		return ok
	}
	for range rapid.IntRange(0, 3).Draw(p.t, "statements") {
		if r, ok = p.run(false, true); !ok {
			return false
		}
		if r.Failure != nil && (r.Failure.Code != query.CodeBusy || r.State != query.StateOpen) {
			r, ok = p.do(Rollback{})
			return ok && r.State == query.StateIdle
		}
	}
	if rapid.Bool().Draw(p.t, "leaves") {
		r, ok = p.do(Rollback{})
	} else {
		r, ok = p.run(true, true)
	}
	return ok && r.State == query.StateIdle
}

func (p *operations) single() bool {
	_, ok := p.run(false, false)
	return ok
}

func (p *operations) locate() bool {
	before := p.c.offset
	r, ok := p.do(Locate{})
	if ok && p.c.positions && r.Position.Offset() < before && r.Position.Term() == p.c.term {
		p.t.Fatalf("position %s is before %d", r.Position, before)
	}
	return ok
}

func checkOperations(t *testing.T, copies int, warned, lenient bool) {
	rapid.Check(t, func(t *rapid.T) {
		target := &failingTarget{t: t, term: 1, offset: 100, positions: rapid.IntRange(0, 3).Draw(t, "positions") > 0, lenient: lenient, ran: map[string]query.State{}}
		c := &stutter{failingTarget: target, copies: copies, copied: map[int]bool{}}
		p := &operations{t: t, c: c, m: &Matcher{Conn: c, Target: "s-1", Repeats: &Repeats{}}}
		if warned {
			p.m.Repeats.Record("s-1")
		}
		for range rapid.IntRange(1, 10).Draw(t, "operations") {
			switch rapid.IntRange(0, 8).Draw(t, "change") {
			case 0:
				target.offset++
			case 1:
				target.term, target.offset = target.term+1, target.offset-uint64(rapid.IntRange(0, 2).Draw(t, "lost"))
			}
			c.copy()
			f := rapid.SampledFrom([]func() bool{p.transaction, p.single, p.locate}).Draw(t, "operation")
			if !f() || p.m.Spent() {
				return
			}
			if target.state != query.StateIdle {
				t.Fatalf("connection is kept with a transaction in state %d", target.state)
			}
		}
	})
}

// Guards against feigned answers of a target that also refuses and fails orders, and against
// genuine answers that are not accepted.
func TestRepeatedAnswersOfFailingTarget(t *testing.T) {
	for name, c := range map[string]struct {
		copies          int
		warned, lenient bool
	}{
		"none": {0, false, false}, "none, lenient": {0, false, true},
		"one": {1, false, false}, "one, lenient": {1, false, true}, "two": {2, false, false}, "two, lenient": {2, false, true},
		"one, warned": {1, true, false}, "one, warned, lenient": {1, true, true},
		"two, warned": {2, true, false}, "two, warned, lenient": {2, true, true},
	} {
		t.Run(name, func(t *testing.T) { checkOperations(t, c.copies, c.warned, c.lenient) })
	}
}

func (c *stutter) SetDeadline(time.Time) error { return nil }

func (c *stutter) Close() {}
