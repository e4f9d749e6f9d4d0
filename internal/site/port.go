package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports that FreeAddress hands out. They are below those from which the
// system takes the near ends of connections, so that nobody takes one between its
// choice and its use.
const (
	lowestPort = 12000
	portCount  = 18000
	// portStride keeps processes that run at the same time apart.
	portStride = 37
)

var lastPort atomic.Int64

// FreeAddress returns an address on loopback at which nobody listens.
func FreeAddress() string {
	lastPort.CompareAndSwap(0, int64(os.Getpid()*portStride%portCount)+1)
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+lastPort.Add(1)%portCount)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		// The port is free again as soon as the listener is gone.
		_ = l.Close()
		return address
	}
}
