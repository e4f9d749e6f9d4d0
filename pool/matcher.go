package pool

import (
	"amaranthsill/query"
)

// Conn is a connection to a target that may send an answer twice.
type Conn interface {
	Link
	// Pending reports, without blocking, whether anything has arrived that was not
	// received.
	Pending() bool
}

// Matcher is a Link that counts answers of its target that repeat an earlier one.
type Matcher struct {
	Conn
	// Target is the ID of the target.
	Target string
	// Repeats records repetitions; it may be nil.
	Repeats *Repeats

	recent recentReplies
	// due is the number of orders without an answer.
	due int
}

var _ Link = (*Matcher)(nil)

// Send implements Link.
func (m *Matcher) Send(orders ...Order) error {
	if m.due == 0 && m.Pending() {
		m.Repeats.countUnmatched()
	}
	m.due += len(orders)
	return m.Conn.Send(orders...)
}

// Receive implements Link.
func (m *Matcher) Receive() (query.Reply, error) {
	r, err := m.Conn.Receive()
	if err != nil {
		return query.Reply{}, err
	}
	m.due--
	if r.Receipt != "" && m.recent.find(identify(r)) != newReply {
		m.Repeats.Record(m.Target)
	}
	m.recent.add(identify(r))
	return r, nil
}
