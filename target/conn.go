// Package target is the driver for database servers: it opens connections,
// runs requests on them and makes the control calls of a database group, all
// over PostgreSQL's protocol.
//
// All assumptions on what a target offers beyond PostgreSQL stand here: the
// parameter group_status with each answer and the functions group_status,
// group_wait, group_fence, group_promote and group_follow.
//
// # Usage
//
//	import _ "amaranthsill/target" // registers the driver with the kernel
package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/socket"
)

// The start-up parameters of connections to targets.
const (
	userName         = "amaranthsill"
	controlParameter = "group.control"
	statusParameter  = "group_status"
)

// maxReply bounds one request's reply, which is held until it may be
// released.
const maxReply = 16 << 20

// The SQLSTATEs of targets that the driver knows.
const (
	codeReadOnly  = "25006"
	codeDuplicate = "23505"
	codeConflict  = "40001"
	codeFull      = "53300"
)

// The errors of connections to targets.
var (
	// ErrFull reports a target without a connection left.
	ErrFull = errors.New("target has no connection left")
	// ErrBroken reports a connection that closed or broke the protocol.
	ErrBroken = errors.New("connection to target is broken")
	// ErrCommand reports a control call that the target refused.
	ErrCommand = errors.New("target refused the control call")
)

// conn is one connection to a target. It is not safe for concurrent use, but
// close may be called at any time.
type conn struct {
	net.Conn
	frontend *pgproto3.Frontend
	prepared map[string]bool
}

// dial opens a connection and waits until the target is ready.
func dial(ctx context.Context, address netip.AddrPort, database string, control bool) (*conn, error) {
	d := net.Dialer{}
	n, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial target: %w", errors.Join(ErrBroken, err))
	}
	c := &conn{Conn: n, frontend: pgproto3.NewFrontend(n, n), prepared: map[string]bool{}}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	defer stop()
	parameters := map[string]string{"user": userName, "database": database}
	if control {
		parameters[controlParameter] = "on"
	}
	c.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: parameters})
	if _, err := c.collect(nil); err != nil {
		_ = n.Close()
		return nil, fmt.Errorf("start connection: %w", err)
	}
	return c, nil
}

// idle reports whether an unused connection still stands: nothing has
// arrived on it, not even its end.
func (c *conn) idle() bool { return socket.Look(c.Conn) == socket.Quiet }

// answer is what a target sent up to its ReadyForQuery.
type answer struct {
	// bytes is the answer for the caller, encoded, without ReadyForQuery and
	// without what the driver asked for itself.
	bytes []byte
	// value is the first column of the last row.
	value string
	reply group.Reply
	known bool
	// failure is the first error; nil if there was none.
	failure *pgproto3.ErrorResponse
	state   byte
	// large reports that the reply passed the limit and was dropped.
	large bool
}

func (a *answer) failed(code string) bool {
	return a.failure != nil && a.failure.Code == code
}

// collect sends what is queued and reads up to ReadyForQuery. Script says
// which completions the driver caused; it may be nil.
func (c *conn) collect(s *script) (*answer, error) {
	if err := c.frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send to target: %w", errors.Join(ErrBroken, err))
	}
	return c.read(s)
}

// read reads up to ReadyForQuery.
func (c *conn) read(s *script) (*answer, error) {
	a := &answer{}
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return nil, fmt.Errorf("receive from target: %w", errors.Join(ErrBroken, err))
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			a.state = m.TxStatus
			a.reply.Open = m.TxStatus != 'I'
			if a.large {
				a.oversize()
			}
			return a, nil
		case *pgproto3.ErrorResponse:
			if m.Severity == "FATAL" {
				return nil, fatal(m)
			}
		}
		if err := a.add(m, s); err != nil {
			return nil, err
		}
	}
}

func fatal(m *pgproto3.ErrorResponse) error {
	if m.Code == codeFull {
		return fmt.Errorf("%s: %w", m.Message, ErrFull)
	}
	return fmt.Errorf("target ended the connection: %s: %w", m.Message, ErrBroken)
}

// add takes one message of a reply.
func (a *answer) add(m pgproto3.BackendMessage, s *script) error {
	switch m := m.(type) {
	case *pgproto3.AuthenticationOk, *pgproto3.BackendKeyData, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ParameterStatus:
		return a.takeStatus(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return fmt.Errorf("target began to copy: %w", ErrBroken)
	case *pgproto3.ErrorResponse:
		if a.failure == nil {
			failure := *m
			a.failure = &failure
		}
	case *pgproto3.DataRow:
		if len(m.Values) > 0 {
			a.value = string(m.Values[0])
		}
	}
	if s.swallows(m) {
		return nil
	}
	b, err := m.Encode(a.bytes)
	if err != nil {
		return fmt.Errorf("encode reply: %w", errors.Join(ErrBroken, err))
	}
	a.bytes = b
	a.large = a.large || len(b) > maxReply
	if a.large {
		a.bytes = nil
	}
	return nil
}

// oversize replaces a reply that was dropped because it is too large.
func (a *answer) oversize() {
	e := &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     "54000",
		Message:  fmt.Sprintf("the request ran, but its answer has more than %d bytes and was dropped", maxReply),
	}
	// Encoding an error response into memory cannot fail.
	a.bytes, _ = e.Encode(nil)
	a.failure = e
}

// takeStatus reads "term role last applied silence access first".
func (a *answer) takeStatus(m *pgproto3.ParameterStatus) error {
	const statusFields = 5
	if m.Name != statusParameter {
		return nil
	}
	f := strings.Fields(m.Value)
	if len(f) != statusFields+2 {
		return fmt.Errorf("read status %q: %w", m.Value, ErrBroken)
	}
	s, err := group.ParseStatus(strings.Join(f[:statusFields], " "))
	if err != nil {
		return fmt.Errorf("read status: %w", errors.Join(ErrBroken, err))
	}
	first, err := group.ParsePosition(f[statusFields+1])
	if err != nil {
		return fmt.Errorf("read first position: %w", errors.Join(ErrBroken, err))
	}
	a.reply.Status = s
	a.reply.First = first
	a.reply.Wrote = f[statusFields] == "wrote"
	a.known = true
	return nil
}

// query runs one simple query of the driver's own.
func (c *conn) query(text string) (*answer, error) {
	c.frontend.SendQuery(&pgproto3.Query{String: text})
	a, err := c.collect(nil)
	if err != nil {
		return nil, fmt.Errorf("query target: %w", err)
	}
	return a, nil
}

// status runs a control call that returns the target's status.
func (c *conn) status(call string) (group.Status, error) {
	a, err := c.query(call)
	if err != nil {
		return group.Status{}, err
	}
	return a.status()
}

func (a *answer) status() (group.Status, error) {
	if a.failure != nil {
		return group.Status{}, fmt.Errorf("%s: %w", a.failure.Message, ErrCommand)
	}
	s, err := group.ParseStatus(a.value)
	if err != nil {
		return group.Status{}, fmt.Errorf("read control answer: %w", err)
	}
	return s, nil
}

// quote returns a text as a SQL literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// soon bounds how long closing messages may take.
const soon = 100 * time.Millisecond

// terminate says goodbye and closes.
func (c *conn) terminate() {
	_ = c.SetDeadline(time.Now().Add(soon))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
	_ = c.Close()
}
