package pool

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"amaranthsill/query"
	"amaranthsill/session"
	"amaranthsill/zones"
)

// connection is a link to a target with the session state that it holds.
type connection struct {
	link     Link
	state    session.ConnectionState
	openedAt time.Duration
	lastUsed time.Duration
	// generation is the group's linkGeneration when the connection was opened.
	generation int
	// identity states for whom the connection was opened.
	identity
}

// spent reports whether the connection must not be used for other statements.
func (c *connection) spent() bool {
	m, ok := c.link.(*Matcher)
	return ok && m.Spent()
}

// Slot is a connection to a target, reserved for one statement or transaction.
type Slot struct {
	group *Group
	// target is the ID of the server's target. It is stored here because
	// server.Target may be replaced by a new registration at any time.
	target string
	server *server
	conn   *connection
	broken bool
	// laterAnswers is the number of statements that were sent later and have
	// been answered. While running is true, one goroutine waits on the link.
	laterAnswers int
	running      bool
	// inWindow reports whether the slot counts towards its target's window.
	inWindow bool
	// leader reports whether the target led the group when the slot was
	// acquired.
	leader bool
	// locateOnly reports that the connection may belong to another customer, so that
	// only Locate orders may be sent.
	locateOnly bool
	// route names the statement's route, and reason says why its target was chosen;
	// both are set only if Group.Traffic is.
	route  string
	reason zones.Reason
	// customer is the name of the customer whose statement the slot is for.
	customer string
}

// Target returns the ID of the slot's target.
func (s *Slot) Target() string { return s.target }

// Broken reports whether the connection is lost or has to be closed.
func (s *Slot) Broken() bool { return s.broken }

// Answer is a target's reply, with the time when the order was sent.
type Answer struct {
	query.Reply
	Sent time.Duration
}

// Run sends one order and waits for the answer until a time on the clock of
// Group.Now. After an error the slot is broken, and the order may have run.
func (s *Slot) Run(o Order, until time.Duration) (Answer, error) {
	return s.runBatch([]Order{o}, until)
}

// runBatch sends several orders in one round trip and returns the answer to
// the last. A failure of another order is returned as an error; such orders
// must be safe to follow by the rest of the batch even if they fail.
func (s *Slot) runBatch(orders []Order, until time.Duration) (Answer, error) {
	if err := s.allows(orders); err != nil {
		return Answer{}, err
	}
	sent := s.group.Now()
	s.group.statementStarted(s, sent)
	r, err := s.exchange(orders, until-sent)
	s.group.statementEnded(s, orders[len(orders)-1], r, sent, err)
	if err != nil {
		s.broken = true
		return Answer{}, fmt.Errorf("run on target %s: %w", s.target, err)
	}
	return Answer{Reply: r, Sent: sent}, nil
}

// ErrNotLocate reports an order that must not be sent on a connection that was
// acquired with Need.Locate. It was not sent.
var ErrNotLocate = errors.New("only a position may be requested on this connection")

// allows returns an error if one of the orders must not be sent on the slot.
func (s *Slot) allows(orders []Order) error {
	for _, o := range orders {
		if _, ok := o.(Locate); s.locateOnly && !ok {
			return fmt.Errorf("run on target %s: %w", s.target, ErrNotLocate)
		}
	}
	return nil
}

func (s *Slot) exchange(orders []Order, timeout time.Duration) (query.Reply, error) {
	if err := s.conn.link.SetDeadline(time.Now().Add(timeout)); err != nil {
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

// alignOrders returns the orders that give the connection the session's
// values, and that prepare the plan unless it is nil.
func (s *Slot) alignOrders(state *session.State, plan *query.Plan) []Order {
	orders := []Order{}
	for _, step := range s.conn.state.Align(state, plan) {
		orders = append(orders, Align{Step: step})
	}
	return orders
}

// Align gives the connection the session's values. After an error, no
// statement of the caller has run.
func (s *Slot) Align(state *session.State, until time.Duration) error {
	orders := s.alignOrders(state, nil)
	if len(orders) == 0 {
		return nil
	}
	a, err := s.runBatch(orders, until)
	if err != nil {
		return fmt.Errorf("align session: %w", err)
	}
	if a.Failure != nil {
		s.broken = true
		return fmt.Errorf("align session: %w", a.Failure)
	}
	return nil
}

// Execute gives the connection the session's values, prepares the plan if the
// connection lacks it, and runs one order, all in one round trip. A statement
// whose plan could not be prepared does not run.
func (s *Slot) Execute(o Order, state *session.State, plan *query.Plan, until time.Duration) (Answer, error) {
	return s.runBatch(append(s.alignOrders(state, plan), o), until)
}

// Begin gives the connection the session's values and opens a transaction in
// one round trip. If a step fails, the connection is closed, which rolls back
// the transaction.
func (s *Slot) Begin(b Begin, state *session.State, plan *query.Plan, until time.Duration) (Answer, error) {
	return s.runBatch(append(s.alignOrders(state, plan), b), until)
}

// Release returns the connection to the pool. A transaction must not be open
// on it unless it is broken.
func (s *Slot) Release() { s.group.release(s) }

// Discard closes the connection; the target then rolls back an open
// transaction.
func (s *Slot) Discard() {
	s.broken = true
	s.group.release(s)
}

// rollbackTimeout bounds the wait for the answer to a rollback. After it the
// connection is closed, which rolls back as well.
const rollbackTimeout = 2 * time.Second

// RollBack rolls back the open transaction. It returns the connection to the
// pool if the target reports that it is idle, and closes it otherwise, which
// rolls back as well. After an error of Run the slot is broken, so Release
// closes the connection.
func (s *Slot) RollBack() {
	a, err := s.Run(Rollback{}, s.group.Now()+rollbackTimeout)
	if err != nil {
		s.Release()
		return
	}
	s.Finish(a.State)
}

// Finish returns the connection to the pool after a transaction, given the
// state that the target reported. The connection is closed unless that state
// is idle.
func (s *Slot) Finish(state query.State) {
	if state != query.StateIdle {
		s.Discard()
		return
	}
	s.Release()
}

// isConnectionRefused reports whether the peer refused or reset the
// connection.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
