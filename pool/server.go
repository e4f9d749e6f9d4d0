package pool

import (
	"errors"
	"math"
	"time"

	"amaranthsill/query"
)

// The times and weights by which a target is judged.
const (
	// assumedLatency stands in before a target's first answer.
	assumedLatency = 30 * time.Millisecond
	// latencyWeight is the share of a new answer in the average latency.
	latencyWeight = 0.15
	// forgetLatency is the half-life of a bad average without new answers, so
	// that a target that was slow is tried again.
	forgetLatency = time.Second
	// leaderPenalty keeps reads off the primary, which alone takes writes.
	leaderPenalty = 1.5
	// distance is the round trip between availability zones, until measured.
	distance = 40 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed dial.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// silenceLimit is how long a statement may stay unanswered, with nothing
	// else heard from its target, before reads avoid the target.
	silenceLimit = 400 * time.Millisecond
	// lagForget is the half-life of a replica's estimated lag.
	lagForget = 500 * time.Millisecond
	// lagMargin is added to a lag that a target's refusal showed.
	lagMargin = 20 * time.Millisecond
)

// server is one target with this VM's connections to it.
type server struct {
	Target
	window  window
	gone    bool
	idle    []*connection
	open    int
	dialing int
	// budget was granted at a time; zero if never.
	budget  int
	granted time.Duration
	demand  demand
	// wanted counts the waiters of one dispatch that would take a new
	// connection.
	wanted int
	// pending holds when each statement under way was sent.
	pending map[*Slot]time.Duration
	heard   time.Duration
	// latency averages the time of statements; base is the lowest seen.
	latency  time.Duration
	base     time.Duration
	measured time.Duration
	position query.Position
	lag      time.Duration
	lagSeen  time.Duration
	// failing is when dials began to fail with nothing heard since; zero if
	// they do not.
	failing  time.Duration
	failures int
	// failedAt is when the last dial failed.
	failedAt time.Duration
	// refused reports that the last failure was an answer of the machine.
	refused  bool
	retryAt  time.Duration
	probing  bool
	readOnly time.Duration
	// fullUntil is how long this VM leaves a target alone that turned
	// statements away because its queue was full, and fulls how often in a row
	// it did.
	fullUntil time.Duration
	fulls     int
	// lagTried is when a replica was last tried that probably lags too far.
	lagTried time.Duration
}

func newServer(t Target, now time.Duration) *server {
	return &server{Target: t, window: newWindow(), pending: map[*Slot]time.Duration{}, heard: now}
}

// usable reports whether new work may go to the target at all.
func (s *server) usable(now time.Duration) bool {
	return !s.gone && !s.Draining && now >= s.fullUntil && (s.failing == 0 || now >= s.retryAt)
}

// The pauses after a target was full.
const (
	// firstFull is about the time of one statement, and maxFull the time in
	// which a full queue drains.
	firstFull = 20 * time.Millisecond
	maxFull   = 160 * time.Millisecond
)

// full takes in that the target's queue was full. Statements that were sent
// together count once.
func (s *server) full(now time.Duration) {
	if now < s.fullUntil {
		return
	}
	s.window.full()
	s.fullUntil = now + min(firstFull<<s.fulls, maxFull)
	s.fulls = min(s.fulls+1, 8)
}

// down reports whether the target could not be reached of late.
func (s *server) down() bool { return s.failing != 0 }

// silent reports whether statements go unanswered for suspiciously long.
func (s *server) silent(now time.Duration) bool {
	return s.unanswered(now) > silenceLimit
}

// unanswered returns for how long the target has owed an answer without
// saying anything at all.
func (s *server) unanswered(now time.Duration) time.Duration {
	oldest := now
	for _, t := range s.pending {
		oldest = min(oldest, t)
	}
	return now - max(oldest, s.heard)
}

// cost estimates how long a new statement takes on the target.
func (s *server) cost(now time.Duration, zone string) time.Duration {
	c := s.expected(now, zone)
	load := 1 + float64(s.window.active)/float64(max(s.Slots, 1))
	return time.Duration(float64(c) * load)
}

