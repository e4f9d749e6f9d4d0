package pool

import (
	"errors"
	"fmt"
	"slices"

	"amaranthsill/query"
)

// Conn is a connection to a target that may send an answer twice.
type Conn interface {
	Link
	// Pending reports, without blocking, whether anything has arrived that was not
	// received.
	Pending() bool
}

var (
	// ErrUnmatched reports an answer that belongs to no order, or that cannot be told
	// apart from a repetition of an earlier one. Orders without an answer may have run.
	ErrUnmatched = errors.New("answer of target matches no order")
	// ErrNotSent reports that the last order was not sent, so that it does not run.
	ErrNotSent = errors.New("orders were not sent")
	// ErrOutsideTransaction reports that a statement of a transaction ran, but outside it.
	ErrOutsideTransaction = errors.New("statement ran outside its transaction")
)

// Matcher is a Link over a connection whose target may send any answer a second time,
// later than the first.
//
// A target's receipts are never alike, so an answer whose receipt is known is a repetition
// and is discarded, and one with a new receipt belongs to the statement that waits. It also
// shows that all earlier answers have arrived. Of the answers without a receipt, those are
// discarded that equal an earlier one and that the oldest order cannot have. What remains
// may be an answer or its repetition. Where something depends on it, further orders confirm
// it: their answers follow the one in question. Begin and Locate are sent with such an order.
//
// These answers may be repetitions as well. A failure that equals an earlier one is therefore
// not confirmed if the target has lately sent answers twice, and a connection of such a target
// is used for no other statement after a failure or a transaction.
//
// A Matcher is not safe for concurrent use, except that SetDeadline and Close may be called at
// any time.
type Matcher struct {
	Conn
	// Target is the ID of the target.
	Target string
	// Repeats records repetitions; it may be nil.
	Repeats *Repeats

	recent recentReplies
	// unanswered holds the orders whose answers are due, oldest first.
	unanswered []Order
	// confirming holds the orders that were sent to confirm the answer to the last of them.
	confirming []Order
	// unsettled is the number of answers that were taken for those of their orders, but
	// may be repetitions. The answers proper are then yet to come.
	unsettled int
	// state is the transaction state of the last answer.
	state query.State
	// spent reports that the connection must not be used again once it is idle.
	spent bool
}

var _ Link = (*Matcher)(nil)

// Send implements Link. Its error wraps ErrNotSent if the last order was not sent.
func (m *Matcher) Send(orders ...Order) error {
	if err := m.discardPending(); err != nil {
		return errors.Join(ErrNotSent, err)
	}
	m.unanswered = append(m.unanswered, orders...)
	m.confirming = confirmations(orders[len(orders)-1])
	return m.Conn.Send(append(slices.Clip(orders), m.confirming...)...)
}

// Spent reports whether the connection must not be used for other statements.
func (m *Matcher) Spent() bool { return m.spent }

// discardPending discards answers that arrived while none was due.
func (m *Matcher) discardPending() error {
	for len(m.unanswered) == 0 && m.Pending() {
		r, err := m.Conn.Receive()
		if err != nil {
			return err
		}
		if !m.discard(r) {
			return m.unmatched(nil, r)
		}
	}
	return nil
}

// discard discards a reply that answers no order that waits, and reports whether it is a
// repetition, or the answer to an order for which a repetition was taken.
func (m *Matcher) discard(r query.Reply) bool {
	switch known := m.recent.find(identify(nil, r)); {
	case known == repeatedReply:
		m.Repeats.Record(m.Target)
		return true
	case known == newReply && m.unsettled > 0 && isPlain(r) && r.State == m.state:
		m.unsettled--
		m.Repeats.Record(m.Target)
		m.remember(nil, r)
		return true
	default:
		return false
	}
}

// Receive implements Link. Its error wraps ErrUnmatched if the connection cannot tell which
// answer belongs to the order, and ErrOutsideTransaction if a statement of a transaction ran
// outside it.
func (m *Matcher) Receive() (query.Reply, error) {
	o := m.unanswered[0]
	m.unanswered = slices.Delete(m.unanswered, 0, 1)
	r, err := m.receive(o)
	if err != nil {
		return query.Reply{}, err
	}
	_, begins := o.(Begin)
	if m.state == query.StateIdle && r.State == query.StateOpen && !begins {
		return query.Reply{}, m.unmatched(o, r)
	}
	if begins || hasReceipt(o) && r.Failure != nil {
		m.spent = m.spent || m.Repeats.expects(m.Target)
	}
	if m.state == query.StateOpen && r.State == query.StateIdle && r.Receipt != "" && !isCommit(o) {
		return query.Reply{}, fmt.Errorf("reply to %T: %w", o, ErrOutsideTransaction)
	}
	m.state = r.State
	return r, nil
}

// receive returns the answer to an order.
func (m *Matcher) receive(o Order) (query.Reply, error) {
	awaited := []Order(nil)
	if len(m.unanswered) == 0 {
		awaited = m.confirming
	}
	for {
		r, err := m.Conn.Receive()
		if err != nil {
			return query.Reply{}, err
		}
		known := m.recent.find(identify(o, r))
		switch {
		case known == conflictingReply:
			return query.Reply{}, m.unmatched(o, r)
		case r.Receipt != "" && known == repeatedReply, !m.answers(o, r, known):
			if !m.discard(r) {
				return query.Reply{}, m.unmatched(o, r)
			}
			continue
		case r.Receipt != "" && known == newReply:
			m.unsettled = 0
		case known == repeatedReply && isDoubtful(o) && m.Repeats.expects(m.Target):
			return query.Reply{}, m.unmatched(o, r)
		case len(awaited) > 0:
			return m.confirm(o, possibleReply{r, known}, awaited)
		case r.State == query.StateFailed && m.state != query.StateIdle && !isCommit(o):
			// Whether or not it is a repetition, the transaction is rolled back.
			m.spent = m.spent || known != newReply
		case hasReceipt(o) && (known != newReply || m.unsettled > 0):
			return m.requestConfirmation(o, r, known)
		case known == repeatedReply:
			m.unsettled++
		}
		m.remember(o, r)
		return r, nil
	}
}

// remember remembers a reply that was taken for the answer to an order.
func (m *Matcher) remember(o Order, r query.Reply) {
	id := identify(o, r)
	if m.recent.find(id) == repeatedReply && r.Receipt != "" {
		// It stays the answer to the statement for which it came first.
		return
	}
	m.recent.add(id)
}

func (m *Matcher) unmatched(o Order, r query.Reply) error {
	m.Repeats.countUnmatched()
	return fmt.Errorf("reply with %d rows and receipt %.40q to %T: %w", len(r.Rows), r.Receipt, o, ErrUnmatched)
}
