package group

import (
	"slices"
	"time"
)

// knowledge is what the VM knows of the group's targets.
type knowledge struct {
	views   []*view
	samples samples
	leading string
	leads   Term
	// demand is the time after which a majority must be asked.
	demand time.Duration
	// minority is when a majority was first out of reach; zero if it is not.
	minority time.Duration
}

// view is what the VM knows of one target.
type view struct {
	Member
	removed bool
	known   bool
	status  Status
	// plain is the status last heard in answer to a plain request; those
	// arrive in order.
	plain Status
	// asked is when the newest answered request was sent.
	asked time.Duration
	// heard is when the newest answer arrived.
	heard time.Duration
	// asks are the plain requests under way, oldest first.
	asks []ask
	// received and applied are the long polls under way.
	received longPoll
	applied  longPoll
	// lost reports that a fresh connection failed.
	lost     bool
	lostFrom time.Duration
	probed   time.Duration
	trip     time.Duration
	lag      time.Duration
	holds    map[Term]Position
	slots    []*slot
	wanted   int
	followed time.Duration
	// dialAgain is when a failed dial may be tried again.
	dialAgain time.Duration
	peers     map[string]peerView
}

type ask struct {
	id    uint64
	sent  time.Duration
	fresh bool
}

type longPoll struct {
	ask
	running bool
	// stuck demands a fresh connection for the next poll.
	stuck bool
}

type peerView struct {
	hears bool
	at    time.Duration
}

func newView() *view {
	return &view{holds: map[Term]Position{}, peers: map[string]peerView{}, probed: -time.Hour, asked: -time.Hour, followed: -time.Hour}
}

