package standin

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/replica"
)

// result is the outcome of a statement: its rows, of one column each, and its command
// tag.
type result struct {
	rows []string
	tag  string
}

// execute runs a statement and sends its rows and its command tag, or its error.
// With sendColumns, the description of the columns precedes the rows: the answer to a
// Query message contains it, while the extended protocol asks for it with Describe.
func (c *connection) execute(ctx context.Context, s statement, sendColumns bool) {
	if c.transactionFailed && s.kind != kindCommit && s.kind != kindRollback {
		c.sendError(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25P02", Message: "current transaction is aborted"})
		return
	}
	r, err := c.executeStatement(ctx, s)
	if err != nil {
		c.sendError(errorResponse(err))
		return
	}
	if sendColumns && s.returnsRows() {
		c.backend.Send(c.columns())
	}
	for _, row := range r.rows {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(row)}})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// errSyntax reports a statement that the simulated target does not support, or a call
// with malformed arguments.
var errSyntax = errors.New("the stand-in does not know this statement")

func errorResponse(err error) *pgproto3.ErrorResponse {
	code := "XX000"
	switch {
	case errors.Is(err, replica.ErrNotPrimary):
		code = "25006"
	case errors.Is(err, replica.ErrDuplicate):
		code = "23505"
	case errors.Is(err, replica.ErrConflict):
		code = "40001"
	case errors.Is(err, replica.ErrFenced):
		code = "55000"
	case errors.Is(err, errSyntax):
		code = "42601"
	}
	return &pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: err.Error()}
}

func (c *connection) executeStatement(ctx context.Context, s statement) (result, error) {
	switch s.kind {
	case kindControl:
		return c.target.control(ctx, s)
	case kindBegin:
		c.target.lock.Lock()
		defer c.target.lock.Unlock()
		c.tx = c.target.replica.Begin()
		return result{tag: "BEGIN"}, nil
	case kindRollback:
		c.tx = nil
		c.transactionFailed = false
		return result{tag: "ROLLBACK"}, nil
	case kindCommit:
		return c.commit()
	case kindSleep:
		return c.sleep(ctx, s)
	case kindUnknown:
		return result{}, errSyntax
	default:
		return c.executeData(s)
	}
}

func (c *connection) sleep(ctx context.Context, s statement) (result, error) {
	seconds, err := strconv.ParseFloat(s.key, 64)
	if err != nil {
		return result{}, errSyntax
	}
	c.target.slots <- struct{}{}
	defer func() { <-c.target.slots }()
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-ctx.Done():
	}
	return result{rows: []string{""}, tag: "SELECT 1"}, nil
}

func (c *connection) commit() (result, error) {
	tx, failed := c.tx, c.transactionFailed
	c.tx, c.transactionFailed = nil, false
	if tx == nil || failed {
		return result{tag: "ROLLBACK"}, nil
	}
	if err := c.commitTx(tx); err != nil {
		return result{}, err
	}
	return result{tag: "COMMIT"}, nil
}

func (c *connection) commitTx(tx *replica.Tx) error {
	t := c.target
	t.lock.Lock()
	defer t.lock.Unlock()
	return c.commitLocked(tx)
}

// commitLocked commits a transaction and keeps the status after it for sendReady. The
// target's lock is held.
func (c *connection) commitLocked(tx *replica.Tx) error {
	t := c.target
	if _, err := t.replica.Commit(tx, t.uptime()); err != nil {
		return err
	}
	if tx.Writes() {
		c.wrote = true
		t.notifyChanged()
	}
	c.status = t.status()
	return nil
}

// executeData runs a statement that reads or writes rows, in the open transaction or in
// one of its own.
func (c *connection) executeData(s statement) (result, error) {
	t := c.target
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.lock.Lock()
	defer t.lock.Unlock()
	if c.firstPosition == nil {
		first := t.replica.Applied()
		c.firstPosition = &first
	}
	if s.isWrite() && t.replica.Role() != group.RolePrimary {
		return result{}, replica.ErrNotPrimary
	}
	if c.tx != nil {
		return s.apply(c.tx)
	}
	tx := t.replica.Begin()
	r, err := s.apply(tx)
	if err != nil {
		return result{}, err
	}
	return r, c.commitLocked(tx)
}
