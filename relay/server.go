package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/internal/socket"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// The times of a holder.
const (
	// greetLimit bounds the time to a link's first message.
	greetLimit = 2 * time.Second
	// writeLimit bounds the writing of one answer.
	writeLimit = 2 * time.Second
	// waitLimit is how long an order waits for a connection while the target is
	// at work for others; the VM that sent it then decides anew.
	waitLimit = 150 * time.Millisecond
	// relayPriority is that of routes which are neither the most urgent nor
	// the least; the VM that sends an order has put its own in order.
	relayPriority = 1
)

// Server serves links to targets on a holder. Set the exported fields before
// Serve.
type Server struct {
	// Group returns the pool of a group whose connections this VM holds.
	Group func(name string) (*pool.Group, bool)
	// TransactionIdle returns how long a caller's transaction may rest.
	TransactionIdle func() time.Duration
	// Now is a clock that counts suspended time.
	Now func() time.Duration
	Log logr.Logger

	socket.Acceptor
	lock     sync.Mutex
	relays   map[*relay]bool
	stopping bool
}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if err := s.Accept(ctx, l, s.Log, func(c net.Conn) { s.serve(ctx, c) }); err != nil {
		return fmt.Errorf("accept links: %w", err)
	}
	return nil
}

// Drain ends links between their orders and transactions, and returns once all
// have ended or the context has.
func (s *Server) Drain(ctx context.Context) {
	s.lock.Lock()
	s.stopping = true
	for r := range s.relays {
		r.endIdle()
	}
	s.lock.Unlock()
	s.Await(ctx)
}

func (s *Server) isStopping() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.stopping
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	w := bufio.NewWriterSize(conn, linkBuffer)
	r := &relay{
		server: s, conn: conn, writer: w,
		encoder: gob.NewEncoder(w), decoder: gob.NewDecoder(bufio.NewReaderSize(conn, linkBuffer)),
	}
	// A connection that fails to close is gone as well.
	defer func() { _ = conn.Close() }()
	if err := r.greet(); err != nil {
		s.Log.V(1).Info("link was not opened", "from", conn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	s.add(r)
	defer s.remove(r)
	err := r.run(ctx)
	if err != nil && !errors.Is(err, io.EOF) {
		s.Log.V(1).Info("link ended", "from", conn.RemoteAddr().String(), "target", r.hello.Target, "reason", err.Error())
	}
}

func (s *Server) add(r *relay) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.relays == nil {
		s.relays = map[*relay]bool{}
	}
	s.relays[r] = true
}

func (s *Server) remove(r *relay) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.relays, r)
}

// admit returns the pool that serves a link, or why there is none. A greeting
// without a target only asks whether the holder runs.
func (s *Server) admit(h hello) (*pool.Group, query.Reply) {
	if h.Target == "" {
		return nil, query.Reply{}
	}
	if s.isStopping() {
		return nil, busy("holder stops", query.StateIdle)
	}
	g, ok := s.Group(h.Group)
	if !ok {
		return nil, busy("no connections of this group are held here", query.StateIdle)
	}
	if _, known := g.Target(h.Target); !known || g.Health(h.Target).Failing > 0 {
		return nil, busy("target is not reached from here", query.StateIdle)
	}
	return g, query.Reply{Position: g.Position(h.Target)}
}
