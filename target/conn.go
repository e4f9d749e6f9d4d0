// Package target is the kernel driver for database servers. It opens
// connections, executes requests on them and makes the control calls of a
// database group, all over PostgreSQL's wire protocol.
//
// All assumptions about what a target offers beyond PostgreSQL are in this
// package: a ParameterStatus message for group_status in each answer, the
// functions group_status, group_wait, group_fence, group_promote and
// group_follow, the startup parameter group.control and the table KeyTable.
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
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/socket"
	"amaranthsill/statement"
)

// Parameters of connections to targets. The startup message of a control
// connection sets controlParameter, so that the target does not count it towards
// its connection limit. Targets report their group status as statusParameter.
const (
	userName         = "amaranthsill"
	controlParameter = "group.control"
	statusParameter  = "group_status"
)

// maxReplyBytes limits the reply to one request. Replies are kept in memory
// until the kernel releases them to the caller.
const maxReplyBytes = 16 << 20

// SQLSTATEs of targets on which the driver acts.
const (
	codeReadOnly             = "25006"
	codeUniqueViolation      = "23505"
	codeSerializationFailure = "40001"
	codeTooManyConnections   = "53300"
)

// Errors of connections to targets.
var (
	// ErrTooManyConnections reports a target that has reached its connection
	// limit.
	ErrTooManyConnections = errors.New("target has no connection left")
	// ErrBroken reports a connection that could not be opened, was closed, or
	// on which the target violated the protocol.
	ErrBroken = errors.New("connection to target is broken")
	// ErrCommandRefused reports a control call that the target answered with
	// an error.
	ErrCommandRefused = errors.New("target refused the control call")
)

// conn is a connection to a target. It is not safe for concurrent use, except
// that Close may be called at any time.
type conn struct {
	net.Conn
	frontend *pgproto3.Frontend
	// names holds the connection's names of statements by statement.Prepared.Key, and
	// prepared those that are prepared.
	names    map[string]string
	prepared map[string]bool
}

// dial opens a connection, which is a control connection if control is set, and
// waits for the first ReadyForQuery of the target.
func dial(ctx context.Context, address netip.AddrPort, database string, control bool) (*conn, error) {
	d := net.Dialer{}
	n, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial target: %w", errors.Join(ErrBroken, err))
	}
	c := &conn{Conn: n, frontend: pgproto3.NewFrontend(n, n), names: map[string]string{}, prepared: map[string]bool{}}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	defer stop()
	parameters := map[string]string{"user": userName, "database": database}
	if control {
		parameters[controlParameter] = "on"
	}
	c.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: parameters})
	if _, err := c.flushAndRead(nil); err != nil {
		_ = n.Close()
		return nil, fmt.Errorf("start connection: %w", err)
	}
	return c, nil
}

// nameOf returns the connection's name of a prepared statement: a number, so that nothing a
// caller writes can make two names alike.
func (c *conn) nameOf(p statement.Prepared) string {
	key := p.Key()
	name, ok := c.names[key]
	if !ok {
		name = "s" + strconv.Itoa(len(c.names)+1)
		c.names[key] = name
	}
	return name
}

// idle reports whether a connection without a request in flight can take one:
// it is open and nothing has arrived on it, not even together with the last answer.
func (c *conn) idle() bool {
	return c.frontend.ReadBufferLen() == 0 && socket.PeekState(c.Conn) == socket.Idle
}

// answer is what a target sent up to and including ReadyForQuery.
type answer struct {
	// bytes holds the encoded messages for the caller, without ReadyForQuery
	// and without the answers to the driver's own messages.
	bytes []byte
	// value is the first column of the last row.
	value string
	reply group.Reply
	// hasStatus reports that the answer had a valid group status.
	hasStatus bool
	// failure is the first error of the answer; nil if there was none.
	failure *pgproto3.ErrorResponse
	// state is the transaction status of ReadyForQuery: 'I' idle, 'T' in a
	// transaction, 'E' in a failed one.
	state byte
	// oversized reports that the answer exceeded maxReplyBytes and that bytes
	// was dropped.
	oversized bool
}

