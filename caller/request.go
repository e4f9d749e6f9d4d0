package caller

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/socket"
	"amaranthsill/kernel"
	"amaranthsill/manifest"
	"amaranthsill/statement"
)

// query runs a simple query, or answers a setting of the session itself.
func (s *session) query(ctx context.Context, m *pgproto3.Query) bool {
	if set, ok := statement.ParseSetting(m.String); ok {
		s.setting(set)
		return true
	}
	if err := statement.Check(m.String); err != nil {
		s.fail(&problem{code: codeUnsupported, message: err.Error()}, true)
		return true
	}
	return s.submit(ctx, []pgproto3.FrontendMessage{m})
}

func (s *session) setting(set statement.Setting) {
	if !set.Show {
		if err := s.set(set.Name, set.Value); err != nil {
			s.fail(err, true)
			return
		}
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		s.ready()
		return
	}
	value, err := s.show(set.Name)
	if err != nil {
		s.fail(err, true)
		return
	}
	const textType = 25
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(parameterPrefix + set.Name), DataTypeOID: textType, DataTypeSize: -1, TypeModifier: -1},
	}})
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	s.ready()
}

// sync runs the messages collected since the last Sync.
func (s *session) sync(ctx context.Context) bool {
	batch := s.batch
	s.batch = nil
	if s.skipping || len(batch) == 0 {
		s.skipping = false
		s.ready()
		return true
	}
	return s.submit(ctx, batch)
}

// submit takes one request to the kernel and writes its answer. It returns
// false when the caller has gone.
func (s *session) submit(ctx context.Context, messages []pgproto3.FrontendMessage) bool {
	if s.aborted {
		s.endAborted(messages)
		return true
	}
	t, err := s.task(messages)
	if err != nil {
		s.fail(err, true)
		return true
	}
	answer := s.group.Submit(ctx, t)
	ending, ok := s.await(ctx, answer)
	if !ok {
		return false
	}
	s.finish(t, messages, ending)
	return true
}

// endAborted answers a request inside a transaction that is rolled back.
func (s *session) endAborted(messages []pgproto3.FrontendMessage) {
	if !s.ends(messages) {
		s.fail(&problem{code: codeAborted, message: "current transaction is aborted, commands ignored until end of transaction block"}, true)
		return
	}
	s.state = 'I'
	s.aborted = false
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			s.backend.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			s.backend.Send(&pgproto3.BindComplete{})
		case *pgproto3.Close:
			s.backend.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				s.backend.Send(&pgproto3.ParameterDescription{})
			}
			s.backend.Send(&pgproto3.NoData{})
		case *pgproto3.Query, *pgproto3.Execute:
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		}
	}
	s.ready()
}

// ends reports whether a request ends a transaction.
func (s *session) ends(messages []pgproto3.FrontendMessage) bool {
	for _, m := range messages {
		if statement.Ends(s.queryOf(m)) {
			return true
		}
	}
	return false
}

// queryOf returns the query that a message carries or refers to.
func (s *session) queryOf(m pgproto3.FrontendMessage) string {
	switch m := m.(type) {
	case *pgproto3.Query:
		return m.String
	case *pgproto3.Parse:
		return m.Query
	case *pgproto3.Bind:
		return s.prepared[m.PreparedStatement].Query
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			return s.prepared[m.Name].Query
		}
	}
	return ""
}

// lookPause is the time between two looks whether a caller has hung up while
// its request is under way.
const lookPause = 250 * time.Millisecond

// await waits for the ending, for a cancel request, or for the caller to
// hang up.
func (s *session) await(ctx context.Context, answer <-chan group.Ending) (group.Ending, bool) {
	look := time.NewTicker(lookPause)
	defer look.Stop()
	for {
		select {
		case e := <-answer:
			return e, true
		case <-s.cancelled:
			s.group.Vanish(ctx, s.id)
			return group.Unknown{Reason: reasonCancelled}, true
		case <-look.C:
			if socket.Look(s.conn) == socket.Gone {
				return nil, false
			}
		}
	}
}

const reasonCancelled group.Reason = "the caller cancelled it"

