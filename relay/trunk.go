package relay

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"amaranthsill/pool"
	"amaranthsill/query"
)

// Errors of streams.
var (
	errStreamEnded  = errors.New("holder has ended the link")
	errStreamClosed = errors.New("link is closed")
	errHolderStops  = errors.New("holder is about to stop")
	errUnmatched    = errors.New("response of holder matches no request")
	errUsedUp       = errors.New("connection has had all of its streams")
)

// trunk is a connection to a holder that carries many links, each as a stream. Without
// it, a VM would have a connection for each target and statement in flight, and a holder
// those of all VMs that use it.
type trunk struct {
	*ownConnection
	// ended is called once, when the trunk accepts no more streams.
	ended func(*trunk)

	// sending is held while requests are written.
	sending sync.Mutex

	lock    sync.Mutex
	streams map[uint32]*stream
	last    uint32
	// leaving reports that the holder waits for the open transactions only.
	leaving bool
	// err is why the connection is lost; nil while it is not.
	err error
	// unusedSince is when the last stream was closed.
	unusedSince time.Time
}

// newTrunk returns the trunk of a connection on which the holder has agreed to streams.
func newTrunk(c *ownConnection, ended func(*trunk)) (*trunk, error) {
	if err := c.setDeadline(time.Time{}); err != nil {
		return nil, err
	}
	t := &trunk{ownConnection: c, ended: ended, streams: map[uint32]*stream{}, unusedSince: time.Now()}
	go t.run()
	return t, nil
}

// run passes the responses on to their streams until the connection is lost.
func (t *trunk) run() {
	for {
		r, err := t.receive()
		if err != nil {
			t.fail(err)
			return
		}
		t.deliver(r)
	}
}

// deliver passes one response on.
func (t *trunk) deliver(r response) {
	t.lock.Lock()
	if r.Stream == 0 {
		t.leave()
	} else if s := t.streams[r.Stream]; s != nil {
		s.deliver(r)
	}
	done := t.leaving && !t.busy()
	t.lock.Unlock()
	if done {
		t.fail(errHolderStops)
	}
}

// leave ends the streams on which neither an order nor a transaction is open. The lock
// must be held.
func (t *trunk) leave() {
	t.leaving = true
	for id, s := range t.streams {
		if !s.busy() {
			delete(t.streams, id)
			s.end(errHolderStops)
		}
	}
	go t.ended(t)
}

// busy reports whether an order or a transaction is open on any stream. The lock must
// be held.
func (t *trunk) busy() bool {
	for _, s := range t.streams {
		if s.busy() {
			return true
		}
	}
	return false
}

// fail closes the connection and ends all streams.
func (t *trunk) fail(err error) {
	t.lock.Lock()
	first := t.err == nil
	if first {
		t.err = err
	}
	for id, s := range t.streams {
		delete(t.streams, id)
		s.end(err)
	}
	t.lock.Unlock()
	t.close()
	if first {
		t.ended(t)
	}
}

// closeUnused closes the connection if no stream was open for a time.
func (t *trunk) closeUnused(idle time.Duration) {
	t.lock.Lock()
	unused := len(t.streams) == 0 && time.Since(t.unusedSince) > idle
	t.lock.Unlock()
	if unused {
		t.fail(errStreamClosed)
	}
}

// open opens a stream to a target, and returns it with the holder's reply.
func (t *trunk) open(target pool.Target) (*stream, response, error) {
	t.lock.Lock()
	if err := t.unusable(); err != nil {
		t.lock.Unlock()
		return nil, response{}, err
	}
	t.last++
	s := &stream{trunk: t, id: t.last, changed: make(chan struct{}, 1), deadline: time.Now().Add(connectTimeout)}
	t.streams[s.id] = s
	t.lock.Unlock()
	r, err := s.exchange(request{Kind: kindOpen, Group: target.Group, Target: target.ID})
	if err != nil {
		s.close()
		return nil, r, err
	}
	return s, r, nil
}

// unusable returns why no stream can be opened; nil if one can. The lock must be held.
func (t *trunk) unusable() error {
	switch {
	case t.err != nil:
		return t.err
	case t.leaving:
		return errHolderStops
	case t.last == math.MaxUint32:
		return errUsedUp
	}
	return nil
}

