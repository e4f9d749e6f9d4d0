package front

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"amaranthsill/customer"
	"amaranthsill/query"
	sessionstate "amaranthsill/session"
)

// session is one caller's session. Only its own goroutine uses the fields
// above the lock.
type session struct {
	server   *Server
	conn     CallerConn
	database string
	state    sessionstate.State
	// floor is the position of the session's last commit, and floorTime is when
	// the commit was acknowledged.
	floor     query.Position
	floorTime time.Duration
	tx        *transaction
	// waiting ends once statements that wait for a target are to be refused, by the call
	// of stopWaiting.
	waiting     context.Context
	stopWaiting context.CancelFunc

	lock sync.Mutex
	access
	inFlight
	// ending is true once the session is to be closed when it waits for the caller.
	ending bool
	// idle is true while the session waits for the caller outside a transaction,
	// so that it may be closed.
	idle bool
	// aborted is true once an open transaction must be rolled back, because the
	// VM stops.
	aborted bool
	// closing is true once the session is to be closed as soon as no transaction
	// is open.
	closing bool
	// answered is true once the session has had a reply. A session without one
	// is not closed yet, since its first query may be on its way.
	answered bool
}

// inFlight is the query that a session runs, with what is answered to it if the VM has to
// exit before the target has answered.
type inFlight struct {
	// running reports that there is one, and that it has no answer.
	running  bool
	code     query.Code
	state    query.State
	position query.Position
}

// expiredDeadline is a deadline in the past; it interrupts a blocked read at
// once.
var expiredDeadline = time.Unix(1, 0)

// run serves the session until the caller ends it, an error occurs, or the VM
// closes it.
func (s *session) run(ctx context.Context) {
	if !s.start() {
		return
	}
	for s.awaitMessage() {
		q, more, err := s.conn.Next()
		if err != nil {
			s.server.Metrics.recordBrokenSession(err)
			return
		}
		if !more {
			return
		}
		if !s.answer(ctx, q) {
			return
		}
	}
}

func (s *session) start() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return false
	}
	database, key, err := s.conn.Start()
	if err != nil {
		s.server.Metrics.recordBrokenSession(err)
		s.reject(query.CodeMalformed, "a session starts with a start-up message")
		return false
	}
	if f := s.admitStart(database, customer.DigestOf(key)); f != nil {
		s.reject(f.Code, f.Detail)
		return false
	}
	return s.conn.Ready(query.StateIdle, query.Position{}) == nil
}

func (s *session) reject(c query.Code, detail string) {
	// The caller may be gone already.
	_ = s.conn.Reject(query.Failure{Code: c, Detail: detail})
}

// awaitMessage waits for the caller's next message and reports whether one
// has arrived. If not, the session ends.
func (s *session) awaitMessage() bool {
	switch {
	case s.tx != nil && s.isExpired():
		return s.awaitAfterRevocation()
	case s.tx != nil && s.tx.hasConnection():
		return s.awaitInTransaction()
	case s.tx == nil:
		// ConfigurationChanged does not know of a session that is about to start.
		s.checkKey(s.server.Catalog.Current())
	}
	if !s.setIdle() {
		return false
	}
	err := s.conn.Wait()
	s.lock.Lock()
	s.idle = false
	s.lock.Unlock()
	if err != nil && s.isEnding() {
		return false
	}
	if s.tx != nil && errors.Is(err, os.ErrDeadlineExceeded) && s.isExpired() {
		return s.awaitAfterRevocation()
	}
	if err != nil {
		return false
	}
	return s.conn.SetReadDeadline(time.Time{}) == nil
}

// setIdle marks the session as waiting for the caller. It returns false if
// the session must be closed instead.
func (s *session) setIdle() bool {
	draining := s.server.isDraining()
	s.lock.Lock()
	defer s.lock.Unlock()
	if (draining || s.closing) && s.tx == nil && s.answered || s.aborted && s.tx == nil {
		return false
	}
	s.idle = s.tx == nil
	if s.revoked && s.tx == nil {
		return s.conn.SetReadDeadline(time.Now().Add(closeGrace)) == nil
	}
	return s.clearDeadline() == nil
}

// clearDeadline lets the session wait for the caller without limit, unless its time is
// over. The caller holds the lock.
func (s *session) clearDeadline() error {
	if s.expired || s.ending {
		return s.conn.SetReadDeadline(expiredDeadline)
	}
	return s.conn.SetReadDeadline(time.Time{})
}

// setTransactionDeadline lets the session wait for the caller for the given time, or not
// at all once its transaction must end.
func (s *session) setTransactionDeadline(idle time.Duration) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.aborted || s.expired || s.ending {
		idle = 0
	}
	return s.conn.SetReadDeadline(time.Now().Add(idle))
}

