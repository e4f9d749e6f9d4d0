package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// acceptPause is the time between two tries to accept, when descriptors have
// run out.
const acceptPause = 20 * time.Millisecond

// Acceptor serves each connection of a listener in a goroutine of its own. It is
// meant to be embedded; the zero Acceptor is ready for use.
type Acceptor struct {
	wait sync.WaitGroup
}

// Accept hands connections to serve until the listener is closed. A try that
// fails, as when descriptors have run out, is logged and repeated after a pause.
func (a *Acceptor) Accept(ctx context.Context, l net.Listener, log logr.Logger, serve func(net.Conn)) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			a.wait.Go(func() { serve(conn) })
			continue
		}
		log.Error(err, "accepting a connection failed", "address", l.Addr().String())
		select {
		case <-time.After(acceptPause):
		case <-ctx.Done():
			return fmt.Errorf("accept connections: %w", ctx.Err())
		}
	}
}

// Await returns once all connections have been served or the context ends.
func (a *Acceptor) Await(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		a.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
