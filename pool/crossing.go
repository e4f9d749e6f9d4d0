package pool

import (
	"slices"
	"time"

	"amaranthsill/query"
	"amaranthsill/zones"
)

// Parameters of the estimates for routing by cost.
const (
	// openTime is how long a target takes to open a connection.
	openTime = 12 * time.Millisecond
	// openTrips is the number of round trips that this takes.
	openTrips = 2
	// minExecution keeps rates finite if a distance was overestimated.
	minExecution = time.Millisecond
	// probeDistanceTimeout bounds the measurement of a distance.
	probeDistanceTimeout = 500 * time.Millisecond
)

// crossing is a group's state of routing by cost. It is used only while
// Group.Traffic is set.
type crossing struct {
	router     zones.Router
	executions zones.Executions
	// heldBack is the number of waiters in one dispatch run that stay in the zone
	// although outside is better; queued of those that wait for room there.
	heldBack, queued int
	// decision is the last one of chooseByCost, for the statement that it was made for
	// and that may now be sent.
	decision zones.Decision
	sizes    map[string]float64
	totals   map[trafficKey]*TrafficTotal
}

// beginCrossing prepares a dispatch run. The caller holds the lock.
func (g *Group) beginCrossing(now time.Duration) {
	if g.Traffic == nil {
		return
	}
	c := &g.crossing
	if c.router.StepDue(now) {
		l := zones.Load{Waiting: c.heldBack, Spare: g.spareOutside(now)}
		c.router.Advance(now, l)
		if from, to, changed := c.router.Change(); changed {
			g.Log.Info("cross-zone share changed", "group", g.Name, "from", from, "to", to, "waiting", l.Waiting, "spare", l.Spare)
		}
	}
	c.heldBack, c.queued = 0, 0
}

// spareOutside returns how many more statements a second the windows of the targets
// outside the zone allow.
func (g *Group) spareOutside(now time.Duration) float64 {
	spare := 0.0
	for _, s := range g.servers {
		if s.Zone != g.Zone && s.usable(now) && s.answers(now) && s.window.hasRoom() {
			free := int(s.window.size) - s.window.active
			spare += float64(free) / g.executionTime(s, now).Seconds()
		}
	}
	return spare
}

// answers reports whether the target is reached and not silent.
func (s *server) answers(now time.Duration) bool { return !s.unreachable() && !s.silent(now) }

// candidate is a target with the expected completion of a statement on it.
type candidate struct {
	*server
	zones.Estimate
	// ready reports that the target may be sent another statement now.
	ready bool
	// rank is the cost by which targets inside, or outside, are compared with one
	// another. It spares the leader, which alone takes writes.
	rank time.Duration
}

// improve replaces the candidate by a better one. One that is ready is better than
// one that is not.
func (c *candidate) improve(o candidate) {
	if c.server == nil || o.ready && !c.ready || o.ready == c.ready && o.rank < c.rank {
		*c = o
	}
}

// chooseByCost returns the target for a statement that several targets may run, or
// nil if it has to wait. The caller holds the lock.
func (g *Group) chooseByCost(n *Need, now time.Duration) *server {
	inZone, outside, unfit := g.candidates(n, now)
	g.reopen(outside.server == nil && !inZone.ready, now)
	if inZone.server == nil && outside.server == nil {
		g.crossing.decision = zones.Decision{Reason: unfit}
		return g.cheapest(n, now)
	}
	choice := zones.Choice{Unfit: unfit, Left: n.waitUntil() - now}
	if inZone.server != nil {
		choice.InZone = &inZone.Estimate
		choice.Lagging = inZone.ID != g.leader && !inZone.probablyShows(n.Floor, n.FloorAge, now)
	}
	if outside.server != nil {
		choice.Outside = &outside.Estimate
	}
	g.crossing.decision = g.crossing.router.Decide(choice)
	if g.crossing.decision.Leave {
		return outside.server
	}
	if g.crossing.decision.Preferred && (!inZone.ready || len(inZone.idle) == 0) {
		g.crossing.heldBack++
	}
	if !inZone.ready {
		g.crossing.queued++
		return nil
	}
	return inZone.server
}