func findView(views []*view, name string) *view {
	for _, v := range views {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// Hears reports whether a target answers this VM: its last answer is recent,
// and no request has waited long for one. Other VMs ask for it.
func (m *Machine) Hears(target string) bool {
	v := findView(m.views, target)
	if v == nil || !v.known || v.lost {
		return false
	}
	if len(v.asks) > 0 && m.now-v.asks[0].sent > m.Limits.Ask/2 {
		return false
	}
	return m.now-v.heard <= m.Limits.Probe+m.Limits.Ask
}

// Primary returns the target that leads the group and its term, as far as
// this VM knows. The name is empty if it knows none.
func (m *Machine) Primary() (string, Term) { return m.leading, m.leads }

// quorum returns the size of a majority of the group's targets.
func (m *Machine) quorum() int { return len(m.Members)/2 + 1 }

// observe takes in a status that a target reported, from whichever answer.
func (v *view) observe(s Status) {
	if s.Role() == RoleReplica && s.Opened() {
		v.holds[s.Term()] = Max(v.holds[s.Term()], s.Last())
		v.pruneHolds()
	}
	newer := s.Term() > v.status.Term() || s.Term() == v.status.Term() && s.Last().Reaches(v.status.Last())
	if v.known && !newer {
		return
	}
	applied := s.Applied()
	if s.Term() == v.status.Term() && s.Role() == v.status.Role() {
		applied = Max(applied, v.status.Applied())
	}
	s.applied = applied
	v.status = s
	v.known = true
}

func (v *view) pruneHolds() {
	const kept = 3
	for len(v.holds) > kept {
		oldest := v.status.Term()
		for t := range v.holds {
			oldest = min(oldest, t)
		}
		delete(v.holds, oldest)
	}
}

func (v *view) forgetAsks() {
	v.asks = v.asks[:0]
	v.received = longPoll{stuck: true}
	v.applied = longPoll{stuck: true}
}

// serves reports whether a replica may answer reads at all.
func (v *view) serves() bool {
	return v.known && !v.lost && !v.Leaving && v.status.Role() == RoleReplica && v.status.Opened()
}

// silence estimates how long ago the replica heard its primary.
func (v *view) silence(now time.Duration) time.Duration {
	return v.status.Silence() + now - v.heard
}

// leader returns the primary of the highest term that has one, or nil.
func (m *Machine) leader() *view {
	var best *view
	for _, v := range m.views {
		if v.removed || !v.known || v.status.Role() != RolePrimary {
			continue
		}
		if best == nil || v.status.Term() > best.status.Term() {
			best = v
		}
	}
	return best
}

// deposed reports whether a majority of the targets has left a term behind,
// so that nothing more can be acknowledged in it.
func (m *Machine) deposed(t Term) bool {
	n := 0
	for _, v := range m.views {
		if !v.removed && v.known && v.status.Term() > t {
			n++
		}
	}
	return n >= m.quorum()
}

// reachable counts the targets that answer.
func (m *Machine) reachable() int {
	n := 0
	for _, v := range m.views {
		if !v.removed && v.known && !v.lost {
			n++
		}
	}
	return n
}

// covered reports whether a majority is known to hold a position that a
// target showed while its status was s.
func (m *Machine) covered(source *view, s Status) bool {
	p := s.Last()
	if p.Term() != s.Term() {
		return false
	}
	// The primary of the term holds every entry of the term.
	holders := 1
	if s.Role() == RoleReplica {
		holders = 2
	}
	for _, v := range m.views {
		if v == source || v.removed || !v.holds[p.Term()].Reaches(p) {
			continue
		}
		holders++
	}
	return holders >= m.quorum()
}

// confirmed reports whether a majority was still at the term when asked at
// or after t. The primary that answered counts.
func (m *Machine) confirmed(source *view, term Term, t time.Duration) bool {
	n := 1
	for _, v := range m.views {
		if v == source || v.removed || v.asked < t || v.status.Term() != term {
			continue
		}
		n++
	}
	return n >= m.quorum()
}

// index returns a position at or above every one acknowledged before t, once
// a majority was asked at or after t.
func (m *Machine) index(t time.Duration) (Position, bool) {
	last := []Position{}
	for _, v := range m.views {
		if !v.removed && v.asked >= t {
			last = append(last, v.status.Last())
		}
	}
	if len(last) < m.quorum() {
		return Position{}, false
	}
	slices.SortFunc(last, Position.Compare)
	return last[m.quorum()-1], true
}

// sample records a new index if the last answer made one possible.
func (m *Machine) sample() {
	asked := []time.Duration{}
	for _, v := range m.views {
		if !v.removed && v.known {
			asked = append(asked, v.asked)
		}
	}
	if len(asked) < m.quorum() {
		return
	}
	slices.Sort(asked)
	t := asked[len(asked)-m.quorum()]
	if p, ok := m.index(t); ok {
		m.samples.add(sample{at: t, index: p})
	}
}

func (m *Machine) heard(e Heard) {
	v := findView(m.views, e.Target)
	if v == nil {
		return
	}
	a, plain, ok := v.takeAsk(e.Ask)
	if !ok {
		return
	}
	if plain && v.contradicts(e.Status) {
		m.note(TargetSetAside{Target: v.Name, Status: e.Status})
		m.failedAsk(v, a)
		return
	}
	if plain {
		v.plain = e.Status
		v.measureTrip(m.now - a.sent)
	}
	v.observe(e.Status)
	v.asked = max(v.asked, a.sent)
	v.heard = m.now
	if v.lost {
		v.lost = false
		m.note(TargetBack{Target: v.Name})
	}
	v.lag = smooth(v.lag, m.samples.lag(v.status.Applied(), m.now))
	m.sample()
	m.seeLeader()
}

// contradicts reports whether a status goes back behind what the target said
// on the same connection or an earlier one.
func (v *view) contradicts(s Status) bool {
	if s.Term() < v.plain.Term() {
		return true
	}
	return s.Term() == v.plain.Term() && v.plain.Opened() && !s.Last().Reaches(v.plain.Last())
}

func (v *view) measureTrip(d time.Duration) {
	if v.trip == 0 {
		v.trip = d
		return
	}
	v.trip = smooth(v.trip, d)
}

func smooth(old, sample time.Duration) time.Duration {
	const weight = 4
	return old + (sample-old)/weight
}

// takeAsk removes an answered request and the older ones on its connection.
func (v *view) takeAsk(id uint64) (ask, bool, bool) {
	if v.received.running && v.received.id == id {
		v.received.running = false
		return v.received.ask, false, true
	}
	if v.applied.running && v.applied.id == id {
		v.applied.running = false
		return v.applied.ask, false, true
	}
	for i, a := range v.asks {
		if a.id == id {
			v.asks = slices.Delete(v.asks, 0, i+1)
			return a, true, true
		}
	}
	return ask{}, false, false
}

func (m *Machine) unheard(e Unheard) {
	v := findView(m.views, e.Target)
	if v == nil {
		return
	}
	for _, p := range []*longPoll{&v.received, &v.applied} {
		if p.running && p.id == e.Ask {
			*p = longPoll{stuck: true}
			return
		}
	}
	if a, _, ok := v.takeAsk(e.Ask); ok {
		m.failedAsk(v, a)
	}
}

// disconnected tries a fresh connection at once, instead of at the next probe.
func (m *Machine) disconnected(target string) {
	v := findView(m.views, target)
	if v == nil || v.lost || v.removed || len(v.asks) > 0 || !m.active() {
		return
	}
	m.ask(v, true)
}

// failedAsk reacts to a plain request without a usable answer: an old
// connection is replaced, a fresh one shows that the target is lost.
func (m *Machine) failedAsk(v *view, a ask) {
	v.asks = v.asks[:0]
	if !a.fresh {
		m.ask(v, true)
		return
	}
	if !v.lost {
		v.lost = true
		v.lostFrom = m.now
		m.note(TargetLost{Target: v.Name})
	}
}

func (m *Machine) ask(v *view, fresh bool) {
	a := ask{id: m.nextID(), sent: m.now, fresh: fresh}
	v.asks = append(v.asks, a)
	v.probed = m.now
	m.act(Ask{Target: v.Name, Ask: a.id, Fresh: fresh})
}

// checkAsks gives up on requests that went unanswered for too long.
func (m *Machine) checkAsks() {
	for _, v := range m.views {
		for _, p := range []*longPoll{&v.received, &v.applied} {
			if p.running && m.now-p.sent > m.Limits.Wait+m.Limits.Ask {
				*p = longPoll{stuck: true}
			}
		}
		if len(v.asks) == 0 {
			continue
		}
		oldest := v.asks[0]
		limit := m.Limits.Ask
		if oldest.fresh {
			limit = m.Limits.Fresh
		}
		if m.now-oldest.sent > limit {
			m.failedAsk(v, oldest)
		}
	}
	m.checkReach()
}

// checkReach notes since when so many targets are lost that no majority can
// be reached. A target that was never asked is not lost.
func (m *Machine) checkReach() {
	lost := 0
	for _, v := range m.views {
		if !v.removed && v.lost {
			lost++
		}
	}
	if len(m.Members)-lost >= m.quorum() {
		m.minority = 0
		return
	}
	if m.minority == 0 {
		m.minority = max(m.now, 1)
	}
}

// hopeless reports whether a majority has been out of reach for so long that
// waiting for it is given up.
func (m *Machine) hopeless() bool {
	return m.minority > 0 && m.now-m.minority >= m.Limits.Hopeless
}

// probe asks the targets that have not been asked for a while, and those
// whose answer a request waits for.
func (m *Machine) probe() {
	active := m.active()
	interval := m.interval()
	for _, v := range m.views {
		if v.removed {
			continue
		}
		m.pollPositions(v)
		idle := m.now-v.probed >= interval
		if v.lost {
			if idle && len(v.asks) == 0 && active {
				m.ask(v, true)
			}
			continue
		}
		if idle && len(v.asks) == 0 && active {
			m.ask(v, !v.known)
			continue
		}
		if v.known && v.probed < m.demand && len(v.asks) < m.Limits.AsksInFlight {
			m.ask(v, false)
		}
	}
}

// interval is the time between status requests to a target without traffic.
func (m *Machine) interval() time.Duration {
	if v := m.leader(); v == nil || v.lost {
		return m.Limits.Alert
	}
	return m.Limits.Probe
}

// pollPositions waits on a replica for the lowest position that an answer or
// a read needs of it.
func (m *Machine) pollPositions(v *view) {
	if v.lost || !v.known || v.status.Role() == RolePrimary {
		return
	}
	if p, ok := m.lowestUncovered(v); ok && !v.received.running {
		m.poll(v, &v.received, Ask{Received: p})
	}
	if p, ok := m.lowestAwaited(v); ok && !v.applied.running {
		m.poll(v, &v.applied, Ask{Applied: p})
	}
}

func (m *Machine) poll(v *view, p *longPoll, a Ask) {
	a.Target = v.Name
	a.Ask = m.nextID()
	a.Fresh = p.stuck
	a.Wait = m.Limits.Wait
	*p = longPoll{ask: ask{id: a.Ask, sent: m.now}, running: true}
	m.act(a)
}

func (m *Machine) seeLeader() {
	v := m.leader()
	if v == nil || v.Name == m.leading && v.status.Term() == m.leads {
		return
	}
	m.denied = 0
	m.leading = v.Name
	m.leads = v.status.Term()
	m.note(PrimaryChanged{Target: v.Name, Term: m.leads})
}
