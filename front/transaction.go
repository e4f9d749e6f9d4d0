package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// transaction is a caller's open transaction. It acquires a connection when
// its first statement, or the commit, arrives.
type transaction struct {
	session  *session
	route    *catalog.Route
	readOnly bool
	attempt  *attempt
	slot     *pool.Slot
	need     pool.Need
	wrote    bool
	failed   bool
	// abortReason says why the VM ended the transaction: it was idle for too
	// long, or the VM stops. Empty if the transaction ended for another reason.
	abortReason string
}

// begin opens a transaction for the caller. The target opens it later,
// together with the first statement.
func (s *session) begin(b query.Begin) query.Reply {
	r, refusal := s.startOperation()
	if refusal != nil {
		return *refusal
	}
	if f := s.admitOperation(s.waiting, r); f != nil {
		return *f
	}
	s.tx = &transaction{session: s, route: r, readOnly: b.ReadOnly}
	return query.Reply{State: query.StateOpen, Position: s.floor}
}

// hasConnection reports whether the transaction is open on a target.
func (t *transaction) hasConnection() bool { return t.slot != nil && !t.failed }

// handleInTransaction handles a query while a transaction is open.
func (s *session) handleInTransaction(ctx context.Context, q query.Query) query.Reply {
	t := s.tx
	if reason := s.endedReason(); reason != "" {
		t.fail(reason)
	}
	switch q.Operation.(type) {
	case query.Rollback:
		t.rollBack()
		s.tx = nil
		return query.Reply{State: query.StateIdle, Position: s.floor}
	case query.Commit:
		return s.commit(ctx, q)
	}
	if t.failed {
		if t.abortReason != "" {
			return s.failure(query.CodeAborted, t.abortReason)
		}
		return s.failure(query.CodeMalformed, "the transaction has failed")
	}
	switch q.Operation.(type) {
	case query.Read, query.Write, query.Execute:
		return t.runStatement(ctx, q)
	default:
		r := s.handleLocal(q)
		if r.Failure != nil {
			t.fail("")
			r.State = query.StateFailed
		}
		return r
	}
}

// fail rolls the transaction back on its target and marks it as failed. The
// caller still has to end it with a commit or a rollback.
func (t *transaction) fail(reason string) {
	t.rollBack()
	t.failed = true
	if t.abortReason == "" {
		t.abortReason = reason
	}
}

// rollBack rolls the transaction back on its target and returns the
// connection to the pool.
func (t *transaction) rollBack() {
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

// runStatement runs a statement in the transaction. The first statement opens
// the transaction on a target.
func (t *transaction) runStatement(ctx context.Context, q query.Query) query.Reply {
	s := t.session
	st, refusal := s.classify(q)
	if refusal != nil {
		t.fail("")
		refusal.State = query.StateFailed
		return *refusal
	}
	if t.slot == nil {
		if r := t.begin(q.ID, st.plan); r != nil {
			return *r
		}
	}
	until := s.server.Now() + t.route.Timeout
	if err := t.slot.Align(&s.state, until); err != nil {
		return t.abort(fmt.Sprintf("the target's connection was lost: %v", err))
	}
	return t.execute(ctx, st, until)
}

// begin opens the transaction on a target, trying others if one fails. It
// also prepares the plan of the first statement there, if that has one. It
// returns nil, or the failure reply.
func (t *transaction) begin(id string, plan *query.Plan) *query.Reply {
	a, refusal := t.session.newAttempt(id, t.route, !t.readOnly)
	if refusal != nil {
		return t.failWith(*refusal)
	}
	t.attempt = a
	for {
		slot, need, err := a.acquire(t.session.waiting)
		if err != nil {
			return t.failWith(a.giveUp(err))
		}
		answer, err := slot.Begin(pool.Begin{ReadOnly: t.readOnly, After: need.Floor}, &t.session.state, plan, a.answerDeadline(statement{}))
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
			if !a.allowRetry("the target's answer was lost") {
				return t.failWith(a.refuse())
			}
		case answer.Failure.Code.NotRun():
			if !a.retryNotRun(t.session.waiting, slot, need, answer.Failure) {
				return t.failWith(a.refuse())
			}
		case !a.allowRetry("target answered " + answer.Failure.Code.String()):
			return t.failWith(a.refuse())
		}
	}
}

// failWith marks the transaction as failed, counts the outcome and returns
// the reply.
func (t *transaction) failWith(r query.Reply) *query.Reply {
	t.fail("")
	r.State = query.StateFailed
	t.session.server.Metrics.recordOutcome(t.route, r, 0)
	return &r
}

// abort ends a transaction that lost its connection, or whose target was
// deposed, before the commit was sent. Nothing that it wrote is kept.
func (t *transaction) abort(reason string) query.Reply {
	t.fail("")
	r := t.session.failure(query.CodeAborted, reason)
	t.session.server.Metrics.recordOutcome(t.route, r, 0)
	return r
}

