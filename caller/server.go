// Package caller serves applications over PostgreSQL's protocol: it takes
// their requests to the kernel and gives them the kernel's answers.
//
// A caller names the database group as its database. It may give its
// session's token and a default kind as start-up parameters, and gets the
// token back as a reported parameter after each answer.
//
// # Usage
//
//	s := &caller.Server{Address: "127.0.0.1:6432", Kernel: k, Log: log}
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
	kernel.Register("caller", func(context.Context, *kernel.Kernel, kernel.Parts) (kernel.Driver, error) {
		return answerer{}, nil
	})
}

// answerer hands the kernel's endings to the sessions that wait for them.
type answerer struct{}

// Carry implements kernel.Driver.
func (answerer) Carry(_ context.Context, g *kernel.Group, a group.Action) bool {
	e, ok := a.(group.Answer)
	if ok {
		g.Answer(e.Request, e.Ending)
	}
	return ok
}

// Server accepts callers. Set the exported fields before Run.
type Server struct {
	// Address is where callers connect.
	Address string
	// Kernel answers requests.
	Kernel *kernel.Kernel
	// Log receives what callers did wrong.
	Log logr.Logger
	// Callers bounds the connections at a time.
	Callers int
	// Grace bounds how long a stop waits for requests under way.
	Grace time.Duration

	lock     sync.Mutex
	sessions map[uint32]*session
	nextID   uint32
	stopping chan struct{}
	done     sync.WaitGroup
}

// Run accepts callers until the context ends, then lets requests under way
// finish. It returns the error that stopped the listener, if any.
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
	s.wakeAll()
	s.drain()
	return err
}

func (s *Server) accept(ctx context.Context, l net.Listener) error {
	// A caller's request outlives the context that stops the listener.
	live := context.WithoutCancel(ctx)
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept caller: %w", err)
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			s.serve(live, c)
		}()
	}
}

// drain waits for the sessions to end, at most for Grace.
func (s *Server) drain() {
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(s.Grace):
		s.Log.Info("callers' requests did not end in time; closing their connections", "grace", s.Grace.String())
		s.closeAll()
		<-ended
	}
}

// wakeAll ends the reads of sessions that wait for their callers, so that they
// see that the VM stops.
func (s *Server) wakeAll() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.sessions {
		// A connection that failed shows it to its session.
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

func (s *Server) closeAll() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
}

// Sessions returns the number of callers connected.
func (s *Server) Sessions() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.sessions)
}

// maxMessage bounds one message of a caller.
const maxMessage = 16 << 20

// handshakeLimit bounds the time from connecting to the start-up message.
const handshakeLimit = 10 * time.Second

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	b.SetMaxBodyLen(maxMessage)
	_ = c.SetDeadline(time.Now().Add(handshakeLimit))
	start := s.handshake(c, b)
	if start == nil {
		return
	}
	if c.SetDeadline(time.Time{}) != nil {
		return
	}
	n := &session{server: s, conn: c, backend: b}
	if err := n.begin(start); err != nil {
		n.fatal(err)
		return
	}
	defer s.forget(n)
	n.run(ctx)
}

// handshake answers requests for encryption and cancellation, and returns
// the start-up message, or nil.
func (s *Server) handshake(c net.Conn, b *pgproto3.Backend) *pgproto3.StartupMessage {
	const offers = 3
	for range offers {
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

// errCallers reports that the limit on callers is reached.
var errCallers = errors.New("too many callers on this VM")

func (s *Server) register(n *session) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.sessions) >= s.Callers {
		return fmt.Errorf("limit of %d: %w", s.Callers, errCallers)
	}
	s.nextID++
	n.process = s.nextID
	n.secret = make([]byte, 4)
	binary.BigEndian.PutUint32(n.secret, randomUint32())
	s.sessions[n.process] = n
	return nil
}

func randomUint32() uint32 {
	b := [4]byte{}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

func (s *Server) forget(n *session) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.sessions, n.process)
}
