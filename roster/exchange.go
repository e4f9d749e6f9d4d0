package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// fetchTimeout is how long a fetch may take before the document is fetched
// from another VM.
const fetchTimeout = 5 * time.Second

// startExchange starts the next exchange once the exchange interval has
// passed.
func (m *Machine) startExchange() {
	if m.now < m.nextExchange {
		return
	}
	m.nextExchange += m.Limits.ExchangeInterval
	if m.nextExchange <= m.now {
		m.nextExchange = m.now + m.Limits.ExchangeInterval
	}
	m.evictDead()
	to, ok := m.nextPartner()
	if !ok {
		return
	}
	m.emit(Send{To: to, Knowledge: m.knowledge(to.name)})
}

// nextPartner returns the VM for the next exchange. Every fourth time it is a
// random VM among those that count as dead, if there are any, so that the two
// sides of a healed network partition find each other again.
func (m *Machine) nextPartner() (Member, bool) {
	const deadEvery = 4
	m.round++
	if m.round%deadEvery == 0 {
		if dead := m.deadVMs(); len(dead) > 0 {
			return dead[m.random.IntN(len(dead))], true
		}
	}
	p := m.partners()
	if len(p) == 0 {
		return Member{}, false
	}
	return p[m.round%len(p)], true
}

// deadVMs returns the VMs that count as dead, in order of name.
func (m *Machine) deadVMs() []Member {
	out := []Member{}
	for _, name := range slices.Sorted(maps.Keys(m.dead)) {
		if e := m.dead[name]; e.IsVM() && e.name != m.Self.name {
			out = append(out, e.Member)
		}
	}
	return out
}

// evictDead removes the members that have been dead for longer than the
// limit.
func (m *Machine) evictDead() {
	for name, e := range m.dead {
		if m.now-e.changedAt > m.Limits.KeepDead && name != m.Self.name {
			m.hash ^= e.hash()
			delete(m.dead, name)
			delete(m.members, name)
			delete(m.unsent, name)
			m.invalidate()
		}
	}
}

// announce starts an exchange with every partner but one at once.
func (m *Machine) announce(except string) {
	for _, p := range m.partners() {
		if p.name != except {
			m.emit(Send{To: p, Knowledge: m.knowledge(p.name)})
		}
	}
}

// knowledge returns the message for another VM: the document versions and the
// member records with the most sends left. If the hashes of the two rosters
// have differed several times in a row, it holds all member records, at most
// once in a full-sync interval.
func (m *Machine) knowledge(to string) Knowledge {
	const minMismatches = 2
	k := Knowledge{From: m.Self.name, Roster: m.hash}
	for _, name := range slices.Sorted(maps.Keys(m.documents)) {
		d := m.documents[name]
		age := time.Duration(-1)
		if d.hasConfirmation {
			age = m.now - d.confirmedAt
		}
		k.Documents = append(k.Documents, Document{Name: name, Version: d.version, Age: age})
	}
	if m.mismatches[to] >= minMismatches && m.now-m.fullSyncAt >= m.Limits.FullSyncInterval {
		m.fullSyncAt = m.now
		m.mismatches[to] = 0
		k.Whole = true
		k.Members = m.allMembers()
		return k
	}
	k.Members = m.nextRecords()
	return k
}

// allMembers returns all member records in order of name.
func (m *Machine) allMembers() []Member {
	out := make([]Member, 0, len(m.members))
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		out = append(out, m.members[name].Member)
	}
	return out
}

