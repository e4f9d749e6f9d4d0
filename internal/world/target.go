package world

import (
	"fmt"
	"time"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// target is a fake database server: the replica's rules with connections,
// slots of work and replication in virtual time.
type target struct {
	place
	world   *World
	replica *replica.Replica
	lag     time.Duration
	open    int
	busy    int
	pending []func()
	stream  *stream
	polls   []*poll
	// left reports that the VMs were told that the target leaves.
	left bool
	// executed counts how often each request ran here.
	executed map[uint64]int
}

// poll is a long poll that waits for a position.
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
		place:    place{name: targetName(i), zone: i, life: 1},
		world:    w,
		replica:  replica.New(targetName(i)),
		lag:      w.Shape.Lag,
		executed: map[uint64]int{},
	}
	w.wake(&t.place, 0, t.pull)
	w.wake(&t.place, 0, t.apply)
	return t
}

func (w *World) target(name string) *target {
	for _, t := range w.targets {
		if t.name == name {
			return t
		}
	}
	panic("world: no target " + name)
}

// apply is the target's duty to show what it received.
func (t *target) apply() {
	const step = time.Millisecond
	before := t.replica.Applied()
	t.replica.Apply(t.world.now, t.lag)
	if t.replica.Applied() != before {
		t.changed()
	}
	t.world.wake(&t.place, step, t.apply)
}

// changed answers the long polls that have what they waited for.
func (t *target) changed() {
	kept := t.polls[:0]
	for _, p := range t.polls {
		switch {
		case p.done:
		case t.satisfies(p):
			p.done = true
			p.answer()
		default:
			kept = append(kept, p)
		}
	}
	t.polls = kept
}

func (t *target) satisfies(p *poll) bool {
	if t.replica.Term() != p.term {
		return true
	}
	return t.replica.Last().Reaches(p.received) && t.replica.Applied().Reaches(p.applied)
}

// stream is a replica's connection to its primary.
type stream struct {
	conn    *conn
	primary *target
	asked   time.Duration
	next    *group.Position
}

// The times of replication.
const (
	pullWait  = 100 * time.Millisecond
	pullLimit = 400 * time.Millisecond
	pullPause = 20 * time.Millisecond
)

// pull is the replica's duty to copy the primary's log.
func (t *target) pull() {
	t.world.wake(&t.place, pullPause, t.pull)
	if t.replica.Role() != group.RoleReplica {
		t.stream = nil
		return
	}
	s := t.stream
	if s != nil && s.primary.name == t.replica.Primary() && t.world.now-s.asked < pullLimit {
		return
	}
	p := t.world.target(t.replica.Primary())
	if p.down {
		return
	}
	t.stream = &stream{conn: t.world.connect(&t.place, &p.place), primary: p}
	t.stream.asked = t.world.now
	s = t.stream
	// The handshake takes a trip each way.
	s.conn.send(&t.place, func() { s.conn.send(&p.place, func() { t.request(s) }) })
}

func (t *target) request(s *stream) {
	if t.stream != s {
		return
	}
	s.asked = t.world.now
	from := t.replica.Last()
	if s.next != nil {
		from = *s.next
	}
	term := t.replica.Term()
	s.conn.send(&t.place, func() { s.primary.serveLog(s, t, term, from) })
}

// serveLog answers a replica at once if there is something to send, or after
// a while.
func (t *target) serveLog(s *stream, r *target, term group.Term, from group.Position) {
	p := &poll{received: group.At(from.Term(), from.Offset()+1), term: t.replica.Term()}
	p.answer = func() { t.sendLog(s, r, term, from) }
	if t.replica.Last() != from {
		p.answer()
		return
	}
	t.polls = append(t.polls, p)
	t.world.wake(&t.place, pullWait, func() {
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
	entries, ok := t.replica.After(from, batch)
	if !ok {
		from = t.replica.Match(from)
		entries, _ = t.replica.After(from, batch)
	}
	s.conn.send(&t.place, func() { r.receive(s, term, from, entries) })
}

func (t *target) receive(s *stream, term group.Term, from group.Position, entries []replica.Entry) {
	if t.stream != s {
		return
	}
	s.next = nil
	if !t.replica.Receive(term, from, entries, t.world.now) && t.replica.Term() == term {
		match := t.replica.Match(from)
		s.next = &match
	}
	t.changed()
	t.request(s)
}

// work runs something in one of the target's slots.
func (t *target) work(do func()) {
	if t.busy >= t.world.Shape.Slots {
		t.pending = append(t.pending, do)
		return
	}
	t.busy++
	t.world.wake(&t.place, t.world.Shape.Service, func() {
		do()
		t.busy--
		if len(t.pending) > 0 {
			next := t.pending[0]
			t.pending = t.pending[1:]
			t.work(next)
		}
	})
}

func (t *target) kill() {
	t.down = true
	t.world.trace("%s killed", t.name)
	for _, v := range t.world.vms {
		v.lostTarget(t)
	}
}

func (t *target) restart() {
	t.life++
	t.down = false
	t.open, t.busy = 0, 0
	t.pending, t.polls, t.stream = nil, nil, nil
	t.replica.Restart()
	t.world.trace("%s restarted", t.name)
	t.world.wake(&t.place, 0, t.pull)
	t.world.wake(&t.place, 0, t.apply)
}

func (t *target) status() group.Status { return t.replica.Status(t.world.now) }
