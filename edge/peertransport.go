package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// formerBuildTimeout is how long a VM that does not speak HTTP/2 is called over HTTP/1.1
// before HTTP/2 is tried again. It is about as long as a VM takes to be replaced.
const formerBuildTimeout = 10 * time.Second

// errNoLength reports an answer of which nothing tells whether it is whole: a message that is
// cut off between two fields can be decoded.
var errNoLength = errors.New("answer has no length")

// peerTransport carries calls to other VMs: over HTTP/2, with one connection for each VM
// and compressed headers, and over HTTP/1.1 to VMs of former builds. The headers of a call
// over HTTP/1.1 are several times as long as most messages.
type peerTransport struct {
	http2, http1 *http.Transport

	lock sync.Mutex
	// conns holds the last HTTP/2 connection to each address, and formerUntil until when
	// an address is called over HTTP/1.1.
	conns       map[string]*peerConn
	formerUntil map[string]time.Time
}

// newPeerTransport returns a transport that requests no compression, because Connect
// negotiates its own; see compressMinBytes.
func newPeerTransport() *peerTransport {
	t := &peerTransport{conns: map[string]*peerConn{}, formerUntil: map[string]time.Time{}}
	d := &net.Dialer{Timeout: peerDialTimeout}
	// Over HTTP/1.1 nothing tells the answer to a call from a copy of an earlier one.
	t.http1 = &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	t.http2 = &http.Transport{IdleConnTimeout: peerIdleTimeout, DisableCompression: true, Protocols: new(http.Protocols)}
	t.http2.Protocols.SetUnencryptedHTTP2(true)
	t.http2.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.add(address, c), nil
	}
	return t
}

// peerProtocols returns the protocols over which a VM is called.
func peerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// RoundTrip implements http.RoundTripper.
func (t *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	if t.isFormer(address) {
		return t.roundTripHTTP1(r)
	}
	sent := time.Now()
	response, err := t.http2.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	if errors.Is(context.Cause(r.Context()), context.DeadlineExceeded) {
		t.dropSilent(address, sent)
	}
	var failed *net.OpError
	notConnected := errors.As(err, &failed) && failed.Op == "dial"
	if notConnected || r.Context().Err() != nil || r.GetBody == nil {
		return nil, fmt.Errorf("call over HTTP/2: %w", err)
	}
	// The connection has ended under the call: a VM of a former build refuses its first
	// bytes, or dropSilent has just closed it. Every build answers HTTP/1.1, and all calls
	// between VMs may be repeated.
	if r.Body, err = r.GetBody(); err != nil {
		return nil, fmt.Errorf("repeat call: %w", err)
	}
	return t.roundTripHTTP1(r)
}

func (t *peerTransport) roundTripHTTP1(r *http.Request) (*http.Response, error) {
	response, err := t.http1.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("call over HTTP/1.1: %w", err)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return nil, fmt.Errorf("call over HTTP/1.1: %w", errNoLength)
	}
	return response, nil
}

// isFormer reports whether the VM at an address is called over HTTP/1.1.
func (t *peerTransport) isFormer(address string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if c := t.conns[address]; c != nil && c.former.Load() {
		delete(t.conns, address)
		t.formerUntil[address] = time.Now().Add(formerBuildTimeout)
	}
	until, ok := t.formerUntil[address]
	if ok && time.Now().After(until) {
		delete(t.formerUntil, address)
		return false
	}
	return ok
}

// add records a new HTTP/2 connection.
func (t *peerTransport) add(address string, c net.Conn) net.Conn {
	p := &peerConn{Conn: c, closed: func(p *peerConn) { t.remove(address, p) }}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.conns[address] = p
	return p
}

// remove forgets a connection that was closed, unless it is yet to be found that the VM
// does not speak HTTP/2.
func (t *peerTransport) remove(address string, p *peerConn) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.conns[address] == p && !p.former.Load() {
		delete(t.conns, address)
	}
}

// dropSilent closes the connection to an address if nothing has been received on it since
// a time. Connections may fall silent for good while new ones work; HTTP/2 alone would go
// on using them.
func (t *peerTransport) dropSilent(address string, since time.Time) {
	t.lock.Lock()
	c := t.conns[address]
	t.lock.Unlock()
	if c != nil && c.receivedAt.Load() < since.UnixNano() {
		// The calls that wait on it report the error.
		_ = c.Close()
	}
}

// peerConn is a connection that records what the other VM sends.
type peerConn struct {
	net.Conn
	closed func(*peerConn)
	// receivedAt is the Unix time in nanoseconds of the last read; zero if there was none.
	receivedAt atomic.Int64
	// former reports that the first bytes received are of HTTP/1.
	former atomic.Bool
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.receivedAt.Swap(time.Now().UnixNano()) == 0 && bytes.HasPrefix(b[:n], []byte("HTTP/1")) {
		c.former.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	defer c.closed(c)
	return c.Conn.Close()
}
