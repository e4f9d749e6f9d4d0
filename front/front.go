// Package front serves callers' sessions. It handles session variables and
// prepared statements itself, and runs statements and transactions on targets
// through the groups' connection pools.
//
// # Usage
//
//	f := &front.Front{Catalog: c, Leaders: grants, Group: groups, Wire: newWire, Now: clock.Boot, Meter: m, Log: log}
//	err := f.Serve(ctx, listener)
package front

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/catalog"
	"amaranthsill/internal/socket"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// startTimeout limits the time from accepting a connection to its start-up
// message.
const startTimeout = 10 * time.Second

// Wire is a caller's connection in one wire protocol. Its methods return an
// error after the connection is lost or the caller has violated the protocol.
type Wire interface {
	// Start reads the start-up message.
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
	// Holds reports whether the target is confirmed as the group's leader now.
	Holds(group, target string) bool
	// Await waits until the target is confirmed as the group's leader. It fails
	// once the target does not lead any more, or at the deadline until, which is
	// a reading of the clock Front.Now.
	Await(ctx context.Context, group, target string, until time.Duration) error
}

// Front serves the callers of one VM. Set the exported fields before the call
// of Serve.
type Front struct {
	Catalog *catalog.Catalog
	Leaders Leaders
	// Group returns the pool of a group that is in use.
	Group func(name string) (*pool.Group, bool)
	// Wire wraps an accepted connection.
	Wire func(net.Conn) Wire
	// Now is a monotonic clock that includes the time for which the machine was
	// suspended.
	Now   func() time.Duration
	Meter *Meter
	Log   logr.Logger

	socket.Acceptor
	lock        sync.Mutex
	sessions    map[*session]bool
	readIndexes map[*pool.Group]*readIndex
	draining    bool
}

// Serve accepts callers until the listener is closed.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	if err := f.Accept(ctx, l, f.Log, func(c net.Conn) { f.serve(ctx, c) }); err != nil {
		return fmt.Errorf("accept callers: %w", err)
	}
	return nil
}

func (f *Front) serve(ctx context.Context, conn net.Conn) {
	s := &session{front: f, wire: f.Wire(conn)}
	f.addSession(s)
	defer f.removeSession(s)
	defer s.close()
	s.run(ctx)
}

func (f *Front) addSession(s *session) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.sessions == nil {
		f.sessions = map[*session]bool{}
	}
	f.sessions[s] = true
	f.Meter.sessions.Inc()
}

func (f *Front) removeSession(s *session) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.sessions, s)
	f.Meter.sessions.Dec()
}

// Sessions returns the number of open sessions.
func (f *Front) Sessions() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.sessions)
}

// Drain ends all sessions, each once it has no open transaction and no query
// in flight. It returns once all have ended or ctx is done.
func (f *Front) Drain(ctx context.Context) {
	f.lock.Lock()
	f.draining = true
	for s := range f.sessions {
		s.closeIfIdle()
	}
	f.lock.Unlock()
	f.Await(ctx)
}

// Shed ends the sessions that are open now, each once it has no open
// transaction and no query in flight. New sessions are still accepted.
func (f *Front) Shed() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for s := range f.sessions {
		s.closeWhenIdle()
	}
}

// Cut rolls back all open transactions. Their callers get an error that
// guarantees that nothing of the transaction was kept. Sessions that wait for
// a caller outside a transaction are closed.
func (f *Front) Cut() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for s := range f.sessions {
		s.abortTransaction()
	}
}

func (f *Front) isDraining() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.draining
}
