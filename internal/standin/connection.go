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

// connection is one connection to a stand-in target.
type connection struct {
	target     *Target
	backend    *pgproto3.Backend
	born       time.Time
	control    bool
	statements map[string]string
	portal     statement
	skipping   bool
	tx         *replica.Tx
	failed     bool
	wrote      bool
	position   group.Status
	first      *group.Position
}

const textType = 25

func (c *connection) run(ctx context.Context) {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"})
	c.ready()
	for ctx.Err() == nil {
		if err := c.backend.Flush(); err != nil {
			return
		}
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if c.isSilent() {
			continue
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return
		}
		c.handle(ctx, m)
	}
}

func (c *connection) isSilent() bool {
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	return c.born.Before(c.target.silent)
}

func (c *connection) handle(ctx context.Context, m pgproto3.FrontendMessage) {
	if _, ok := m.(*pgproto3.Sync); ok {
		c.skipping = false
		c.ready()
		return
	}
	if c.skipping {
		return
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		c.simple(ctx, m.String)
	case *pgproto3.Parse:
		c.statements[m.Name] = m.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		query, ok := c.statements[m.PreparedStatement]
		if !ok {
			c.fail(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "26000", Message: "no such prepared statement"})
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
		c.fail(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "0A000", Message: fmt.Sprintf("%T is not supported", m)})
	}
}

func (c *connection) simple(ctx context.Context, query string) {
	for part := range strings.SplitSeq(query, ";") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		c.execute(ctx, parse(part), true)
		if c.skipping {
			break
		}
	}
	c.skipping = false
	c.ready()
}

func (c *connection) describe(m *pgproto3.Describe) {
	s := c.portal
	if m.ObjectType == 'S' {
		s = parse(c.statements[m.Name])
		types := make([]uint32, s.parameters)
		for i := range types {
			types[i] = textType
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	}
	if !s.rows() {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(c.columns())
}

func (c *connection) columns() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: textType, DataTypeSize: -1, TypeModifier: -1}}}
}

func (c *connection) fail(e *pgproto3.ErrorResponse) {
	c.backend.Send(e)
	c.skipping = true
	if c.tx != nil {
		c.failed = true
	}
}

// ready reports the target's status, whether the request wrote, the position
// that its first statement saw, and whether a transaction is open.
func (c *connection) ready() {
	access := "read"
	if c.wrote {
		access = "wrote"
	} else {
		c.target.lock.Lock()
		c.position = c.target.status()
		c.target.lock.Unlock()
	}
	first := c.position.Applied()
	if c.first != nil {
		first = *c.first
	}
	c.wrote = false
	c.first = nil
	c.backend.Send(&pgproto3.ParameterStatus{Name: "group_status", Value: c.position.String() + " " + access + " " + first.String()})
	state := byte('I')
	if c.tx != nil {
		state = 'T'
	}
	if c.failed {
		state = 'E'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: state})
}
