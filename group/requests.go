package group

import (
	"slices"
	"time"
)

// requests holds the unanswered requests and their runs, slots and
// transactions.
type requests struct {
	workItems map[uint64]*workItem
	waiting   []*workItem
	// heldReplies are the requests whose reply may not be released yet.
	heldReplies []*workItem
	runs        map[uint64]*run
	slots       map[uint64]*slot
	// pinned maps a session to the slot of its open transaction.
	pinned map[uint64]*slot
	// lostTransactions marks the sessions whose open transaction was lost
	// while no request ran in it. The next request of such a session is
	// refused.
	lostTransactions map[uint64]bool
	lastRequest      time.Duration
	// rerunBudget is the number of reruns that are currently allowed.
	rerunBudget float64
}

// workState is the state of an unanswered request: it waits for a slot, runs,
// or has a reply that is held.
type workState uint8

const (
	workWaiting workState = iota
	workRunning
	workHeld
)

// workItem is an unanswered request.
type workItem struct {
	Request
	state   workState
	arrived time.Duration
	// currentSince is the time whose acknowledged writes a read must see: its
	// arrival, or its last rerun because a reply exceeded MaxStaleness.
	currentSince time.Duration
	// mayHaveRun reports that a target may have run the request.
	mayHaveRun bool
	// lastTarget is the target to which the request was last sent.
	lastTarget string
	runCount   int
	run        *run
	// notBefore is the earliest time for a rerun.
	notBefore time.Duration
	// waitingSince is when the request first waited for a replica to apply
	// the required position since it was last queued; zero if it has not
	// waited.
	waitingSince time.Duration
	// awaitedReplica is the replica that the request waits for, if any.
	awaitedReplica *view
	// required is the lowest position that a target must show for the read.
	required Position
	// readIndex is the read index for currentSince, if hasReadIndex is set.
	readIndex    Position
	hasReadIndex bool
	// reply is the held reply of the run replyRun on the target source.
	reply    Reply
	source   *view
	replyRun uint64
}

// maxRerunBudget bounds the reruns that can accumulate in the budget.
const maxRerunBudget = 50

func (r *requests) init() {
	r.workItems = map[uint64]*workItem{}
	r.runs = map[uint64]*run{}
	r.slots = map[uint64]*slot{}
	r.pinned = map[uint64]*slot{}
	r.lostTransactions = map[uint64]bool{}
	r.rerunBudget = maxRerunBudget
}

// requestArrived sends a request that belongs to an open transaction to its
// slot and queues any other.
func (m *Machine) requestArrived(q Request) {
	w := &workItem{Request: q, arrived: m.now, currentSince: m.now}
	m.lastRequest = m.now
	if m.workItems[q.ID] != nil {
		m.reportBreach("request %d arrived twice", q.ID)
		return
	}
	m.workItems[q.ID] = w
	if m.lostTransactions[q.Session] {
		delete(m.lostTransactions, q.Session)
		m.refuse(w, ReasonTransactionLost)
		return
	}
	if s := m.pinned[q.Session]; s != nil {
		m.startRun(w, s)
		return
	}
	if len(m.waiting) >= m.Limits.QueueLength {
		m.refuse(w, ReasonQueueFull)
		return
	}
	m.rerunBudget = min(maxRerunBudget, m.rerunBudget+m.Limits.RerunShare)
	m.waiting = append(m.waiting, w)
}

// sessionEnded removes the requests of a session. A run in flight ends on its
// own; an open transaction is rolled back.
func (m *Machine) sessionEnded(session uint64) {
	delete(m.lostTransactions, session)
	for _, w := range m.workItems {
		if w.Session != session {
			continue
		}
		if w.run != nil {
			w.run.work = nil
		}
		m.removeWork(w)
	}
	if s := m.pinned[session]; s != nil && s.run == nil {
		m.rollbackOrphan(s)
	}
}

// removeWork removes a request from the queue and from the held replies.
func (m *Machine) removeWork(w *workItem) {
	delete(m.workItems, w.ID)
	m.waiting = slices.DeleteFunc(m.waiting, func(o *workItem) bool { return o == w })
	m.heldReplies = slices.DeleteFunc(m.heldReplies, func(o *workItem) bool { return o == w })
}

// end answers a request and closes the slot on which it still runs.
func (m *Machine) end(w *workItem, ending Ending) {
	if m.workItems[w.ID] != w {
		m.reportBreach("request %d ended twice", w.ID)
		return
	}
	if w.run != nil && w.state == workRunning {
		m.closeSlot(w.run.slot)
		w.run = nil
	}
	m.removeWork(w)
	m.emit(Answer{Request: w.ID, Ending: ending})
}

