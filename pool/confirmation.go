package pool

import (
	"fmt"
	"slices"

	"amaranthsill/query"
)

// The numbers of orders that confirm an answer.
const (
	// locateConfirmations confirm a position; as many repetitions may arrive before them.
	locateConfirmations = 3
	// beginConfirmations confirm the opening of a transaction, and failureConfirmations
	// the failure of a statement.
	beginConfirmations   = 2
	failureConfirmations = 2
)

// confirmations returns the orders that are sent after one to confirm its answer.
func confirmations(o Order) []Order {
	switch o.(type) {
	case Begin:
		return slices.Repeat([]Order{Confirm{}}, beginConfirmations)
	case Locate:
		return slices.Repeat([]Order{Confirm{}}, locateConfirmations)
	default:
		return nil
	}
}

// requestConfirmation sends orders that confirm a reply, and returns the answer that they
// show.
func (m *Matcher) requestConfirmation(o Order, r query.Reply, known likeness) (query.Reply, error) {
	orders := slices.Repeat([]Order{Confirm{}}, failureConfirmations)
	if err := m.Conn.Send(orders...); err != nil {
		return query.Reply{}, fmt.Errorf("confirm answer: %w", err)
	}
	confirmed, err := m.confirm(o, possibleReply{r, known}, orders)
	if err == nil {
		m.Repeats.countConfirmed(confirmed.Receipt != r.Receipt || confirmed.Failure != r.Failure)
	}
	return confirmed, err
}

// possibleReply is a reply that may be the answer to an order, with what it has in common with
// earlier replies.
type possibleReply struct {
	query.Reply
	known likeness
}

// confirm returns the answer to an order, given a reply that may be a repetition and the
// orders that were sent after it. What arrives before their answers and is possible for the
// order may be its answer as well.
func (m *Matcher) confirm(o Order, first possibleReply, awaited []Order) (query.Reply, error) {
	m.remember(o, first.Reply)
	candidates, last, highest := []possibleReply{first}, first.Reply, first.Position
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
		case known != newReply && r.Receipt != "":
			m.Repeats.Record(m.Target)
		case m.answers(awaited[0], r, known):
			awaited, last = awaited[1:], r
			if known == repeatedReply && identify(o, r) != identify(o, first.Reply) {
				// It may be a repetition itself; then the answer proper is yet to come.
				m.unsettled = 1
			}
		case m.answers(o, r, known):
			candidates = append(candidates, possibleReply{r, known})
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
		return query.Reply{}, m.unmatched(o, first.Reply)
	}
	if len(candidates) > 1 {
		m.Repeats.Record(m.Target)
		m.spent = true
	}
	answer := candidates[i]
	if _, ok := o.(Begin); ok && answer.Failure != nil && answer.known != newReply {
		// The transaction may be open nevertheless.
		m.spent = true
	}
	if isPlain(answer.Reply) && answer.known != newReply {
		// The answer proper may have been taken for that to Confirm.
		m.unsettled++
	}
	if _, ok := o.(Locate); ok {
		// Where as many answers as were awaited are repetitions, one of the others is at
		// least as late as the answer proper.
		answer.Position = highest
	}
	return answer.Reply, nil
}

// choose returns the index of the answer to an order among replies, of which the others are
// repetitions, or -1 if that cannot be told. State is the transaction state after the order.
func choose(o Order, candidates []possibleReply, state query.State) int {
	newest := lastIndex(candidates, func(r possibleReply) bool { return r.known == newReply })
	if _, ok := o.(Begin); ok {
		agrees := func(r possibleReply) bool { return (r.Failure == nil) == (state == query.StateOpen) }
		if newest >= 0 && !agrees(candidates[newest]) {
			return -1
		}
		return lastIndex(candidates, agrees)
	}
	switch {
	case newest < 0:
		return len(candidates) - 1
	case candidates[newest].Receipt == "" && slices.ContainsFunc(candidates[:newest], func(r possibleReply) bool { return r.known == newReply }):
		// More than one is new, and none proves itself.
		return -1
	default:
		return newest
	}
}

// lastIndex returns the index of the last candidate of which a function is true, or -1.
func lastIndex(candidates []possibleReply, is func(possibleReply) bool) int {
	for i, r := range slices.Backward(candidates) {
		if is(r) {
			return i
		}
	}
	return -1
}
