// Package standin has small stand-ins for the outside systems: a target that
// speaks PostgreSQL's protocol over an in-memory store, and the platform's
// key-value service over HTTP. They serve tests and trying out; they keep
// nothing.
//
// # Usage
//
//	t := &standin.Target{Address: "127.0.0.1:7001", Connections: 20, Slots: 3}
//	err := t.Run(ctx)
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// controlParameter marks a connection for control calls. Such connections do
// not count towards the limit.
const controlParameter = "group.control"

// Target is a stand-in database server. Set the exported fields before Run.
type Target struct {
	// Address is where the target listens; it also names it to its replicas.
	Address string
	// Connections is the most callers' connections at a time.
	Connections int
	// Slots is how many statements run at a time.
	Slots int
	// Dial is how long a new connection takes.
	Dial time.Duration
	// Lag is how long entries wait on a replica before reads see them.
	Lag time.Duration

	begun time.Time
	slots chan struct{}

	lock    sync.Mutex
	replica *replica.Replica
	changed chan struct{}
	open    int
	cut     map[string]bool
	silent  time.Time
}

// Run serves until the context ends. It returns the error that stopped the
// listener, if any.
func (t *Target) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", t.Address)
	if err != nil {
		return fmt.Errorf("listen for target: %w", err)
	}
	t.begun = time.Now()
	t.slots = make(chan struct{}, t.Slots)
	t.replica = replica.New(t.Address)
	t.changed = make(chan struct{})
	t.cut = map[string]bool{}
	go t.apply(ctx)
	go t.pull(ctx)
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept connection: %w", err)
		}
		go t.serve(ctx, c)
	}
}

func (t *Target) now() time.Duration { return time.Since(t.begun) }

// signal wakes everyone who waits for the replica to change. The lock is
// held.
func (t *Target) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// apply makes received entries visible once they have lagged enough.
func (t *Target) apply(ctx context.Context) {
	const step = time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(step)
		t.lock.Lock()
		before := t.replica.Applied()
		t.replica.Apply(t.now(), t.Lag)
		if t.replica.Applied() != before {
			t.signal()
		}
		t.lock.Unlock()
	}
}

// waitUntil waits until the condition holds, or the time is over. The
// condition is called with the lock held.
func (t *Target) waitUntil(ctx context.Context, limit time.Duration, done func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		t.lock.Lock()
		changed := t.changed
		ok := done()
		t.lock.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// errFull reports that the connection limit is reached.
var errFull = errors.New("too many connections")

func (t *Target) admit(control bool) error {
	if control {
		return nil
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.open >= t.Connections {
		return errFull
	}
	t.open++
	return nil
}

func (t *Target) leave(control bool) {
	if control {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.open--
}

func (t *Target) serve(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	b := pgproto3.NewBackend(c, c)
	m, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	start, ok := m.(*pgproto3.StartupMessage)
	if !ok {
		return
	}
	control := start.Parameters[controlParameter] != ""
	time.Sleep(t.Dial)
	if err := t.admit(control); err != nil {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: err.Error()})
		_ = b.Flush()
		return
	}
	defer t.leave(control)
	s := &connection{target: t, backend: b, born: time.Now(), control: control, statements: map[string]string{}}
	s.run(ctx)
}

// status returns the replica's own account. The lock is held.
func (t *Target) status() group.Status { return t.replica.Status(t.now()) }

// leads reports whether the target is the primary and has not been stopped.
func (t *Target) leads() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.replica.Role() == group.RolePrimary
}
