package group

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Machine makes the decisions for one group on one VM. Set the exported
// fields before the first Step and do not change them afterwards. A Machine
// is not safe for concurrent use.
type Machine struct {
	// Name is the name of the group.
	Name string
	// VM is the name of this VM.
	VM string
	// Zone is the availability zone of this VM.
	Zone string
	// Incarnation is different for each start of this VM. It is part of the
	// identity of each promotion attempt.
	Incarnation uint64
	// Members are the targets of the group.
	Members []Member
	// Rank is the position of this VM among the VMs that monitor the group's
	// primary; a higher rank waits longer before it starts a promotion. A VM
	// with a negative rank does not monitor the primary.
	Rank int
	// Limits holds the intervals, timeouts and bounds.
	Limits Limits
	// Seed seeds the random part of delays.
	Seed uint64
	// Strict makes a broken invariant panic. Without it, the Machine emits a
	// Breach and goes on; some checks also refuse the request concerned.
	Strict bool

	now     time.Duration
	started bool
	random  *rand.Rand
	actions []Action
	lastID  uint64

	groupView
	requests
	watch
}

// Step handles one event and returns the actions to carry out. The parameter
// now is the time on the VM's monotonic clock. The returned slice is valid
// until the next Step.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.begin(now)
	m.handle(e)
	m.advance()
	return m.actions
}

// Next returns the time by which the Machine must be stepped again, with
// Ticked if nothing else has happened. It is on the same clock as the time
// given to Step.
func (m *Machine) Next(now time.Duration) time.Duration {
	if m.pending() {
		return now + m.Limits.Tick
	}
	if m.shouldProbe() {
		return now + m.probeInterval()/2
	}
	return now + m.Limits.GroupIdle
}

// begin prepares a step: it clears the actions of the last one and sets the
// time. If more than PauseGap has passed since the last step, this VM was
// frozen. That holds only while the targets are probed: otherwise Next asks for
// a step only every GroupIdle.
func (m *Machine) begin(now time.Duration) {
	m.actions = m.actions[:0]
	if !m.started {
		m.start(now)
	}
	if now-m.now > m.Limits.PauseGap && m.shouldProbe() {
		m.resumeAfterPause(now)
	}
	m.now = max(m.now, now)
}

func (m *Machine) start(now time.Duration) {
	m.started = true
	m.now = now
	m.random = rand.New(rand.NewPCG(m.Seed, m.Incarnation))
	m.requests.init()
	m.lastRequest = -m.Limits.GroupIdle
	m.configure(m.Members, m.Rank)
}

// resumeAfterPause discards state that is invalid after the VM was frozen:
// targets seemed silent only because this VM did not run, and another VM may
// have overtaken the promotion that was in progress.
func (m *Machine) resumeAfterPause(now time.Duration) {
	for _, v := range m.views {
		v.dropStatusRequests()
		v.lost = false
	}
	m.promotion = nil
	m.suspicion = suspicion{}
	m.holdOffUntil = now + m.Limits.PrimarySilence
}

func (m *Machine) handle(e Event) {
	switch e := e.(type) {
	case Configured:
		m.configure(e.Members, e.Rank)
	case Arrived:
		m.requestArrived(e.Request)
	case SessionEnded:
		m.sessionEnded(e.Session)
	case Dialed:
		m.slotDialed(e.Slot)
	case SlotLost:
		m.slotLost(e)
	case Finished:
		m.runFinished(e)
	case RunFailed:
		m.runFailed(e)
	case StatusReceived:
		m.statusReceived(e)
	case StatusFailed:
		m.statusFailed(e)
	case Disconnected:
		m.statusConnectionLost(e.Target)
	case CommandAnswered:
		m.commandAnswered(e)
	case LeaseAnswered:
		m.leaseAnswered(e)
	case PeerReported:
		m.peerReported(e)
	case Ticked:
	default:
		panic(fmt.Sprintf("group: unknown event %T", e))
	}
}

// advance carries out everything that the current time and the latest
// statuses allow.
func (m *Machine) advance() {
	m.checkStatusRequests()
	m.checkSlots()
	m.checkDeadlines()
	m.releaseReplies()
	m.dispatch()
	m.watchPrimary()
	m.probeTargets()
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) emitNote(e NoteEvent) { m.emit(Note{Event: e}) }

func (m *Machine) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// configure replaces the members. A removed target that still has slots stays
// in views as leaving until its last slot is closed.
func (m *Machine) configure(members []Member, rank int) {
	m.Members = members
	m.Rank = rank
	old := m.views
	m.views = nil
	for _, member := range members {
		v := findView(old, member.Name)
		if v == nil {
			v = newView()
		}
		v.Member = member
		v.removed = false
		m.views = append(m.views, v)
	}
	for _, v := range old {
		if findView(m.views, v.Name) != nil || len(v.slots) == 0 {
			continue
		}
		v.removed = true
		v.Leaving = true
		m.views = append(m.views, v)
	}
}

// shouldProbe reports whether the targets are probed: this VM monitors the
// primary, work is pending, or the last request came less than
// Limits.GroupIdle ago.
func (m *Machine) shouldProbe() bool {
	return m.Rank >= 0 || m.pending() || m.now-m.lastRequest < m.Limits.GroupIdle
}

// pending reports whether any request, run, promotion or dial is unfinished.
func (m *Machine) pending() bool {
	return len(m.workItems) > 0 || len(m.runs) > 0 || m.promotion != nil || m.dialing()
}

// reportBreach reports a broken invariant: it panics if Strict is set and
// emits a Breach otherwise.
func (m *Machine) reportBreach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if m.Strict {
		panic("group: invariant broken: " + text)
	}
	m.emit(Breach{Text: text})
}
