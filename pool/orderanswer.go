package pool

import "amaranthsill/query"

// hasReceipt reports whether the success of an order comes with a receipt.
func hasReceipt(o Order) bool {
	switch o.(type) {
	case Forward, ForwardPlan:
		return true
	default:
		return false
	}
}

// mustBeNew reports whether an answer to an order without a receipt is believed only if it
// equals no earlier one, on a target that sends answers twice: it decides what a caller is
// told or where its statements run.
func mustBeNew(o Order) bool {
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
		// A failed transaction refuses all orders but its end.
		return isPlain(r) || r.State == query.StateFailed && r.Failure != nil && r.Failure.Code == query.CodeMalformed
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
