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

// tired fails to accept once before each connection.
type tired struct {
	net.Listener
	failed bool
}

func (t *tired) Accept() (net.Conn, error) {
	t.failed = !t.failed
	if t.failed {
		return nil, errors.New("too many open files")
	}
	return t.Listener.Accept()
}

func TestAcceptorGoesOnAfterAFailure(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &socket.Acceptor{}
	ended := make(chan error, 1)
	begun, release := make(chan struct{}), make(chan struct{})
	go func() {
		ended <- a.Accept(context.Background(), &tired{Listener: l}, logr.Discard(), func(c net.Conn) {
			close(begun)
			<-release
			_ = c.Close()
		})
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	<-begun
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a.Await(short)
	if short.Err() == nil {
		t.Error("a connection that is being served was not awaited")
	}
	close(release)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v, want the end of the connection", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("accepting ended with %v", err)
	}
}
