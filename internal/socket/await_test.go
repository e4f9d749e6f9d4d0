package socket_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/internal/socket"
)

// TestAwaitWhileConnectionsAreAccepted guards against a data race between the first
// connection and a stop that begins at the same time.
func TestAwaitWhileConnectionsAreAccepted(t *testing.T) {
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a := &socket.Acceptor{}
		wait := sync.WaitGroup{}
		wait.Go(func() {
			if err := a.Accept(context.Background(), l, logr.Discard(), func(c net.Conn) { _ = c.Close() }); err != nil {
				t.Error(err)
			}
		})
		wait.Go(func() { a.Await(context.Background()) })
		wait.Go(func() {
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.Close()
			_ = l.Close()
		})
		wait.Wait()
	}
}

func TestAwaitReturnsOnceAllConnectionsAreServed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a := &socket.Acceptor{}
	serving, release := make(chan bool), make(chan bool)
	go func() {
		_ = a.Accept(context.Background(), l, logr.Discard(), func(c net.Conn) {
			serving <- true
			<-release
			_ = c.Close()
		})
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	<-serving
	limited, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a.Await(limited)
	if limited.Err() == nil {
		t.Error("returned although a connection is still served")
	}
	close(release)
	a.Await(context.Background())
}
