// Package socket checks the state of a connection without reading from it, and accepts
// connections from a listener despite temporary errors.
//
// # Usage
//
//	if socket.PeekState(conn) == socket.Closed {
//		// The peer has closed the connection.
//	}
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a connection as PeekState finds it.
type State uint8

// The states of a connection.
const (
	// Idle is an open connection without unread bytes.
	Idle State = iota
	// Pending is a connection with unread bytes.
	Pending
	// Closed is a connection that either end has closed or that has failed, without
	// unread bytes.
	Closed
)

// PeekState returns the connection's present state without blocking and without consuming
// bytes. It returns Idle for a connection that is not a socket of the operating system,
// such as one of net.Pipe.
func PeekState(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	b := [1]byte{}
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Pending
	}
}
