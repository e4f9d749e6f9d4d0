package standin

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// connection is one connection to a target.
type connection struct {
	target     *Target
	backend    *pgproto3.Backend
	openedAt   time.Time
	control    bool
	statements map[string]string
	portal     statement
	// requestFailed reports that an error was sent for the current request. The rest of
	// the request is skipped: the further statements of a Query message, or in the
	// extended protocol the messages up to the next Sync.
	requestFailed     bool
	tx                *replica.Tx
	transactionFailed bool
	// wrote reports whether the current request has committed a write.
	wrote bool
	// status is the target's status when the last write was committed, or when a
	// request without a write ended.
	status group.Status
	// firstPosition is the log position that the first statement of the current request
	// saw; nil before it.
	firstPosition *group.Position
}

// textOID is PostgreSQL's object ID of the type text, which all columns and parameters
// have.
const textOID = 25

func (c *connection) run(ctx context.Context) {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"})
	c.sendReady()
	for ctx.Err() == nil {
		if err := c.backend.Flush(); err != nil {
			return
		}
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if c.isSilenced() {
			continue
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return
		}
		c.handleMessage(ctx, m)
	}
}

func (c *connection) isSilenced() bool {
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	return c.openedAt.Before(c.target.silencedAt)
}

// handleMessage handles one message of a client. The answer to a Query describes the
// columns of its rows itself; in the extended protocol, describe does so.
func (c *connection) handleMessage(ctx context.Context, m pgproto3.FrontendMessage) {
	if _, ok := m.(*pgproto3.Sync); ok {
		c.requestFailed = false
		c.sendReady()
		return
	}
	if c.requestFailed {
		return
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		c.simpleQuery(ctx, m.String)
	case *pgproto3.Parse:
		c.statements[m.Name] = m.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		query, ok := c.statements[m.PreparedStatement]
		if !ok {
			c.sendError(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "26000", Message: "no such prepared statement"})
			return
		}
		params := make([]string, 0, len(m.Parameters))
		for _, p := range m.Parameters {
			params = append(params, string(p))
		}
		c.portal = parse(query).bind(params)
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Execute:
		c.execute(ctx, c.portal, false)
	case *pgproto3.Close:
		delete(c.statements, m.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
	default:
		c.sendError(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "0A000", Message: fmt.Sprintf("%T is not supported", m)})
	}
}

// simpleQuery runs the statements of a Query message up to the first that fails. It
// splits the text at every semicolon, including those within quoted texts. The end of
// the message ends the request; no Sync follows.
func (c *connection) simpleQuery(ctx context.Context, query string) {
	for part := range strings.SplitSeq(query, ";") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		c.execute(ctx, parse(part), true)
		if c.requestFailed {
			break
		}
	}
	c.requestFailed = false
	c.sendReady()
}

func (c *connection) describe(m *pgproto3.Describe) {
	s := c.portal
	if m.ObjectType == 'S' {
		s = parse(c.statements[m.Name])
		types := make([]uint32, s.parameters)
		for i := range types {
			types[i] = textOID
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	}
	if !s.returnsRows() {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(c.columns())
}

func (c *connection) columns() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}}}
}

func (c *connection) sendError(e *pgproto3.ErrorResponse) {
	c.backend.Send(e)
	c.requestFailed = true
	if c.tx != nil {
		c.transactionFailed = true
	}
}

// sendReady ends the answer to a request. The parameter group_status has the target's
// status, whether the request committed a write, and the log position that its first
// statement saw; ReadyForQuery says whether a transaction is open or has failed.
func (c *connection) sendReady() {
	access := "read"
	if c.wrote {
		access = "wrote"
	} else {
		c.target.lock.Lock()
		c.status = c.target.status()
		c.target.lock.Unlock()
	}
	first := c.status.Applied()
	if c.firstPosition != nil {
		first = *c.firstPosition
	}
	c.wrote = false
	c.firstPosition = nil
	c.backend.Send(&pgproto3.ParameterStatus{Name: "group_status", Value: c.status.String() + " " + access + " " + first.String()})
	state := byte('I')
	if c.tx != nil {
		state = 'T'
	}
	if c.transactionFailed {
		state = 'E'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: state})
}
