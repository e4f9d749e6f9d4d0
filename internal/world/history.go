package world

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"amaranthsill/group"
)

// History is the record of all requests that ended, as callers saw them.
type History struct {
	// Done, Refused and Unknown count requests by their ending.
	Done    int
	Refused int
	Unknown int
	// Reads counts completed reads, and ReplicaReads those of them that a replica
	// answered. AgedReads and AgedReplicaReads count the same for reads with a
	// stated age only.
	Reads            int
	ReplicaReads     int
	AgedReads        int
	AgedReplicaReads int
	// StaleOwnReads counts reads that did not return the session's own last write,
	// under PolicyFloor without a token. Elsewhere such a read fails Check.
	StaleOwnReads int
	// Latencies are the times of completed reads, from the caller's send to
	// the answer's arrival at the caller.
	Latencies []time.Duration
	// AcknowledgedAt are the virtual times at which callers got the
	// acknowledgement of a write or commit, in order.
	AcknowledgedAt []time.Duration

	outcomes []outcome
}

// outcome is how one request ended.
type outcome struct {
	request *request
	session uint64
	ending  group.Ending
	// answerReceivedAt is the virtual time at which the caller got the answer,
	// answerSentAt the one at which the VM sent it.
	answerReceivedAt time.Duration
	answerSentAt     time.Duration
	result           result
}

// History returns the record of the requests that have ended so far.
func (w *World) History() *History { return &w.history }

// add records the ending of a request, which the caller learns now. A request
// may have run several times; the result recorded is that of the run whose reply
// the VM passed on, which Done.Run names.
func (h *History) add(w *World, s *session, q *request, e group.Ending, answerSentAt time.Duration) {
	n := outcome{request: q, session: s.id, ending: e, answerReceivedAt: w.now, answerSentAt: answerSentAt}
	switch e := e.(type) {
	case group.Done:
		h.Done++
		n.result = q.results[e.Run]
		h.countDone(w, q, e)
	case group.Refused:
		h.Refused++
	case group.Unknown:
		h.Unknown++
	default:
		panic(fmt.Sprintf("world: unknown ending %T", e))
	}
	h.outcomes = append(h.outcomes, n)
}

func (h *History) countDone(w *World, q *request, e group.Done) {
	if q.op != opRead && q.op != opAged {
		if q.op != opBegin && q.op != opPut {
			h.AcknowledgedAt = append(h.AcknowledgedAt, w.now)
		}
		return
	}
	h.Reads++
	h.Latencies = append(h.Latencies, w.now-q.sentAt)
	if e.Replica {
		h.ReplicaReads++
	}
	if q.op == opAged {
		h.AgedReads++
		if e.Replica {
			h.AgedReplicaReads++
		}
	}
}

// LongestWriteGap returns the longest time without an acknowledged write
// between virtual time t and the last acknowledgement; zero if none came after
// t.
func (h *History) LongestWriteGap(t time.Duration) time.Duration {
	gap, last := time.Duration(0), t
	for _, at := range h.AcknowledgedAt {
		if at < t {
			continue
		}
		gap = max(gap, at-last)
		last = at
	}
	return gap
}

// Check verifies the consistency guarantees over the whole run. Its error lists
// the violations, each with the virtual time at which it was found, and the
// seed. Call it once, after Drain.
func (w *World) Check() error {
	log := w.finalLog()
	positions := map[string]int{}
	for i, v := range log {
		if _, known := positions[v]; !known {
			positions[v] = i + 1
		}
	}
	w.checkEndings(positions)
	w.checkSessions(positions)
	w.checkAges(positions)
	w.checkLinearizable()
	if len(w.violations) > 0 {
		return fmt.Errorf("seed %d: %s", w.Seed, strings.Join(w.violations, "; "))
	}
	return nil
}

// finalLog returns the values in the log of the primary of the highest term, in
// log order.
func (w *World) finalLog() []string {
	var primary *target
	for _, t := range w.targets {
		if t.replica.Role() == group.RolePrimary && (primary == nil || t.replica.Term() > primary.replica.Term()) {
			primary = t
		}
	}
	if primary == nil {
		w.recordViolation("no target is primary at the end of the run")
		return nil
	}
	return primary.replica.Values()
}

