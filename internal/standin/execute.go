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

// result is what a statement gives back.
type result struct {
	rows []string
	tag  string
}

func (c *connection) execute(ctx context.Context, s statement, describe bool) {
	if c.failed && s.kind != kindCommit && s.kind != kindRollback {
		c.fail(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25P02", Message: "current transaction is aborted"})
		return
	}
	r, err := c.perform(ctx, s)
	if err != nil {
		c.fail(errorResponse(err))
		return
	}
	if describe && s.rows() {
		c.backend.Send(c.columns())
	}
	for _, row := range r.rows {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(row)}})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// errSyntax reports a statement that the stand-in does not know.
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

func (c *connection) perform(ctx context.Context, s statement) (result, error) {
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
		c.failed = false
		return result{tag: "ROLLBACK"}, nil
	case kindCommit:
		return c.commit()
	case kindSleep:
		return c.sleep(ctx, s)
	case kindUnknown:
		return result{}, errSyntax
	default:
		return c.data(s)
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
	tx, failed := c.tx, c.failed
	c.tx, c.failed = nil, false
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

func (c *connection) commitLocked(tx *replica.Tx) error {
	t := c.target
	if _, err := t.replica.Commit(tx, t.now()); err != nil {
		return err
	}
	if tx.Writes() {
		c.wrote = true
		t.signal()
	}
	c.position = t.status()
	return nil
}

// data runs a statement on rows, in the open transaction or in one of its
// own.
func (c *connection) data(s statement) (result, error) {
	t := c.target
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.lock.Lock()
	defer t.lock.Unlock()
	if c.first == nil {
		first := t.replica.Applied()
		c.first = &first
	}
	if s.writes() && t.replica.Role() != group.RolePrimary {
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
