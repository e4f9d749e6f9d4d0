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

// History is what callers saw.
type History struct {
	// Done, Refused and Unknown count endings.
	Done    int
	Refused int
	Unknown int
	// Reads and Replica count reads that were done, and those that a replica
	// answered; AgedReads and AgedReplica are those with a stated age.
	Reads       int
	Replica     int
	AgedReads   int
	AgedReplica int
	// Broken counts reads that a baseline answered wrongly.
	Broken int
	// Latencies are the times of reads that were done.
	Latencies []time.Duration
	// Acknowledged are the times at which writes were acknowledged.
	Acknowledged []time.Duration

	ended []ended
}

type ended struct {
	request  *request
	session  uint64
	ending   group.Ending
	returned time.Duration
	released time.Duration
	result   result
}

// History returns what callers saw so far.
func (w *World) History() *History { return &w.history }

func (h *History) add(w *World, s *session, q *request, e group.Ending, released time.Duration) {
	n := ended{request: q, session: s.id, ending: e, returned: w.now, released: released}
	switch e := e.(type) {
	case group.Done:
		h.Done++
		n.result = q.results[e.Run]
		h.count(w, q, e)
	case group.Refused:
		h.Refused++
	case group.Unknown:
		h.Unknown++
	default:
		panic(fmt.Sprintf("world: unknown ending %T", e))
	}
	h.ended = append(h.ended, n)
}

func (h *History) count(w *World, q *request, e group.Done) {
	if q.op != opRead && q.op != opAged {
		if q.op != opBegin && q.op != opPut {
			h.Acknowledged = append(h.Acknowledged, w.now)
		}
		return
	}
	h.Reads++
	h.Latencies = append(h.Latencies, w.now-q.called)
	if e.Replica {
		h.Replica++
	}
	if q.op == opAged {
		h.AgedReads++
		if e.Replica {
			h.AgedReplica++
		}
	}
}

// Gap returns the longest time between two acknowledged writes after t.
func (h *History) Gap(t time.Duration) time.Duration {
	gap, last := time.Duration(0), t
	for _, at := range h.Acknowledged {
		if at < t {
			continue
		}
		gap = max(gap, at-last)
		last = at
	}
	return gap
}

// Check judges the whole run. It returns an error that names what did not
// hold.
func (w *World) Check() error {
	log := w.finalLog()
	places := map[string]int{}
	for i, v := range log {
		if _, again := places[v]; !again {
			places[v] = i + 1
		}
	}
	w.checkEndings(places)
	w.checkSessions(places)
	w.checkAges(places)
	w.checkLinearizable()
	if len(w.failures) > 0 {
		return fmt.Errorf("seed %d: %s", w.Seed, strings.Join(w.failures, "; "))
	}
	return nil
}

// finalLog returns the values that the last primary's log holds, in order.
func (w *World) finalLog() []string {
	var best *target
	for _, t := range w.targets {
		if t.replica.Role() == group.RolePrimary && (best == nil || t.replica.Term() > best.replica.Term()) {
			best = t
		}
	}
	if best == nil {
		w.fail("no primary at the end")
		return nil
	}
	return best.replica.Values()
}

// checkEndings checks each ending against the log: what was acknowledged is
// in it, what was refused never ran, what must run once did not run twice.
func (w *World) checkEndings(places map[string]int) {
	for _, n := range w.history.ended {
		q := n.request
		if q.op != opWrite && q.op != opRepeat && q.op != opCommit {
			continue
		}
		ran := 0
		for _, t := range w.targets {
			ran += t.executed[q.id]
		}
		if q.op != opRepeat && ran > 1 {
			w.fail("request %d ran %d times", q.id, ran)
		}
		switch n.ending.(type) {
		case group.Done:
			for _, o := range append(slices.Clone(q.puts), q) {
				if o.op != opCommit && places[o.value] == 0 {
					w.fail("acknowledged request %d of %d was lost", o.id, q.id)
				}
			}
		case group.Refused:
			if ran > 0 {
				w.fail("refused request %d ran", q.id)
			}
		}
	}
}

// checkSessions checks that no session saw a row go back, and that nothing
// was read that was lost later.
func (w *World) checkSessions(places map[string]int) {
	if w.Shape.Policy != PolicyFull {
		return
	}
	type seen struct {
		session uint64
		key     string
	}
	last := map[seen]int{}
	for _, n := range w.history.ended {
		q := n.request
		_, done := n.ending.(group.Done)
		if !done || q.op != opRead && q.op != opAged || !strings.HasPrefix(q.key, "k") {
			continue
		}
		place := places[n.result.value]
		if n.result.found && place == 0 {
			w.fail("read %d saw %s, which was lost", q.id, n.result.value)
		}
		at := seen{session: n.session, key: q.key}
		if place < last[at] {
			w.fail("session %d saw row %s go back", n.session, q.key)
		}
		last[at] = place
	}
}

// checkAges checks that aged reads saw every write acknowledged before their
// age.
func (w *World) checkAges(places map[string]int) {
	if w.Shape.Policy != PolicyFull {
		return
	}
	for _, n := range w.history.ended {
		q := n.request
		if _, done := n.ending.(group.Done); !done || q.op != opAged {
			continue
		}
		for _, o := range w.history.ended {
			_, acked := o.ending.(group.Done)
			wrote := o.request.op == opWrite
			if !acked || !wrote || o.request.key != q.key || o.returned > n.released-w.Shape.Age {
				continue
			}
			if places[o.request.value] > places[n.result.value] {
				w.fail("aged read %d missed %s by more than its age", q.id, o.request.value)
			}
		}
	}
}

// register is a row as porcupine sees it.
type register struct {
	write bool
	value string
}

// checkLinearizable checks that writes and current reads of each shared row
// could have happened one after the other.
func (w *World) checkLinearizable() {
	if w.Shape.Policy != PolicyFull {
		return
	}
	rows := map[string][]porcupine.Operation{}
	for i, n := range w.history.ended {
		q := n.request
		_, refused := n.ending.(group.Refused)
		_, unknown := n.ending.(group.Unknown)
		if refused {
			continue
		}
		end := int64(n.returned)
		if unknown {
			end = math.MaxInt64
		}
		add := func(o *request, in register) {
			rows[o.key] = append(rows[o.key], porcupine.Operation{
				ClientId: i, Input: in, Call: int64(q.called), Output: n.result.value, Return: end,
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
			w.fail("row %s is not linearizable", key)
		}
	}
}

func linearizable(operations []porcupine.Operation) bool {
	const limit = 20 * time.Second
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
	return porcupine.CheckOperationsTimeout(model, operations, limit) != porcupine.Illegal
}
