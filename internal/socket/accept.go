package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// ErrPanic reports that the function that serves a connection panicked.
var ErrPanic = errors.New("panic while a connection was served")

// acceptRetryDelay is the pause after a failed accept, such as when the process has no
// free file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Acceptor accepts connections and serves each in a goroutine of its own. It is meant to
// be embedded; the zero value is ready for use.
type Acceptor struct {
	lock sync.Mutex
	// open is the number of connections being served, and drained is closed when
	// it becomes zero; nil if nobody waits for that.
	open    int
	drained chan struct{}
}

// Accept calls serve for each connection until the listener is closed, and then returns
// nil. A failed accept, such as without free file descriptors, is logged and retried
// after acceptRetryDelay; the error is that of a context that ends during this pause. A
// panic of serve is logged, and closes the connection.
func (a *Acceptor) Accept(ctx context.Context, l net.Listener, log logr.Logger, serve func(net.Conn)) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			a.begin()
			go func() {
				defer a.end()
				defer CloseAfterPanic(conn, log)
				serve(conn)
			}()
			continue
		}
		log.Error(err, "failed to accept a connection; retrying", "address", l.Addr().String())
		select {
		case <-time.After(acceptRetryDelay):
		case <-ctx.Done():
			return fmt.Errorf("accept connections: %w", ctx.Err())
		}
	}
}

// CloseAfterPanic closes the connection if the function that defers this call panics, and
// ends the panic.
func CloseAfterPanic(c net.Conn, log logr.Logger) {
	reason := recover()
	if reason == nil {
		return
	}
	log.Error(ErrPanic, "connection is closed", "peer", c.RemoteAddr().String(), "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
	if err := c.Close(); err != nil {
		log.V(1).Info("connection was closed already", "reason", err.Error())
	}
}

// Await waits until serve has returned for all accepted connections, or the context ends.
// Connections may be accepted meanwhile, which a sync.WaitGroup would not allow.
func (a *Acceptor) Await(ctx context.Context) {
	a.lock.Lock()
	if a.open == 0 {
		a.lock.Unlock()
		return
	}
	if a.drained == nil {
		a.drained = make(chan struct{})
	}
	drained := a.drained
	a.lock.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

func (a *Acceptor) begin() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.open++
}

func (a *Acceptor) end() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.open--
	if a.open == 0 && a.drained != nil {
		close(a.drained)
		a.drained = nil
	}
}