// waitUntil returns until when the statement may wait for a target that is occupied.
func (n *Need) waitUntil() time.Duration {
	if n.QueueDeadline != 0 {
		return min(n.QueueDeadline, n.Until)
	}
	return n.Until
}

// candidates returns the best target of the zone, which may have to be waited for,
// and the best one outside that can take the statement now. If the zone has none, it
// returns the reason.
func (g *Group) candidates(n *Need, now time.Duration) (inZone, outside candidate, unfit zones.Reason) {
	unfit = zones.ReasonNoTarget
	for _, s := range g.servers {
		home := s.Zone == g.Zone
		if s.removed || s.Draining || !s.answers(now) {
			continue
		}
		if slices.Contains(n.Tried, s.ID) || s.ID != g.leader && s.excludedByLag(n.Floor, n.FloorAge, now) {
			if home {
				unfit = zones.ReasonFreshness
			}
			continue
		}
		c := g.candidate(s, n, now)
		switch {
		case home:
			inZone.improve(c)
		case c.ready:
			outside.improve(c)
		}
	}
	return inZone, outside, unfit
}

func (g *Group) candidate(s *server, n *Need, now time.Duration) candidate {
	c := candidate{server: s, Estimate: g.estimate(s, n, now), ready: s.usable(now) && s.window.hasRoom()}
	c.rank = c.Cost()
	if s.ID == g.leader {
		c.rank = time.Duration(leaderPenalty * float64(c.rank))
	}
	return c
}

// reopen dials unreachable targets whose backoff is over, so that their return is
// noticed although no statement is sent to them: those of the zone, and the others if
// they are needed.
func (g *Group) reopen(needed bool, now time.Duration) {
	for _, s := range g.servers {
		if s.unreachable() && (needed || s.Zone == g.Zone) && s.usable(now) && s.dialing == 0 && s.open < g.budgetOf(s, now) {
			g.dial(s, g.identity(s, ""))
		}
	}
}

// estimate returns the expected completion of a statement on a target.
func (g *Group) estimate(s *server, n *Need, now time.Duration) zones.Estimate {
	execution := float64(g.executionTime(s, now))
	// Statements that find a free slot do not slow one another; the rest wait in turn.
	load := max(float64(s.window.active+1)/float64(max(s.Slots, 1)), 1)
	e := zones.Estimate{Rest: g.distance(s, now) + time.Duration(execution*load)}
	e.Wait = g.estimateWait(s, e.Rest, now)
	if s.ID != g.leader && !s.probablyShows(n.Floor, n.FloorAge, now) {
		e.Rest += max(s.estimatedLag(now)-n.FloorAge, 0)
	}
	e.Price = g.Traffic.Price(g.Zone, s.Zone, g.crossing.size(n.Route))
	return e
}

// catchUpByCost returns the estimated time until the replica reaches a position of the
// given age that is then the best by distance and price; zero if none is usable.
func (g *Group) catchUpByCost(p query.Position, age, now time.Duration) time.Duration {
	lowest, catchUp := time.Duration(-1), time.Duration(0)
	for _, s := range g.servers {
		if s.ID == g.leader || !s.usable(now) {
			continue
		}
		wait := time.Duration(0)
		if !s.probablyShows(p, age, now) {
			wait = s.estimatedLag(now) - age
		}
		cost := wait + g.distance(s, now) + g.Traffic.Price(g.Zone, s.Zone, initialSize)
		if lowest < 0 || cost < lowest {
			lowest, catchUp = cost, wait
		}
	}
	return catchUp
}

// estimateWait returns the expected wait for room in a target's window and for a
// connection to it; took is the time of one statement.
func (g *Group) estimateWait(s *server, took, now time.Duration) time.Duration {
	wait := time.Duration(0)
	if !s.window.hasRoom() {
		wait = took * time.Duration(g.crossing.queued+1) / time.Duration(max(int(s.window.size), 1))
	}
	wait = max(wait, s.fullUntil-now, 0)
	if len(s.idle) > 0 {
		return wait
	}
	position := time.Duration(s.unserved + 1)
	opened := openTime*position + openTrips*g.distance(s, now)
	if s.open == 0 {
		return wait + max(opened, s.retryAt-now)
	}
	released := took * position / time.Duration(s.open)
	if s.open+s.dialing < g.budgetOf(s, now) {
		released = min(released, opened)
	}
	return wait + released
}

