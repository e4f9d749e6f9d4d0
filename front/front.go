// Package front serves callers' sessions: it answers what concerns the
// session alone, and runs statements and transactions on targets through the
// groups' pools.
//
// # Usage
//
//	f := &front.Front{Catalog: c, Grants: g, Group: groups, Accept: platform.NewSession}
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

// startLimit bounds the time from the opening of a connection to its first
// message.
const startLimit = 10 * time.Second

// Wire is a caller's connection in one wire protocol.
type Wire interface {
	// Start reads how the caller opens the session.
	Start() (database, user string, err error)
	// Next reads the next query; false after the caller ended the session.
	Next() (query.Query, bool, error)
	// Wait returns once a message begins to arrive.
	Wait() error
	// Ready tells the caller that it may go on.
	Ready(query.State, query.Position) error
	// Reply sends a whole answer.
	Reply(query.Reply) error
	// Reject refuses a session that has not started.
	Reject(query.Failure) error
	// SetReadDeadline bounds the reading calls.
	SetReadDeadline(time.Time) error
	// Close ends the connection.
	Close() error
}

// Leaders tells whether a target certainly leads its group.
type Leaders interface {
	Holds(group, target string) bool
	// Await waits until the target certainly leads; it fails once the target
	// does not lead, or the time is over.
	Await(ctx context.Context, group, target string, until time.Duration) error
}

// Front serves callers on one VM. Set the exported fields before Serve.
type Front struct {
	Catalog *catalog.Catalog
	Leaders Leaders
	// Group returns the pool of a group that is in use.
	Group func(name string) (*pool.Group, bool)
	// Wire makes a session's wire from a connection.
	Wire func(net.Conn) Wire
	// Now is a clock that counts suspended time.
	Now   func() time.Duration
	Meter *Meter
	Log   logr.Logger

	socket.Acceptor
	lock     sync.Mutex
	sessions map[*session]bool
	indexes  map[*pool.Group]*index
	draining bool
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
	f.add(s)
	defer f.remove(s)
	defer s.end()
	s.run(ctx)
}

func (f *Front) add(s *session) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.sessions == nil {
		f.sessions = map[*session]bool{}
	}
	f.sessions[s] = true
	f.Meter.sessions.Inc()
}

func (f *Front) remove(s *session) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.sessions, s)
	f.Meter.sessions.Dec()
}

// Sessions returns how many sessions are open.
func (f *Front) Sessions() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.sessions)
}

// Drain ends sessions between their operations, and returns once all have
// ended or the context has.
func (f *Front) Drain(ctx context.Context) {
	f.lock.Lock()
	f.draining = true
	for s := range f.sessions {
		s.wakeIdle()
	}
	f.lock.Unlock()
	f.Await(ctx)
}

// Shed ends the sessions that are open now, each between two operations.
func (f *Front) Shed() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for s := range f.sessions {
		s.shed()
	}
}

// Cut ends the transactions that are still open, as not kept.
func (f *Front) Cut() {
	f.lock.Lock()
	defer f.lock.Unlock()
	for s := range f.sessions {
		s.cut()
	}
}

// isDraining reports whether sessions should end between operations.
func (f *Front) isDraining() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.draining
}
