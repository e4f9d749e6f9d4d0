package front

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/query"
	product "amaranthsill/session"
)

// session is one caller's connection. Its goroutine alone touches it, but for
// the fields under the lock.
type session struct {
	front    *Front
	wire     Wire
	database string
	state    product.State
	// floor is the position of the session's last commit, and floorAt when it
	// was acknowledged.
	floor   query.Position
	floorAt time.Duration
	tx      *transaction

	lock sync.Mutex
	// waiting reports that the session waits for the caller between
	// operations, so that it may be ended.
	waiting bool
	// dropped reports that an open transaction must end.
	dropped bool
	// leaving reports that the session is to end between two operations.
	leaving bool
	// served reports that the session has had an answer; a new session may
	// have a query on its way.
	served bool
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// run serves the session until the caller, an error or a drain ends it.
func (s *session) run(ctx context.Context) {
	if !s.start() {
		return
	}
	for s.await() {
		q, more, err := s.wire.Next()
		if err != nil {
			s.front.Meter.wire(err)
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
	if err := s.wire.SetReadDeadline(time.Now().Add(startLimit)); err != nil {
		return false
	}
	database, _, err := s.wire.Start()
	if err != nil {
		s.front.Meter.wire(err)
		s.reject(query.CodeMalformed, "a session starts with a start-up message")
		return false
	}
	s.database = database
	if _, ok := s.front.Catalog.Route(database); !ok {
		s.front.Meter.unknown.Inc()
		s.reject(query.CodeUnknownDatabase, "no route has this database name")
		return false
	}
	return s.wire.Ready(query.StateIdle, query.Position{}) == nil
}

func (s *session) reject(c query.Code, detail string) {
	// The caller may be gone already.
	_ = s.wire.Reject(query.Failure{Code: c, Detail: detail})
}

// await waits for the caller's next message. It reports whether one came.
func (s *session) await() bool {
	if s.tx != nil && s.tx.open() {
		return s.awaitInside()
	}
	if !s.setWaiting() {
		return false
	}
	err := s.wire.Wait()
	s.lock.Lock()
	s.waiting = false
	s.lock.Unlock()
	if err != nil {
		return false
	}
	return s.wire.SetReadDeadline(time.Time{}) == nil
}

// setWaiting notes that the session may be ended; false if it must be.
func (s *session) setWaiting() bool {
	draining := s.front.isDraining()
	s.lock.Lock()
	defer s.lock.Unlock()
	if (draining || s.leaving) && s.tx == nil && s.served {
		return false
	}
	s.waiting = s.tx == nil
	return s.wire.SetReadDeadline(time.Time{}) == nil
}

// awaitInside waits while a transaction is open, which may be idle only for a
// while.
func (s *session) awaitInside() bool {
	idle := s.front.TransactionIdle()
	if s.isDropped() {
		idle = 0
	}
	if err := s.wire.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return false
	}
	err := s.wire.Wait()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.tx.fail("the transaction was idle for too long or its VM stops")
		err = s.wire.SetReadDeadline(time.Time{})
		if err == nil {
			err = s.wire.Wait()
		}
	}
	if err != nil {
		return false
	}
	return s.wire.SetReadDeadline(time.Time{}) == nil
}

// wakeIdle ends the session if it is between operations.
func (s *session) wakeIdle() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.waiting {
		// The session's goroutine reports a connection that is gone.
		_ = s.wire.SetReadDeadline(time.Now().Add(lastCall))
	}
}

// lastCall is how long a session that is ended waits for a query that may be
// on its way already.
const lastCall = 20 * time.Millisecond

// shed ends the session between two operations.
func (s *session) shed() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.leaving = true
	if s.waiting && s.served {
		_ = s.wire.SetReadDeadline(time.Now().Add(lastCall))
	}
}

// cut ends the session's open transaction.
func (s *session) cut() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.dropped = true
	_ = s.wire.SetReadDeadline(past)
}

func (s *session) isDropped() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.dropped
}

// end rolls back what is open and closes the connection.
func (s *session) end() {
	if s.tx != nil {
		s.tx.abandon()
	}
	// A connection that fails to close is gone as well.
	_ = s.wire.Close()
}

// answer handles one query and reports whether the session goes on.
func (s *session) answer(ctx context.Context, q query.Query) bool {
	r := s.handle(ctx, q)
	if err := s.wire.Reply(r); err != nil {
		s.front.Meter.wire(err)
		return false
	}
	s.lock.Lock()
	s.served = true
	s.lock.Unlock()
	return r.Failure == nil || r.Failure.Code != query.CodeUnknownDatabase
}

func (s *session) handle(ctx context.Context, q query.Query) query.Reply {
	if s.tx != nil {
		return s.inside(ctx, q)
	}
	switch op := q.Operation.(type) {
	case query.Begin:
		return s.begin(op)
	case query.Commit, query.Rollback:
		return s.failure(query.CodeMalformed, "no transaction is open")
	case query.Read, query.Write, query.Execute:
		return s.single(ctx, q)
	default:
		return s.local(q)
	}
}

// local answers what concerns the session alone.
func (s *session) local(q query.Query) query.Reply {
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
	return query.Reply{State: s.now(), Position: s.floor}
}

// now returns the state that the caller sees.
func (s *session) now() query.State {
	if s.tx == nil {
		return query.StateIdle
	}
	if s.tx.failed {
		return query.StateFailed
	}
	return query.StateOpen
}

func (s *session) failure(c query.Code, detail string) query.Reply {
	return query.Reply{Failure: &query.Failure{Code: c, Detail: detail}, State: s.now(), Position: s.floor}
}

// statement is what a query needs of a target.
type statement struct {
	query query.Query
	plan  *query.Plan
	write bool
	// arguments follow the name of a prepared statement.
	arguments string
}

// classify returns what a query needs, or a reply if it cannot run.
func (s *session) classify(q query.Query) (statement, *query.Reply) {
	n := statement{query: q}
	switch op := q.Operation.(type) {
	case query.Write:
		n.write = true
	case query.Execute:
		p, ok := s.state.Plan(op.Name)
		if !ok {
			r := s.failure(query.CodeNoStatement, op.Name)
			return n, &r
		}
		n.plan = &p
		n.write = p.Access == query.AccessWrite
		n.arguments = op.Arguments
	}
	return n, nil
}

// route returns the session's route as the configuration in force has it.
func (s *session) route() (*catalog.Route, bool) {
	return s.front.Catalog.Route(s.database)
}

// defaultIdle applies before the first configuration.
const defaultIdle = 3 * time.Second

// TransactionIdle returns how long a transaction may rest, as the configuration
// in force has it.
func (f *Front) TransactionIdle() time.Duration {
	c := f.Catalog.Current()
	if c == nil || c.TransactionIdle <= 0 {
		return defaultIdle
	}
	return c.TransactionIdle
}
