package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amaranthsill/internal/socket"
	"amaranthsill/query"
)

// Limits of what one connection of another VM may open, against broken input.
const (
	// maxStreams is far above the links of a VM to the targets that one holder holds.
	maxStreams = 4096
	// maxStreamOrders is far above the orders that a VM sends in one flight.
	maxStreamOrders = 64
)

// serverTrunk is the holder's end of a connection that carries many links as streams.
type serverTrunk struct {
	*serverConn
	// sending is held while a response is written.
	sending sync.Mutex

	lock    sync.Mutex
	streams map[uint32]*serverStream
	// closed reports that the connection is lost.
	closed bool
}

// serverStream is one link of a trunk. The trunk's lock guards the fields below
// serverLink, which is used by the goroutine that runs the stream's orders.
type serverStream struct {
	serverLink
	id uint32
	// orders are those that wait. While running is true a goroutine runs them in turn.
	orders  []*request
	running bool
	// closed reports that the other VM has closed the stream.
	closed bool
	// expiry ends a transaction that stays idle.
	expiry *time.Timer
}

// serve agrees to streams and handles requests until the connection ends.
func (t *serverTrunk) serve(ctx context.Context) error {
	if !t.server.add(t) {
		answer := newResponse(busyReply("holder stops", query.StateIdle))
		answer.Streams = true
		return t.reply(0, answer)
	}
	defer t.server.remove(t)
	defer t.end()
	if err := t.reply(0, response{Streams: true}); err != nil {
		return err
	}
	if t.server.isStopping() {
		t.endIdle()
	}
	for t.awaitRequest() {
		q := &request{}
		if err := t.decode(q); err != nil {
			return fmt.Errorf("read order: %w", err)
		}
		if err := t.accept(ctx, q); err != nil {
			return err
		}
	}
	return nil
}

// awaitRequest waits for the next request. It returns false once the other VM has sent
// nothing for linkIdleTimeout while no order and no transaction of its streams was open.
func (t *serverTrunk) awaitRequest() bool {
	for {
		if err := t.conn.SetReadDeadline(time.Now().Add(linkIdleTimeout)); err != nil {
			return false
		}
		_, err := t.reader.Peek(1)
		if err == nil {
			return t.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)) == nil
		}
		if !isTimeout(err) || !t.busy() {
			return false
		}
	}
}

// busy reports whether an order or a transaction is open on any stream.
func (t *serverTrunk) busy() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, s := range t.streams {
		if s.running || s.expiry != nil {
			return true
		}
	}
	return false
}

// accept takes in one request. Its error ends the connection.
func (t *serverTrunk) accept(ctx context.Context, q *request) error {
	t.lock.Lock()
	defer t.lock.Unlock()
	s := t.streams[q.Stream]
	switch {
	case q.Kind == kindOpen && (s != nil || q.Stream == 0 || len(t.streams) >= maxStreams):
		return fmt.Errorf("open stream %d: %w", q.Stream, ErrOrder)
	case q.Kind == kindOpen:
		s = &serverStream{id: q.Stream, serverLink: serverLink{server: t.server, hello: hello{Group: q.Group, Target: q.Target}}}
		t.streams[s.id] = s
	case s == nil:
		// The stream has ended, and the other VM was told.
		return nil
	case q.Kind == kindClose:
		s.closed = true
	case len(s.orders) >= maxStreamOrders:
		return fmt.Errorf("stream %d has %d orders waiting: %w", s.id, len(s.orders), ErrOrder)
	}
	s.orders = append(s.orders, q)
	t.start(ctx, s)
	return nil
}

// start runs a stream's orders in the background, unless that is being done. The lock
// must be held.
func (t *serverTrunk) start(ctx context.Context, s *serverStream) {
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
	if s.running {
		return
	}
	s.running = true
	go func() {
		defer socket.CloseAfterPanic(t.conn, t.server.Log)
		ended := false
		defer func() {
			if !ended {
				s.rollBack()
			}
		}()
		t.run(ctx, s)
		ended = true
	}()
}

// run runs a stream's orders until none waits, or until the stream ends.
func (t *serverTrunk) run(ctx context.Context, s *serverStream) {
	for {
		q := t.next(s)
		if q == nil {
			return
		}
		if t.isClosed(s) || !t.perform(ctx, s, q) {
			t.remove(s)
			s.rollBack()
			return
		}
	}
}

