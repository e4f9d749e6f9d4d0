// Package caller serves callers over PostgreSQL's protocol: it passes their
// requests to the kernel and returns the answers.
//
// The database name in a caller's startup message selects the database group.
// The startup parameters amaranthsill.session and amaranthsill.kind set the
// session's token and its default kind. Whenever the token changes, it is
// reported to the caller as a ParameterStatus before ReadyForQuery.
//
// # Usage
//
//	s := &caller.Server{Address: "127.0.0.1:6432", Kernel: k, Log: log, MaxCallers: 10000, Grace: 30 * time.Second}
//	err := s.Run(ctx)
package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/kernel"
)

func init() {
	kernel.Register("caller", func(context.Context, *kernel.Kernel, kernel.Dependencies) (kernel.Driver, error) {
		return driver{}, nil
	})
}

// driver delivers the endings of requests to the sessions that wait for them.
type driver struct{}

// Perform implements kernel.Driver.
func (driver) Perform(_ context.Context, g *kernel.Group, a group.Action) bool {
	e, ok := a.(group.Answer)
	if ok {
		g.Answer(e.Request, e.Ending)
	}
	return ok
}

// Server accepts callers' connections. Set the exported fields before Run.
type Server struct {
	// Address is the host and port on which the server listens.
	Address string
	// Kernel runs the callers' requests.
	Kernel *kernel.Kernel
	// Log receives a line when a stop takes longer than Grace.
	Log logr.Logger
	// MaxCallers is the maximum number of callers connected at a time.
	MaxCallers int
	// Grace is how long Run waits for requests in flight after its context
	// has ended.
	Grace time.Duration

	lock          sync.Mutex
	sessions      map[uint32]*session
	lastProcessID uint32
	stopping      chan struct{}
	serving       sync.WaitGroup
}

// Run accepts callers until ctx ends, then waits up to Grace for requests in
// flight and closes the remaining connections. It returns the error of opening
// the listener or of accepting a connection, and nil after ctx has ended.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.sessions = map[uint32]*session{}
	s.stopping = make(chan struct{})
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	err = s.accept(ctx, l)
	close(s.stopping)
	s.interruptReads()
	s.drain()
	return err
}

func (s *Server) accept(ctx context.Context, l net.Listener) error {
	// Requests in flight must be able to finish after ctx has stopped the
	// listener.
	sessionCtx := context.WithoutCancel(ctx)
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept caller: %w", err)
		}
		s.serving.Add(1)
		go func() {
			defer s.serving.Done()
			s.serve(sessionCtx, c)
		}()
	}
}

// drain waits until all sessions have ended. After Grace it closes their
// connections.
func (s *Server) drain() {
	allEnded := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(allEnded)
	}()
	select {
	case <-allEnded:
	case <-time.After(s.Grace):
		s.Log.Info("requests in flight did not finish within the grace period; closing the callers' connections", "grace", s.Grace.String())
		s.closeConnections()
		<-allEnded
	}
}

// interruptReads interrupts the pending read of every session, so that idle
// sessions notice that the VM is stopping.
func (s *Server) interruptReads() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.sessions {
		// If this fails, the connection is broken and the session's read
		// fails too.
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// closeConnections closes the connections of all sessions.
func (s *Server) closeConnections() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
}

// Sessions returns the number of connected callers.
func (s *Server) Sessions() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.sessions)
}

// maxMessageBytes limits the body of one message from a caller.
const maxMessageBytes = 16 << 20

// handshakeTimeout limits the time from the connection's start to the startup
// message.
const handshakeTimeout = 10 * time.Second

// serve runs one caller's connection from the handshake to its close.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	b.SetMaxBodyLen(maxMessageBytes)
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	start := s.handshake(c, b)
	if start == nil {
		return
	}
	if c.SetDeadline(time.Time{}) != nil {
		return
	}
	n := &session{server: s, conn: c, backend: b}
	if err := n.begin(start); err != nil {
		n.sendFatal(err)
		return
	}
	defer s.unregister(n)
	n.run(ctx)
}

// handshake declines encryption, carries out a cancel request, and returns the
// startup message. It returns nil if the connection ends or sends anything
// else.
func (s *Server) handshake(c net.Conn, b *pgproto3.Backend) *pgproto3.StartupMessage {
	// A client may ask for GSS encryption and for TLS before its startup
	// message.
	const maxAttempts = 3
	for range maxAttempts {
		m, err := b.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m
		case *pgproto3.CancelRequest:
			s.cancel(m)
			return nil
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return nil
			}
		default:
			return nil
		}
	}
	return nil
}

// cancel cancels the request in flight of the session that the message's
// process ID and secret identify. Any other cancel request is ignored.
func (s *Server) cancel(m *pgproto3.CancelRequest) {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := s.sessions[m.ProcessID]
	if n == nil || string(n.secret) != string(m.SecretKey) {
		return
	}
	select {
	case n.cancelled <- struct{}{}:
	default:
	}
}

// errTooManyCallers means that MaxCallers is reached.
var errTooManyCallers = errors.New("too many callers on this VM")

// register adds a session and gives it its process ID and secret for cancel
// requests. Its error wraps errTooManyCallers.
func (s *Server) register(n *session) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.sessions) >= s.MaxCallers {
		return fmt.Errorf("limit of %d: %w", s.MaxCallers, errTooManyCallers)
	}
	s.lastProcessID++
	n.processID = s.lastProcessID
	n.secret = make([]byte, 4)
	binary.BigEndian.PutUint32(n.secret, randomUint32())
	s.sessions[n.processID] = n
	return nil
}

func randomUint32() uint32 {
	b := [4]byte{}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// unregister removes a session that has ended.
func (s *Server) unregister(n *session) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.sessions, n.processID)
}
