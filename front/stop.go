package front

import (
	"context"
	"sync"

	"amaranthsill/query"
)

// EndWaiting ends the sessions that wait for their caller, and refuses the statements that
// wait for a target. Those that were sent to a target go on.
func (srv *Server) EndWaiting() {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	for s := range srv.sessions {
		s.endWaiting()
	}
}

// CutOff answers the queries that are still in flight with a failure that says whether they
// may have taken effect, and closes their sessions. It returns once the answers are sent or
// the context ends.
func (srv *Server) CutOff(ctx context.Context) {
	sent := sync.WaitGroup{}
	srv.lock.Lock()
	for s := range srv.sessions {
		sent.Go(s.cutOff)
	}
	srv.lock.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		sent.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// endWaiting closes the session if it waits for the caller, and ends the wait of a
// statement for a target.
func (s *session) endWaiting() {
	s.stopWaiting()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ending = true
	if !s.running {
		// The session's goroutine reports a lost connection.
		_ = s.conn.SetReadDeadline(expiredDeadline)
	}
}

func (s *session) isEnding() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.ending
}

// begun records that a query is in flight.
func (s *session) begun(q query.Query) {
	f := inFlight{running: true, code: s.cutOffCode(q), state: query.StateIdle, position: s.floor}
	if _, commits := q.Operation.(query.Commit); s.tx != nil && !commits {
		f.state = query.StateFailed
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.inFlight = f
}

// done records that the query in flight has an answer. It returns false if cutOff has
// answered it.
func (s *session) done() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	running := s.running
	s.running = false
	return running
}

// cutOffCode returns the failure that is answered to a query if the VM has to exit while it
// runs. A transaction is rolled back when the VM's connection to its target closes, unless
// its commit was sent.
func (s *session) cutOffCode(q query.Query) query.Code {
	writes := false
	switch op := q.Operation.(type) {
	case query.Write:
		writes = true
	case query.Execute:
		p, ok := s.state.Plan(op.Name)
		writes = ok && p.Access == query.AccessWrite
	case query.Commit:
		writes = s.tx != nil && s.tx.wrote
	}
	if writes {
		return query.CodeInDoubt
	}
	return query.CodeAborted
}

// cutOff answers the query in flight without the answer of its target, and closes the
// session. Without a query in flight it does nothing.
func (s *session) cutOff() {
	s.lock.Lock()
	f := s.inFlight
	s.running = false
	s.lock.Unlock()
	if !f.running {
		return
	}
	failure := &query.Failure{Code: f.code, Detail: "the VM stops before the target has answered"}
	if err := s.conn.Reply(query.Reply{Failure: failure, State: f.state, Position: f.position}); err != nil {
		s.server.Metrics.recordBrokenSession(err)
	}
	// The session is over, whether or not closing succeeds.
	_ = s.conn.Close()
}
