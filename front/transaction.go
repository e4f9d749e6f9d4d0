package front

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// transaction is a caller's open transaction. It takes a connection with its
// first statement.
type transaction struct {
	session  *session
	route    *catalog.Route
	readOnly bool
	attempt  *attempt
	slot     *pool.Slot
	need     pool.Need
	wrote    bool
	failed   bool
	// lost says why the transaction ended without the caller's doing.
	lost string
}

// begin opens a transaction; no target hears of it before its first
// statement.
func (s *session) begin(b query.Begin) query.Reply {
	r, ok := s.route()
	if !ok {
		return s.failure(query.CodeUnknownDatabase, "the route was removed")
	}
	s.tx = &transaction{session: s, route: r, readOnly: b.ReadOnly}
	return query.Reply{State: query.StateOpen, Position: s.floor}
}

// open reports whether the transaction holds a connection.
func (t *transaction) open() bool { return t.slot != nil && !t.failed }

// inside handles a query of a session in a transaction.
func (s *session) inside(ctx context.Context, q query.Query) query.Reply {
	t := s.tx
	if s.isDropped() {
		t.fail("the VM stops")
	}
	switch q.Operation.(type) {
	case query.Rollback:
		t.abandon()
		s.tx = nil
		return query.Reply{State: query.StateIdle, Position: s.floor}
	case query.Commit:
		return s.commit(ctx, q)
	}
	if t.failed {
		if t.lost != "" {
			return s.failure(query.CodeAborted, t.lost)
		}
		return s.failure(query.CodeMalformed, "the transaction has failed")
	}
	switch q.Operation.(type) {
	case query.Read, query.Write, query.Execute:
		return t.statement(ctx, q)
	default:
		r := s.local(q)
		if r.Failure != nil {
			t.fail("")
			r.State = query.StateFailed
		}
		return r
	}
}

// fail ends the transaction on its target; the caller still has to end it.
func (t *transaction) fail(lost string) {
	t.abandon()
	t.failed = true
	if t.lost == "" {
		t.lost = lost
	}
}

// abandon rolls the transaction back on its target.
func (t *transaction) abandon() {
	slot := t.slot
	t.slot = nil
	if slot == nil {
		return
	}
	if slot.Broken() {
		slot.Release()
		return
	}
	go slot.RollBack()
}

// statement runs a statement in the transaction, and opens it on a target if
// it is the first.
func (t *transaction) statement(ctx context.Context, q query.Query) query.Reply {
	s := t.session
	n, early := s.classify(q)
	if early != nil {
		t.fail("")
		early.State = query.StateFailed
		return *early
	}
	if t.slot == nil {
		if r := t.start(ctx, q.ID, n.plan); r != nil {
			return *r
		}
	}
	until := s.front.Now() + t.route.Timeout
	if err := t.slot.Align(&s.state, until); err != nil {
		return t.broken(fmt.Sprintf("the target's connection was lost: %v", err))
	}
	return t.run(ctx, n, until)
}

// start opens the transaction on a target, with its first statement's plan.
func (t *transaction) start(ctx context.Context, id string, plan *query.Plan) *query.Reply {
	a, early := t.session.newAttempt(id, t.route, !t.readOnly)
	if early != nil {
		return t.refused(*early)
	}
	t.attempt = a
	for {
		slot, need, err := a.slot(ctx)
		if err != nil {
			return t.refused(a.giveUp(err))
		}
		answer, err := slot.Begin(pool.Begin{ReadOnly: t.readOnly, After: need.Floor}, &t.session.state, plan, a.limit(statement{}))
		if err == nil && answer.Failure == nil {
			t.slot, t.need = slot, need
			return nil
		}
		slot.Release()
		switch {
		case err != nil:
			if !need.Leader {
				a.tried = append(a.tried, slot.Target())
			}
			if !a.again("the target's answer was lost") {
				return t.refused(a.refuse())
			}
		case answer.Failure.Code.NotRun():
			if !a.notRun(ctx, slot, need, answer.Failure) {
				return t.refused(a.refuse())
			}
		case !a.again("target answered " + answer.Failure.Code.String()):
			return t.refused(a.refuse())
		}
	}
}

