package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits holds the intervals, timeouts and bounds of a Machine.
type Limits struct {
	// ExchangeInterval is the time between two exchanges that a VM starts.
	ExchangeInterval time.Duration
	// MaxMissed is the number of exchanges in a row without a reply after
	// which a VM counts as dead.
	MaxMissed int
	// MaxUnconfirmed is how long the platform's confirmation of a document's
	// version may date back before Unconfirmed reports true.
	MaxUnconfirmed time.Duration
	// KeepDead is how long a dead member stays on the roster.
	KeepDead time.Duration
	// FullSyncInterval is the least time between two transfers of the whole
	// roster that this VM starts.
	FullSyncInterval time.Duration
	// RecordsPerExchange bounds the member records in a message without the
	// whole roster.
	RecordsPerExchange int
	// WatchersPerZone is the number of VMs of each zone that wait for changes
	// on the platform.
	WatchersPerZone int
	// MaxMembers bounds the number of members on the roster.
	MaxMembers int
}

// DefaultLimits returns limits for a fleet of up to a thousand VMs.
func DefaultLimits() Limits {
	return Limits{
		ExchangeInterval:   time.Second,
		MaxMissed:          3,
		MaxUnconfirmed:     60 * time.Second,
		KeepDead:           10 * time.Minute,
		FullSyncInterval:   10 * time.Second,
		RecordsPerExchange: 8,
		WatchersPerZone:    2,
		MaxMembers:         20000,
	}
}

// Machine is the part of one VM in the exchange of membership and document
// versions. Set the exported fields before the first Step and do not change
// them afterwards. A Machine is not safe for concurrent use.
type Machine struct {
	// Self is the record of this VM. The Machine raises its incarnation when
	// it refutes a report of its end.
	Self Member
	// Limits holds the intervals, timeouts and bounds.
	Limits Limits
	// Seed seeds the random choices.
	Seed uint64

	now     time.Duration
	started bool
	random  *rand.Rand
	actions []Action
	members map[string]*entry
	// unsent are the members whose records have sends left.
	unsent map[string]*entry
	// dead are the members that count as dead.
	dead      map[string]*entry
	hash      uint64
	documents map[string]*document
	// listed is the platform's previous list: states by name.
	listed       map[string]State
	nextExchange time.Duration
	// round counts the exchanges that this VM has started.
	round      int
	derived    *derivedState
	fullSyncAt time.Duration
	// mismatches counts, by VM, the exchanges in a row after which the two
	// rosters differed.
	mismatches map[string]int
}

// derivedState is computed from the members. It is computed again after a
// change, on a large roster at most twice in an exchange interval.
type derivedState struct {
	computedAt time.Duration
	// stale reports that a member has changed since computedAt.
	stale bool
	vms   []Member
	// partners are the VMs with which this VM starts exchanges.
	partners        []Member
	watchesPlatform bool
	// leavingOrDead holds the names of the members that are not alive.
	leavingOrDead map[string]bool
}

// entry is a member record and its bookkeeping.
type entry struct {
	Member
	// sendsLeft is how many more times the record is sent.
	sendsLeft int
	// missedReplies is the number of exchanges in a row without a reply.
	missedReplies int
	// changedAt is when the record was stored.
	changedAt time.Duration
}

// document is the version of a document that this VM holds.
type document struct {
	version     uint64
	confirmedAt time.Duration
	// hasConfirmation reports whether confirmedAt, the latest known
	// confirmation by the platform, is set.
	hasConfirmation bool
	// fetchVersion is the version being fetched, or zero, and fetchStart is
	// when its fetch started.
	fetchVersion uint64
	fetchStart   time.Duration
}

// Step handles one event and returns the actions to carry out. The parameter
// now is the time on the VM's monotonic clock. The returned slice is valid
// until the next Step.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.actions = m.actions[:0]
	if !m.started {
		m.start(now)
	}
	m.now = max(m.now, now)
	switch e := e.(type) {
	case Ticked:
	case Received:
		m.mergeKnowledge(e.Knowledge)
		m.emit(Reply{Knowledge: m.answer(e.Knowledge)})
	case Answered:
		m.exchangeAnswered(e)
	case Failed:
		m.exchangeFailed(e.To)
	case Listed:
		m.mergeList(e.Members)
	case VersionHeld:
		m.versionHeld(e)
	case Left:
		m.leave()
	default:
		panic(fmt.Sprintf("roster: unknown event %T", e))
	}
	m.startExchange()
	return m.actions
}

// Next returns the time by which the Machine must be stepped again, with
// Ticked if nothing else has happened.
func (m *Machine) Next() time.Duration { return m.nextExchange }

// VMs returns the VMs that are alive, including this one, in order of name.
// The caller must not change the slice.
func (m *Machine) VMs() []Member { return m.derive().vms }

// LeavingNames returns the names of the members that are leaving or dead. The
// caller must not change the map.
func (m *Machine) LeavingNames() map[string]bool { return m.derive().leavingOrDead }

// WatchesPlatform reports whether this VM is one of those that wait for changes on
// the platform for their zone.
func (m *Machine) WatchesPlatform() bool { return m.derive().watchesPlatform }

// invalidate marks the derived state as out of date.
func (m *Machine) invalidate() {
	if m.derived != nil {
		m.derived.stale = true
	}
}

