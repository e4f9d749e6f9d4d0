package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is the way in which a proxy disturbs its connections.
type Fault uint8

// The faults of a proxy.
const (
	// Forward forwards all bytes without delay: no fault.
	Forward Fault = iota
	// Delay delays each chunk of bytes by pathDelay, in both directions.
	Delay
	// DropAll accepts connections and drops the bytes of both directions.
	DropAll
	// DropAnswers drops the bytes from the server.
	DropAnswers
	// RefuseAll resets open connections and each new one.
	RefuseAll
)

// pathDelay is the delay of the Delay fault in one direction, well above the latency
// between zones.
const pathDelay = 120 * time.Millisecond

// Proxy forwards TCP connections on loopback and injects faults into them.
type Proxy struct {
	target   string
	listener net.Listener
	// path returns the path that a connection takes, nil if no cut concerns it; nil itself
	// if cuts concern none.
	path func(client net.Conn) *path

	lock        sync.Mutex
	fault       Fault
	connections map[*proxiedConnection]bool
}

// proxiedConnection is one forwarded connection.
type proxiedConnection struct {
	client, server net.Conn
	// blackholed reports whether all further bytes of this connection are dropped, while
	// the connection stays open and new connections work.
	blackholed bool
	path       *path
}

// NewProxy starts a proxy to the server at an address. It fails if no loopback port can
// be listened on.
func NewProxy(target string) (*Proxy, error) { return newProxy(target, nil) }

// newProxy is like NewProxy for connections that cuts concern.
func newProxy(target string, path func(client net.Conn) *path) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, path: path, connections: map[*proxiedConnection]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set applies a fault to all open and new connections, in place of the one before.
// Connections that dropped bytes stay blackholed.
func (p *Proxy) Set(f Fault) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.fault = f
	if f == RefuseAll {
		p.resetAll()
	}
}

// Reset resets the open connections on both sides.
func (p *Proxy) Reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.resetAll()
}

// Blackhole drops all further bytes of the open connections, until they are closed.
func (p *Proxy) Blackhole() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for c := range p.connections {
		c.blackholed = true
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) resetAll() {
	for c := range p.connections {
		reset(c.client)
		reset(c.server)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward connects a client to the server and forwards the bytes of both directions
// until both have ended. A direction ends when one of its connections fails or is
// closed; it then closes the other one, which ends the other direction too. Under
// RefuseAll, or if the server cannot be reached, the client is reset instead.
func (p *Proxy) forward(client net.Conn) {
	if p.currentFault() == RefuseAll {
		reset(client)
		return
	}
	c := &proxiedConnection{client: client}
	if p.path != nil {
		c.path = p.path(client)
	}
	if c.path.isCut() {
		// No handshake passes a cut.
		_, _ = io.Copy(io.Discard, client)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(client)
		return
	}
	c.server = server
	p.lock.Lock()
	p.connections[c] = true
	p.lock.Unlock()
	wait := sync.WaitGroup{}
	wait.Go(func() { p.forwardOneWay(c, server, client, false) })
	wait.Go(func() { p.forwardOneWay(c, client, server, true) })
	wait.Wait()
	p.lock.Lock()
	delete(p.connections, c)
	p.lock.Unlock()
}

func (p *Proxy) currentFault() Fault {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.fault
}

// forwardOneWay forwards bytes from source to destination until either fails or is
// closed, and closes the other one. fromServer says that the source is the server.
func (p *Proxy) forwardOneWay(c *proxiedConnection, destination, source net.Conn, fromServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		if !c.path.hold() {
			reset(source)
			reset(destination)
			return
		}
		if err != nil {
			_ = destination.Close()
			return
		}
		if p.blackholeIfFaulty(c, fromServer) {
			continue
		}
		if p.currentFault() == Delay {
			time.Sleep(pathDelay)
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			_ = source.Close()
			return
		}
	}
}

// blackholeIfFaulty blackholes a connection if the present fault drops bytes of this
// direction, and reports whether the connection is blackholed. It stays so in both
// directions, since forwarding after a gap would corrupt the stream.
func (p *Proxy) blackholeIfFaulty(c *proxiedConnection, fromServer bool) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.fault == DropAll || p.fault == DropAnswers && fromServer {
		c.blackholed = true
	}
	return c.blackholed
}
