package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The range of ports that FreeAddress returns. It lies below the system's ephemeral
// ports, so that no outgoing connection takes a port between its choice and its use.
const (
	lowestPort = 12000
	portCount  = 18000
	// portStride is multiplied by the process ID to give the first port, so that
	// test processes that run at the same time start at different ports.
	portStride = 37
)

var lastPort atomic.Int64

// FreeAddress returns a loopback address, "127.0.0.1:PORT", on which nothing listened
// when it was chosen. The port is not reserved.
func FreeAddress() string {
	lastPort.CompareAndSwap(0, int64(os.Getpid()*portStride%portCount)+1)
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+lastPort.Add(1)%portCount)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		// A listener that accepted no connection leaves its port free at once.
		_ = l.Close()
		return address
	}
}
