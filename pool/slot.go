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
	// wiring is the group's when the connection was opened.
	wiring int
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
	// active reports that the slot counts in its target's window.
	active bool
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
	return s.together([]Order{o}, until)
}

// together sends orders in one flight and returns the answer to the last. The
// others must be such that a failure of one does no harm to those behind it; it
// is returned as an error.
func (s *Slot) together(orders []Order, until time.Duration) (Answer, error) {
	sent := s.group.Now()
	s.group.started(s, sent)
	r, err := s.exchange(orders, until-sent)
	s.group.ended(s, orders[len(orders)-1], r, sent, err)
	if err != nil {
		s.broken = true
		return Answer{}, fmt.Errorf("run on target %s: %w", s.target, err)
	}
	return Answer{Reply: r, Sent: sent}, nil
}

func (s *Slot) exchange(orders []Order, limit time.Duration) (query.Reply, error) {
	if err := s.conn.link.SetDeadline(time.Now().Add(limit)); err != nil {
		return query.Reply{}, err
	}
	if err := s.conn.link.Send(orders...); err != nil {
		return query.Reply{}, err
	}
	for range orders[1:] {
		r, err := s.conn.link.Receive()
		if err == nil && r.Failure != nil {
			err = fmt.Errorf("align session: %w", r.Failure)
		}
		if err != nil {
			return query.Reply{}, err
		}
	}
	return s.conn.link.Receive()
}

// steps returns what gives the connection the session's values, and the plan if
// there is one.
func (s *Slot) steps(state *session.State, plan *query.Plan) []Order {
	orders := []Order{}
	for _, step := range s.conn.mirror.Align(state, plan) {
		orders = append(orders, Align{Step: step})
	}
	return orders
}

// Align gives the connection the session's values. After an error nothing of
// the caller's has run.
func (s *Slot) Align(state *session.State, until time.Duration) error {
	orders := s.steps(state, nil)
	if len(orders) == 0 {
		return nil
	}
	a, err := s.together(orders, until)
	if err != nil {
		return fmt.Errorf("align session: %w", err)
	}
	if a.Failure != nil {
		s.broken = true
		return fmt.Errorf("align session: %w", a.Failure)
	}
	return nil
}

// Execute runs one order on a connection that has the session's values. A plan
// that it lacks is prepared in the same flight: a statement does not run whose
// plan could not be prepared.
func (s *Slot) Execute(o Order, state *session.State, plan *query.Plan, until time.Duration) (Answer, error) {
	return s.together(append(s.steps(state, plan), o), until)
}

// Begin aligns the connection and opens a transaction in one flight. A step
// that fails ends the connection, and with it the transaction.
func (s *Slot) Begin(b Begin, state *session.State, plan *query.Plan, until time.Duration) (Answer, error) {
	return s.together(append(s.steps(state, plan), b), until)
}

// Release gives the connection back. A connection with an open transaction
// must be broken or rolled back first.
func (s *Slot) Release() { s.group.release(s) }

// Discard closes the connection, so that the target rolls back.
func (s *Slot) Discard() {
	s.broken = true
	s.group.release(s)
}

// rollbackLimit bounds the wait for a target's answer to a rollback; after
// it, closing the connection rolls back as well.
const rollbackLimit = 2 * time.Second

// RollBack ends the transaction that is open on the connection and gives it
// back.
func (s *Slot) RollBack() {
	a, err := s.Run(Rollback{}, s.group.Now()+rollbackLimit)
	if err != nil {
		s.Release()
		return
	}
	s.Finish(a.State)
}

// Finish gives the connection back after the end of a transaction, as the
// target reported its state. One that is not idle is closed.
func (s *Slot) Finish(state query.State) {
	if state != query.StateIdle {
		s.Discard()
		return
	}
	s.Release()
}

// isRefusal reports whether a machine answered that nobody listens there.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