// nextRecords returns the member records with the most sends left and counts
// one send of each.
func (m *Machine) nextRecords() []Member {
	records := make([]*entry, 0, len(m.unsent))
	for _, e := range m.unsent {
		records = append(records, e)
	}
	slices.SortFunc(records, func(a, b *entry) int {
		if c := cmp.Compare(b.sendsLeft, a.sendsLeft); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	out := []Member{}
	for _, e := range records[:min(len(records), m.Limits.RecordsPerExchange)] {
		out = append(out, e.Member)
		e.sendsLeft--
		if e.sendsLeft <= 0 {
			delete(m.unsent, e.name)
		}
	}
	return out
}

// answer returns the reply to an exchange. If the sender sent its whole
// roster and the rosters still differ, the reply holds all member records.
func (m *Machine) answer(k Knowledge) Knowledge {
	m.countMismatch(k)
	if k.Whole && k.Roster != m.hash {
		reply := m.knowledge("")
		reply.Whole = true
		reply.Members = m.allMembers()
		return reply
	}
	return m.knowledge(k.From)
}

// countMismatch counts the exchanges in a row with a VM after which the two
// rosters still differed.
func (m *Machine) countMismatch(k Knowledge) {
	if k.Roster == m.hash {
		delete(m.mismatches, k.From)
		return
	}
	m.mismatches[k.From]++
}

// mergeKnowledge merges the member records and document versions of another
// VM. Records of a whole roster are passed on only once.
func (m *Machine) mergeKnowledge(k Knowledge) {
	for _, n := range k.Members {
		if k.Whole {
			m.mergeWithSends(n, 1)
			continue
		}
		m.merge(n)
	}
	if e := m.members[k.From]; e != nil {
		e.missedReplies = 0
	}
	for _, d := range k.Documents {
		m.compareDocument(k.From, d)
	}
}

func (m *Machine) exchangeAnswered(e Answered) {
	m.mergeKnowledge(e.Knowledge)
	m.countMismatch(e.Knowledge)
}

// compareDocument fetches a document of which the other VM holds a newer
// version, unless a fetch of that version is in flight. If both hold the same
// version, it takes over the other VM's confirmation by the platform if that is
// later than this VM's. d.Age is the age of the other VM's confirmation when it
// sent the message; it is negative if the other VM knows of none.
func (m *Machine) compareDocument(from string, d Document) {
	own := m.ensureDocument(d.Name)
	if d.Version == own.version && d.Age >= 0 {
		at := m.now - d.Age
		if !own.hasConfirmation || at > own.confirmedAt {
			own.hasConfirmation = true
			own.confirmedAt = at
		}
	}
	if d.Version <= own.version {
		return
	}
	if own.fetchVersion >= d.Version && m.now-own.fetchStart < fetchTimeout {
		return
	}
	e := m.members[from]
	if e == nil {
		return
	}
	own.fetchVersion = d.Version
	own.fetchStart = m.now
	m.emit(Fetch{From: e.Member, Document: d.Name})
}

// ensureDocument returns the entry of a document and creates it if needed.
func (m *Machine) ensureDocument(name string) *document {
	if m.documents[name] == nil {
		m.documents[name] = &document{}
	}
	return m.documents[name]
}

// versionHeld records a version that this VM now holds and announces it if it
// is newer. A lower version than the present one is ignored.
func (m *Machine) versionHeld(e VersionHeld) {
	d := m.ensureDocument(e.Document)
	if e.Version < d.version {
		return
	}
	newer := e.Version > d.version
	if newer {
		d.version = e.Version
		d.hasConfirmation = false
		d.fetchVersion = 0
	}
	if e.Confirmed {
		d.hasConfirmation = true
		d.confirmedAt = m.now
	}
	if newer {
		m.announce("")
	}
}

// exchangeFailed counts an exchange without a reply. A VM that misses several
// in a row counts as dead until it refutes that with a newer record. All
// fetches in flight are forgotten, because the failed request may have been
// one of them.
func (m *Machine) exchangeFailed(to string) {
	for _, d := range m.documents {
		d.fetchVersion = 0
	}
	e := m.members[to]
	if e == nil || e.state == StateDead {
		return
	}
	e.missedReplies++
	if e.missedReplies < m.Limits.MaxMissed {
		return
	}
	n := e.Member
	n.state = StateDead
	m.merge(n)
}

// mergeList merges the platform's list. The list may be older than what peers
// report, so for known members only differences from the previous list count.
func (m *Machine) mergeList(list []Member) {
	listed := map[string]State{}
	for _, n := range list {
		listed[n.name] = n.state
		m.mergeListed(n)
	}
	for name := range m.listed {
		if _, found := listed[name]; !found {
			m.setState(name, StateDead)
		}
	}
	m.listed = listed
}

// mergeListed merges one member of the platform's list. A target's machine
// that changes from leaving back to alive gets a higher incarnation, because
// the leaving record would prevail over an alive one of the same incarnation.
func (m *Machine) mergeListed(n Member) {
	e := m.members[n.name]
	before, seen := m.listed[n.name]
	switch {
	case e == nil:
		// One send is enough: other VMs read the list too.
		m.mergeWithSends(n, 1)
	case n.state == StateLeaving && (!seen || before != StateLeaving):
		m.setState(n.name, StateLeaving)
	case n.state == StateAlive && seen && before == StateLeaving && !e.IsVM():
		restored := e.Member
		restored.state = StateAlive
		restored.incarnation++
		m.merge(restored)
	}
}

// setState changes the state of another member without changing its
// incarnation.
func (m *Machine) setState(name string, s State) {
	e := m.members[name]
	if e == nil || name == m.Self.name {
		return
	}
	n := e.Member
	n.state = s
	m.merge(n)
}
