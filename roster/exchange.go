package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// fetchLimit is how long a fetch may take before another VM is asked.
const fetchLimit = 5 * time.Second

// beat starts an exchange with the next partner when it is time.
func (m *Machine) beat() {
	if m.now < m.beatAt {
		return
	}
	m.beatAt += m.Limits.Beat
	if m.beatAt <= m.now {
		m.beatAt = m.now + m.Limits.Beat
	}
	m.forget()
	to, ok := m.partner()
	if !ok {
		return
	}
	m.act(Send{To: to, Knowledge: m.knowledge(to.name)})
}

// partner returns whom to tell next. Now and then it is a VM that counts as
// dead, so that two parts of a fleet that were cut apart find each other.
func (m *Machine) partner() (Member, bool) {
	const retry = 4
	m.turn++
	if m.turn%retry == 0 {
		if dead := m.dead(); len(dead) > 0 {
			return dead[m.random.IntN(len(dead))], true
		}
	}
	p := m.partners()
	if len(p) == 0 {
		return Member{}, false
	}
	return p[m.turn%len(p)], true
}

func (m *Machine) dead() []Member {
	out := []Member{}
	for _, name := range slices.Sorted(maps.Keys(m.ended)) {
		if e := m.ended[name]; e.IsVM() && e.name != m.Self.name {
			out = append(out, e.Member)
		}
	}
	return out
}

func (m *Machine) forget() {
	for name, e := range m.ended {
		if m.now-e.since > m.Limits.Forget && name != m.Self.name {
			m.hash ^= e.hash()
			delete(m.ended, name)
			delete(m.members, name)
			delete(m.fresh, name)
			m.outdate()
		}
	}
}

// announce tells all partners at once.
func (m *Machine) announce(except string) {
	for _, p := range m.partners() {
		if p.name != except {
			m.act(Send{To: p, Knowledge: m.knowledge(p.name)})
		}
	}
}

// knowledge is what this VM tells another: its versions, and the records
// that were passed on least; or all of them, if the two differ for long.
func (m *Machine) knowledge(to string) Knowledge {
	const persistent = 2
	k := Knowledge{From: m.Self.name, Roster: m.hash}
	for _, name := range slices.Sorted(maps.Keys(m.documents)) {
		d := m.documents[name]
		age := time.Duration(-1)
		if d.known {
			age = m.now - d.confirmed
		}
		k.Documents = append(k.Documents, Document{Name: name, Version: d.version, Age: age})
	}
	if m.differs[to] >= persistent && m.now-m.wholeAt >= m.Limits.Whole {
		m.wholeAt = m.now
		m.differs[to] = 0
		k.Whole = true
		k.Members = m.all()
		return k
	}
	k.Members = m.news()
	return k
}

func (m *Machine) all() []Member {
	out := make([]Member, 0, len(m.members))
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		out = append(out, m.members[name].Member)
	}
	return out
}

// news returns the records that still have to be passed on most often.
func (m *Machine) news() []Member {
	fresh := make([]*entry, 0, len(m.fresh))
	for _, e := range m.fresh {
		fresh = append(fresh, e)
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if c := cmp.Compare(b.tell, a.tell); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	out := []Member{}
	for _, e := range fresh[:min(len(fresh), m.Limits.Deltas)] {
		out = append(out, e.Member)
		e.tell--
		if e.tell <= 0 {
			delete(m.fresh, e.name)
		}
	}
	return out
}

// answer replies to knowledge that was received. If the other sent its whole
// roster, or the two still differ, it gets this VM's.
func (m *Machine) answer(k Knowledge) Knowledge {
	m.compare(k)
	if k.Whole && k.Roster != m.hash {
		reply := m.knowledge("")
		reply.Whole = true
		reply.Members = m.all()
		return reply
	}
	return m.knowledge(k.From)
}

// compare counts exchanges after which two rosters still differ.
func (m *Machine) compare(k Knowledge) {
	if k.Roster == m.hash {
		delete(m.differs, k.From)
		return
	}
	m.differs[k.From]++
}

// learn takes in what another VM told.
func (m *Machine) learn(k Knowledge) {
	for _, n := range k.Members {
		if k.Whole {
			m.mergeQuietly(n, 1)
			continue
		}
		m.merge(n)
	}
	if e := m.members[k.From]; e != nil {
		e.missed = 0
	}
	for _, d := range k.Documents {
		m.compareDocument(k.From, d)
	}
}

func (m *Machine) answered(e Answered) {
	m.learn(e.Knowledge)
	m.compare(e.Knowledge)
}

// compareDocument fetches a newer version, and takes over a younger
// confirmation of the version that this VM holds.
func (m *Machine) compareDocument(from string, d Document) {
	own := m.document(d.Name)
	if d.Version == own.version && d.Age >= 0 {
		at := m.now - d.Age
		if !own.known || at > own.confirmed {
			own.known = true
			own.confirmed = at
		}
	}
	if d.Version <= own.version {
		return
	}
	if own.fetching >= d.Version && m.now-own.since < fetchLimit {
		return
	}
	e := m.members[from]
	if e == nil {
		return
	}
	own.fetching = d.Version
	own.since = m.now
	m.act(Fetch{From: e.Member, Document: d.Name})
}

func (m *Machine) document(name string) *document {
	if m.documents[name] == nil {
		m.documents[name] = &document{}
	}
	return m.documents[name]
}

// held notes a version that this VM now holds and tells its partners. A
// lower version than before is ignored.
func (m *Machine) held(e Held) {
	d := m.document(e.Document)
	if e.Version < d.version {
		return
	}
	news := e.Version > d.version
	if news {
		d.version = e.Version
		d.known = false
		d.fetching = 0
	}
	if e.Confirmed {
		d.known = true
		d.confirmed = m.now
	}
	if news {
		m.announce("")
	}
}

// failed counts an exchange without a reply; a VM that misses several in a
// row counts as dead until it says otherwise.
func (m *Machine) failed(to string) {
	for _, d := range m.documents {
		d.fetching = 0
	}
	e := m.members[to]
	if e == nil || e.state == StateDead {
		return
	}
	e.missed++
	if e.missed < m.Limits.Misses {
		return
	}
	n := e.Member
	n.state = StateDead
	m.merge(n)
}

// takeList joins the platform's list, which lags: only what changed from one
// list to the next counts against what peers have heard.
func (m *Machine) takeList(list []Member) {
	now := map[string]State{}
	for _, n := range list {
		now[n.name] = n.state
		m.takeListed(n)
	}
	for name := range m.listed {
		if _, there := now[name]; !there {
			m.mark(name, StateDead)
		}
	}
	m.listed = now
}

func (m *Machine) takeListed(n Member) {
	e := m.members[n.name]
	before, seen := m.listed[n.name]
	switch {
	case e == nil:
		// Whoever needs the list reads it too.
		m.mergeQuietly(n, 1)
	case n.state == StateLeaving && (!seen || before != StateLeaving):
		m.mark(n.name, StateLeaving)
	case n.state == StateAlive && seen && before == StateLeaving && !e.IsVM():
		back := e.Member
		back.state = StateAlive
		back.incarnation++
		m.merge(back)
	}
}

// mark gives a member another state of the same incarnation.
func (m *Machine) mark(name string, s State) {
	e := m.members[name]
	if e == nil || name == m.Self.name {
		return
	}
	n := e.Member
	n.state = s
	m.merge(n)
}
