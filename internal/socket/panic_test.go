package socket_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/go-logr/logr"

	"amaranthsill/internal/socket"
)

// TestAcceptorOutlivesAPanic guards against one malformed message that ends the whole
// process, and with it the sessions of all other callers.
func TestAcceptorOutlivesAPanic(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &socket.Acceptor{}
	result := make(chan error, 1)
	go func() {
		result <- a.Accept(context.Background(), l, logr.Discard(), func(c net.Conn) {
			message := make([]byte, 1)
			if _, err := c.Read(message); err != nil {
				return
			}
			if message[0] == '?' {
				panic("malformed message")
			}
			_, _ = c.Write(message)
			_ = c.Close()
		})
	}()
	exchange := func(message string) (string, error) {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Write([]byte(message)); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 1)
		n, err := c.Read(answer)
		return string(answer[:n]), err
	}
	if _, err := exchange("?"); !errors.Is(err, io.EOF) {
		t.Errorf("malformed message: read returned %v, want io.EOF", err)
	}
	if answer, err := exchange("a"); answer != "a" || err != nil {
		t.Errorf("next connection: read %q, %v; want \"a\"", answer, err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
	a.Await(context.Background())
}
