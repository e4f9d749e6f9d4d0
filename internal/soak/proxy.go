package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to bytes.
type Fault uint8

// The faults.
const (
	// Pass forwards everything.
	Pass Fault = iota
	// Slow delays everything by the proxy's delay.
	Slow
	// Mute accepts connections and forwards nothing.
	Mute
	// Deaf forwards what callers send, and no answers.
	Deaf
	// Refuse resets every connection.
	Refuse
)

// slowness is the delay of a slow path, well above a trip between zones.
const slowness = 120 * time.Millisecond

// Proxy forwards connections on loopback, and harms them when told to.
type Proxy struct {
	target   string
	listener net.Listener

	lock  sync.Mutex
	fault Fault
	pairs map[*pair]bool
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	// silent reports that the connection was lost track of: nothing is
	// forwarded on it any more, while new ones work.
	silent bool
}

// NewProxy returns a proxy to an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as proxy: %w", err)
	}
	p := &Proxy{target: target, listener: l, pairs: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set makes the proxy do something to all bytes from now on.
func (p *Proxy) Set(f Fault) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.fault = f
	if f == Refuse {
		p.resetAll()
	}
}

// Reset ends the connections that are open.
func (p *Proxy) Reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.resetAll()
}

// Silence loses track of the connections that are open, for good.
func (p *Proxy) Silence() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) resetAll() {
	for c := range p.pairs {
		reset(c.near)
		reset(c.far)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(near)
	}
}

func (p *Proxy) forward(near net.Conn) {
	if p.current() == Refuse {
		reset(near)
		return
	}
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(near)
		return
	}
	c := &pair{near: near, far: far}
	p.lock.Lock()
	p.pairs[c] = true
	p.lock.Unlock()
	wait := sync.WaitGroup{}
	wait.Go(func() { p.copy(c, far, near, false) })
	wait.Go(func() { p.copy(c, near, far, true) })
	wait.Wait()
	p.lock.Lock()
	delete(p.pairs, c)
	p.lock.Unlock()
}

func (p *Proxy) current() Fault {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.fault
}

// copy forwards one direction until either end is gone.
func (p *Proxy) copy(c *pair, to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if p.drops(c, answers) {
			continue
		}
		if p.current() == Slow {
			time.Sleep(slowness)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// drops reports whether bytes are lost. A stream with a gap can't be continued,
// so that it stays silent.
func (p *Proxy) drops(c *pair, answers bool) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.fault == Mute || p.fault == Deaf && answers {
		c.silent = true
	}
	return c.silent
}
