package relay

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// serverConn is the holder's end of a connection to another VM.
type serverConn struct {
	server  *Server
	conn    net.Conn
	reader  *limitedReader
	writer  *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// maxMessageBytes limits a message to a holder. It leaves room for a prepared statement and
// its arguments, each of a message of 1 MiB.
const maxMessageBytes = 4 << 20

// errLongMessage reports a message of more than maxMessageBytes.
var errLongMessage = errors.New("message to holder is too long")

// limitedReader reads no more than a number of bytes.
type limitedReader struct {
	*bufio.Reader
	left int
}

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongMessage
	}
	n, err := r.Reader.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *limitedReader) ReadByte() (byte, error) {
	if r.left <= 0 {
		return 0, errLongMessage
	}
	r.left--
	return r.Reader.ReadByte()
}

// decode reads one message.
func (c *serverConn) decode(message any) error {
	c.reader.left = maxMessageBytes
	if err := c.decoder.Decode(message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// readHello reads the first message.
func (c *serverConn) readHello() (hello, error) {
	h := hello{}
	if err := c.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return h, fmt.Errorf("set deadline: %w", err)
	}
	if err := c.decode(&h); err != nil {
		return h, fmt.Errorf("read hello: %w", err)
	}
	return h, nil
}

// send writes a response.
func (c *serverConn) send(n response) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	n.Leaving = c.server.leaving.Load()
	if err := c.encoder.Encode(n); err != nil {
		return fmt.Errorf("send reply: %w", err)
	}
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("send reply: %w", err)
	}
	return nil
}

// connLink is a link with a connection of its own, of a VM of a former build. Only its
// own goroutine uses the fields above the lock.
type connLink struct {
	*serverConn
	serverLink
	// used reports that an order has arrived on the link.
	used bool

	lock sync.Mutex
	// idle is true while the link waits for an order outside a transaction.
	idle bool
}

// serve replies to the hello and handles orders until the link ends. The link is not
// used if it is refused, or if the hello only asked whether this VM answers.
func (l *connLink) serve(ctx context.Context) error {
	server := l.serverConn.server
	g, answer := server.admit(l.hello)
	if g != nil && !server.add(l) {
		g, answer = nil, busyReply("holder stops", query.StateIdle)
	}
	defer server.remove(l)
	if err := l.send(newResponse(answer)); err != nil {
		return err
	}
	if g == nil {
		return fmt.Errorf("open link to %q: %w", l.hello.Target, pool.ErrNoTarget)
	}
	l.group = g
	return l.run(ctx)
}

// run handles orders until the link ends.
func (l *connLink) run(ctx context.Context) error {
	defer l.rollBack()
	for l.prepareRead() {
		q := request{}
		if err := l.decode(&q); err != nil {
			return fmt.Errorf("read order: %w", err)
		}
		l.used = true
		l.setIdle(false)
		if l.slot == nil && !l.isHolder() {
			return l.send(newResponse(busyReply("connections to this target are held elsewhere now", query.StateIdle)))
		}
		answer, err := l.handle(ctx, &q)
		if err != nil {
			return err
		}
		if err := l.send(newResponse(answer)); err != nil {
			return err
		}
	}
	return nil
}

// prepareRead sets the read timeout for the next order. It returns false if
// the link is to be closed instead. A link that is still unused when the holder
// stops waits for drainGrace, since its first order may be on its way.
func (l *connLink) prepareRead() bool {
	server := l.serverConn.server
	stopping := server.isStopping()
	if l.slot == nil && stopping && l.used {
		return false
	}
	limit := linkIdleTimeout
	if stopping {
		limit = drainGrace
	}
	if l.slot != nil {
		limit = server.TransactionIdleTimeout() + transactionIdleMargin
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	l.setIdle(l.slot == nil)
	if l.slot == nil && !stopping && server.isStopping() {
		// Drain began before the link was marked as idle, and so passed it over.
		l.endIdle()
	}
	return true
}

// Idle timeouts after which the other VM is taken as lost, so that the
// connection, and with it an open transaction, is released for other VMs.
const (
	// linkIdleTimeout applies outside transactions. It is longer than the time
	// for which a VM's pool keeps an unused link.
	linkIdleTimeout = 15 * time.Second
	// transactionIdleMargin is how much longer than the caller's own VM a holder
	// waits before it ends an idle transaction, so that the caller's VM ends it
	// first.
	transactionIdleMargin = time.Second
)

func (l *connLink) setIdle(idle bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.idle = idle
}

// drainGrace is how long a link that is being closed still accepts an order
// that may be on its way within the zone.
const drainGrace = 20 * time.Millisecond

// endIdle sets the read deadline of an idle link to drainGrace from now. The
// link's goroutine closes the link when the deadline passes. If an order arrives
// before, the goroutine closes the link after the reply, or after the end of a
// transaction that the order opens.
func (l *connLink) endIdle() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.idle {
		// An error may be ignored: on a lost connection, the read of the link's
		// goroutine fails as well.
		_ = l.conn.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

// endTransactions implements drainable. The transaction ends with its next order.
func (l *connLink) endTransactions() {}