// distance returns the estimated round trip to a target.
func (g *Group) distance(s *server, now time.Duration) time.Duration {
	return s.distance.Estimate(now, g.Traffic.AssumedDistance(g.Zone, s.Zone))
}

// executionTime returns the expected time of a statement on a target without the
// distance, under the load that it had lately.
func (g *Group) executionTime(s *server, now time.Duration) time.Duration {
	d := g.distance(s, now)
	return max(s.decayedLatency(now, initialLatency+d)-d, minExecution)
}

// countCrossing counts a statement that is being sent, and records on its slot why
// its target was chosen. The caller holds the lock.
func (g *Group) countCrossing(n *Need, s *Slot) {
	if g.Traffic == nil {
		return
	}
	s.route = n.Route
	switch {
	case n.Leader:
		s.reason = zones.ReasonLeader
	case n.Target != "":
		s.reason = zones.ReasonTarget
	default:
		g.crossing.router.Count(g.crossing.decision)
		s.reason = g.crossing.decision.Reason
	}
	if s.server.Zone == g.Zone {
		s.reason = zones.ReasonInZone
	}
}

// observeCrossing records the result of an order. It is to be called before a
// refusal pauses the target. The caller holds the lock.
func (g *Group) observeCrossing(s *Slot, o Order, r query.Reply, sent, now time.Duration) {
	if g.Traffic == nil {
		return
	}
	g.recordBytes(s, o, r)
	v := s.server
	if l, ok := o.(Locate); ok {
		// A position with an age was known to a holder, which may be nearer than the
		// target, unless a fresh one was asked for.
		if !r.Position.IsZero() && (l.MaxAge == 0 || r.Age == 0) {
			v.distance.AddLocate(now, now-sent)
		}
		return
	}
	full := r.Failure != nil && r.Failure.Code == query.CodeBusy
	byChoice := s.reason == zones.ReasonCost || s.reason == zones.ReasonRefusal
	switch {
	case full && v.Zone == g.Zone:
		g.crossing.router.RefusedInZone()
	case full && byChoice && now >= v.fullUntil:
		g.crossing.router.FullOutside(now)
	case !full && byChoice:
		g.crossing.router.ServedOutside()
	}
	if isStatement(o) && r.Failure == nil {
		if v.latency != 0 {
			// The average goes on from its decayed value. Otherwise the few samples of a
			// target that is avoided would keep it slow long after it is well again.
			v.latency = v.decayedLatency(now, initialLatency+g.distance(v, now))
		}
		v.distance.AddStatement(now, now-sent, v.Zone == g.Zone, &g.crossing.executions)
	}
}

// countRefused counts a statement that is refused since too many wait. The caller
// holds the lock.
func (g *Group) countRefused(n *Need) {
	if g.Traffic != nil && !n.Leader && n.Target == "" {
		g.crossing.router.RefusedInZone()
	}
}

// probeDistances measures the distances that are due, each on the connection that has
// been idle for longest. The caller holds the lock.
func (g *Group) probeDistances() {
	if g.Traffic == nil || len(g.waiting) > 0 {
		return
	}
	now := g.Now()
	for _, s := range g.servers {
		if len(s.idle) == 0 || !s.usable(now) || !s.answers(now) || !s.distance.ProbeDue(now) {
			continue
		}
		c := s.idle[0]
		s.idle = slices.Delete(s.idle, 0, 1)
		slot := g.newSlot(s, c, &Need{Locate: true}, now)
		go func() {
			_, err := slot.Run(Locate{}, now+probeDistanceTimeout)
			g.returnProbe(slot, err)
		}()
	}
}

// returnProbe returns a connection that measured a distance. It keeps the time of its
// last use, so that measurements do not keep connections open.
func (g *Group) returnProbe(s *Slot, err error) {
	used := s.conn.lastUsed
	s.Release()
	g.lock.Lock()
	defer g.lock.Unlock()
	v := s.server
	if i := slices.Index(v.idle, s.conn); err == nil && i >= 0 {
		v.idle = slices.Insert(slices.Delete(v.idle, i, i+1), 0, s.conn)
		s.conn.lastUsed = used
	}
}