// task describes a request to the kernel.
func (s *session) task(messages []pgproto3.FrontendMessage) (*kernel.Task, error) {
	hints, err := s.hints(messages)
	if err != nil {
		return nil, &problem{code: codeValue, message: err.Error()}
	}
	name := s.kind
	if hints.Kind != "" {
		name = hints.Kind
	}
	kind, err := s.lookUp(name)
	if err != nil {
		return nil, err
	}
	key, err := s.keyOf(hints, kind)
	if err != nil {
		return nil, err
	}
	q := s.request(kind)
	if !executes(messages) {
		// Nothing runs, so any target that serves will do.
		q.Read = true
		q.Age = manifest.MaxAge
		key = ""
	}
	b := statement.NewBatch(messages, s.prepared, key)
	return &kernel.Task{Kind: kind, Request: q, Batch: b}, nil
}

// keyOf returns the request's key, made unique by its kind.
func (s *session) keyOf(h statement.Hints, k manifest.Kind) (string, error) {
	key := h.Key
	if key == "" {
		key = s.key
	}
	if key == "" || k.Access() == manifest.AccessRead {
		return "", nil
	}
	if s.state != 'I' {
		return "", &problem{code: codeUnsupported, message: "a request with a key cannot run inside an open transaction"}
	}
	return k.Name() + "/" + key, nil
}

// hints returns the first hints that the request's queries carry.
func (s *session) hints(messages []pgproto3.FrontendMessage) (statement.Hints, error) {
	for _, m := range messages {
		h, err := statement.ParseHints(s.queryOf(m))
		if err != nil {
			return statement.Hints{}, fmt.Errorf("read hints: %w", err)
		}
		if h != (statement.Hints{}) {
			return h, nil
		}
	}
	return statement.Hints{}, nil
}

func executes(messages []pgproto3.FrontendMessage) bool {
	for _, m := range messages {
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Execute:
			return true
		}
	}
	return false
}

func (s *session) request(kind manifest.Kind) group.Request {
	q := group.Request{
		ID:       s.server.Kernel.NextID(),
		Session:  s.id,
		Read:     kind.Access() == manifest.AccessRead,
		Age:      kind.Age(),
		Patience: kind.Patience(),
		Repeat:   kind.Repeat(),
		Deadline: s.server.Kernel.Now() + kind.Timeout(),
	}
	q.Floor, q.Known = s.token.Floor(s.group.Name())
	return q
}

// finish writes a request's answer.
func (s *session) finish(t *kernel.Task, messages []pgproto3.FrontendMessage, e group.Ending) {
	switch e := e.(type) {
	case group.Done:
		s.done(t, messages, e)
	case group.Refused:
		s.failed(messages)
		s.backend.Send(refusal(e))
	case group.Unknown:
		s.failed(messages)
		s.backend.Send(unknown(e))
	default:
		panic(fmt.Sprintf("caller: unknown ending %T", e))
	}
	s.ready()
}

// failed sets the transaction state after a request without an answer: its
// transaction is rolled back, unless the request was to end it.
func (s *session) failed(messages []pgproto3.FrontendMessage) {
	if s.state == 'I' || s.ends(messages) {
		s.state = 'I'
		return
	}
	s.abort()
}

func (s *session) done(t *kernel.Task, messages []pgproto3.FrontendMessage, e group.Done) {
	r := t.Batch.Reply(e.Run)
	s.token = s.token.Raise(s.group.Name(), e.Position)
	s.state = r.State
	s.learn(messages)
	s.backend.Send(encoded(r.Bytes))
}

// learn remembers the named statements that a request defined or closed.
func (s *session) learn(messages []pgproto3.FrontendMessage) {
	changed := false
	next := map[string]statement.Prepared{}
	for name, p := range s.prepared {
		next[name] = p
	}
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
			if m.Name != "" {
				next[m.Name] = statement.Prepared{Query: m.Query, Types: m.ParameterOIDs}
				changed = true
			}
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(next, m.Name)
				changed = true
			}
		}
	}
	if changed {
		s.prepared = next
	}
}

// encoded is an answer that is already in the protocol's form.
type encoded []byte

// Backend marks the type as a message for callers.
func (encoded) Backend() {}

// Decode is never called: the type is only written.
func (encoded) Decode([]byte) error { return errNoDecode }

// Encode appends the answer to dst.
func (e encoded) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }

// retryHint is the form of the hint that tells a caller when to come back.
func retryHint(d time.Duration) string {
	return fmt.Sprintf("retry after %d ms", d.Milliseconds())
}
