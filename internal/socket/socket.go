// Package socket looks at a connection without reading from it.
//
// # Usage
//
//	if socket.Look(conn) == socket.Gone {
//		// The other end has hung up.
//	}
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State uint8

// The states of a connection.
const (
	// Quiet is an open connection on which nothing waits to be read.
	Quiet State = iota
	// Pending is an open connection on which bytes wait.
	Pending
	// Gone is a connection that the other end has closed or that failed.
	Gone
)

// Look returns the connection's state at this moment. A connection that is
// no socket of the operating system counts as quiet.
func Look(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Gone
	}
	state := Gone
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Gone
	}
	return state
}

func peek(fd int) State {
	b := [1]byte{}
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return Quiet
	case err != nil || n == 0:
		return Gone
	default:
		return Pending
	}
}
