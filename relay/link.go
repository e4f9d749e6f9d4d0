package relay

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// linkBuffer is the size of a link's buffers in bytes; most orders and answers
// are shorter than a kilobyte.
const linkBuffer = 2048

// link is a way to a target through a holder.
type link struct {
	dialer  *Dialer
	address string
	conn    net.Conn
	writer  *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
	until   time.Time
	// since is when the answer was asked for that is owed; zero if none is. It
	// is guarded by the dialer's lock.
	since time.Duration
}

var _ pool.Link = (*link)(nil)

// greet names the target and returns the holder's first answer.
func (l *link) greet(t pool.Target) (query.Reply, error) {
	if err := l.SetDeadline(time.Now().Add(connectLimit)); err != nil {
		return query.Reply{}, err
	}
	if err := l.encoder.Encode(hello{Group: t.Group, Target: t.ID}); err != nil {
		return query.Reply{}, fmt.Errorf("greet holder: %w", err)
	}
	if err := l.writer.Flush(); err != nil {
		return query.Reply{}, fmt.Errorf("greet holder: %w", err)
	}
	return l.receive()
}

// Send implements pool.Link.
func (l *link) Send(orders ...pool.Order) error {
	for _, o := range orders {
		r, err := requestOf(o, time.Until(l.until))
		if err != nil {
			return err
		}
		if err := l.encoder.Encode(r); err != nil {
			return fmt.Errorf("write to holder: %w", err)
		}
	}
	l.dialer.owes(l, true)
	if err := l.writer.Flush(); err != nil {
		return fmt.Errorf("write to holder: %w", err)
	}
	return nil
}

// Receive implements pool.Link.
func (l *link) Receive() (query.Reply, error) {
	r, err := l.receive()
	l.dialer.owes(l, false)
	if err != nil {
		return r, err
	}
	l.dialer.heard(l)
	return r, nil
}

func (l *link) receive() (query.Reply, error) {
	r := response{}
	if err := l.decoder.Decode(&r); err != nil {
		return query.Reply{}, fmt.Errorf("read from holder: %w", err)
	}
	return r.reply(), nil
}

// SetDeadline implements pool.Link.
func (l *link) SetDeadline(t time.Time) error {
	l.until = t
	if err := l.conn.SetDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// Close implements pool.Link.
func (l *link) Close() {
	l.dialer.forget(l)
	// A connection that fails to close is gone as well.
	_ = l.conn.Close()
}
