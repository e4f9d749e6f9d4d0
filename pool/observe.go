package pool

import (
	"fmt"
	"time"

	"amaranthsill/query"
)

// Health is what this VM has observed of a target.
type Health struct {
	// FailingFor is the time since dials began to fail, with no answer received
	// since; zero if the target is reached.
	FailingFor time.Duration
	// SinceLastFailure is the time since the last dial failed; zero if the
	// target is reached.
	SinceLastFailure time.Duration
	// Refused reports that the last dial ended with connection refused or
	// reset: the machine runs, but no server listens.
	Refused bool
	// UnansweredFor is the age of the oldest statement in flight, or the time
	// since the last answer of the target if that is shorter.
	UnansweredFor time.Duration
	// SinceLastAnswer is the time since the target last answered.
	SinceLastAnswer time.Duration
	// ReadOnlyFor is how long the target has refused writes although it leads;
	// zero if it does not.
	ReadOnlyFor time.Duration
}

// Health returns what this VM has observed of a target. The result is zero for
// an unknown target.
func (g *Group) Health(id string) Health {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil {
		return Health{}
	}
	now := g.Now()
	h := Health{UnansweredFor: s.unansweredFor(now), SinceLastAnswer: now - s.lastAnswer, Refused: s.connectionRefused}
	if s.failingSince != 0 {
		h.FailingFor = max(now-s.failingSince, 1)
		h.SinceLastFailure = now - s.failedAt
	}
	if s.readOnlySince != 0 {
		h.ReadOnlyFor = max(now-s.readOnlySince, 1)
	}
	return h
}

// Position returns the highest log position that a target has reported; zero
// if none.
func (g *Group) Position(id string) query.Position {
	g.lock.Lock()
	defer g.lock.Unlock()
	if s := g.servers[id]; s != nil {
		return s.position
	}
	return query.Position{}
}

// Commit is a commit that was acknowledged to its caller.
type Commit struct {
	// Request is the ID of the commit, or of a write outside a transaction.
	Request string
	// Target executed the commit.
	Target string
	// Position is the target's log position after it.
	Position query.Position
	// At is when the commit was acknowledged.
	At time.Duration
}

// RecordAnsweredCommit records the position in a target's answer to a commit, before it is
// known whether the commit is acknowledged. Every answer that may be acknowledged has to be
// recorded. It is zero if the target did not tell one.
func (g *Group) RecordAnsweredCommit(p query.Position) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if p.IsZero() {
		g.unplacedCommitAt = max(g.Now(), 1)
		return
	}
	g.raiseAnswered(p)
}

// raiseAnswered raises answeredCommits to a position. The caller holds the lock.
func (g *Group) raiseAnswered(p query.Position) {
	if p.Compare(g.answeredCommits) > 0 {
		g.answeredCommits = p
	}
}

// AnsweredCommits returns a position that includes every commit that this VM has
// acknowledged: the highest one that was in a target's answer to a commit. It returns false
// if the answer to a commit had no position, and none that includes it is known.
func (g *Group) AnsweredCommits() (query.Position, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.answeredCommits, g.unplacedCommitAt == 0
}

// RecordCommit records a commit that is being acknowledged to its caller.
func (g *Group) RecordCommit(request, target string, p query.Position) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.lastCommit = Commit{Request: request, Target: target, Position: p, At: g.Now()}
}

// LastCommit returns the commit that this VM acknowledged last, zero if there is none.
func (g *Group) LastCommit() Commit {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.lastCommit
}

// Sample records a log position of the leader, taken from the answer to a
// statement sent at the given time. The caller must know that the target still
// led when it answered.
func (g *Group) Sample(sent time.Duration, p query.Position) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.samples.Add(sent, p)
	if g.unplacedCommitAt != 0 && sent > g.unplacedCommitAt && !p.IsZero() {
		g.raiseAnswered(p)
		g.unplacedCommitAt = 0
	}
}

// Covering returns the lowest recorded position that includes every commit
// acknowledged before t, and the age of that position. The last result is
// false if no position is recorded that is late enough.
func (g *Group) Covering(t time.Duration) (query.Position, time.Duration, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	p, at, ok := g.samples.Covering(t)
	return p, g.Now() - at, ok
}

