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

// linkBuffer is the size in bytes of each read and write buffer of a link.
// Most orders and replies are shorter than 1 KiB.
const linkBuffer = 2048

// link is the sending end of a connection to a target through a holder.
type link struct {
	dialer   *Dialer
	address  string
	conn     net.Conn
	writer   *bufio.Writer
	encoder  *gob.Encoder
	decoder  *gob.Decoder
	deadline time.Time
	// customer and priority were set by SetCustomer while the configuration of the
	// given version was in force; zero if there are no customers.
	customer string
	priority int
	version  uint64
	// leaving is that of the last response.
	leaving bool
	// pendingSince is when orders were last sent, if no reply has been received
	// since; zero otherwise. It is guarded by the dialer's lock.
	pendingSince time.Duration
}

var _ pool.CustomerLink = (*link)(nil)

// handshake names the target to the holder and returns the holder's first
// reply.
func (l *link) handshake(t pool.Target) (query.Reply, error) {
	if err := l.SetDeadline(time.Now().Add(connectTimeout)); err != nil {
		return query.Reply{}, err
	}
	if err := l.encoder.Encode(hello{Group: t.Group, Target: t.ID}); err != nil {
		return query.Reply{}, fmt.Errorf("open link on holder: %w", err)
	}
	if err := l.writer.Flush(); err != nil {
		return query.Reply{}, fmt.Errorf("open link on holder: %w", err)
	}
	return l.receive()
}

// SetCustomer implements pool.CustomerLink.
func (l *link) SetCustomer(name string, priority int) {
	l.customer, l.priority, l.version = name, priority, l.dialer.version()
}

// Send implements pool.Link.
func (l *link) Send(orders ...pool.Order) error {
	for _, o := range orders {
		r, err := newRequest(o, time.Until(l.deadline))
		if err != nil {
			return err
		}
		if l.version != 0 {
			r.Customer, r.Priority, r.Version = l.customer, l.priority, l.version
		}
		if err := l.encoder.Encode(r); err != nil {
			return fmt.Errorf("send order to holder: %w", err)
		}
	}
	l.dialer.setPending(l, true)
	if err := l.writer.Flush(); err != nil {
		return fmt.Errorf("send order to holder: %w", err)
	}
	return nil
}

// Receive implements pool.Link.
func (l *link) Receive() (query.Reply, error) {
	r, err := l.receive()
	l.dialer.setPending(l, false)
	if err != nil {
		return r, err
	}
	l.dialer.recordAnswer(l)
	return r, nil
}

func (l *link) receive() (query.Reply, error) {
	r := response{}
	if err := l.decoder.Decode(&r); err != nil {
		return query.Reply{}, fmt.Errorf("receive reply from holder: %w", err)
	}
	l.leaving = r.Leaving
	return r.reply(), nil
}

// SetDeadline implements pool.Link.
func (l *link) SetDeadline(t time.Time) error {
	l.deadline = t
	if err := l.conn.SetDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// Close implements pool.Link.
func (l *link) Close() {
	l.dialer.removeLink(l)
	// The link is not used any more, whether or not closing succeeds.
	_ = l.conn.Close()
}