// expected estimates a statement's time on the target if nothing else ran
// there. A bad average fades to what a target of that zone usually takes.
func (s *server) expected(now time.Duration, zone string) time.Duration {
	usual := assumedLatency
	if s.Zone != zone {
		usual += distance
	}
	if s.latency == 0 {
		return usual
	}
	usual = min(usual, s.base)
	if s.latency <= usual {
		return s.latency
	}
	old := float64(now-s.measured) / float64(forgetLatency)
	return usual + time.Duration(float64(s.latency-usual)*math.Exp2(-old))
}

// answered takes in a statement's latency.
func (s *server) answered(now, took time.Duration) {
	if s.latency == 0 {
		s.latency = took
		s.base = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	s.base = min(s.base, took)
	s.measured = now
}

func (s *server) alive() {
	s.failing = 0
	s.failures = 0
	s.refused = false
}

// showed takes in a position that the target's log had reached.
func (s *server) showed(p query.Position, now, lag time.Duration) {
	if p.Reaches(s.position) {
		s.position = p
	}
	s.lag = (s.lagNow(now) + lag) / 2
	s.lagSeen = now
}

func (s *server) lagNow(now time.Duration) time.Duration {
	old := float64(now-s.lagSeen) / float64(lagForget)
	return time.Duration(float64(s.lag) * math.Exp2(-old))
}

// lagged takes in that the target lacked a position of the given age.
func (s *server) lagged(now, age time.Duration) {
	s.lag = max(s.lagNow(now), age+age/2) + lagMargin
	s.lagSeen = now
}

// behind reports whether a replica probably lacks a position of some age, and
// has been tried a moment ago.
func (s *server) behind(p query.Position, age, now time.Duration) bool {
	return !s.shows(p, age, now) && now-s.lagTried < s.probePause(now)
}

// shows reports whether the target probably shows a position of some age.
func (s *server) shows(p query.Position, age, now time.Duration) bool {
	return p.IsZero() || s.position.Reaches(p) || s.lagNow(now) <= age
}

// failed takes in a dial that did not succeed.
func (s *server) failed(now time.Duration, err error) {
	if errors.Is(err, ErrScarce) {
		s.retryAt = now + firstBackoff
		return
	}
	f := (*query.Failure)(nil)
	if errors.As(err, &f) && f.Code == query.CodeTooManyConnections {
		s.heard = now
		s.retryAt = now + firstBackoff
		return
	}
	if s.failing == 0 {
		s.failing = max(now, 1)
	}
	s.failedAt = now
	s.failures++
	s.refused = isRefusal(err)
	pause := firstBackoff << min(s.failures-1, 8)
	s.retryAt = now + min(pause, maxBackoff)
}

// demandWindow is the time over which the peak of a demand counts.
const demandWindow = 500 * time.Millisecond

// demand is the peak of what was wanted of a target in the last one to two
// windows.
type demand struct {
	from         time.Duration
	now, earlier int
}

func (d *demand) add(now time.Duration, n int) {
	d.turn(now)
	d.now = max(d.now, n)
}

func (d *demand) peak(now time.Duration) int {
	d.turn(now)
	return max(d.now, d.earlier)
}

func (d *demand) turn(now time.Duration) {
	switch {
	case now-d.from < demandWindow:
		return
	case now-d.from < 2*demandWindow:
		d.earlier = d.now
	default:
		d.earlier = 0
	}
	d.from = now
	d.now = 0
}

// The signs that an answer is lost while its target answers others.
const (
	// lostAfter is the least time that an answer is awaited, and lostFactor
	// how many times the target's average it is awaited.
	lostAfter  = 300 * time.Millisecond
	lostFactor = 6
	// lostOvertaken is how many statements sent later must be answered.
	lostOvertaken = 3
)

// overtake counts an answer for the statements that were sent before its own.
func (s *server) overtake(sent time.Duration) {
	for slot, at := range s.pending {
		if slot.running && at < sent {
			slot.overtaken++
		}
	}
}

// cutLost ends the wait for answers that are probably lost, so that their
// connections are free for others.
func (s *server) cutLost(now time.Duration) {
	limit := max(lostAfter, lostFactor*s.latency)
	for slot, at := range s.pending {
		if slot.running && slot.overtaken >= lostOvertaken && now-at > limit {
			// The waiting goroutine reports what went wrong.
			_ = slot.conn.link.SetDeadline(time.Unix(1, 0))
		}
	}
}
