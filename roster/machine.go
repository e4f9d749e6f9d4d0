package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits are a Machine's times and bounds.
type Limits struct {
	// Beat is the time between two exchanges that a VM starts.
	Beat time.Duration
	// Misses is how many exchanges in a row must fail before a VM counts as
	// dead.
	Misses int
	// Blind is how long a VM may go without hearing that the platform holds
	// the version that it has in force.
	Blind time.Duration
	// Forget is how long a dead VM stays on the roster.
	Forget time.Duration
	// Whole is the least time between two transfers of the whole roster.
	Whole time.Duration
	// Deltas is the most member records in an exchange that is not whole.
	Deltas int
	// Spreaders is how many VMs of each zone wait on the platform.
	Spreaders int
	// Members bounds the roster.
	Members int
}

// DefaultLimits returns the limits for a fleet of up to a thousand VMs.
func DefaultLimits() Limits {
	return Limits{
		Beat:      time.Second,
		Misses:    3,
		Blind:     60 * time.Second,
		Forget:    10 * time.Minute,
		Whole:     10 * time.Second,
		Deltas:    8,
		Spreaders: 2,
		Members:   20000,
	}
}

// Machine is one VM's part in keeping the roster and spreading documents. Set
// the exported fields before the first Step.
type Machine struct {
	// Self is this VM.
	Self Member
	// Limits are the times and bounds.
	Limits Limits
	// Seed seeds the choice of partners.
	Seed uint64

	now     time.Duration
	running bool
	random  *rand.Rand
	actions []Action
	members map[string]*entry
	// fresh are the members whose records are still passed on.
	fresh map[string]*entry
	// ended are the members that count as dead.
	ended     map[string]*entry
	hash      uint64
	documents map[string]*document
	listed    map[string]State
	beatAt    time.Duration
	turn      int
	chosen    *chosen
	wholeAt   time.Duration
	differs   map[string]int
}

// chosen is what follows from the members; it is made anew after a change,
// on a large fleet at most twice a beat.
type chosen struct {
	at       time.Duration
	stale    bool
	vms      []Member
	ring     []Member
	spreader bool
	leaving  map[string]bool
}

// entry is one member and what this VM has done about it.
type entry struct {
	Member
	// tell is how many more times the record is passed on.
	tell   int
	missed int
	since  time.Duration
}

// document is a version that this VM holds.
type document struct {
	version   uint64
	confirmed time.Duration
	known     bool
	// fetching is the version being fetched and since when.
	fetching uint64
	since    time.Duration
}

// Step takes one event at the given time on the VM's monotonic clock and
// returns what is to be done. The returned slice is valid until the next
// Step.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.actions = m.actions[:0]
	if !m.running {
		m.start(now)
	}
	m.now = max(m.now, now)
	switch e := e.(type) {
	case Ticked:
	case Received:
		m.learn(e.Knowledge)
		m.act(Reply{Knowledge: m.answer(e.Knowledge)})
	case Answered:
		m.answered(e)
	case Failed:
		m.failed(e.To)
	case Listed:
		m.takeList(e.Members)
	case Held:
		m.held(e)
	case Left:
		m.leave()
	default:
		panic(fmt.Sprintf("roster: unknown event %T", e))
	}
	m.beat()
	return m.actions
}

// Next returns when the Machine wants to be woken by Ticked.
func (m *Machine) Next() time.Duration { return m.beatAt }

// VMs returns the VMs that are alive, this one included, in order of name.
// The caller must not change the slice.
func (m *Machine) VMs() []Member { return m.choose().vms }

// LeavingNames names the machines that are leaving or gone. The caller must
// not change the map.
func (m *Machine) LeavingNames() map[string]bool { return m.choose().leaving }

// Spreader reports whether this VM waits on the platform for its zone.
func (m *Machine) Spreader() bool { return m.choose().spreader }

func (m *Machine) outdate() {
	if m.chosen != nil {
		m.chosen.stale = true
	}
}

