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

// simpleQuery runs a simple-protocol query. SET and SHOW of the proxy's own
// parameters are answered here. It returns false when the caller has hung up.
func (s *session) simpleQuery(ctx context.Context, m *pgproto3.Query) bool {
	if set, ok := statement.ParseSetting(m.String); ok {
		s.answerSetting(set)
		return true
	}
	if err := statement.CheckSupported(m.String); err != nil {
		s.sendError(&callerError{code: codeUnsupported, message: err.Error()}, true)
		return true
	}
	return s.submit(ctx, []pgproto3.FrontendMessage{m})
}

// answerSetting answers SET or SHOW of one of the proxy's own parameters.
func (s *session) answerSetting(set statement.Setting) {
	if !set.Show {
		if err := s.set(set.Name, set.Value); err != nil {
			s.sendError(err, true)
			return
		}
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		s.sendReady()
		return
	}
	value, err := s.show(set.Name)
	if err != nil {
		s.sendError(err, true)
		return
	}
	// The OID of PostgreSQL's type text.
	const textType = 25
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(parameterPrefix + set.Name), DataTypeOID: textType, DataTypeSize: -1, TypeModifier: -1},
	}})
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	s.sendReady()
}

// runBatch handles Sync: it runs the messages collected since the previous
// Sync. It returns false when the caller has hung up.
func (s *session) runBatch(ctx context.Context) bool {
	batch := s.batch
	s.batch = nil
	if s.skipToSync || len(batch) == 0 {
		s.skipToSync = false
		s.sendReady()
		return true
	}
	return s.submit(ctx, batch)
}

// submit passes one request to the kernel and writes its answer. It returns
// false when the caller has hung up.
func (s *session) submit(ctx context.Context, messages []pgproto3.FrontendMessage) bool {
	if s.rolledBack {
		s.answerFailedTransaction(messages)
		return true
	}
	t, err := s.newTask(messages)
	if err != nil {
		s.sendError(err, true)
		return true
	}
	answer := s.group.Submit(ctx, t)
	ending, ok := s.awaitEnding(ctx, answer)
	if !ok {
		return false
	}
	s.writeEnding(t, messages, ending)
	return true
}

// answerFailedTransaction answers a request inside a transaction that has
// already been rolled back, without a target. Only a command that ends the
// transaction succeeds.
func (s *session) answerFailedTransaction(messages []pgproto3.FrontendMessage) {
	if !s.endsTransaction(messages) {
		s.sendError(&callerError{code: codeFailedTransaction, message: "current transaction is aborted, commands ignored until end of transaction block"}, true)
		return
	}
	s.transactionState = 'I'
	s.rolledBack = false
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
	s.sendReady()
}

// endsTransaction reports whether the request contains a command that ends a
// transaction.
func (s *session) endsTransaction(messages []pgproto3.FrontendMessage) bool {
	for _, m := range messages {
		if statement.EndsTransaction(s.queryText(m)) {
			return true
		}
	}
	return false
}

// queryText returns the query that a message contains, or that of the prepared
// statement it names. It is empty for other messages.
func (s *session) queryText(m pgproto3.FrontendMessage) string {
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

// disconnectCheckInterval is the time between two checks whether the caller has
// hung up while its request is in flight.
const disconnectCheckInterval = 250 * time.Millisecond

// awaitEnding waits for the request's ending. A cancel request ends the session
// in the group and gives an ending of Unknown. It returns false when the caller
// has hung up.
func (s *session) awaitEnding(ctx context.Context, answer <-chan group.Ending) (group.Ending, bool) {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-answer:
			return e, true
		case <-s.cancelled:
			s.group.EndSession(ctx, s.id)
			return group.Unknown{Reason: reasonCancelled}, true
		case <-ticker.C:
			if socket.PeekState(s.conn) == socket.Closed {
				return nil, false
			}
		}
	}
}

const reasonCancelled group.Reason = "the caller cancelled it"

// newTask builds the kernel's task for a request. Its errors are callerErrors.
func (s *session) newTask(messages []pgproto3.FrontendMessage) (*kernel.Task, error) {
	hints, err := s.hints(messages)
	if err != nil {
		return nil, &callerError{code: codeInvalidValue, message: err.Error()}
	}
	name := s.defaultKind
	if hints.Kind != "" {
		name = hints.Kind
	}
	kind, err := s.kindNamed(name)
	if err != nil {
		return nil, err
	}
	key, err := s.idempotencyKey(hints, kind)
	if err != nil {
		return nil, err
	}
	request := s.newRequest(kind)
	if !runsStatement(messages) {
		// Without a Query or Execute message nothing runs, so any target can
		// answer, and no idempotency key is recorded.
		request.Read = true
		request.MaxStaleness = manifest.MaxAge
		key = ""
	}
	b := statement.NewBatch(messages, s.prepared, key)
	return &kernel.Task{Kind: kind, Request: request, Batch: b}, nil
}

