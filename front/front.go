// Package front serves callers' sessions. It handles session variables and
// prepared statements itself, and runs statements and transactions on targets
// through the groups' connection pools.
//
// # Usage
//
//	s := &front.Server{Catalog: c, Leaders: grants, Group: groups, NewCallerConn: newConn, Now: clock.SinceBoot, Metrics: m, Log: log}
//	err := s.Serve(ctx, listener)
package front

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/internal/socket"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// startTimeout limits the time from accepting a connection to its startup
// message.
const startTimeout = 10 * time.Second

// CallerConn is a caller's connection in one wire protocol. Its methods return an
// error after the connection is lost or the caller has violated the protocol.
type CallerConn interface {
	// Start reads the startup message.
	Start() (database, user string, err error)
	// Next reads the next query. The second result is false after the caller has
	// ended the session.
	Next() (query.Query, bool, error)
	// Wait blocks until the first byte of the next message arrives.
	Wait() error
	// Ready tells the caller that the session accepts queries, in the given
	// transaction state and at the given log position.
	Ready(query.State, query.Position) error
	// Reply sends a complete reply.
	Reply(query.Reply) error
	// Reject refuses a session that has not started.
	Reject(query.Failure) error
	// SetReadDeadline sets the deadline of Start, Next and Wait. The zero time
	// means none.
	SetReadDeadline(time.Time) error
	// Close closes the connection.
	Close() error
}

// Leaders confirms which target leads a group.
type Leaders interface {
	// Leadership returns a target's present leadership of the group, zero if it does not
	// lead it as far as the VM knows, and whether that is confirmed now.
	Leadership(group, target string) (pool.Leadership, bool)
	// AwaitLeadership waits until a leadership of the group is confirmed. It fails
	// once that is over, or at the deadline until, which is a reading of the clock
	// Server.Now.
	AwaitLeadership(ctx context.Context, group string, l pool.Leadership, until time.Duration) error
}

// Limiter admits operations under the customers' limits.
type Limiter interface {
	// Admit takes one operation of a customer. If it is over the customer's limit, the
	// result is false, with the time after which it may be tried again.
	Admit(ctx context.Context, c *customer.Customer) (retry time.Duration, ok bool)
}

// Server serves the callers of one VM. Set the exported fields before the call
// of Serve.
type Server struct {
	Catalog *catalog.Catalog
	Leaders Leaders
	// Group returns the pool of a group that is in use.
	Group func(name string) (*pool.Group, bool)
	// NewCallerConn wraps an accepted connection.
	NewCallerConn func(net.Conn) CallerConn
	// Limits admits operations under the customers' limits; nil if nothing is limited.
	Limits Limiter
	// Current reports whether the configuration in force is known to be the newest. It is
	// asked at the start of each session and operation that needs a key; nil means that
	// it always is.
	Current func() bool
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now     func() time.Duration
	Metrics *Metrics
	Log     logr.Logger

	socket.Acceptor
	lock        sync.Mutex
	sessions    map[*session]bool
	readIndexes map[*pool.Group]*readIndex
	draining    bool
}

// Serve accepts callers until the listener is closed.
func (srv *Server) Serve(ctx context.Context, l net.Listener) error {
	if err := srv.Accept(ctx, l, srv.Log, func(c net.Conn) { srv.serve(ctx, c) }); err != nil {
		return fmt.Errorf("accept callers: %w", err)
	}
	return nil
}

func (srv *Server) serve(ctx context.Context, conn net.Conn) {
	s := &session{server: srv, conn: srv.NewCallerConn(conn)}
	s.waiting, s.stopWaiting = context.WithCancel(ctx)
	defer s.stopWaiting()
	srv.addSession(s)
	defer srv.removeSession(s)
	defer s.close()
	s.run(ctx)
}

func (srv *Server) addSession(s *session) {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	if srv.sessions == nil {
		srv.sessions = map[*session]bool{}
	}
	srv.sessions[s] = true
	srv.Metrics.sessions.Inc()
}

func (srv *Server) removeSession(s *session) {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	delete(srv.sessions, s)
	srv.Metrics.sessions.Dec()
}

// Sessions returns the number of open sessions.
func (srv *Server) Sessions() int {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	return len(srv.sessions)
}

// Drain ends all sessions, each once it has no open transaction and no query
// in flight. It returns once all have ended or ctx is done.
func (srv *Server) Drain(ctx context.Context) {
	srv.lock.Lock()
	srv.draining = true
	for s := range srv.sessions {
		s.closeIfIdle()
	}
	srv.lock.Unlock()
	srv.Await(ctx)
}

// CloseSessions ends the sessions that are open now, each once it has no open
// transaction and no query in flight. New sessions are still accepted.
func (srv *Server) CloseSessions() {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	for s := range srv.sessions {
		s.closeWhenIdle()
	}
}

// AbortTransactions rolls back all open transactions. Their callers get an
// error that guarantees that nothing of the transaction was kept. Sessions that
// wait for a caller outside a transaction are closed.
func (srv *Server) AbortTransactions() {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	for s := range srv.sessions {
		s.abortTransaction()
	}
}

func (srv *Server) isDraining() bool {
	srv.lock.Lock()
	defer srv.lock.Unlock()
	return srv.draining
}