// derive returns the VMs that are alive, the members that are leaving or dead,
// whether this VM watches the platform, and this VM's partners. It computes them
// from the members after a change. On a large roster it does so at most twice in
// an exchange interval, and meanwhile returns the older state.
func (m *Machine) derive() *derivedState {
	// Up to this number of members the state is computed anew after each change.
	const smallRoster = 100
	if c := m.derived; c != nil && (!c.stale || len(m.members) > smallRoster && m.now-c.computedAt < m.Limits.ExchangeInterval/2) {
		return c
	}
	c := &derivedState{computedAt: m.now, leavingOrDead: map[string]bool{}}
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		e := m.members[name]
		switch {
		case e.state != StateAlive:
			c.leavingOrDead[name] = true
		case e.IsVM():
			c.vms = append(c.vms, e.Member)
		}
	}
	isSelf := func(v Member) bool { return v.name == m.Self.name }
	// The two names only make the order for watching the platform independent of
	// the order of the ring; all VMs must use the same ones.
	c.watchesPlatform = slices.ContainsFunc(PerZone("spread", c.vms, m.Limits.WatchersPerZone), isSelf)
	ring := Order("ring", c.vms)
	self := slices.IndexFunc(ring, isSelf)
	// With partners at doubling distances, a change reaches every VM in a number
	// of steps that grows with the logarithm of their number.
	for d := 1; self >= 0 && d < len(ring); d *= 2 {
		c.partners = append(c.partners, ring[(self+d)%len(ring)])
	}
	m.derived = c
	return c
}

// Version returns the version of the named document that this VM holds, or
// zero if it holds none.
func (m *Machine) Version(name string) uint64 {
	if d := m.documents[name]; d != nil {
		return d.version
	}
	return 0
}

// UpToDate reports whether VMs, LeavingNames and WatchesPlatform reflect every
// change of the members so far.
func (m *Machine) UpToDate() bool { return !m.derive().stale }

// SinceConfirmed returns the time since the platform was known to hold this VM's
// version of the named document as its latest. It reports false if that was
// never known.
func (m *Machine) SinceConfirmed(name string) (time.Duration, bool) {
	d := m.documents[name]
	if d == nil || !d.hasConfirmation {
		return 0, false
	}
	return m.now - d.confirmedAt, true
}

// Unconfirmed reports whether the version of the named document has gone
// unconfirmed for longer than Limits.MaxUnconfirmed.
func (m *Machine) Unconfirmed(name string) bool {
	age, known := m.SinceConfirmed(name)
	return !known || age > m.Limits.MaxUnconfirmed
}

func (m *Machine) start(now time.Duration) {
	m.started = true
	m.now = now
	m.random = rand.New(rand.NewPCG(m.Seed, m.Self.incarnation))
	m.members = map[string]*entry{}
	m.unsent = map[string]*entry{}
	m.dead = map[string]*entry{}
	m.documents = map[string]*document{}
	m.mismatches = map[string]int{}
	m.fullSyncAt = now - m.Limits.FullSyncInterval
	m.nextExchange = now + time.Duration(m.random.Int64N(int64(m.Limits.ExchangeInterval)))
	m.merge(m.Self)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// merge stores a member record if it is newer, and sends it on often enough
// to reach every VM with high probability.
func (m *Machine) merge(n Member) { m.mergeWithSends(n, m.sendsPerRecord()) }

// mergeWithSends stores a member record if it is newer, and sends it on the
// given number of times.
func (m *Machine) mergeWithSends(n Member, sends int) {
	if n.name == m.Self.name && n.replaces(m.Self) {
		m.refute(n)
		return
	}
	old := m.members[n.name]
	if old == nil && len(m.members) >= m.Limits.MaxMembers {
		return
	}
	if old != nil && !n.replaces(old.Member) {
		return
	}
	if old != nil {
		m.hash ^= old.hash()
	}
	m.hash ^= n.hash()
	m.members[n.name] = &entry{Member: n, sendsLeft: sends, changedAt: m.now}
	m.unsent[n.name] = m.members[n.name]
	delete(m.dead, n.name)
	if n.state == StateDead {
		m.dead[n.name] = m.members[n.name]
	}
	m.invalidate()
	m.emit(Changed{Member: n})
	if n.state == StateLeaving {
		// Announced at once rather than at the next exchange, so that the
		// member soon gets no new requests.
		m.announce("")
	}
}

// refute answers a report that this VM is leaving or dead with a record of a
// higher incarnation, unless this VM is leaving.
func (m *Machine) refute(n Member) {
	if m.Self.state == StateLeaving {
		return
	}
	m.Self.incarnation = n.incarnation + 1
	m.merge(m.Self)
}

// sendsPerRecord returns how many times this VM sends a new or changed member
// record to other VMs: three times for each doubling of the roster, and three
// times more. A VM has about one partner for each doubling of the number of VMs,
// so that is about three sends to each partner. Some messages are lost, or reach
// a VM that has the record already.
func (m *Machine) sendsPerRecord() int {
	const sendsPerDoubling = 3
	n := 1
	for size := len(m.members); size > 1; size /= 2 {
		n++
	}
	return sendsPerDoubling * n
}

// partners returns the VMs at distances of 1, 2, 4 and so on from this VM
// around the ring.
func (m *Machine) partners() []Member { return m.derive().partners }

func (m *Machine) leave() {
	m.Self.state = StateLeaving
	m.merge(m.Self)
}