// failedWith reports whether the first error has the given SQLSTATE.
func (a *answer) failedWith(code string) bool {
	return a.failure != nil && a.failure.Code == code
}

// flushAndRead sends the buffered messages and reads the answer to them. The
// filter drops the completions that answer the driver's own messages; nil keeps
// everything.
func (c *conn) flushAndRead(f *replyFilter) (*answer, error) {
	if err := c.frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send to target: %w", errors.Join(ErrBroken, err))
	}
	return c.readAnswer(f)
}

// readAnswer reads up to ReadyForQuery. An error of severity FATAL ends the
// connection and is returned as the error.
func (c *conn) readAnswer(f *replyFilter) (*answer, error) {
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
			if a.oversized {
				a.replaceOversized()
			}
			return a, nil
		case *pgproto3.ErrorResponse:
			if m.Severity == "FATAL" {
				return nil, fatalError(m)
			}
		}
		if err := a.addMessage(m, f); err != nil {
			return nil, err
		}
	}
}

// fatalError converts an error response of severity FATAL.
func fatalError(m *pgproto3.ErrorResponse) error {
	if m.Code == codeTooManyConnections {
		return fmt.Errorf("%s: %w", m.Message, ErrTooManyConnections)
	}
	return fmt.Errorf("target ended the connection: %s: %w", m.Message, ErrBroken)
}

// addMessage adds one message to the answer.
func (a *answer) addMessage(m pgproto3.BackendMessage, f *replyFilter) error {
	switch m := m.(type) {
	case *pgproto3.AuthenticationOk, *pgproto3.BackendKeyData, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ParameterStatus:
		return a.parseGroupStatus(m)
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
	if f.drops(m) {
		return nil
	}
	b, err := m.Encode(a.bytes)
	if err != nil {
		return fmt.Errorf("encode reply: %w", errors.Join(ErrBroken, err))
	}
	a.bytes = b
	a.oversized = a.oversized || len(b) > maxReplyBytes
	if a.oversized {
		a.bytes = nil
	}
	return nil
}

// replaceOversized replaces an answer that exceeded maxReplyBytes by an error
// response.
func (a *answer) replaceOversized() {
	e := &pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     "54000",
		Message:  fmt.Sprintf("the request ran, but its answer has more than %d bytes and was dropped", maxReplyBytes),
	}
	// Encoding an error response into memory cannot fail.
	a.bytes, _ = e.Encode(nil)
	a.failure = e
}

// parseGroupStatus parses the value of the parameter group_status, "term role
// last applied silence access first": the five fields of group.ParseStatus,
// "wrote" if the request committed a change, and the position that its first
// statement saw. Other parameters are ignored.
func (a *answer) parseGroupStatus(m *pgproto3.ParameterStatus) error {
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
	a.hasStatus = true
	return nil
}

// query runs a simple query that the driver itself issues.
func (c *conn) query(text string) (*answer, error) {
	c.frontend.SendQuery(&pgproto3.Query{String: text})
	a, err := c.flushAndRead(nil)
	if err != nil {
		return nil, fmt.Errorf("query target: %w", err)
	}
	return a, nil
}

// queryStatus makes a control call that returns the target's status.
func (c *conn) queryStatus(call string) (group.Status, error) {
	a, err := c.query(call)
	if err != nil {
		return group.Status{}, err
	}
	return a.parseStatus()
}

// parseStatus parses the status that a control call returned.
func (a *answer) parseStatus() (group.Status, error) {
	if a.failure != nil {
		return group.Status{}, fmt.Errorf("%s: %w", a.failure.Message, ErrCommandRefused)
	}
	s, err := group.ParseStatus(a.value)
	if err != nil {
		return group.Status{}, fmt.Errorf("read control answer: %w", err)
	}
	return s, nil
}

// quote returns s as an SQL string literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// terminateTimeout limits the writing of the Terminate message.
const terminateTimeout = 100 * time.Millisecond

// terminate sends a Terminate message, as far as terminateTimeout allows, and
// closes the connection.
func (c *conn) terminate() {
	_ = c.SetDeadline(time.Now().Add(terminateTimeout))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
	_ = c.Close()
}
