package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
)

// The times of replication.
const (
	pullWait  = 100 * time.Millisecond
	pullLimit = 400 * time.Millisecond
	pullPause = 20 * time.Millisecond
)

// pull is the replica's goroutine: it copies the primary's log.
func (t *Target) pull(ctx context.Context) {
	stream := &stream{}
	for ctx.Err() == nil {
		if err := t.pullOnce(ctx, stream); err != nil {
			stream.close()
			time.Sleep(pullPause)
		}
	}
	stream.close()
}

// errIdle reports that there is nothing to pull.
var errIdle = errors.New("not a replica")

func (t *Target) pullOnce(ctx context.Context, s *stream) error {
	t.lock.Lock()
	role, primary, term, last := t.replica.Role(), t.replica.Primary(), t.replica.Term(), t.replica.Last()
	cut := t.cut[primary]
	t.lock.Unlock()
	if role != group.RoleReplica || cut {
		return errIdle
	}
	if s.next != nil {
		last = *s.next
	}
	body, err := s.ask(ctx, primary, term, last)
	if err != nil {
		return err
	}
	after, err := group.ParsePosition(body.After)
	if err != nil {
		return fmt.Errorf("read position: %w", err)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	s.next = nil
	if !t.replica.Receive(term, after, body.Entries, t.now()) {
		match := t.replica.Match(after)
		s.next = &match
	}
	t.signal()
	return nil
}

// stream is a connection to the primary for its log.
type stream struct {
	address  string
	conn     net.Conn
	frontend *pgproto3.Frontend
	next     *group.Position
}

func (s *stream) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	*s = stream{}
}

func (s *stream) ask(ctx context.Context, address string, term group.Term, last group.Position) (logBody, error) {
	if s.conn == nil || s.address != address {
		if err := s.open(ctx, address); err != nil {
			return logBody{}, err
		}
	}
	_ = s.conn.SetDeadline(time.Now().Add(pullLimit))
	s.frontend.SendQuery(&pgproto3.Query{String: fmt.Sprintf("select group_log(%d, '%s', %d)", term, last, pullWait.Milliseconds())})
	row, err := s.row()
	if err != nil {
		return logBody{}, err
	}
	body := logBody{}
	if err := json.Unmarshal(row, &body); err != nil {
		return logBody{}, fmt.Errorf("read log: %w", err)
	}
	return body, nil
}

func (s *stream) open(ctx context.Context, address string) error {
	next := s.next
	s.close()
	d := net.Dialer{Timeout: pullLimit}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial primary: %w", err)
	}
	*s = stream{address: address, conn: c, frontend: pgproto3.NewFrontend(c, c), next: next}
	_ = c.SetDeadline(time.Now().Add(pullLimit))
	s.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "replica", controlParameter: "on"}})
	_, err = s.row()
	return err
}

// row sends what is queued and returns the last row before the target is
// ready again.
func (s *stream) row() ([]byte, error) {
	if err := s.frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send to primary: %w", err)
	}
	var row []byte
	var failure error
	for {
		m, err := s.frontend.Receive()
		if err != nil {
			return nil, fmt.Errorf("receive from primary: %w", err)
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			row = append([]byte{}, m.Values[0]...)
		case *pgproto3.ErrorResponse:
			failure = errors.New(m.Message)
		case *pgproto3.ReadyForQuery:
			return row, failure
		}
	}
}