// write sends the requests of a stream.
func (t *trunk) write(requests []request) error {
	t.sending.Lock()
	defer t.sending.Unlock()
	err := t.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = t.send(requests)
	}
	if err != nil {
		// Part of a message may have been written, so nothing can follow it.
		t.fail(err)
		return fmt.Errorf("write to holder: %w", err)
	}
	return nil
}

// stream is a channel on a trunk. The trunk's lock guards all but the first two fields.
type stream struct {
	trunk *trunk
	id    uint32
	// changed is signalled when any field below has changed.
	changed  chan struct{}
	deadline time.Time
	replies  []response
	// sent and answered are the numbers of requests and of responses, and open reports
	// that a transaction is.
	sent, answered uint64
	open           bool
	err            error
}

var _ channel = (*stream)(nil)

// busy reports whether an order or a transaction is open. The trunk's lock must be held.
func (s *stream) busy() bool { return s.answered < s.sent || s.open }

// deliver adds a response. One that was delivered before is dropped, and one that matches
// no request ends the stream. The trunk's lock must be held.
func (s *stream) deliver(r response) {
	if r.Ended {
		delete(s.trunk.streams, s.id)
		s.end(errStreamEnded)
		return
	}
	if r.Number != 0 && r.Number <= s.answered {
		return
	}
	if s.answered == s.sent || r.Number != 0 && r.Number != s.answered+1 {
		s.end(errUnmatched)
		return
	}
	s.answered++
	s.open = r.State != query.StateIdle
	s.replies = append(s.replies, r)
	if s.trunk.leaving && !s.busy() {
		delete(s.trunk.streams, s.id)
		s.err = errHolderStops
	}
	s.signal()
}

// end makes the stream return an error. The trunk's lock must be held.
func (s *stream) end(err error) {
	if s.err == nil {
		s.err = err
	}
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// send implements channel. On a stream that has ended it sends nothing, and receive
// returns the reason.
func (s *stream) send(requests []request) error {
	t := s.trunk
	t.lock.Lock()
	if s.err != nil {
		t.lock.Unlock()
		return nil
	}
	for i := range requests {
		s.sent++
		requests[i].Stream, requests[i].Number = s.id, s.sent
	}
	t.lock.Unlock()
	return t.write(requests)
}

// receive implements channel.
func (s *stream) receive() (response, error) {
	for {
		r, ok, left, err := s.next()
		if ok || err != nil {
			return r, err
		}
		timer := time.NewTimer(left)
		select {
		case <-s.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// noDeadline is how long a stream without a deadline waits at a time.
const noDeadline = time.Hour

// next returns a response that has arrived, or else how long to wait for one. Responses
// that have arrived are returned before an error.
func (s *stream) next() (r response, ok bool, left time.Duration, err error) {
	s.trunk.lock.Lock()
	defer s.trunk.lock.Unlock()
	left = noDeadline
	if !s.deadline.IsZero() {
		left = time.Until(s.deadline)
	}
	switch {
	case len(s.replies) > 0:
		r, s.replies = s.replies[0], s.replies[1:]
		return r, true, left, nil
	case s.err != nil:
		return r, false, left, fmt.Errorf("receive reply from holder: %w", s.err)
	case left <= 0:
		return r, false, left, fmt.Errorf("receive reply from holder: %w", os.ErrDeadlineExceeded)
	}
	return r, false, left, nil
}

// exchange sends one request and returns its response.
func (s *stream) exchange(r request) (response, error) {
	if err := s.send([]request{r}); err != nil {
		return response{}, err
	}
	return s.receive()
}

// setDeadline implements channel.
func (s *stream) setDeadline(t time.Time) error {
	s.trunk.lock.Lock()
	defer s.trunk.lock.Unlock()
	s.deadline = t
	s.signal()
	return nil
}

// close implements channel.
func (s *stream) close() {
	t := s.trunk
	t.lock.Lock()
	open := t.streams[s.id] == s
	delete(t.streams, s.id)
	if len(t.streams) == 0 {
		t.unusedSince = time.Now()
	}
	s.end(errStreamClosed)
	done := t.leaving && !t.busy()
	t.lock.Unlock()
	if open {
		// If this fails the connection is lost, which closes the stream as well.
		_ = t.write([]request{{Kind: kindClose, Stream: s.id}})
	}
	if done {
		t.fail(errHolderStops)
	}
}

// isTimeout reports whether an error is that of a deadline that has passed.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
