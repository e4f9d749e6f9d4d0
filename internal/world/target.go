package world

import (
	"fmt"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// target is a simulated target: a replica.Replica with a limit on connections
// and concurrent requests, and log replication in virtual time.
type target struct {
	node
	world           *World
	replica         *replica.Replica
	lag             time.Duration
	openConnections int
	busySlots       int
	queued          []func()
	stream          *stream
	polls           []*poll
	// leaving reports that the VMs have been told that the target is leaving.
	leaving bool
	// executions counts the commits of each request on this target, by the
	// request's ID.
	executions map[uint64]int
}

// poll is a long poll that is answered once the target has received and applied
// the given positions, or is no longer at the given term.
type poll struct {
	received group.Position
	applied  group.Position
	term     group.Term
	answer   func()
	done     bool
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

func newTarget(w *World, i int) *target {
	t := &target{
		node:       node{name: targetName(i), zone: i, generation: 1},
		world:      w,
		replica:    replica.New(targetName(i)),
		lag:        w.Scenario.Lag,
		executions: map[uint64]int{},
	}
	w.scheduleOn(&t.node, 0, t.pull)
	w.scheduleOn(&t.node, 0, t.apply)
	return t
}

func (w *World) target(name string) *target {
	for _, t := range w.targets {
		if t.name == name {
			return t
		}
	}
	panic("world: no target named " + name)
}

// apply makes received log entries visible once they are older than the
// target's lag. It runs once a millisecond while the target is up.
func (t *target) apply() {
	const interval = time.Millisecond
	before := t.replica.Applied()
	t.replica.Apply(t.world.now, t.lag)
	if t.replica.Applied() != before {
		t.answerPolls()
	}
	t.world.scheduleOn(&t.node, interval, t.apply)
}

// answerPolls answers the long polls whose condition is met and keeps the
// others.
func (t *target) answerPolls() {
	waiting := t.polls[:0]
	for _, p := range t.polls {
		switch {
		case p.done:
		case t.satisfies(p):
			p.done = true
			p.answer()
		default:
			waiting = append(waiting, p)
		}
	}
	t.polls = waiting
}

func (t *target) satisfies(p *poll) bool {
	if t.replica.Term() != p.term {
		return true
	}
	return t.replica.Last().Reaches(p.received) && t.replica.Applied().Reaches(p.applied)
}

// stream is a replica's replication connection to its primary.
type stream struct {
	conn    *conn
	primary *target
	// requestedAt is when the replica last requested entries.
	requestedAt time.Duration
	// resumeFrom is the position after which the next request asks for
	// entries, if the logs diverged; nil means the replica's last position.
	resumeFrom *group.Position
}

// Timing of log replication: pullWait is how long a primary without new entries
// holds a request open, pullTimeout is the time without an answer after which
// the replica reconnects, and pullInterval is the time between its checks.
const (
	pullWait     = 100 * time.Millisecond
	pullTimeout  = 400 * time.Millisecond
	pullInterval = 20 * time.Millisecond
)

// pull opens the replication connection of a replica, and opens a new one when
// the primary changes or stops answering. It runs every pullInterval while the
// target is up.
func (t *target) pull() {
	t.world.scheduleOn(&t.node, pullInterval, t.pull)
	if t.replica.Role() != group.RoleReplica {
		t.stream = nil
		return
	}
	s := t.stream
	if s != nil && s.primary.name == t.replica.Primary() && t.world.now-s.requestedAt < pullTimeout {
		return
	}
	p := t.world.target(t.replica.Primary())
	if p.down {
		return
	}
	t.stream = &stream{conn: t.world.connect(&t.node, &p.node), primary: p}
	t.stream.requestedAt = t.world.now
	s = t.stream
	// The connection's handshake takes one message in each direction.
	s.conn.send(&t.node, func() { s.conn.send(&p.node, func() { t.requestLog(s) }) })
}

func (t *target) requestLog(s *stream) {
	if t.stream != s {
		return
	}
	s.requestedAt = t.world.now
	from := t.replica.Last()
	if s.resumeFrom != nil {
		from = *s.resumeFrom
	}
	term := t.replica.Term()
	s.conn.send(&t.node, func() { s.primary.serveLog(s, t, term, from) })
}

// serveLog answers a replica's request for the entries after from: at once if
// the logs' ends differ, otherwise when an entry arrives, at the latest after
// pullWait.
func (t *target) serveLog(s *stream, r *target, term group.Term, from group.Position) {
	p := &poll{received: group.At(from.Term(), from.Offset()+1), term: t.replica.Term()}
	p.answer = func() { t.sendLog(s, r, term, from) }
	if t.replica.Last() != from {
		p.answer()
		return
	}
	t.polls = append(t.polls, p)
	t.world.scheduleOn(&t.node, pullWait, func() {
		if !p.done {
			p.done = true
			p.answer()
		}
	})
}

func (t *target) sendLog(s *stream, r *target, term group.Term, from group.Position) {
	const batch = 100
	if t.replica.Role() != group.RolePrimary || t.replica.Term() != term {
		return
	}
	entries, ok := t.replica.EntriesAfter(from, batch)
	if !ok {
		from = t.replica.Match(from)
		entries, _ = t.replica.EntriesAfter(from, batch)
	}
	s.conn.send(&t.node, func() { r.receive(s, term, from, entries) })
}

func (t *target) receive(s *stream, term group.Term, from group.Position, entries []replica.Entry) {
	if t.stream != s {
		return
	}
	s.resumeFrom = nil
	if !t.replica.AppendEntries(term, from, entries, t.world.now) && t.replica.Term() == term {
		match := t.replica.Match(from)
		s.resumeFrom = &match
	}
	t.answerPolls()
	t.requestLog(s)
}

// runInSlot runs do on the target after Scenario.ServiceTime, once one of its
// Scenario.Slots execution slots is free.
func (t *target) runInSlot(do func()) {
	if t.busySlots >= t.world.Scenario.Slots {
		t.queued = append(t.queued, do)
		return
	}
	t.busySlots++
	t.world.scheduleOn(&t.node, t.world.Scenario.ServiceTime, func() {
		do()
		t.busySlots--
		if len(t.queued) > 0 {
			next := t.queued[0]
			t.queued = t.queued[1:]
			t.runInSlot(next)
		}
	})
}

func (t *target) kill() {
	t.down = true
	t.world.trace("%s killed", t.name)
	for _, v := range t.world.vms {
		v.breakConnections(t)
	}
}

func (t *target) restart() {
	t.generation++
	t.down = false
	t.openConnections, t.busySlots = 0, 0
	t.queued, t.polls, t.stream = nil, nil, nil
	t.replica.Restart()
	t.world.trace("%s restarted", t.name)
	t.world.scheduleOn(&t.node, 0, t.pull)
	t.world.scheduleOn(&t.node, 0, t.apply)
}

func (t *target) status() group.Status { return t.replica.Status(t.world.now) }
