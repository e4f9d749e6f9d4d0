package group

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Machine decides for one group on one VM. Set the exported fields before
// the first Step and leave them alone afterwards. A Machine is not safe for
// concurrent use.
type Machine struct {
	// Name is the group's name.
	Name string
	// VM names this VM.
	VM string
	// Zone is this VM's availability zone.
	Zone string
	// Incarnation differs for each start of this VM.
	Incarnation uint64
	// Members are the group's targets.
	Members []Member
	// Rank orders the VMs that watch the group; a negative rank does not
	// watch.
	Rank int
	// Limits are the times and bounds.
	Limits Limits
	// Seed seeds the jitter.
	Seed uint64
	// Strict makes a broken invariant panic instead of refusing a request.
	Strict bool

	now     time.Duration
	running bool
	random  *rand.Rand
	actions []Action
	lastID  uint64

	knowledge
	requests
	watch
}

// Step takes one event at the given time on the VM's monotonic clock and
// returns what is to be done about it. The returned slice is valid until the
// next Step.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.begin(now)
	m.take(e)
	m.advance()
	return m.actions
}

// Next returns when the Machine wants to be woken by Ticked.
func (m *Machine) Next(now time.Duration) time.Duration {
	if m.pending() {
		return now + m.Limits.Tick
	}
	if m.active() {
		return now + m.interval()/2
	}
	return now + m.Limits.Idle
}

func (m *Machine) begin(now time.Duration) {
	m.actions = m.actions[:0]
	if !m.running {
		m.start(now)
	}
	if now-m.now > m.Limits.Pause && m.active() {
		m.thaw(now)
	}
	m.now = max(m.now, now)
}

func (m *Machine) start(now time.Duration) {
	m.running = true
	m.now = now
	m.random = rand.New(rand.NewPCG(m.Seed, m.Incarnation))
	m.requests.init()
	m.lastRequest = -m.Limits.Idle
	m.configure(m.Members, m.Rank)
}

// thaw forgets what a frozen VM must not act on: silence that was its own,
// and a promotion that others may have overtaken.
func (m *Machine) thaw(now time.Duration) {
	for _, v := range m.views {
		v.forgetAsks()
		v.lost = false
	}
	m.promotion = nil
	m.doubt = doubt{}
	m.quiet = now + m.Limits.Stream
}

func (m *Machine) take(e Event) {
	switch e := e.(type) {
	case Configured:
		m.configure(e.Members, e.Rank)
	case Arrived:
		m.arrive(e.Request)
	case Vanished:
		m.vanish(e.Session)
	case Dialed:
		m.dialed(e.Slot)
	case SlotLost:
		m.slotLost(e)
	case Finished:
		m.finished(e)
	case Broke:
		m.broke(e)
	case Heard:
		m.heard(e)
	case Unheard:
		m.unheard(e)
	case Disconnected:
		m.disconnected(e.Target)
	case Commanded:
		m.commanded(e)
	case LeaseAnswered:
		m.leaseAnswered(e)
	case PeerSaw:
		m.peerSaw(e)
	case Ticked:
	default:
		panic(fmt.Sprintf("group: unknown event %T", e))
	}
}

// advance does what the passing of time and new knowledge allow.
func (m *Machine) advance() {
	m.checkAsks()
	m.checkSlots()
	m.checkDeadlines()
	m.releaseHeld()
	m.dispatch()
	m.guard()
	m.probe()
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) note(e NoteEvent) { m.act(Note{Event: e}) }

func (m *Machine) nextID() uint64 {
	m.lastID++
	return m.lastID
}

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

// active reports whether the group is probed without being asked for.
func (m *Machine) active() bool {
	return m.Rank >= 0 || m.pending() || m.now-m.lastRequest < m.Limits.Idle
}

func (m *Machine) pending() bool {
	return len(m.works) > 0 || len(m.runs) > 0 || m.promotion != nil || m.dialing()
}

// breach reports a broken invariant.
func (m *Machine) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if m.Strict {
		panic("group: invariant broken: " + text)
	}
	m.act(Breach{Text: text})
}
