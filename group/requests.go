package group

import (
	"slices"
	"time"
)

// requests is the work that callers have asked for and not yet got.
type requests struct {
	works   map[uint64]*work
	waiting []*work
	held    []*work
	runs    map[uint64]*run
	slots   map[uint64]*slot
	// pinned maps a session to the slot of its open transaction.
	pinned map[uint64]*slot
	// aborted marks sessions whose transaction ended without their doing.
	aborted     map[uint64]bool
	lastRequest time.Duration
	// allowance is how many reruns are allowed now.
	allowance float64
}

// workState is where a request is on its way.
type workState uint8

const (
	workWaiting workState = iota
	workRunning
	workHeld
)

// work is one request on its way.
type work struct {
	Request
	state   workState
	arrived time.Duration
	// since is the time from which on a read must be current: its arrival,
	// or the moment when an answer had become too old.
	since time.Duration
	// sent reports that a target may have run the request.
	sent bool
	// sentTo is the target that may have run it last.
	sentTo string
	runs   int
	run    *run
	// notBefore delays a rerun.
	notBefore time.Duration
	// waitFrom is when the request began to wait for a replica; zero if it
	// does not.
	waitFrom time.Duration
	awaits   *view
	need     Position
	index    Position
	indexed  bool
	reply    Reply
	source   *view
	replied  uint64
}

// maxAllowance bounds the reruns that may be saved up.
const maxAllowance = 50

func (r *requests) init() {
	r.works = map[uint64]*work{}
	r.runs = map[uint64]*run{}
	r.slots = map[uint64]*slot{}
	r.pinned = map[uint64]*slot{}
	r.aborted = map[uint64]bool{}
	r.allowance = maxAllowance
}

func (m *Machine) arrive(q Request) {
	w := &work{Request: q, arrived: m.now, since: m.now}
	m.lastRequest = m.now
	if m.works[q.ID] != nil {
		m.breach("request %d arrived twice", q.ID)
		return
	}
	m.works[q.ID] = w
	if m.aborted[q.Session] {
		delete(m.aborted, q.Session)
		m.refuse(w, ReasonTransactionLost)
		return
	}
	if s := m.pinned[q.Session]; s != nil {
		m.startRun(w, s)
		return
	}
	if len(m.waiting) >= m.Limits.Queue {
		m.refuse(w, ReasonQueueFull)
		return
	}
	m.allowance = min(maxAllowance, m.allowance+m.Limits.RetryShare)
	m.waiting = append(m.waiting, w)
}

// vanish forgets a session. A run under way ends on its own; an open
// transaction is rolled back.
func (m *Machine) vanish(session uint64) {
	delete(m.aborted, session)
	for _, w := range m.works {
		if w.Session != session {
			continue
		}
		if w.run != nil {
			w.run.work = nil
		}
		m.forget(w)
	}
	if s := m.pinned[session]; s != nil && s.run == nil {
		m.endOrphan(s)
	}
}

func (m *Machine) forget(w *work) {
	delete(m.works, w.ID)
	m.waiting = slices.DeleteFunc(m.waiting, func(o *work) bool { return o == w })
	m.held = slices.DeleteFunc(m.held, func(o *work) bool { return o == w })
}

// end answers a request. Whatever still runs for it is closed.
func (m *Machine) end(w *work, ending Ending) {
	if m.works[w.ID] != w {
		m.breach("request %d ended twice", w.ID)
		return
	}
	if w.run != nil && w.state == workRunning {
		m.hang(w.run.slot)
		w.run = nil
	}
	m.forget(w)
	m.act(Answer{Request: w.ID, Ending: ending})
}

func (m *Machine) refuse(w *work, reason Reason) {
	if w.sent {
		m.end(w, Unknown{Reason: reason})
		return
	}
	m.end(w, Refused{Reason: reason, RetryAfter: m.retryAfter(reason)})
}

// retryAfter estimates when a refused caller may come back.
func (m *Machine) retryAfter(reason Reason) time.Duration {
	const (
		soon = 100 * time.Millisecond
		late = time.Second
	)
	switch reason {
	case ReasonQueueFull:
		return soon + time.Duration(len(m.waiting))*time.Millisecond
	case ReasonNoMajority, ReasonTimeout, ReasonRetired:
		return late
	default:
		return soon
	}
}

// checkDeadlines gives up on requests whose time is over, at once and with
// the ending that is true.
func (m *Machine) checkDeadlines() {
	for _, r := range m.overdueRuns() {
		w := r.work
		s := r.slot
		if w != nil {
			w.run = nil
			m.hang(s)
			m.end(w, Unknown{Reason: ReasonSilent})
			continue
		}
		m.hang(s)
	}
	m.rerunSilent()
	for _, w := range slices.Clone(m.waiting) {
		if m.now >= w.Deadline {
			m.refuse(w, ReasonTimeout)
		}
	}
	for _, w := range slices.Clone(m.held) {
		if m.now >= w.Deadline {
			m.abandonHeld(w, ReasonUnacknowledged)
		}
	}
}

func (m *Machine) overdueRuns() []*run {
	late := []*run{}
	for _, r := range m.runs {
		if m.now >= r.deadline {
			late = append(late, r)
		}
	}
	slices.SortFunc(late, func(a, b *run) int { return int(a.id) - int(b.id) })
	return late
}

// rerunSilent moves requests that may run again away from targets that
// stopped answering, and gives up on the others once their primary cannot
// acknowledge them any more.
func (m *Machine) rerunSilent() {
	silent := []*run{}
	for _, r := range m.runs {
		if r.work != nil && m.silentRun(r) {
			silent = append(silent, r)
		}
	}
	slices.SortFunc(silent, func(a, b *run) int { return int(a.id) - int(b.id) })
	for _, r := range silent {
		w := r.work
		inside := r.slot.session != 0
		w.run = nil
		m.hang(r.slot)
		if inside || !m.rerun(w) {
			m.end(w, Unknown{Reason: ReasonSilent})
		}
	}
}

// silentRun reports whether waiting longer for a run is pointless: its target
// is lost, or it may run elsewhere and has used its share of the time.
func (m *Machine) silentRun(r *run) bool {
	w := r.work
	if r.slot.view.lost {
		return true
	}
	if !w.Read || w.runs > m.Limits.Reruns {
		return false
	}
	share := (w.Deadline - w.arrived) / time.Duration(m.Limits.Reruns+1)
	return m.now-w.arrived > share*time.Duration(w.runs)
}

// rerun queues a request again if it may run more than once and the retry
// budget allows it.
func (m *Machine) rerun(w *work) bool {
	if !w.Read && !w.Repeat {
		return false
	}
	if w.runs > m.Limits.Reruns || m.allowance < 1 {
		return false
	}
	m.allowance--
	w.notBefore = m.now + time.Duration(m.random.Int64N(int64(m.Limits.Tick)+1))
	m.requeue(w)
	return true
}

func (m *Machine) requeue(w *work) {
	w.state = workWaiting
	w.run = nil
	w.waitFrom = 0
	m.held = slices.DeleteFunc(m.held, func(o *work) bool { return o == w })
	i, _ := slices.BinarySearchFunc(m.waiting, w, func(a, b *work) int { return int(a.arrived - b.arrived) })
	m.waiting = slices.Insert(m.waiting, i, w)
}
