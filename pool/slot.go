package pool

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"amaranthsill/query"
	"amaranthsill/session"
)

// connection is an idle or running link with the session state it holds.
type connection struct {
	link   Link
	mirror session.Mirror
	used   time.Duration
}

// Slot is a connection to a target for one statement or transaction.
type Slot struct {
	group *Group
	// target is the ID of the server's target, which may be registered anew
	// meanwhile.
	target string
	server *server
	conn   *connection
	broken bool
	// overtaken counts the statements that were sent later and are answered;
	// while running, at most one goroutine waits on the link.
	overtaken int
	running   bool
	// leader reports that the target led the group when the slot was taken.
	leader bool
}

// Target returns the ID of the slot's target.
func (s *Slot) Target() string { return s.target }

// Leader reports whether the target led the group when the slot was taken.
func (s *Slot) Leader() bool { return s.leader }

// Broken reports whether the connection was lost.
func (s *Slot) Broken() bool { return s.broken }

// Answer is a target's reply and when its order was sent.
type Answer struct {
	query.Reply
	Sent time.Duration
}

// Run sends one order and waits for its answer until the given time. After
// an error the connection is closed, and the order may have run.
func (s *Slot) Run(o Order, until time.Duration) (Answer, error) {
	sent := s.group.Now()
	s.group.started(s, sent)
	r, err := s.exchange(o, until-sent)
	s.group.ended(s, o, r, sent, err)
	if err != nil {
		s.broken = true
		return Answer{}, fmt.Errorf("run on target %s: %w", s.target, err)
	}
	return Answer{Reply: r, Sent: sent}, nil
}

func (s *Slot) exchange(o Order, limit time.Duration) (query.Reply, error) {
	if err := s.conn.link.SetDeadline(time.Now().Add(limit)); err != nil {
		return query.Reply{}, err
	}
	if err := s.conn.link.Send(o); err != nil {
		return query.Reply{}, err
	}
	return s.conn.link.Receive()
}

// Align gives the connection the session's values, and the plan if there is
// one. After an error nothing of the caller's has run.
func (s *Slot) Align(state *session.State, plan *query.Plan, until time.Duration) error {
	for _, step := range s.conn.mirror.Align(state, plan) {
		a, err := s.Run(Align{Step: step}, until)
		if err != nil {
			return fmt.Errorf("align session: %w", err)
		}
		if a.Failure != nil {
			s.broken = true
			return fmt.Errorf("align session: %w", a.Failure)
		}
	}
	return nil
}

// Release gives the connection back. A connection with an open transaction
// must be broken or rolled back first.
func (s *Slot) Release() { s.group.release(s) }

// Discard closes the connection, so that the target rolls back.
func (s *Slot) Discard() {
	s.broken = true
	s.group.release(s)
}

// isRefusal reports whether a machine answered that nobody listens there.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
