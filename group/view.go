package group

import (
	"slices"
	"time"
)

// groupView is what this VM knows about the group's targets from their
// statuses.
type groupView struct {
	views   []*view
	samples indexHistory
	// primaryName and primaryTerm are the primary last reported by
	// PrimaryChanged.
	primaryName string
	primaryTerm Term
	// probeSince is the time since which a target must have been probed for
	// its status to be new enough for the pending requests.
	probeSince time.Duration
	// majorityLostAt is when a majority of the targets became unreachable. It
	// is zero while a majority is reachable.
	majorityLostAt time.Duration
}

// view is what this VM knows about one target.
type view struct {
	Member
	// removed reports that the target is no longer a member and is kept only
	// until its last slot is closed.
	removed bool
	// known reports that status is set.
	known bool
	// status is the newest status by term and last position, from any answer.
	status Status
	// probeStatus is the newest answer to a probe. Probes are answered in the
	// order in which they were sent, so a lower term or position is a
	// contradiction.
	probeStatus Status
	// askedAt is the latest time at which an answered status request was
	// sent.
	askedAt time.Duration
	// answeredAt is when the newest answer to a status request arrived.
	answeredAt time.Duration
	// probes are the status requests in flight that are not long polls,
	// oldest first.
	probes []statusRequest
	// received and applied are the long polls for the position that the
	// target has received and for the one that it has applied. At most one
	// of each is in flight.
	received longPoll
	applied  longPoll
	// lost reports that a status request over a new connection failed.
	lost bool
	// lostSince is when lost was last set.
	lostSince time.Duration
	// probedAt is when the newest probe was sent.
	probedAt time.Duration
	// roundTrip is the smoothed time from a probe to its answer.
	roundTrip time.Duration
	// lag is the smoothed replication lag.
	lag time.Duration
	// heldByTerm is, for each of the newest terms in which the target was a
	// replica with an entry of that term, the highest position that it held
	// then.
	heldByTerm map[Term]Position
	slots      []*slot
	// slotsWanted is the number of requests without a free slot that the
	// current dispatch has placed on the target.
	slotsWanted int
	// followSentAt is when the last Follow was sent to the target.
	followSentAt time.Duration
	// dialNotBefore is the earliest time for another dial after a failed one.
	dialNotBefore time.Duration
	// peerReports maps a zone to its newest report about the target.
	peerReports map[string]peerReport
}

// statusRequest is a status request in flight.
type statusRequest struct {
	id     uint64
	sentAt time.Duration
	fresh  bool
}

// longPoll is the last long poll of one kind to a target.
type longPoll struct {
	statusRequest
	inFlight bool
	// reconnect requires a new connection for the next poll, because the last
	// one failed.
	reconnect bool
}

// peerReport says whether another zone got answers from the target, and when
// this VM learned it.
type peerReport struct {
	reachable  bool
	reportedAt time.Duration
}

func newView() *view {
	return &view{heldByTerm: map[Term]Position{}, peerReports: map[string]peerReport{}, probedAt: -time.Hour, askedAt: -time.Hour, followSentAt: -time.Hour}
}