// awaitInTransaction waits for the caller's next message while a transaction
// holds a connection. Once the transaction has been idle for too long, or the
// VM stops, it is rolled back.
func (s *session) awaitInTransaction() bool {
	if err := s.setTransactionDeadline(s.server.TransactionIdleTimeout()); err != nil {
		return false
	}
	err := s.conn.Wait()
	if err != nil && s.isEnding() {
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !s.isExpired() {
		s.tx.fail("the transaction was idle for too long or its VM stops")
		s.lock.Lock()
		err = s.clearDeadline()
		s.lock.Unlock()
		if err == nil {
			err = s.conn.Wait()
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && s.isExpired() && !s.isEnding() {
		return s.awaitAfterRevocation()
	}
	if err != nil {
		return false
	}
	return s.conn.SetReadDeadline(time.Time{}) == nil
}

// closeIfIdle closes the session if it is idle.
func (s *session) closeIfIdle() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.idle {
		// The session's goroutine reports a lost connection.
		_ = s.conn.SetReadDeadline(time.Now().Add(closeGrace))
	}
}

// closeGrace is how long a session that is being closed still accepts a query
// that may be on its way.
const closeGrace = 20 * time.Millisecond

// closeWhenIdle closes the session as soon as it is idle.
func (s *session) closeWhenIdle() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closing = true
	if s.idle && s.answered {
		_ = s.conn.SetReadDeadline(time.Now().Add(closeGrace))
	}
}

// abortTransaction has the session's goroutine roll back the open
// transaction, and interrupts it if it waits for the caller. A session
// without a transaction that waits for the caller is closed.
func (s *session) abortTransaction() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.aborted = true
	_ = s.conn.SetReadDeadline(expiredDeadline)
}

func (s *session) isAborted() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.aborted
}

// close rolls back an open transaction and closes the connection.
func (s *session) close() {
	if s.tx != nil {
		s.tx.rollBack()
	}
	// The session is over, whether or not closing succeeds.
	_ = s.conn.Close()
}

// answer handles one query, sends the reply, and reports whether the session
// continues.
func (s *session) answer(ctx context.Context, q query.Query) bool {
	s.begun(q)
	r := s.handle(ctx, q)
	if !s.done() {
		s.server.Log.Info("request was answered without its target's answer, since the VM stops", "request", q.ID)
		return false
	}
	if err := s.conn.Reply(r); err != nil {
		s.server.Metrics.recordBrokenSession(err)
		return false
	}
	s.lock.Lock()
	s.answered = true
	s.lock.Unlock()
	return !s.endsWith(r)
}

// endsWith reports whether the session ends with a reply: its route was removed, or its
// key was revoked. A target's failure of the same code does not end it.
func (s *session) endsWith(r query.Reply) bool {
	if r.Failure == nil {
		return false
	}
	switch r.Failure.Code {
	case query.CodeUnknownDatabase:
		return true
	case query.CodeAuthenticationFailed:
		return s.isRevoked()
	default:
		return false
	}
}

func (s *session) handle(ctx context.Context, q query.Query) query.Reply {
	if s.tx != nil {
		return s.handleInTransaction(ctx, q)
	}
	if s.isRevoked() {
		return s.failure(query.CodeAuthenticationFailed, keyRevoked)
	}
	switch op := q.Operation.(type) {
	case query.Begin:
		return s.begin(op)
	case query.Commit, query.Rollback:
		return s.failure(query.CodeMalformed, "no transaction is open")
	case query.Read, query.Write, query.Execute:
		return s.runSingle(ctx, q)
	default:
		return s.handleLocal(q)
	}
}

// handleLocal handles a query that concerns only the session itself and needs
// no target.
func (s *session) handleLocal(q query.Query) query.Reply {
	switch op := q.Operation.(type) {
	case query.Set:
		s.state.Set(op.Name, op.Value)
	case query.Prepare:
		s.state.Prepare(op.Name, op.Plan)
	case query.Deallocate:
		if !s.state.Deallocate(op.Name) {
			return s.failure(query.CodeNoStatement, op.Name)
		}
	case query.Malformed:
		return s.failure(query.CodeMalformed, op.Reason)
	default:
		return s.failure(query.CodeMalformed, "the statement is not allowed here")
	}
	return query.Reply{State: s.transactionState(), Position: s.floor}
}

// transactionState returns the transaction state that the caller sees.
func (s *session) transactionState() query.State {
	if s.tx == nil {
		return query.StateIdle
	}
	if s.tx.failed {
		return query.StateFailed
	}
	return query.StateOpen
}

func (s *session) failure(c query.Code, detail string) query.Reply {
	return query.Reply{Failure: &query.Failure{Code: c, Detail: detail}, State: s.transactionState(), Position: s.floor}
}

// statement is a query that runs on a target, with what is needed to dispatch
// it.
type statement struct {
	query query.Query
	plan  *query.Plan
	write bool
	// arguments is the text after the name of a prepared statement.
	arguments string
}

// classify returns the statement of a query, or a failure reply if the query
// names an unknown prepared statement.
func (s *session) classify(q query.Query) (statement, *query.Reply) {
	st := statement{query: q}
	switch op := q.Operation.(type) {
	case query.Write:
		st.write = true
	case query.Execute:
		p, ok := s.state.Plan(op.Name)
		if !ok {
			r := s.failure(query.CodeNoStatement, op.Name)
			return st, &r
		}
		st.plan = &p
		st.write = p.Access == query.AccessWrite
		st.arguments = op.Arguments
	}
	return st, nil
}

// defaultTransactionIdle is the idle timeout of transactions before the first
// configuration arrives.
const defaultTransactionIdle = 3 * time.Second

// TransactionIdleTimeout returns the idle timeout of transactions in the
// configuration in force.
func (srv *Server) TransactionIdleTimeout() time.Duration {
	c := srv.Catalog.Current()
	if c == nil || c.TransactionIdleTimeout <= 0 {
		return defaultTransactionIdle
	}
	return c.TransactionIdleTimeout
}
