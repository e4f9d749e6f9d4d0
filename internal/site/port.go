package site

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The range of ports that FreeAddress returns. It lies below the system's ephemeral
// ports, so that no outgoing connection takes a port between its choice and its use.
const (
	lowestPort = 12000
	portCount  = 18000
	// blockPorts is the size of the blocks into which the range is divided. The first port
	// of a block is not given out.
	blockPorts = 300
)

// addresses gives out the ports of blocks that it owns. An owner listens on the first port of
// its blocks, so that no other process gives out a port of a VM that is down for a while.
type addresses struct {
	lock sync.Mutex
	// guards keep the blocks that are owned, and blocks holds their numbers.
	guards []net.Listener
	blocks []int
	// next is the index of the next port in all owned blocks.
	next int
}

var ownAddresses addresses

// FreeAddress returns a loopback address, "127.0.0.1:PORT", on which nothing listened
// when it was chosen. No other process that uses this function is given the port.
func FreeAddress() string { return ownAddresses.free() }

func (a *addresses) free() string {
	a.lock.Lock()
	defer a.lock.Unlock()
	for {
		if a.next == len(a.blocks)*blockPorts && !a.own() {
			a.next = 0
		}
		block, offset := a.next/blockPorts, a.next%blockPorts
		a.next++
		if offset == 0 {
			continue
		}
		address := loopback(a.blocks[block], offset)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		// A listener that accepted no connection leaves its port free at once.
		_ = l.Close()
		return address
	}
}

// own takes a block that no other process has, beginning at one that depends on the
// process; false if there is none. The caller holds the lock.
func (a *addresses) own() bool {
	const count = portCount / blockPorts
	for i := range count {
		block := (os.Getpid() + i) % count
		l, err := net.Listen("tcp4", loopback(block, 0))
		if err != nil {
			continue
		}
		a.guards = append(a.guards, l)
		a.blocks = append(a.blocks, block)
		return true
	}
	return false
}

func loopback(block, offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", lowestPort+block*blockPorts+offset)
}