// refuse ends a request that cannot be run now. Its outcome is unknown if a
// target may have run it.
func (m *Machine) refuse(w *workItem, reason Reason) {
	if w.mayHaveRun {
		m.end(w, Unknown{Reason: reason})
		return
	}
	m.end(w, Refused{Reason: reason, RetryAfter: m.retryAfter(reason)})
}

// retryAfter estimates how long a refused caller should wait before it
// retries.
func (m *Machine) retryAfter(reason Reason) time.Duration {
	const (
		shortDelay = 100 * time.Millisecond
		longDelay  = time.Second
	)
	switch reason {
	case ReasonQueueFull:
		return shortDelay + time.Duration(len(m.waiting))*time.Millisecond
	case ReasonNoMajority, ReasonTimeout, ReasonRetired:
		return longDelay
	default:
		return shortDelay
	}
}

// checkDeadlines ends the requests whose deadline has passed: with an unknown
// outcome if they were sent, and as refused otherwise.
func (m *Machine) checkDeadlines() {
	for _, r := range m.overdueRuns() {
		w := r.work
		s := r.slot
		if w != nil {
			w.run = nil
			m.closeSlot(s)
			m.end(w, Unknown{Reason: ReasonSilent})
			continue
		}
		m.closeSlot(s)
	}
	m.rerunUnanswered()
	for _, w := range slices.Clone(m.waiting) {
		if m.now >= w.Deadline {
			m.refuse(w, ReasonTimeout)
		}
	}
	for _, w := range slices.Clone(m.heldReplies) {
		if m.now >= w.Deadline {
			m.abandonHeld(w, ReasonUnacknowledged)
		}
	}
}

func (m *Machine) overdueRuns() []*run {
	overdue := []*run{}
	for _, r := range m.runs {
		if m.now >= r.deadline {
			overdue = append(overdue, r)
		}
	}
	slices.SortFunc(overdue, func(a, b *run) int { return int(a.id) - int(b.id) })
	return overdue
}

// rerunUnanswered stops the runs for which waiting longer is pointless. It
// reruns their requests where allowed; otherwise the outcome is unknown.
func (m *Machine) rerunUnanswered() {
	unanswered := []*run{}
	for _, r := range m.runs {
		if r.work != nil && m.waitedTooLong(r) {
			unanswered = append(unanswered, r)
		}
	}
	slices.SortFunc(unanswered, func(a, b *run) int { return int(a.id) - int(b.id) })
	for _, r := range unanswered {
		w := r.work
		inTransaction := r.slot.session != 0
		w.run = nil
		m.closeSlot(r.slot)
		if inTransaction || !m.rerun(w) {
			m.end(w, Unknown{Reason: ReasonSilent})
		}
	}
}

// waitedTooLong reports whether waiting longer for a run is pointless: its
// target is lost, or it is a read that has used its share of the time and may
// run elsewhere.
func (m *Machine) waitedTooLong(r *run) bool {
	w := r.work
	if r.slot.view.lost {
		return true
	}
	if !w.Read || w.runCount > m.Limits.MaxReruns {
		return false
	}
	timePerRun := (w.Deadline - w.arrived) / time.Duration(m.Limits.MaxReruns+1)
	return m.now-w.arrived > timePerRun*time.Duration(w.runCount)
}

// rerun queues a request again. It reports false if the request must not run
// more than once, has used its reruns, or the rerun budget is exhausted.
func (m *Machine) rerun(w *workItem) bool {
	if !w.Read && !w.Repeatable {
		return false
	}
	if w.runCount > m.Limits.MaxReruns || m.rerunBudget < 1 {
		return false
	}
	m.rerunBudget--
	w.notBefore = m.now + time.Duration(m.random.Int64N(int64(m.Limits.Tick)+1))
	m.requeue(w)
	return true
}

// requeue returns a request to the queue at its place by arrival.
func (m *Machine) requeue(w *workItem) {
	w.state = workWaiting
	w.run = nil
	w.waitingSince = 0
	m.heldReplies = slices.DeleteFunc(m.heldReplies, func(o *workItem) bool { return o == w })
	i, _ := slices.BinarySearchFunc(m.waiting, w, func(a, b *workItem) int { return int(a.arrived - b.arrived) })
	m.waiting = slices.Insert(m.waiting, i, w)
}
