package soak

import (
	"net"
	"os"
	"testing"
)

// TestSocketOfConnection guards against connections whose VM is not found, so that cuts of
// the network do not concern them.
func TestSocketOfConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	f, err := c.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	local, remote := c.LocalAddr().(*net.TCPAddr), c.RemoteAddr().(*net.TCPAddr)
	socket, err := socketOf(local, remote)
	if err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	owned := false
	for _, d := range files {
		name, err := os.Readlink("/proc/self/fd/" + d.Name())
		owned = owned || err == nil && name == socket
	}
	if !owned {
		t.Errorf("%s is not among this process's files", socket)
	}
}
