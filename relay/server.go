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
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/customer"
	"amaranthsill/internal/socket"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// Timeouts and limits of a holder.
const (
	// handshakeTimeout limits the time from accepting a connection to its hello.
	handshakeTimeout = 2 * time.Second
	// writeTimeout limits the writing of one reply.
	writeTimeout = 2 * time.Second
	// maxQueueWait is how long an order waits for a connection while the target
	// is busy. After that the VM that sent it decides anew where to run it.
	maxQueueWait = 150 * time.Millisecond
	// relayPriority is the priority in the holder's queue of relayed orders that
	// name none, neither the highest nor the lowest. The sending VM has ordered its
	// own statements by their routes' priorities before.
	relayPriority = 1
)

// Server accepts links from other VMs on a holder and runs their orders on
// targets. Set the exported fields before the call of Serve.
type Server struct {
	// Group returns the pool of a group if this VM holds the connections to the
	// target.
	Group func(group, target string) (*pool.Group, bool)
	// Customer returns the customer with the name that an order gives, sent under a
	// version of the configuration. It returns nil if this VM's configuration has no
	// customers, and false if the customer does not exist any more. Nil means that
	// there are never any customers.
	Customer func(name string, version uint64) (*customer.Customer, bool)
	// Released reports whether this VM ceased to hold the connections to a target so
	// recently that other VMs may not know. Links that are open are still served
	// then, over a second hop. Nil means that it never did.
	Released func(group, target string) bool
	// Leadership returns a target's present leadership of its group, zero if it does not
	// lead it as far as the VM knows, and whether that is confirmed now.
	Leadership func(group, target string) (pool.Leadership, bool)
	// Refresh returns once the group's pool knows a position that the leader had
	// reached after the call.
	Refresh func(ctx context.Context, g *pool.Group) error
	// TransactionIdleTimeout returns the idle timeout of callers' transactions.
	TransactionIdleTimeout func() time.Duration
	// Now is a monotonic clock that includes the time for which the VM was
	// suspended.
	Now func() time.Duration
	Log logr.Logger

	socket.Acceptor
	// leaving reports that Leave was called.
	leaving atomic.Bool
	// ending reports that EndTransactions was called.
	ending   atomic.Bool
	lock     sync.Mutex
	open     map[drainable]bool
	stopping bool
}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if err := s.Accept(ctx, l, s.Log, func(c net.Conn) { s.serve(ctx, c) }); err != nil {
		return fmt.Errorf("accept links: %w", err)
	}
	return nil
}

// Leave announces with each reply that follows that the server is about to stop, so that
// other VMs turn to the other holders before Drain ends their links.
func (s *Server) Leave() { s.leaving.Store(true) }

// Drain stops the server: it refuses new links, ends each link once no order
// and no transaction is open on it, and returns once all have ended or ctx is
// done.
func (s *Server) Drain(ctx context.Context) {
	s.lock.Lock()
	s.stopping = true
	for r := range s.open {
		r.endIdle()
	}
	s.lock.Unlock()
	s.Await(ctx)
}

// EndTransactions rolls back the open transactions in which no order runs, and those with an
// order in flight once that is done: an order that follows is answered as aborted, since the
// server may stop before its target answers.
func (s *Server) EndTransactions() {
	s.ending.Store(true)
	s.lock.Lock()
	defer s.lock.Unlock()
	for r := range s.open {
		r.endTransactions()
	}
}

func (s *Server) isStopping() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.stopping
}

// serve serves one connection of another VM: a link, or many as streams.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	w, r := bufio.NewWriterSize(conn, linkBuffer), &limitedReader{Reader: bufio.NewReaderSize(conn, linkBuffer)}
	c := &serverConn{server: s, conn: conn, reader: r, writer: w, encoder: gob.NewEncoder(w), decoder: gob.NewDecoder(r)}
	// The connection has ended, whether or not closing succeeds.
	defer func() { _ = conn.Close() }()
	h, err := c.readHello()
	if err == nil && h.Streams {
		err = (&serverTrunk{serverConn: c, streams: map[uint32]*serverStream{}}).serve(ctx)
	} else if err == nil {
		err = (&connLink{serverConn: c, serverLink: serverLink{server: s, hello: h}}).serve(ctx)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.Log.V(1).Info("connection of another VM closed on error", "from", conn.RemoteAddr().String(), "target", h.Target, "reason", err.Error())
	}
}

// drainable is a connection that Drain ends.
type drainable interface {
	// endIdle ends what is open outside orders and transactions.
	endIdle()
	// endTransactions ends the transactions that wait for an order.
	endTransactions()
}

// add registers a connection, so that Drain ends it. It returns false if the server
// is stopping.
func (s *Server) add(r drainable) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.stopping {
		return false
	}
	if s.open == nil {
		s.open = map[drainable]bool{}
	}
	s.open[r] = true
	return true
}

func (s *Server) remove(r drainable) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.open, r)
}

// admit returns the pool of a link and the reply to its hello. The hello names a target,
// but pools are per group: the link acquires connections to its target from the group's
// pool by pool.Need.Target. The pool is nil if the link is refused, or if the hello names
// no target and so only asks whether the holder answers.
func (s *Server) admit(h hello) (*pool.Group, query.Reply) {
	if h.Target == "" {
		return nil, query.Reply{}
	}
	g, ok := s.Group(h.Group, h.Target)
	if !ok {
		return nil, busyReply("no connections to this target are held here", query.StateIdle)
	}
	if _, known := g.Target(h.Target); !known || g.Health(h.Target).FailingFor > 0 {
		return nil, busyReply("target is not reached from here", query.StateIdle)
	}
	if s.isStopping() {
		return nil, busyReply("holder stops", query.StateIdle)
	}
	return g, query.Reply{Position: g.Position(h.Target)}
}