// checkEndings checks each write's ending: the final log holds every
// acknowledged write, no refused request ran on any target, and a write that
// must not be repeated ran at most once. The map holds the first position of
// each value in the final log, from 1.
func (w *World) checkEndings(positions map[string]int) {
	for _, n := range w.history.outcomes {
		q := n.request
		if q.op != opWrite && q.op != opRepeat && q.op != opCommit {
			continue
		}
		ran := 0
		for _, t := range w.targets {
			ran += t.executions[q.id]
		}
		if q.op != opRepeat && ran > 1 {
			w.recordViolation("request %d ran %d times", q.id, ran)
		}
		switch n.ending.(type) {
		case group.Done:
			for _, o := range append(slices.Clone(q.puts), q) {
				if o.op != opCommit && positions[o.value] == 0 {
					w.recordViolation("acknowledged request %d of %d was lost", o.id, q.id)
				}
			}
		case group.Refused:
			if ran > 0 {
				w.recordViolation("refused request %d ran", q.id)
			}
		}
	}
}

// checkSessions checks that successive reads of a shared row by one session
// never returned an older value (monotonic reads), and that every value read
// is in the final log.
func (w *World) checkSessions(positions map[string]int) {
	if w.Scenario.Policy != PolicyFull {
		return
	}
	type sessionRow struct {
		session uint64
		key     string
	}
	last := map[sessionRow]int{}
	for _, n := range w.history.outcomes {
		q := n.request
		_, done := n.ending.(group.Done)
		if !done || q.op != opRead && q.op != opAged || !strings.HasPrefix(q.key, "k") {
			continue
		}
		position := positions[n.result.value]
		if n.result.found && position == 0 {
			w.recordViolation("read %d saw %s, which was lost", q.id, n.result.value)
		}
		at := sessionRow{session: n.session, key: q.key}
		if position < last[at] {
			w.recordViolation("session %d saw row %s go back", n.session, q.key)
		}
		last[at] = position
	}
}

// checkAges checks that each read with a stated age saw every write that had
// been acknowledged at least that long before the VM answered the read.
func (w *World) checkAges(positions map[string]int) {
	if w.Scenario.Policy != PolicyFull {
		return
	}
	for _, n := range w.history.outcomes {
		q := n.request
		if _, done := n.ending.(group.Done); !done || q.op != opAged {
			continue
		}
		for _, o := range w.history.outcomes {
			_, acked := o.ending.(group.Done)
			wrote := o.request.op == opWrite
			if !acked || !wrote || o.request.key != q.key || o.answerReceivedAt > n.answerSentAt-w.Scenario.MaxStaleness {
				continue
			}
			if positions[o.request.value] > positions[n.result.value] {
				w.recordViolation("aged read %d missed %s by more than its age", q.id, o.request.value)
			}
		}
	}
}

// register is the input of an operation on one row in the porcupine model.
type register struct {
	write bool
	value string
}

// checkLinearizable checks that the writes and current reads of each shared row
// are linearizable. A write of unknown outcome may take effect at any time
// after it was sent.
func (w *World) checkLinearizable() {
	if w.Scenario.Policy != PolicyFull {
		return
	}
	rows := map[string][]porcupine.Operation{}
	for i, n := range w.history.outcomes {
		q := n.request
		_, refused := n.ending.(group.Refused)
		_, unknown := n.ending.(group.Unknown)
		if refused {
			continue
		}
		end := int64(n.answerReceivedAt)
		if unknown {
			end = math.MaxInt64
		}
		add := func(o *request, in register) {
			rows[o.key] = append(rows[o.key], porcupine.Operation{
				ClientId: i, Input: in, Call: int64(q.sentAt), Output: n.result.value, Return: end,
			})
		}
		switch q.op {
		case opRead:
			if !unknown {
				add(q, register{value: ""})
			}
		case opWrite:
			add(q, register{write: true, value: q.value})
		case opCommit:
			for _, p := range q.puts {
				add(p, register{write: true, value: p.value})
			}
		}
	}
	for key, operations := range rows {
		if strings.HasPrefix(key, "k") && !linearizable(operations) {
			w.recordViolation("row %s is not linearizable", key)
		}
	}
}

// linearizable reports whether porcupine finds no violation within its time
// limit; an undecided check passes.
func linearizable(operations []porcupine.Operation) bool {
	const checkTimeout = 20 * time.Second
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			in := input.(register)
			if in.write {
				return true, in.value
			}
			return output == state, state
		},
	}
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout) != porcupine.Illegal
}
