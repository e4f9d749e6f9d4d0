package socket_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/internal/socket"
)

// flakyListener fails every other call of Accept.
type flakyListener struct {
	net.Listener
	failed bool
}

func (l *flakyListener) Accept() (net.Conn, error) {
	l.failed = !l.failed
	if l.failed {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Accept must go on after an error of the listener, such as without free file
// descriptors, and Await must wait for connections that are being served.
func TestAcceptorRetriesAfterFailedAccept(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &socket.Acceptor{}
	result := make(chan error, 1)
	started, release := make(chan struct{}), make(chan struct{})
	go func() {
		result <- a.Accept(context.Background(), &flakyListener{Listener: l}, logr.Discard(), func(c net.Conn) {
			close(started)
			<-release
			_ = c.Close()
		})
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a.Await(ctx)
	if ctx.Err() == nil {
		t.Error("Await returned while a connection was being served")
	}
	close(release)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read returned %v, want io.EOF", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Errorf("Accept returned %v, want nil", err)
	}
}