// LeaderUnreachableFor returns for how long this VM has reached no leader, because the
// group has none or it does not answer; zero if it reaches the leader.
func (g *Group) LeaderUnreachableFor() time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.leaderlessSince != 0 {
		return g.Now() - g.leaderlessSince
	}
	s := g.servers[g.leader]
	if s == nil || !s.unreachable() {
		return 0
	}
	return g.Now() - s.failingSince
}

// CatchUpTime returns the estimated time until the first replica reaches a
// position of the given age. It is zero if one has probably reached it already,
// or if no replica is usable. If replicas of this VM's zone are usable, the
// others are ignored, unless Traffic is set: then the time is that of the replica
// with the lowest sum of the time, the distance and the price.
func (g *Group) CatchUpTime(p query.Position, age time.Duration) time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	if g.Traffic != nil {
		return g.catchUpByCost(p, age, now)
	}
	shortest, found, inZone := time.Duration(0), false, false
	for _, s := range g.servers {
		if s.ID == g.leader || !s.usable(now) || inZone && s.Zone != g.Zone {
			continue
		}
		wait := time.Duration(0)
		if !s.probablyShows(p, age, now) {
			wait = s.estimatedLag(now) - age
		}
		if !found || wait < shortest || !inZone && s.Zone == g.Zone {
			shortest, found, inZone = wait, true, inZone || s.Zone == g.Zone
		}
	}
	return shortest
}

// Describe returns the state of the queue and the targets as text for log
// lines, of the leader alone or of all targets.
func (g *Group) Describe(leader bool) string {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	text := fmt.Sprintf("leader=%s waiting=%d", g.leader, len(g.waiting))
	for id, s := range g.servers {
		if leader && id != g.leader {
			continue
		}
		text += fmt.Sprintf(" %s:open=%d,idle=%d,dialing=%d,budget=%d,latency=%dms,lag=%dms", id, s.open, len(s.idle), s.dialing, g.budgetOf(s, now),
			s.expectedLatency(now, g.Zone).Milliseconds(), s.estimatedLag(now).Milliseconds())
		if s.unreachable() {
			text += ",unreachable"
		}
		if s.Draining {
			text += ",draining"
		}
	}
	return text
}

// statementStarted records that a statement is in flight on a slot.
func (g *Group) statementStarted(s *Slot, now time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.server.pending[s] = now
	s.server.window.add(s)
	s.laterAnswers = 0
	s.running = true
}

// statementEnded records the result of a statement: latency, replication lag,
// a full queue, or a refused write.
func (g *Group) statementEnded(s *Slot, o Order, r query.Reply, sent time.Duration, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	v := s.server
	now := g.Now()
	// Between the statements of a transaction no answer is due. A time in the
	// future keeps the slot from counting as unanswered.
	v.pending[s] = now + time.Hour
	s.running = false
	v.window.remove(s)
	if len(g.waiting) > 0 {
		defer g.dispatch()
	}
	if err != nil {
		return
	}
	v.countLaterAnswer(sent)
	v.lastAnswer = now
	v.markReachable()
	g.observeCrossing(s, o, r, sent, now)
	switch {
	case r.Failure != nil && r.Failure.Code == query.CodeBusy && s.customer != "" && s.conn.isShared():
		// The holder had no connection for this customer. Others may have one.
	case r.Failure != nil && r.Failure.Code == query.CodeBusy:
		v.recordFull(now)
		time.AfterFunc(v.fullUntil-now, g.redispatch)
	case isStatement(o):
		v.consecutiveFulls = 0
		v.window.grow()
		v.recordLatency(now, now-sent)
	}
	if r.Failure != nil && r.Failure.Code == query.CodeReadOnly && s.leader {
		if v.readOnlySince == 0 {
			v.readOnlySince = max(now, 1)
		}
	} else if r.Receipt != "" && s.leader {
		v.readOnlySince = 0
	}
	if !r.Position.IsZero() {
		v.recordPosition(r.Position, now, g.samples.Age(r.Position, now))
	}
}

// isStatement reports whether the time an order takes on a target is
// representative of statements.
func isStatement(o Order) bool {
	switch o.(type) {
	case Forward, ForwardPlan:
		return true
	default:
		return false
	}
}

// LeaderInZone reports whether the leader is in the same availability zone as
// this VM.
func (g *Group) LeaderInZone() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[g.leader]
	return s != nil && s.Zone == g.Zone
}

// RecordLag records that a target had not yet reached a position of the given
// age.
func (g *Group) RecordLag(id string, age time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if s := g.servers[id]; s != nil {
		s.recordLagging(g.Now(), age)
	}
}
