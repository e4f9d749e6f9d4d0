package target

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/statement"
)

// replyFilter identifies the completions that answer the driver's own messages
// and must not reach the caller. It has one element for each Parse and each
// Close of a request, in order, which is true for a message of the driver. A
// nil replyFilter drops nothing.
type replyFilter struct {
	parses []bool
	closes []bool
}

// drops reports whether m answers a message of the driver. It must be called
// once for each message of the answer, in order.
func (f *replyFilter) drops(m pgproto3.BackendMessage) bool {
	if f == nil {
		return false
	}
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return popFront(&f.parses)
	case *pgproto3.CloseComplete:
		return popFront(&f.closes)
	default:
		return false
	}
}

// popFront removes and returns the first element; it returns false if there is
// none.
func popFront(queue *[]bool) bool {
	if len(*queue) == 0 {
		return false
	}
	head := (*queue)[0]
	*queue = (*queue)[1:]
	return head
}

// exchange executes a caller's request and returns the answer. If the request
// fails, the statements that it prepared are no longer assumed to exist.
func (c *conn) exchange(b *statement.Batch) (*answer, error) {
	if b.Simple() {
		c.frontend.Send(b.Messages()[0])
		return c.flushAndRead(nil)
	}
	w := &batchWriter{conn: c, batch: b, filter: &replyFilter{}, parsed: map[string]statement.Prepared{}}
	for _, m := range b.Messages() {
		if err := w.write(m); err != nil {
			return nil, err
		}
	}
	c.frontend.Send(&pgproto3.Sync{})
	a, err := c.flushAndRead(w.filter)
	if err != nil {
		return nil, err
	}
	if a.failure != nil {
		for _, name := range w.addedNames {
			delete(c.prepared, name)
		}
	}
	return a, nil
}

// batchWriter sends the messages of a request. It replaces the session's names
// of prepared statements by the names on the connection, of which each statement has
// one because sessions share connections.
type batchWriter struct {
	conn  *conn
	batch *statement.Batch
	// filter is extended by each Parse and Close that is sent.
	filter *replyFilter
	// parsed holds the statements that this request prepares, by the session's
	// names.
	parsed map[string]statement.Prepared
	// addedNames are the connection's names of the statements that have been
	// prepared for this request.
	addedNames []string
}

func (w *batchWriter) write(m pgproto3.FrontendMessage) error {
	f := w.conn.frontend
	switch m := m.(type) {
	case *pgproto3.Parse:
		w.parse(m)
	case *pgproto3.Bind:
		name, err := w.connectionName(m.PreparedStatement)
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
		name, err := w.connectionName(m.Name)
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

// parse sends the caller's Parse. A statement that is already prepared on the
// connection is closed first.
func (w *batchWriter) parse(m *pgproto3.Parse) {
	if m.Name == "" {
		w.filter.parses = append(w.filter.parses, false)
		w.conn.frontend.Send(m)
		return
	}
	p := statement.Prepared{Query: m.Query, Types: m.ParameterOIDs}
	w.parsed[m.Name] = p
	if name := w.conn.nameOf(p); w.conn.prepared[name] {
		w.filter.closes = append(w.filter.closes, true)
		w.conn.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
	}
	w.prepare(p, false)
}

// prepare sends a Parse under the connection's name of the statement. Internal
// tells whether its completion is kept from the caller.
func (w *batchWriter) prepare(p statement.Prepared, internal bool) {
	w.filter.parses = append(w.filter.parses, internal)
	name := w.conn.nameOf(p)
	w.conn.prepared[name] = true
	w.addedNames = append(w.addedNames, name)
	w.conn.frontend.Send(&pgproto3.Parse{Name: name, Query: p.Query, ParameterOIDs: p.Types})
}

// connectionName returns the name on the connection of a session's prepared
// statement, which it prepares there if necessary. The error wraps ErrBroken if
// neither this request nor the session has prepared the statement.
func (w *batchWriter) connectionName(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	p, ok := w.find(name)
	if !ok {
		return "", fmt.Errorf("prepared statement %q is unknown: %w", name, ErrBroken)
	}
	if !w.conn.prepared[w.conn.nameOf(p)] {
		w.prepare(p, true)
	}
	return w.conn.nameOf(p), nil
}

// find returns the statement that a session's name stands for: the one that this request
// prepared last under it, or else the session.
func (w *batchWriter) find(name string) (statement.Prepared, bool) {
	if p, ok := w.parsed[name]; ok {
		return p, true
	}
	return w.batch.Prepared(name)
}

// absentName is the name of no statement on any connection.
const absentName = "-"

// close sends the caller's Close with the connection's name of the statement.
func (w *batchWriter) close(m *pgproto3.Close) {
	w.filter.closes = append(w.filter.closes, false)
	if m.ObjectType != 'S' || m.Name == "" {
		w.conn.frontend.Send(m)
		return
	}
	name := absentName
	if p, ok := w.find(m.Name); ok {
		name = w.conn.nameOf(p)
	}
	delete(w.conn.prepared, name)
	w.conn.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
}
