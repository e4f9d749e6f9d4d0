package pool

import (
	"errors"
	"math"
	"time"

	"amaranthsill/query"
	"amaranthsill/zones"
)

// The parameters of the latency and reachability estimates for a target.
const (
	// initialLatency is assumed before the first answer of a target in this
	// VM's zone.
	initialLatency = 30 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.15
	// latencyHalfLife is the half-life of the excess over the lowest latency
	// seen, without new samples, so that a target that was slow is tried
	// again.
	latencyHalfLife = time.Second
	// leaderPenalty multiplies the cost of reads on the leader, because only
	// the leader can run writes.
	leaderPenalty = 1.5
	// crossZoneRoundTrip is the assumed round trip between availability zones
	// before the first answer.
	crossZoneRoundTrip = 40 * time.Millisecond
	// firstBackoff and maxBackoff bound the exponential backoff after a failed
	// dial.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// silenceTimeout is how long a statement may be in flight, without any
	// other answer from its target, before reads avoid the target.
	silenceTimeout = 400 * time.Millisecond
	// lagHalfLife is the half-life of a replica's estimated lag without new
	// reports.
	lagHalfLife = 500 * time.Millisecond
	// lagMargin is added to the lag that is inferred from a refused read.
	lagMargin = 20 * time.Millisecond
)

// server is a target with this VM's connections to it and their statistics.
type server struct {
	Target
	window   window
	removed  bool
	idle     []*connection
	open     int
	dialing  int
	openings openings
	// relayed holds the affinities of which the last link led through another VM.
	relayed map[string]bool
	usage   map[user]*usageRate
	// usageCheckedAt is when forgetUsage last looked for rates to drop.
	usageCheckedAt time.Duration
	// budget was set by SetBudget at budgetSetAt; that time is zero if no
	// budget was set yet.
	budget      int
	budgetSetAt time.Duration
	demand      demandPeak
	// unserved is the number of waiters in one dispatch run for which this
	// target has no idle connection.
	unserved int
	// unservedBy counts the same waiters by whom a connection would be opened for.
	unservedBy map[identity]int
	// triedSince is the least enqueuedAt of the waiters for which no connection could
	// be evicted in one dispatch run; never if there was none.
	triedSince time.Duration
	// atPart holds for whom no connection is evicted in the dispatch run, because they
	// have their part.
	atPart map[identity]bool
	// pending holds the time at which each statement in flight was sent.
	pending    map[*Slot]time.Duration
	lastAnswer time.Duration
	// latency is the moving average of statement latency, and lowestLatency
	// the lowest sample.
	latency           time.Duration
	lowestLatency     time.Duration
	latencyMeasuredAt time.Duration
	position          query.Position
	lag               time.Duration
	lagMeasuredAt     time.Duration
	// failingSince is when dials began to fail with no answer since; zero if
	// the target is reached.
	failingSince time.Duration
	failures     int
	// failedAt is when the last dial failed.
	failedAt time.Duration
	// connectionRefused reports that the last dial ended with connection
	// refused or reset.
	connectionRefused bool
	retryAt           time.Duration
	probing           bool
	readOnlySince     time.Duration
	// fullUntil is the end of the pause after the target refused a statement
	// because its queue was full, and consecutiveFulls the number of such
	// pauses in a row.
	fullUntil        time.Duration
	consecutiveFulls int
	// lagProbedAt is when a read was last sent to this replica although it
	// probably lagged too far.
	lagProbedAt time.Duration
	distance    zones.Distance
}

func newServer(t Target, now time.Duration) *server {
	return &server{
		Target: t, window: newWindow(), pending: map[*Slot]time.Duration{}, lastAnswer: now,
		openings: openings{by: map[identity]int{}}, unservedBy: map[identity]int{}, relayed: map[string]bool{}, usage: map[user]*usageRate{},
		atPart: map[identity]bool{},
	}
}

// usable reports whether new work may be sent to the target.
func (s *server) usable(now time.Duration) bool {
	return !s.removed && !s.Draining && now >= s.fullUntil && (s.failingSince == 0 || now >= s.retryAt)
}

// The pauses after a target refused a statement because its queue was full.
const (
	// firstFullPause is about the time of one statement, and maxFullPause the
	// time in which a full queue drains.
	firstFullPause = 20 * time.Millisecond
	maxFullPause   = 160 * time.Millisecond
)

// recordFull pauses the target after it reported a full queue. Refusals that
// arrive during the pause belong to statements sent together and are not
// counted again.
func (s *server) recordFull(now time.Duration) {
	if now < s.fullUntil {
		return
	}
	s.window.shrink()
	s.fullUntil = now + min(firstFullPause<<s.consecutiveFulls, maxFullPause)
	s.consecutiveFulls = min(s.consecutiveFulls+1, 8)
}

// unreachable reports whether dials fail and no answer has been received since
// they began to.
func (s *server) unreachable() bool { return s.failingSince != 0 }

// silent reports whether statements have been unanswered for longer than
// silenceTimeout.
func (s *server) silent(now time.Duration) bool {
	return s.unansweredFor(now) > silenceTimeout
}

// unansweredFor returns the age of the oldest statement in flight, or the time
// since the target's last answer if that is shorter.
func (s *server) unansweredFor(now time.Duration) time.Duration {
	oldest := now
	for _, t := range s.pending {
		oldest = min(oldest, t)
	}
	return now - max(oldest, s.lastAnswer)
}

// cost estimates the latency of a new statement under the current load of this
// VM's own statements.
func (s *server) cost(now time.Duration, zone string) time.Duration {
	c := s.expectedLatency(now, zone)
	load := 1 + float64(s.window.active)/float64(max(s.Slots, 1))
	return time.Duration(float64(c) * load)
}