// idempotencyKey returns the request's idempotency key, prefixed with the name
// of its kind so that kinds don't share keys. It is empty for reads. A key
// inside an open transaction is an error.
func (s *session) idempotencyKey(h statement.Hints, k manifest.Kind) (string, error) {
	key := h.Key
	if key == "" {
		key = s.defaultKey
	}
	if key == "" || k.Access() == manifest.AccessRead {
		return "", nil
	}
	if s.transactionState != 'I' {
		return "", &callerError{code: codeUnsupported, message: "a request with a key cannot run inside an open transaction"}
	}
	return k.Name() + "/" + key, nil
}

// hints returns the hints of the first query in the request that has any.
func (s *session) hints(messages []pgproto3.FrontendMessage) (statement.Hints, error) {
	for _, m := range messages {
		h, err := statement.ParseHints(s.queryText(m))
		if err != nil {
			return statement.Hints{}, fmt.Errorf("read hints: %w", err)
		}
		if h != (statement.Hints{}) {
			return h, nil
		}
	}
	return statement.Hints{}, nil
}

// runsStatement reports whether the request contains a Query or Execute
// message.
func runsStatement(messages []pgproto3.FrontendMessage) bool {
	for _, m := range messages {
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Execute:
			return true
		}
	}
	return false
}

// newRequest returns the state machine's input for a request of this kind. The
// deadline is the kind's timeout from now; the floor comes from the session's
// token.
func (s *session) newRequest(kind manifest.Kind) group.Request {
	q := group.Request{
		ID:           s.server.Kernel.NextID(),
		Session:      s.id,
		Read:         kind.Access() == manifest.AccessRead,
		MaxStaleness: kind.MaxStaleness(),
		ReplicaWait:  kind.ReplicaWait(),
		Repeatable:   kind.Repeatable(),
		Deadline:     s.server.Kernel.Now() + kind.Timeout(),
	}
	q.Floor, q.FloorKnown = s.token.Floor(s.group.Name())
	return q
}

// writeEnding writes the answer for a request's ending.
func (s *session) writeEnding(t *kernel.Task, messages []pgproto3.FrontendMessage, e group.Ending) {
	switch e := e.(type) {
	case group.Done:
		s.writeReply(t, messages, e)
	case group.Refused:
		s.markUnanswered(messages)
		s.backend.Send(refusedResponse(e))
	case group.Unknown:
		s.markUnanswered(messages)
		s.backend.Send(unknownResponse(e))
	default:
		panic(fmt.Sprintf("caller: unknown ending %T", e))
	}
	s.sendReady()
}

// markUnanswered sets the transaction state after a request that was refused or
// whose outcome is unknown. An open transaction is rolled back, unless the
// request was to end it.
func (s *session) markUnanswered(messages []pgproto3.FrontendMessage) {
	if s.transactionState == 'I' || s.endsTransaction(messages) {
		s.transactionState = 'I'
		return
	}
	s.markRolledBack()
}

// writeReply writes a target's reply and raises the session's floor to the
// position that the request has seen.
func (s *session) writeReply(t *kernel.Task, messages []pgproto3.FrontendMessage, e group.Done) {
	r := t.Batch.Reply(e.Run)
	s.token = s.token.Advance(s.group.Name(), e.Position)
	s.transactionState = r.State
	s.updatePrepared(messages)
	s.backend.Send(encodedReply(r.Bytes))
}

// updatePrepared records the named statements that a request prepared or
// closed. It replaces the map, since batches still refer to the old one.
func (s *session) updatePrepared(messages []pgproto3.FrontendMessage) {
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

// encodedReply is an answer that is already encoded in PostgreSQL's protocol.
type encodedReply []byte

// Backend implements pgproto3.BackendMessage.
func (encodedReply) Backend() {}

// Decode implements pgproto3.Message. It always fails, since the type is only
// sent.
func (encodedReply) Decode([]byte) error { return errWriteOnly }

// Encode appends the answer to dst.
func (e encodedReply) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }

// retryHint returns the hint text that gives the retry delay in milliseconds.
func retryHint(d time.Duration) string {
	return fmt.Sprintf("retry after %d ms", d.Milliseconds())
}