// execute runs a statement on the transaction's connection. A busy target
// that has kept the transaction open is tried again until the deadline; any
// other failure ends the transaction.
func (t *transaction) execute(ctx context.Context, st statement, until time.Duration) query.Reply {
	s := t.session
	for {
		answer, err := t.slot.Execute(st.poolOrder(query.Position{}), &s.state, st.plan, until)
		if errors.Is(err, pool.ErrOutsideTransaction) && st.write {
			return t.statementInDoubt(st, err)
		}
		if f := (*query.Failure)(nil); errors.Is(err, pool.ErrNotSent) && errors.As(err, &f) {
			t.fail("")
			r := s.failure(f.Code, f.Detail)
			s.server.Metrics.recordOutcome(t.route, r, 0)
			return r
		}
		if err != nil {
			return t.abort("the target's connection was lost")
		}
		f := answer.Failure
		if f == nil {
			return t.confirmAnswer(ctx, st, answer, until)
		}
		if f.Code == query.CodeBusy && answer.State == query.StateOpen && s.server.Now()+busyRetryDelay < until && t.attempt.pauseBusy(s.waiting) {
			continue
		}
		t.fail("")
		r := s.failure(f.Code, f.Detail)
		if f.Code == query.CodeReadOnly || f.Code == query.CodeBusy || f.Code == query.CodeNoStatement {
			r = s.failure(query.CodeAborted, "target answered "+f.Code.String())
		}
		s.server.Metrics.recordOutcome(t.route, r, 0)
		return r
	}
}

// statementInDoubt ends a transaction of which a write may have taken effect on its own.
func (t *transaction) statementInDoubt(st statement, err error) query.Reply {
	s := t.session
	s.server.Metrics.recordInDoubt(t.route, st.query.ID, t.slot.Target(), err)
	t.fail("")
	r := s.failure(query.CodeInDoubt, "the statement ran outside the transaction")
	s.server.Metrics.recordOutcome(t.route, r, 0)
	return r
}

// confirmAnswer returns a statement's answer once it is confirmed that the
// target still led the group after it ran.
func (t *transaction) confirmAnswer(ctx context.Context, st statement, answer pool.Answer, until time.Duration) query.Reply {
	t.attempt.deadline = until
	if err := t.attempt.confirmStillLeads(ctx, t.need); err != nil {
		return t.abort("the target was deposed")
	}
	t.attempt.recordPosition(t.slot, answer)
	t.wrote = t.wrote || st.write
	r := answer.Reply
	r.State = query.StateOpen
	return r
}

// commit handles the caller's commit and ends the transaction.
func (s *session) commit(ctx context.Context, q query.Query) query.Reply {
	t := s.tx
	if t.failed {
		s.tx = nil
		reason := t.abortReason
		if reason == "" {
			reason = "the transaction has failed and was rolled back"
		}
		return s.failure(query.CodeAborted, reason)
	}
	if t.slot == nil {
		if r := t.begin(q.ID, nil); r != nil {
			s.tx = nil
			r.State = query.StateIdle
			return *r
		}
	}
	r := t.commit(ctx, q)
	s.tx = nil
	r.State = query.StateIdle
	s.server.Metrics.recordOutcome(t.route, r, s.server.Now()-t.attempt.arrived)
	return r
}

// commit commits the transaction on its target. It returns success only once
// the target is confirmed to have led the group.
func (t *transaction) commit(ctx context.Context, q query.Query) query.Reply {
	s := t.session
	slot := t.slot
	t.slot = nil
	until := s.server.Now() + t.route.Timeout
	answer, err := slot.Run(pool.Forward{Query: q}, until)
	slot.Finish(answer.State)
	if errors.Is(err, pool.ErrNotSent) {
		return s.failure(query.CodeAborted, "the commit was not sent")
	}
	if err != nil {
		return t.commitInDoubt(q, slot, "the target's answer to the commit was lost", err)
	}
	if f := answer.Failure; f != nil {
		return s.failure(f.Code, f.Detail)
	}
	t.attempt.deadline = until
	if t.wrote {
		t.attempt.group.RecordAnsweredCommit(answer.Position)
	}
	if err := t.attempt.confirmStillLeads(ctx, t.need); err != nil {
		return t.commitInDoubt(q, slot, "the target may have been deposed", err)
	}
	t.attempt.recordPosition(slot, answer)
	if t.wrote {
		s.recordCommit(answer.Position)
		t.attempt.group.RecordCommit(q.ID, slot.Target(), answer.Position)
	}
	return answer.Reply
}

// commitInDoubt returns the reply for a commit that may or may not have taken
// effect. A transaction without writes is reported as aborted, since nothing
// is lost with it.
func (t *transaction) commitInDoubt(q query.Query, slot *pool.Slot, reason string, err error) query.Reply {
	s := t.session
	if !t.wrote {
		return s.failure(query.CodeAborted, reason)
	}
	s.server.Metrics.recordInDoubt(t.route, q.ID, slot.Target(), err)
	return s.failure(query.CodeInDoubt, reason)
}