// expectedLatency estimates the latency of a statement without other load. An
// average above the typical latency decays towards it while there are no new
// samples.
func (s *server) expectedLatency(now time.Duration, zone string) time.Duration {
	typical := initialLatency
	if s.Zone != zone {
		typical += crossZoneRoundTrip
	}
	return s.decayedLatency(now, typical)
}

// decayedLatency is expectedLatency with the given latency of a typical target.
func (s *server) decayedLatency(now, typical time.Duration) time.Duration {
	if s.latency == 0 {
		return typical
	}
	typical = min(typical, s.lowestLatency)
	if s.latency <= typical {
		return s.latency
	}
	age := float64(now-s.latencyMeasuredAt) / float64(latencyHalfLife)
	return typical + time.Duration(float64(s.latency-typical)*math.Exp2(-age))
}

// recordLatency adds a sample of statement latency.
func (s *server) recordLatency(now, took time.Duration) {
	if s.latency == 0 {
		s.latency = took
		s.lowestLatency = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	s.lowestLatency = min(s.lowestLatency, took)
	s.latencyMeasuredAt = now
}

// markReachable clears the record of failed dials.
func (s *server) markReachable() {
	s.failingSince = 0
	s.failures = 0
	s.connectionRefused = false
}

// recordPosition takes the log position and the replication lag from an
// answer.
func (s *server) recordPosition(p query.Position, now, lag time.Duration) {
	if p.Reaches(s.position) {
		s.position = p
	}
	s.lag = (s.estimatedLag(now) + lag) / 2
	s.lagMeasuredAt = now
}

// estimatedLag returns the last known replication lag, decayed by its age.
func (s *server) estimatedLag(now time.Duration) time.Duration {
	age := float64(now-s.lagMeasuredAt) / float64(lagHalfLife)
	return time.Duration(float64(s.lag) * math.Exp2(-age))
}

// recordLagging raises the estimated lag after the target refused a read
// because it had not reached a position of the given age.
func (s *server) recordLagging(now, age time.Duration) {
	s.lag = max(s.estimatedLag(now), age+age/2) + lagMargin
	s.lagMeasuredAt = now
}

// excludedByLag reports whether a replica has probably not reached a position
// of the given age and was tried too recently to be tried again.
func (s *server) excludedByLag(p query.Position, age, now time.Duration) bool {
	return !s.probablyShows(p, age, now) && now-s.lagProbedAt < s.lagProbeInterval(now)
}

// probablyShows reports whether the target has probably reached a position of
// the given age.
func (s *server) probablyShows(p query.Position, age, now time.Duration) bool {
	return p.IsZero() || s.position.Reaches(p) || s.estimatedLag(now) <= age
}

// recordDialFailure sets the time of the next dial and, unless the failure
// only shows that a connection limit is reached, marks the target as
// unreachable.
func (s *server) recordDialFailure(now time.Duration, err error) {
	if errors.Is(err, ErrReserved) {
		s.retryAt = now + firstBackoff
		return
	}
	f := (*query.Failure)(nil)
	if errors.As(err, &f) && f.Code == query.CodeTooManyConnections {
		s.lastAnswer = now
		s.retryAt = now + firstBackoff
		return
	}
	if s.failingSince == 0 {
		s.failingSince = max(now, 1)
	}
	s.failedAt = now
	s.failures++
	s.connectionRefused = isConnectionRefused(err)
	pause := firstBackoff << min(s.failures-1, 8)
	s.retryAt = now + min(pause, maxBackoff)
}

// demandWindow is the time over which the peak demand is taken.
const demandWindow = 500 * time.Millisecond

// demandPeak is the peak number of connections needed to a target in the last
// one to two windows.
type demandPeak struct {
	windowStart       time.Duration
	current, previous int
}

func (d *demandPeak) add(now time.Duration, n int) {
	d.rotate(now)
	d.current = max(d.current, n)
}

func (d *demandPeak) peak(now time.Duration) int {
	d.rotate(now)
	return max(d.current, d.previous)
}

func (d *demandPeak) rotate(now time.Duration) {
	switch {
	case now-d.windowStart < demandWindow:
		return
	case now-d.windowStart < 2*demandWindow:
		d.previous = d.current
	default:
		d.previous = 0
	}
	d.windowStart = now
	d.current = 0
}

// The criteria by which an answer counts as lost although its target still
// answers other statements.
const (
	// lostAnswerMinWait is the least time for which an answer is awaited. If
	// lostAnswerLatencyFactor times the target's average latency is longer,
	// that applies.
	lostAnswerMinWait       = 300 * time.Millisecond
	lostAnswerLatencyFactor = 6
	// lostAnswerMinLater is the number of statements sent later that must have
	// been answered.
	lostAnswerMinLater = 3
)

// countLaterAnswer counts an answer for all statements that were sent before
// the answered one and are still in flight.
func (s *server) countLaterAnswer(sent time.Duration) {
	for slot, at := range s.pending {
		if slot.running && at < sent {
			slot.laterAnswers++
		}
	}
}

// abandonLostAnswers ends the wait for answers that are probably lost, so that
// their connections can be closed and replaced.
func (s *server) abandonLostAnswers(now time.Duration) {
	limit := max(lostAnswerMinWait, lostAnswerLatencyFactor*s.latency)
	for slot, at := range s.pending {
		if slot.running && slot.laterAnswers >= lostAnswerMinLater && now-at > limit {
			// An error here shows up in the goroutine that waits on the link.
			_ = slot.conn.link.SetDeadline(time.Unix(1, 0))
		}
	}
}