// choose works out what follows from the members.
func (m *Machine) choose() *chosen {
	const small = 100
	if c := m.chosen; c != nil && (!c.stale || len(m.members) > small && m.now-c.at < m.Limits.Beat/2) {
		return c
	}
	c := &chosen{at: m.now, leaving: map[string]bool{}}
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		e := m.members[name]
		switch {
		case e.state != StateAlive:
			c.leaving[name] = true
		case e.IsVM():
			c.vms = append(c.vms, e.Member)
		}
	}
	own := func(v Member) bool { return v.name == m.Self.name }
	c.spreader = slices.ContainsFunc(PerZone("spread", c.vms, m.Limits.Spreaders), own)
	ring := Order("ring", c.vms)
	self := slices.IndexFunc(ring, own)
	for d := 1; self >= 0 && d < len(ring); d *= 2 {
		c.ring = append(c.ring, ring[(self+d)%len(ring)])
	}
	m.chosen = c
	return c
}

// Version returns the version of a document that this VM holds.
func (m *Machine) Version(name string) uint64 {
	if d := m.documents[name]; d != nil {
		return d.version
	}
	return 0
}

// Settled reports whether VMs, LeavingNames and Spreader show every change so
// far.
func (m *Machine) Settled() bool { return !m.choose().stale }

// Confirmed returns how long ago the platform was known to hold the version
// of a document that this VM has, and false if that was never known.
func (m *Machine) Confirmed(name string) (time.Duration, bool) {
	d := m.documents[name]
	if d == nil || !d.known {
		return 0, false
	}
	return m.now - d.confirmed, true
}

// Blind reports whether a document's version has gone unconfirmed for too
// long.
func (m *Machine) Blind(name string) bool {
	age, known := m.Confirmed(name)
	return !known || age > m.Limits.Blind
}

func (m *Machine) start(now time.Duration) {
	m.running = true
	m.now = now
	m.random = rand.New(rand.NewPCG(m.Seed, m.Self.incarnation))
	m.members = map[string]*entry{}
	m.fresh = map[string]*entry{}
	m.ended = map[string]*entry{}
	m.documents = map[string]*document{}
	m.differs = map[string]int{}
	m.wholeAt = now - m.Limits.Whole
	m.beatAt = now + time.Duration(m.random.Int64N(int64(m.Limits.Beat)))
	m.merge(m.Self)
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// merge takes a member record in if it is newer, and passes it on until
// everybody has probably heard it.
func (m *Machine) merge(n Member) { m.mergeQuietly(n, m.tellings()) }

// mergeQuietly takes a member record in if it is newer, and passes it on a
// given number of times.
func (m *Machine) mergeQuietly(n Member, tell int) {
	if n.name == m.Self.name && n.replaces(m.Self) {
		m.refute(n)
		return
	}
	old := m.members[n.name]
	if old == nil && len(m.members) >= m.Limits.Members {
		return
	}
	if old != nil && !n.replaces(old.Member) {
		return
	}
	if old != nil {
		m.hash ^= old.hash()
	}
	m.hash ^= n.hash()
	m.members[n.name] = &entry{Member: n, tell: tell, since: m.now}
	m.fresh[n.name] = m.members[n.name]
	delete(m.ended, n.name)
	if n.state == StateDead {
		m.ended[n.name] = m.members[n.name]
	}
	m.outdate()
	m.act(Changed{Member: n})
	if n.state == StateLeaving {
		// It must get no new work soon, so nobody waits for a beat.
		m.announce("")
	}
}

// refute answers a rumour of this VM's own end with a newer record.
func (m *Machine) refute(n Member) {
	if m.Self.state == StateLeaving {
		return
	}
	m.Self.incarnation = n.incarnation + 1
	m.merge(m.Self)
}

// tellings is how often a record is passed on so that it reaches everybody.
func (m *Machine) tellings() int {
	const factor = 3
	n := 1
	for size := len(m.members); size > 1; size /= 2 {
		n++
	}
	return factor * n
}

// partners are the VMs at distances of 1, 2, 4 and so on around the ring.
func (m *Machine) partners() []Member { return m.choose().ring }

func (m *Machine) leave() {
	m.Self.state = StateLeaving
	m.merge(m.Self)
}
