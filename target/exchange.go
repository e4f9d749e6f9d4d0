package target

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/statement"
)

// script says, in order, which completions of a request answer the driver's
// own messages and must not reach the caller. A nil script swallows none.
type script struct {
	parses []bool
	closes []bool
}

func (s *script) swallows(m pgproto3.BackendMessage) bool {
	if s == nil {
		return false
	}
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return pop(&s.parses)
	case *pgproto3.CloseComplete:
		return pop(&s.closes)
	default:
		return false
	}
}

func pop(queue *[]bool) bool {
	if len(*queue) == 0 {
		return false
	}
	head := (*queue)[0]
	*queue = (*queue)[1:]
	return head
}

// exchange runs a caller's request and returns the reply.
func (c *conn) exchange(b *statement.Batch) (*answer, error) {
	if b.Simple() {
		c.frontend.Send(b.Messages()[0])
		return c.collect(nil)
	}
	w := &writer{conn: c, batch: b, script: &script{}, defined: map[string]statement.Prepared{}}
	for _, m := range b.Messages() {
		if err := w.write(m); err != nil {
			return nil, err
		}
	}
	c.frontend.Send(&pgproto3.Sync{})
	a, err := c.collect(w.script)
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		for _, name := range w.touched {
			delete(c.prepared, name)
		}
	}
	return a, nil
}

// writer sends a request's messages with the names of prepared statements
// replaced by names that hold for the connection.
type writer struct {
	conn    *conn
	batch   *statement.Batch
	script  *script
	defined map[string]statement.Prepared
	touched []string
}

func (w *writer) write(m pgproto3.FrontendMessage) error {
	f := w.conn.frontend
	switch m := m.(type) {
	case *pgproto3.Parse:
		w.parse(m)
	case *pgproto3.Bind:
		name, err := w.need(m.PreparedStatement)
		if err != nil {
			return err
		}
		bind := *m
		bind.PreparedStatement = name
		f.Send(&bind)
	case *pgproto3.Describe:
		if m.ObjectType != 'S' {
			f.Send(m)
			return nil
		}
		name, err := w.need(m.Name)
		if err != nil {
			return err
		}
		f.Send(&pgproto3.Describe{ObjectType: 'S', Name: name})
	case *pgproto3.Close:
		w.close(m)
	default:
		f.Send(m)
	}
	return nil
}

func (w *writer) parse(m *pgproto3.Parse) {
	if m.Name == "" {
		w.script.parses = append(w.script.parses, false)
		w.conn.frontend.Send(m)
		return
	}
	p := statement.Prepared{Query: m.Query, Types: m.ParameterOIDs}
	w.defined[m.Name] = p
	if w.conn.prepared[p.Name()] {
		w.script.closes = append(w.script.closes, true)
		w.conn.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: p.Name()})
	}
	w.define(p, false)
}

func (w *writer) define(p statement.Prepared, swallow bool) {
	w.script.parses = append(w.script.parses, swallow)
	w.conn.prepared[p.Name()] = true
	w.touched = append(w.touched, p.Name())
	w.conn.frontend.Send(&pgproto3.Parse{Name: p.Name(), Query: p.Query, ParameterOIDs: p.Types})
}

// need returns the name of a statement on this connection, defining it if
// the connection does not know it.
func (w *writer) need(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	p, ok := w.defined[name]
	if !ok {
		p, ok = w.batch.Prepared(name)
	}
	if !ok {
		return "", fmt.Errorf("prepared statement %q is unknown: %w", name, ErrBroken)
	}
	if !w.conn.prepared[p.Name()] {
		w.define(p, true)
	}
	return p.Name(), nil
}

func (w *writer) close(m *pgproto3.Close) {
	w.script.closes = append(w.script.closes, false)
	if m.ObjectType != 'S' || m.Name == "" {
		w.conn.frontend.Send(m)
		return
	}
	name := m.Name
	if p, ok := w.batch.Prepared(m.Name); ok {
		name = p.Name()
	}
	delete(w.conn.prepared, name)
	w.conn.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
}
