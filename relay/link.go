package relay

import (
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// linkBuffer is the size in bytes of each read and write buffer of a link.
// Most orders and replies are shorter than 1 KiB.
const linkBuffer = 2048

// link is the sending end of a way to a target through a holder.
type link struct {
	dialer   *Dialer
	address  string
	channel  channel
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

// SetCustomer implements pool.CustomerLink.
func (l *link) SetCustomer(name string, priority int) {
	l.customer, l.priority, l.version = name, priority, l.dialer.version()
}

// Send implements pool.Link.
func (l *link) Send(orders ...pool.Order) error {
	requests := make([]request, 0, len(orders))
	for _, o := range orders {
		r, err := newRequest(o, time.Until(l.deadline))
		if err != nil {
			return err
		}
		if l.version != 0 {
			r.Customer, r.Priority, r.Version = l.customer, l.priority, l.version
		}
		requests = append(requests, r)
	}
	l.dialer.setPending(l, true)
	return l.channel.send(requests)
}

// Receive implements pool.Link.
func (l *link) Receive() (query.Reply, error) {
	r, err := l.channel.receive()
	l.dialer.setPending(l, false)
	if err != nil {
		return query.Reply{}, err
	}
	l.leaving = r.Leaving
	l.dialer.recordAnswer(l)
	return r.reply(), nil
}

// SetDeadline implements pool.Link.
func (l *link) SetDeadline(t time.Time) error {
	l.deadline = t
	return l.channel.setDeadline(t)
}

// Close implements pool.Link.
func (l *link) Close() {
	l.dialer.removeLink(l)
	l.channel.close()
}
