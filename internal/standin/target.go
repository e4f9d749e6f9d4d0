// Package standin simulates the systems that the proxy depends on, for tests and
// demonstrations: a target that speaks PostgreSQL's protocol over a replicated
// in-memory store, and the platform's key-value service over HTTP. All data is lost
// when they stop.
//
// They run in real time, with TCP, for the tests of packages entry and submission and
// for the command standin. Package site does the same for the platform's line protocol.
//
// # Usage
//
//	t := &standin.Target{Address: "127.0.0.1:7001", ConnectionLimit: 20, Slots: 3}
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

// controlParameter is the startup parameter of connections for control calls,
// which do not count towards the connection limit.
const controlParameter = "group.control"

// Target is a simulated database server. Set the exported fields before Run.
type Target struct {
	// Address is the TCP address on which the target listens. It is also the name under
	// which its replicas follow it.
	Address string
	// ConnectionLimit is the most connections at a time, without those for
	// control calls.
	ConnectionLimit int
	// Slots is the number of statements that run at the same time; further ones wait.
	Slots int
	// DialDelay is the delay before the answer to a startup message.
	DialDelay time.Duration
	// Lag is the time between the arrival of a log entry at a replica and its
	// visibility to reads.
	Lag time.Duration

	startedAt time.Time
	slots     chan struct{}

	lock    sync.Mutex
	replica *replica.Replica
	// changed is closed and replaced when the replica changes.
	changed         chan struct{}
	openConnections int
	// blockedPrimaries are the addresses of primaries that fault_cut keeps the target
	// from replicating.
	blockedPrimaries map[string]bool
	// silencedAt is the time of the last fault_silence. Connections opened before it
	// are not answered.
	silencedAt time.Time
}

// Run listens on Address and serves connections until the context ends. Its error is
// that of listening or accepting; nil if the context ended.
func (t *Target) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", t.Address)
	if err != nil {
		return fmt.Errorf("listen for target: %w", err)
	}
	t.startedAt = time.Now()
	t.slots = make(chan struct{}, t.Slots)
	t.replica = replica.New(t.Address)
	t.changed = make(chan struct{})
	t.blockedPrimaries = map[string]bool{}
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

// uptime is the clock of the replica.
func (t *Target) uptime() time.Duration { return time.Since(t.startedAt) }

// notifyChanged wakes the goroutines that wait for the replica to change. The lock is
// held.
func (t *Target) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// apply makes received entries visible to reads once they are older than Lag.
func (t *Target) apply(ctx context.Context) {
	const interval = time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(interval)
		t.lock.Lock()
		before := t.replica.Applied()
		t.replica.Apply(t.uptime(), t.Lag)
		if t.replica.Applied() != before {
			t.notifyChanged()
		}
		t.lock.Unlock()
	}
}

// waitUntil waits until the condition holds, the timeout expires or the context ends.
// The condition is called with the lock held.
func (t *Target) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.lock.Lock()
		changed := t.changed
		done := condition()
		t.lock.Unlock()
		if done {
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

// errTooManyConnections reports that ConnectionLimit connections are open.
var errTooManyConnections = errors.New("too many connections")

func (t *Target) admit(control bool) error {
	if control {
		return nil
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.openConnections >= t.ConnectionLimit {
		return errTooManyConnections
	}
	t.openConnections++
	return nil
}

func (t *Target) release(control bool) {
	if control {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.openConnections--
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
	startup, ok := m.(*pgproto3.StartupMessage)
	if !ok {
		return
	}
	control := startup.Parameters[controlParameter] != ""
	time.Sleep(t.DialDelay)
	if err := t.admit(control); err != nil {
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: err.Error()})
		_ = b.Flush()
		return
	}
	defer t.release(control)
	s := &connection{target: t, backend: b, openedAt: time.Now(), control: control, statements: map[string]string{}}
	s.run(ctx)
}

// status returns the replica's status. The lock is held.
func (t *Target) status() group.Status { return t.replica.Status(t.uptime()) }

// isPrimary reports whether the target considers itself primary, or did so when it
// stopped.
func (t *Target) isPrimary() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.replica.Role() == group.RolePrimary
}