// next returns the stream's next order; nil if none waits, in which case the goroutine
// that calls it must end. A transaction that is open then expires unless an order comes;
// if the connection is lost, it is closed.
func (t *serverTrunk) next(s *serverStream) *request {
	t.lock.Lock()
	defer t.lock.Unlock()
	if len(s.orders) > 0 {
		q := s.orders[0]
		s.orders = s.orders[1:]
		return q
	}
	if t.closed && s.slot != nil {
		return &request{Kind: kindClose}
	}
	s.orders, s.running = nil, false
	if s.slot != nil {
		s.expiry = time.AfterFunc(t.server.TransactionIdleTimeout()+transactionIdleMargin, func() { t.expire(s) })
	}
	return nil
}

// perform runs one order and replies. It returns false if the stream ends with it.
func (t *serverTrunk) perform(ctx context.Context, s *serverStream, q *request) bool {
	answer, ends, err := t.answer(ctx, s, q)
	if err != nil {
		t.server.Log.V(1).Info("link of another VM ended on error", "from", t.conn.RemoteAddr().String(), "target", s.hello.Target, "reason", err.Error())
		// If the response is lost, so is the connection.
		_ = t.reply(s.id, response{Ended: true})
		return false
	}
	n := newResponse(answer)
	n.Number = q.Number
	if t.reply(s.id, n) != nil {
		return false
	}
	if ends {
		_ = t.reply(s.id, response{Ended: true})
	}
	return !ends
}

// answer returns the reply to an order. If ends is true the stream ends after it; after
// an error the order may have run.
func (t *serverTrunk) answer(ctx context.Context, s *serverStream, q *request) (answer query.Reply, ends bool, err error) {
	if q.Kind == kindOpen {
		s.group, answer = t.server.admit(s.hello)
		return answer, s.group == nil, nil
	}
	if s.slot == nil && t.server.isStopping() {
		return busyReply("holder stops", query.StateIdle), true, nil
	}
	if s.slot == nil && !s.isHolder() {
		return busyReply("connections to this target are held elsewhere now", query.StateIdle), true, nil
	}
	answer, err = s.handle(ctx, q)
	return answer, false, err
}

// expire ends a stream whose transaction has been idle for too long.
func (t *serverTrunk) expire(s *serverStream) {
	t.lock.Lock()
	if s.running || t.streams[s.id] != s || s.expiry == nil {
		t.lock.Unlock()
		return
	}
	s.running, s.expiry = true, nil
	delete(t.streams, s.id)
	t.lock.Unlock()
	// If the response is lost, so is the connection.
	_ = t.reply(s.id, response{Ended: true})
	s.rollBack()
}

func (t *serverTrunk) isClosed(s *serverStream) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return s.closed || t.closed
}

func (t *serverTrunk) remove(s *serverStream) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.streams[s.id] == s {
		delete(t.streams, s.id)
	}
}

// end ends all streams. Those whose orders are running end after that.
func (t *serverTrunk) end() {
	t.lock.Lock()
	t.closed = true
	idle := []*serverStream{}
	for _, s := range t.streams {
		if s.expiry != nil {
			s.expiry.Stop()
			s.expiry = nil
		}
		if !s.running {
			s.running = true
			idle = append(idle, s)
		}
	}
	t.streams = nil
	t.lock.Unlock()
	for _, s := range idle {
		s.rollBack()
	}
}

// endIdle implements drainable. It tells the other VM to end the streams without a
// transaction; the connection ends when that VM has ended all of them. Orders that are
// on their way until then are answered.
func (t *serverTrunk) endIdle() {
	// If the response is lost, so is the connection.
	go func() { _ = t.reply(0, response{}) }()
}

// endTransactions implements drainable.
func (t *serverTrunk) endTransactions() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, s := range t.streams {
		if s.expiry != nil {
			go t.expire(s)
		}
	}
}

// reply writes a response for a stream. A connection to which it cannot be written is
// closed, since part of the response may have been.
func (t *serverTrunk) reply(stream uint32, n response) error {
	t.sending.Lock()
	defer t.sending.Unlock()
	n.Stream = stream
	err := t.send(n)
	if err != nil {
		// The connection is not used any more, whether or not closing succeeds.
		_ = t.conn.Close()
	}
	return err
}
