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
	// ErrNotSent reports that orders were not sent, so that none of them runs.
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
	// reached is the highest position of an answer, and state the transaction state of the
	// last one.
	reached query.Position
	state   query.State
	// spent reports that the connection must not be used again once it is idle.
	spent bool
}

var _ Link = (*Matcher)(nil)

// Send implements Link. Its error wraps ErrNotSent if no order was sent.
func (m *Matcher) Send(orders ...Order) error {
	if err := m.discardPending(); err != nil {
		return errors.Join(ErrNotSent, err)
	}
	m.unanswered = append(m.unanswered, orders...)
	m.confirming = m.confirmations(orders[len(orders)-1])
	return m.Conn.Send(append(slices.Clip(orders), m.confirming...)...)
}

// Spent reports whether the connection must not be used for other statements.
func (m *Matcher) Spent() bool { return m.spent }

// manyConfirmations is the number of orders that confirm a position of a target that sends
// answers twice.
const manyConfirmations = 3

// confirmations returns the orders that are sent after one to confirm its answer.
func (m *Matcher) confirmations(o Order) []Order {
	switch o.(type) {
	case Begin:
		return []Order{Confirm{}}
	case Locate:
		if m.Repeats.expects(m.Target) {
			return slices.Repeat([]Order{Confirm{}}, manyConfirmations)
		}
		return []Order{Confirm{}}
	default:
		return nil
	}
}

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
	case known == newReply && m.unsettled > 0 && isPlain(r):
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
			return m.confirm(o, r, awaited)
		case hasReceipt(o) && (known != newReply || m.unsettled > 0):
			return m.requestConfirmation(o, r)
		case known == repeatedReply:
			m.unsettled++
		}
		m.remember(o, r)
		return r, nil
	}
}

// requestConfirmation sends orders that confirm a reply, and returns the answer that they
// show.
func (m *Matcher) requestConfirmation(o Order, r query.Reply) (query.Reply, error) {
	orders := []Order{Confirm{}}
	if r.State == query.StateIdle {
		orders = append(orders, Locate{})
	}
	if err := m.Conn.Send(orders...); err != nil {
		return query.Reply{}, fmt.Errorf("confirm answer: %w", err)
	}
	confirmed, err := m.confirm(o, r, orders)
	if err == nil {
		m.Repeats.countConfirmed(confirmed.Receipt != r.Receipt || confirmed.Failure != r.Failure)
	}
	return confirmed, err
}

// confirm returns the answer to an order, given a reply that may be a repetition and the
// orders that were sent after it. What arrives before their answers and is possible for the
// order may be its answer as well.
func (m *Matcher) confirm(o Order, first query.Reply, awaited []Order) (query.Reply, error) {
	m.remember(o, first)
	candidates, last, highest := []query.Reply{first}, first, first.Position
	m.unsettled = 0
	for len(awaited) > 0 {
		r, err := m.Conn.Receive()
		if err != nil {
			return query.Reply{}, fmt.Errorf("confirm answer: %w", err)
		}
		known := m.recent.find(identify(o, r))
		switch {
		case known == conflictingReply:
			return query.Reply{}, m.unmatched(o, r)
		case known != newReply && (r.Receipt != "" || m.goesBack(r)):
			m.Repeats.Record(m.Target)
		case m.answers(awaited[0], r, known):
			awaited, last = awaited[1:], r
			if known == repeatedReply {
				// It may be a repetition itself; then the answer proper is yet to come.
				m.unsettled = 1
			}
		case m.answers(o, r, known):
			candidates = append(candidates, r)
		case !m.discard(r):
			return query.Reply{}, m.unmatched(o, r)
		}
		if r.Position.Reaches(highest) {
			highest = r.Position
		}
		m.remember(o, r)
	}
	i := choose(o, candidates, last.State)
	if i < 0 {
		return query.Reply{}, m.unmatched(o, first)
	}
	if len(candidates) > 1 {
		m.Repeats.Record(m.Target)
		m.spent = true
	}
	if isPlain(candidates[i]) {
		// The answer proper may have been taken for that to Confirm.
		m.unsettled++
	}
	answer := candidates[i]
	if _, ok := o.(Locate); ok {
		// Where as many answers as were awaited are repetitions, one of the others is at
		// least as late as the answer proper.
		answer.Position = highest
	}
	return answer, nil
}

