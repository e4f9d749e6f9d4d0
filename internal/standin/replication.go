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

const (
	// pullWait is how long the primary may wait for new entries before it answers a
	// group_log call without any.
	pullWait = 100 * time.Millisecond
	// pullTimeout bounds the dial, the startup and each group_log call.
	pullTimeout = 400 * time.Millisecond
	// pullRetryDelay is the pause after a failed call, and between two checks of a target
	// that has nothing to replicate.
	pullRetryDelay = 20 * time.Millisecond
)

// pull copies the primary's log while the target is a replica, until the context ends.
func (t *Target) pull(ctx context.Context) {
	stream := &logStream{}
	for ctx.Err() == nil {
		if err := t.pullOnce(ctx, stream); err != nil {
			stream.close()
			time.Sleep(pullRetryDelay)
		}
	}
	stream.close()
}

// errNotReplica reports that the target is no replica, or that replication from its
// primary is blocked by fault_cut.
var errNotReplica = errors.New("not a replica")

// pullOnce asks the primary for the entries after the end of the target's log and appends
// them. If the logs diverge, the next call asks for an earlier position.
func (t *Target) pullOnce(ctx context.Context, s *logStream) error {
	t.lock.Lock()
	role, primary, term, last := t.replica.Role(), t.replica.Primary(), t.replica.Term(), t.replica.Last()
	blocked := t.blockedPrimaries[primary]
	t.lock.Unlock()
	if role != group.RoleReplica || blocked {
		return errNotReplica
	}
	if s.resumeAfter != nil {
		last = *s.resumeAfter
	}
	body, err := s.fetch(ctx, primary, term, last)
	if err != nil {
		return err
	}
	after, err := group.ParsePosition(body.After)
	if err != nil {
		return fmt.Errorf("read position in answer of primary: %w", err)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	s.resumeAfter = nil
	if !t.replica.AppendEntries(term, after, body.Entries, t.uptime()) {
		common := t.replica.Match(after)
		s.resumeAfter = &common
	}
	t.notifyChanged()
	return nil
}

// logStream is a connection to the primary over which a replica copies its log.
type logStream struct {
	address  string
	conn     net.Conn
	frontend *pgproto3.Frontend
	// resumeAfter is the position to ask from instead of the end of the replica's log,
	// after the logs were found to diverge; nil otherwise.
	resumeAfter *group.Position
}

func (s *logStream) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	*s = logStream{}
}

// fetch calls group_log on the primary at an address; it connects first if the stream is
// not connected there.
func (s *logStream) fetch(ctx context.Context, address string, term group.Term, last group.Position) (logBody, error) {
	if s.conn == nil || s.address != address {
		if err := s.open(ctx, address); err != nil {
			return logBody{}, err
		}
	}
	_ = s.conn.SetDeadline(time.Now().Add(pullTimeout))
	s.frontend.SendQuery(&pgproto3.Query{String: fmt.Sprintf("select group_log(%d, '%s', %d)", term, last, pullWait.Milliseconds())})
	row, err := s.queryRow()
	if err != nil {
		return logBody{}, err
	}
	body := logBody{}
	if err := json.Unmarshal(row, &body); err != nil {
		return logBody{}, fmt.Errorf("decode log of primary: %w", err)
	}
	return body, nil
}

func (s *logStream) open(ctx context.Context, address string) error {
	resumeAfter := s.resumeAfter
	s.close()
	d := net.Dialer{Timeout: pullTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial primary: %w", err)
	}
	*s = logStream{address: address, conn: c, frontend: pgproto3.NewFrontend(c, c), resumeAfter: resumeAfter}
	_ = c.SetDeadline(time.Now().Add(pullTimeout))
	s.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "replica", controlParameter: "on"}})
	_, err = s.queryRow()
	return err
}

// queryRow sends the queued messages and returns the last row that arrives before
// ReadyForQuery.
func (s *logStream) queryRow() ([]byte, error) {
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