func (t *transaction) refused(r query.Reply) *query.Reply {
	t.fail("")
	r.State = query.StateFailed
	t.session.front.Meter.ended(t.route, r, 0)
	return &r
}

// broken ends a transaction whose target or connection was lost before the
// commit was sent; nothing of it is kept.
func (t *transaction) broken(reason string) query.Reply {
	t.fail("")
	r := t.session.failure(query.CodeAborted, reason)
	t.session.front.Meter.ended(t.route, r, 0)
	return r
}

func (t *transaction) run(ctx context.Context, n statement, until time.Duration) query.Reply {
	s := t.session
	for {
		answer, err := t.slot.Execute(n.order(query.Position{}), &s.state, n.plan, until)
		if err != nil {
			return t.broken("the target's connection was lost")
		}
		f := answer.Failure
		if f == nil {
			return t.released(ctx, n, answer, until)
		}
		if f.Code == query.CodeBusy && answer.State == query.StateOpen && s.front.Now()+busyPause < until && t.attempt.rest(ctx) {
			continue
		}
		t.fail("")
		r := s.failure(f.Code, f.Detail)
		if f.Code == query.CodeReadOnly || f.Code == query.CodeBusy || f.Code == query.CodeNoStatement {
			r = s.failure(query.CodeAborted, "target answered "+f.Code.String())
		}
		s.front.Meter.ended(t.route, r, 0)
		return r
	}
}

// released returns a statement's answer once its target certainly led while
// it ran.
func (t *transaction) released(ctx context.Context, n statement, answer pool.Answer, until time.Duration) query.Reply {
	t.attempt.until = until
	if err := t.attempt.current(ctx, t.slot, t.need); err != nil {
		return t.broken("the target was deposed")
	}
	t.attempt.learn(t.slot, answer)
	t.wrote = t.wrote || n.write
	r := answer.Reply
	r.State = query.StateOpen
	return r
}

// commit ends the transaction.
func (s *session) commit(ctx context.Context, q query.Query) query.Reply {
	t := s.tx
	if t.failed {
		s.tx = nil
		reason := t.lost
		if reason == "" {
			reason = "the transaction has failed and was rolled back"
		}
		return s.failure(query.CodeAborted, reason)
	}
	if t.slot == nil {
		if r := t.start(ctx, q.ID, nil); r != nil {
			s.tx = nil
			r.State = query.StateIdle
			return *r
		}
	}
	r := t.commit(ctx, q)
	s.tx = nil
	r.State = query.StateIdle
	s.front.Meter.ended(t.route, r, s.front.Now()-t.attempt.arrived)
	return r
}

func (t *transaction) commit(ctx context.Context, q query.Query) query.Reply {
	s := t.session
	slot := t.slot
	t.slot = nil
	until := s.front.Now() + t.route.Timeout
	answer, err := slot.Run(pool.Forward{Query: q}, until)
	slot.Finish(answer.State)
	if err != nil {
		return t.doubt(q, slot, "the target's answer to the commit was lost", err)
	}
	if f := answer.Failure; f != nil {
		return s.failure(f.Code, f.Detail)
	}
	t.attempt.until = until
	if err := t.attempt.current(ctx, slot, t.need); err != nil {
		return t.doubt(q, slot, "the target may have been deposed", err)
	}
	t.attempt.learn(slot, answer)
	if t.wrote {
		s.wrote(answer.Position)
	}
	return answer.Reply
}

// doubt ends a transaction whose commit may or may not be kept. One that
// wrote nothing has nothing to keep.
func (t *transaction) doubt(q query.Query, slot *pool.Slot, reason string, err error) query.Reply {
	s := t.session
	if !t.wrote {
		return s.failure(query.CodeAborted, reason)
	}
	s.front.Meter.doubtful(t.route, q.ID, slot.Target(), err)
	return s.failure(query.CodeInDoubt, reason)
}