// goesBack reports whether a reply has a lower position than an earlier one. A target's log
// becomes shorter only after a promotion.
func (m *Matcher) goesBack(r query.Reply) bool {
	return !r.Position.IsZero() && !r.Position.Reaches(m.reached)
}

// choose returns the index of the answer to an order among replies, of which the others are
// repetitions, or -1 if none can be it. State is the transaction state after the order.
func choose(o Order, candidates []query.Reply, state query.State) int {
	switch o.(type) {
	case Begin:
		return lastIndex(candidates, func(r query.Reply) bool { return (r.Failure == nil) == (state == query.StateOpen) })
	default:
		// All others that arrive with a receipt are new.
		if i := lastIndex(candidates[1:], func(r query.Reply) bool { return r.Receipt != "" }); i >= 0 {
			return i + 1
		}
		return len(candidates) - 1
	}
}

// lastIndex returns the index of the last reply of which a function is true, or -1.
func lastIndex(replies []query.Reply, is func(query.Reply) bool) int {
	for i, r := range slices.Backward(replies) {
		if is(r) {
			return i
		}
	}
	return -1
}

// remember remembers a reply that was taken for the answer to an order.
func (m *Matcher) remember(o Order, r query.Reply) {
	id := identify(o, r)
	if m.recent.find(id) == repeatedReply && r.Receipt != "" {
		// It stays the answer to the statement for which it came first.
		return
	}
	m.recent.add(id)
	if r.Position.Reaches(m.reached) {
		m.reached = r.Position
	}
}

func (m *Matcher) unmatched(o Order, r query.Reply) error {
	m.Repeats.countUnmatched()
	return fmt.Errorf("reply with %d rows and receipt %.40q to %T: %w", len(r.Rows), r.Receipt, o, ErrUnmatched)
}

// hasReceipt reports whether the success of an order comes with a receipt.
func hasReceipt(o Order) bool {
	switch o.(type) {
	case Forward, ForwardPlan:
		return true
	default:
		return false
	}
}

// isDoubtful reports whether an answer to an order without a receipt decides what a caller is
// told or where its statements run.
func isDoubtful(o Order) bool {
	_, begins := o.(Begin)
	return begins || hasReceipt(o)
}

// isPlain reports whether a reply is a success without a receipt and rows.
func isPlain(r query.Reply) bool {
	return r.Failure == nil && r.Receipt == "" && len(r.Rows) == 0
}

// isCommit reports whether an order commits a transaction.
func isCommit(o Order) bool {
	f, ok := o.(Forward)
	if !ok {
		return false
	}
	_, ok = f.Query.Operation.(query.Commit)
	return ok
}

// answers reports whether a reply can be the answer to an order. Known states what it has in
// common with earlier replies.
func (m *Matcher) answers(o Order, r query.Reply, known likeness) bool {
	// Statements are prepared before they are executed, so that only Locate asks for an
	// unknown one.
	fails := r.Failure != nil && (known == newReply || r.Failure.Code != query.CodeNoStatement)
	switch o := o.(type) {
	case Forward, ForwardPlan:
		return fails || r.Receipt != ""
	case Begin:
		reached := r.Position.IsZero() || r.Position.Reaches(o.After)
		return fails && r.State != query.StateOpen || isPlain(r) && r.State == query.StateOpen && reached
	case Rollback:
		return fails || isPlain(r) && r.State == query.StateIdle
	case Align:
		// A connection on which an Align failed is closed, so that no earlier failure was
		// an answer to one.
		return known == newReply && r.Failure != nil || isPlain(r) && (known == newReply || r.State == m.state)
	case Confirm:
		return isPlain(r)
	case Locate:
		// Targets may accept the removal of a statement that does not exist.
		return isPlain(r) && (known == newReply || r.State == m.state) ||
			r.Failure != nil && (known == newReply || r.Failure.Code == query.CodeNoStatement)
	case Status, StepDown, Pause:
		return r.Receipt == "" && (r.Failure != nil || len(r.Rows) > 0)
	default:
		return true
	}
}