func findView(views []*view, name string) *view {
	for _, v := range views {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// Responsive reports whether a target answers this VM: it is not lost, its last
// answer is recent, and no probe has waited longer than half of
// Limits.StatusTimeout. Other VMs ask for it before they promote another
// target.
func (m *Machine) Responsive(target string) bool {
	v := findView(m.views, target)
	if v == nil || !v.known || v.lost {
		return false
	}
	if len(v.probes) > 0 && m.now-v.probes[0].sentAt > m.Limits.StatusTimeout/2 {
		return false
	}
	return m.now-v.answeredAt <= m.Limits.ProbeInterval+m.Limits.StatusTimeout
}

// Primary returns the primary of the group, as far as this VM knows, and its
// term. The name is empty if no primary is known.
func (m *Machine) Primary() (string, Term) { return m.primaryName, m.primaryTerm }

// quorum returns the number of targets in a majority.
func (m *Machine) quorum() int { return len(m.Members)/2 + 1 }

// observe merges a status into the view. A status of a lower term, or of the
// same term and a lower last position, changes only heldByTerm.
func (v *view) observe(s Status) {
	if s.Role() == RoleReplica && s.HasTermEntry() {
		v.heldByTerm[s.Term()] = Max(v.heldByTerm[s.Term()], s.Last())
		v.pruneHeldByTerm()
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

// pruneHeldByTerm removes the oldest terms above a fixed number.
func (v *view) pruneHeldByTerm() {
	const maxTerms = 3
	for len(v.heldByTerm) > maxTerms {
		oldest := v.status.Term()
		for t := range v.heldByTerm {
			oldest = min(oldest, t)
		}
		delete(v.heldByTerm, oldest)
	}
}

// dropStatusRequests forgets the status requests in flight and requires new
// connections for the next long polls.
func (v *view) dropStatusRequests() {
	v.probes = v.probes[:0]
	v.received = longPoll{reconnect: true}
	v.applied = longPoll{reconnect: true}
}

// servesReads reports whether the target is a replica that may answer reads.
func (v *view) servesReads() bool {
	return v.known && !v.lost && !v.Leaving && v.status.Role() == RoleReplica && v.status.HasTermEntry()
}

// silence estimates the time since the replica last heard from its primary.
func (v *view) silence(now time.Duration) time.Duration {
	return v.status.Silence() + now - v.answeredAt
}

// newestPrimary returns the primary with the highest term, or nil if no target
// is a primary.
func (m *Machine) newestPrimary() *view {
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

// deposed reports whether a majority of the targets has accepted a term above
// t, so that nothing more can be acknowledged in t.
func (m *Machine) deposed(t Term) bool {
	n := 0
	for _, v := range m.views {
		if !v.removed && v.known && v.status.Term() > t {
			n++
		}
	}
	return n >= m.quorum()
}

// reachableCount returns the number of targets that are known and not lost.
func (m *Machine) reachableCount() int {
	n := 0
	for _, v := range m.views {
		if !v.removed && v.known && !v.lost {
			n++
		}
	}
	return n
}

// majorityHolds reports whether a majority of the targets is known to hold
// the last position of s, a status that source reported.
func (m *Machine) majorityHolds(source *view, s Status) bool {
	p := s.Last()
	if p.Term() != s.Term() {
		return false
	}
	// The source holds the entry. So does the primary of the term, which
	// holds every entry of its term.
	holders := 1
	if s.Role() == RoleReplica {
		holders = 2
	}
	for _, v := range m.views {
		if v == source || v.removed || !v.heldByTerm[p.Term()].Reaches(p) {
			continue
		}
		holders++
	}
	return holders >= m.quorum()
}

// majorityConfirmed reports whether a majority of the targets was still in
// the term when asked at or after t. The source, a primary that has answered,
// counts.
func (m *Machine) majorityConfirmed(source *view, term Term, t time.Duration) bool {
	n := 1
	for _, v := range m.views {
		if v == source || v.removed || v.askedAt < t || v.status.Term() != term {
			continue
		}
		n++
	}
	return n >= m.quorum()
}

// readIndex returns a position at or above every position acknowledged before
// t. It reports false until a majority of the targets has answered a status
// request sent at or after t.
func (m *Machine) readIndex(t time.Duration) (Position, bool) {
	last := []Position{}
	for _, v := range m.views {
		if !v.removed && v.askedAt >= t {
			last = append(last, v.status.Last())
		}
	}
	if len(last) < m.quorum() {
		return Position{}, false
	}
	slices.SortFunc(last, Position.Compare)
	return last[m.quorum()-1], true
}

// recordIndex adds a read index to the history if the newest statuses allow a
// later one.
func (m *Machine) recordIndex() {
	asked := []time.Duration{}
	for _, v := range m.views {
		if !v.removed && v.known {
			asked = append(asked, v.askedAt)
		}
	}
	if len(asked) < m.quorum() {
		return
	}
	slices.Sort(asked)
	t := asked[len(asked)-m.quorum()]
	if p, ok := m.readIndex(t); ok {
		m.samples.add(indexSample{takenAt: t, index: p})
	}
}

func (m *Machine) statusReceived(e StatusReceived) {
	v := findView(m.views, e.Target)
	if v == nil {
		return
	}
	r, isProbe, ok := v.takeStatusRequest(e.Number)
	if !ok {
		return
	}
	if isProbe && v.contradicts(e.Status) {
		m.emitNote(TargetSetAside{Target: v.Name, Status: e.Status})
		m.probeFailed(v, r)
		return
	}
	if isProbe {
		v.probeStatus = e.Status
		v.measureRoundTrip(m.now - r.sentAt)
	}
	v.observe(e.Status)
	v.askedAt = max(v.askedAt, r.sentAt)
	v.answeredAt = m.now
	if v.lost {
		v.lost = false
		m.emitNote(TargetBack{Target: v.Name})
	}
	v.lag = smooth(v.lag, m.samples.lag(v.status.Applied(), m.now))
	m.recordIndex()
	m.updatePrimary()
}

// contradicts reports whether a status is behind an earlier answer to a
// probe. A target never goes back to a lower term, nor to a lower position of
// a term in which it holds an entry.
func (v *view) contradicts(s Status) bool {
	if s.Term() < v.probeStatus.Term() {
		return true
	}
	return s.Term() == v.probeStatus.Term() && v.probeStatus.HasTermEntry() && !s.Last().Reaches(v.probeStatus.Last())
}

func (v *view) measureRoundTrip(d time.Duration) {
	if v.roundTrip == 0 {
		v.roundTrip = d
		return
	}
	v.roundTrip = smooth(v.roundTrip, d)
}

func smooth(old, sample time.Duration) time.Duration {
	const weight = 4
	return old + (sample-old)/weight
}

// takeStatusRequest removes an answered status request and the older probes
// on its connection. It returns the request, whether it was a probe, and
// whether it was in flight.
func (v *view) takeStatusRequest(id uint64) (statusRequest, bool, bool) {
	if v.received.inFlight && v.received.id == id {
		v.received.inFlight = false
		return v.received.statusRequest, false, true
	}
	if v.applied.inFlight && v.applied.id == id {
		v.applied.inFlight = false
		return v.applied.statusRequest, false, true
	}
	for i, r := range v.probes {
		if r.id == id {
			v.probes = slices.Delete(v.probes, 0, i+1)
			return r, true, true
		}
	}
	return statusRequest{}, false, false
}

func (m *Machine) statusFailed(e StatusFailed) {
	v := findView(m.views, e.Target)
	if v == nil {
		return
	}
	for _, p := range []*longPoll{&v.received, &v.applied} {
		if p.inFlight && p.id == e.Number {
			*p = longPoll{reconnect: true}
			return
		}
	}
	if r, _, ok := v.takeStatusRequest(e.Number); ok {
		m.probeFailed(v, r)
	}
}

// statusConnectionLost probes over a new connection at once instead of at the
// next interval, so that a target that has failed is found sooner.
func (m *Machine) statusConnectionLost(target string) {
	v := findView(m.views, target)
	if v == nil || v.lost || v.removed || len(v.probes) > 0 || !m.shouldProbe() {
		return
	}
	m.sendProbe(v, true)
}

// probeFailed handles a probe without a usable answer. It is repeated over a
// new connection, unless it already used one: then the target is lost.
func (m *Machine) probeFailed(v *view, r statusRequest) {
	v.probes = v.probes[:0]
	if !r.fresh {
		m.sendProbe(v, true)
		return
	}
	if !v.lost {
		v.lost = true
		v.lostSince = m.now
		m.emitNote(TargetLost{Target: v.Name})
	}
}

// sendProbe requests a target's status.
func (m *Machine) sendProbe(v *view, fresh bool) {
	r := statusRequest{id: m.nextID(), sentAt: m.now, fresh: fresh}
	v.probes = append(v.probes, r)
	v.probedAt = m.now
	m.emit(RequestStatus{Target: v.Name, Number: r.id, Fresh: fresh})
}

// checkStatusRequests ends the status requests that have timed out.
func (m *Machine) checkStatusRequests() {
	for _, v := range m.views {
		for _, p := range []*longPoll{&v.received, &v.applied} {
			if p.inFlight && m.now-p.sentAt > m.Limits.LongPoll+m.Limits.StatusTimeout {
				*p = longPoll{reconnect: true}
			}
		}
		if len(v.probes) == 0 {
			continue
		}
		oldest := v.probes[0]
		limit := m.Limits.StatusTimeout
		if oldest.fresh {
			limit = m.Limits.ReconnectTimeout
		}
		if m.now-oldest.sentAt > limit {
			m.probeFailed(v, oldest)
		}
	}
	m.checkMajority()
}

// checkMajority records since when too many targets have been lost for a
// majority. A target that has never been probed is not lost.
func (m *Machine) checkMajority() {
	lost := 0
	for _, v := range m.views {
		if !v.removed && v.lost {
			lost++
		}
	}
	if len(m.Members)-lost >= m.quorum() {
		m.majorityLostAt = 0
		return
	}
	if m.majorityLostAt == 0 {
		// Zero would mean that no majority was lost.
		m.majorityLostAt = max(m.now, 1)
	}
}

// majorityLost reports whether a majority has been unreachable for so long
// that requests that need it are refused.
func (m *Machine) majorityLost() bool {
	return m.majorityLostAt > 0 && m.now-m.majorityLostAt >= m.Limits.MajorityWait
}

// probeTargets probes the targets whose probe interval is over and those
// whose status is too old for a pending request.
func (m *Machine) probeTargets() {
	active := m.shouldProbe()
	interval := m.probeInterval()
	for _, v := range m.views {
		if v.removed {
			continue
		}
		m.pollPositions(v)
		due := m.now-v.probedAt >= interval
		if v.lost {
			if due && len(v.probes) == 0 && active {
				m.sendProbe(v, true)
			}
			continue
		}
		if due && len(v.probes) == 0 && active {
			m.sendProbe(v, !v.known)
			continue
		}
		if v.known && v.probedAt < m.probeSince && len(v.probes) < m.Limits.ProbesInFlight {
			m.sendProbe(v, false)
		}
	}
}

// probeInterval returns the time between two probes of a target that no
// request needs.
func (m *Machine) probeInterval() time.Duration {
	if v := m.newestPrimary(); v == nil || v.lost {
		return m.Limits.AlertInterval
	}
	return m.Limits.ProbeInterval
}

// pollPositions starts up to two long polls on a target that is not the
// primary. One ends when the target has received the lowest position that a
// held reply needs there, the other when it has applied the lowest position
// that a waiting read needs. The target may delay each answer for up to
// Limits.LongPoll.
func (m *Machine) pollPositions(v *view) {
	if v.lost || !v.known || v.status.Role() == RolePrimary {
		return
	}
	if p, ok := m.lowestUnreplicated(v); ok && !v.received.inFlight {
		m.startLongPoll(v, &v.received, RequestStatus{Received: p})
	}
	if p, ok := m.lowestAwaited(v); ok && !v.applied.inFlight {
		m.startLongPoll(v, &v.applied, RequestStatus{Applied: p})
	}
}

func (m *Machine) startLongPoll(v *view, p *longPoll, a RequestStatus) {
	a.Target = v.Name
	a.Number = m.nextID()
	a.Fresh = p.reconnect
	a.Wait = m.Limits.LongPoll
	*p = longPoll{statusRequest: statusRequest{id: a.Number, sentAt: m.now}, inFlight: true}
	m.emit(a)
}

// updatePrimary reports a change of the primary or of its term.
func (m *Machine) updatePrimary() {
	v := m.newestPrimary()
	if v == nil || v.Name == m.primaryName && v.status.Term() == m.primaryTerm {
		return
	}
	m.leaseDenials = 0
	m.primaryName = v.Name
	m.primaryTerm = v.status.Term()
	m.emitNote(PrimaryChanged{Target: v.Name, Term: m.primaryTerm})
}
