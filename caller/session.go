package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/internal/socket"
	"amaranthsill/kernel"
	"amaranthsill/manifest"
	pgsession "amaranthsill/session"
	"amaranthsill/statement"
)

// Names of the proxy's own parameters, which callers give at startup or by SET
// and read by SHOW.
const (
	parameterPrefix  = "amaranthsill."
	parameterSession = parameterPrefix + "session"
	parameterKind    = parameterPrefix + "kind"
	parameterKey     = parameterPrefix + "key"
)

// session is one caller's connection. A single goroutine serves it.
type session struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	// processID and secret are sent as BackendKeyData and identify the session
	// in a cancel request.
	processID uint32
	secret    []byte

	group *kernel.Group
	// id identifies the session in the kernel.
	id uint64
	// defaultKind and defaultKey apply to requests whose hints name no kind or
	// no key.
	defaultKind string
	defaultKey  string
	// token holds the positions that the session must keep seeing.
	token pgsession.Token
	// reportedToken is the token's text that the caller was last told.
	reportedToken string
	// prepared holds the session's named statements.
	prepared map[string]statement.Prepared
	// cancelled receives a value for each cancel request, unless one is already
	// waiting.
	cancelled chan struct{}

	// batch holds the messages collected since the last Sync.
	batch []pgproto3.FrontendMessage
	// skipToSync reports that an error occurred in the current batch, so that
	// messages are dropped up to the next Sync.
	skipToSync bool
	// transactionState is the state last sent in ReadyForQuery: I (idle), T (in
	// a transaction) or E (in a failed transaction).
	transactionState byte
	// rolledBack reports that the open transaction is already rolled back on
	// the target, so that the proxy answers until the caller ends it.
	rolledBack bool
}

// begin checks the startup message, registers the session and answers the
// caller. Its errors are callerErrors.
func (s *session) begin(start *pgproto3.StartupMessage) error {
	if err := s.applyParameters(start.Parameters); err != nil {
		return err
	}
	name := start.Parameters["database"]
	g, err := s.server.Kernel.Group(name)
	if err != nil {
		return &callerError{code: codeUnknownDatabase, message: fmt.Sprintf("database %q is no group of the manifest in force", name)}
	}
	s.group = g
	s.id = s.server.Kernel.NextID()
	s.transactionState = 'I'
	s.prepared = map[string]statement.Prepared{}
	s.cancelled = make(chan struct{}, 1)
	if err := s.server.register(s); err != nil {
		return &callerError{code: codeTooManyConnections, message: err.Error()}
	}
	s.sendStartupReply()
	return nil
}

// sendStartupReply tells the caller that it is connected: authentication is
// done, the server's parameters, and the key for cancel requests.
func (s *session) sendStartupReply() {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "15.0 (amaranthsill)"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "TimeZone", Value: "UTC"},
	} {
		s.backend.Send(&p)
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secret})
	s.sendReady()
}

// knownParameters lists startup parameters that are accepted and ignored,
// since common drivers send them.
var knownParameters = []string{
	"user", "database", "application_name", "client_encoding", "options",
	"datestyle", "timezone", "extra_float_digits", "standard_conforming_strings",
	"search_path", "statement_timeout", "idle_in_transaction_session_timeout",
	"intervalstyle", "client_min_messages", "bytea_output",
}

// applyParameters applies the proxy's own startup parameters, in order of
// their names, and rejects unknown ones.
func (s *session) applyParameters(parameters map[string]string) error {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		if strings.HasPrefix(name, parameterPrefix) {
			if err := s.set(strings.TrimPrefix(name, parameterPrefix), value); err != nil {
				return err
			}
			continue
		}
		if !slices.Contains(knownParameters, strings.ToLower(name)) {
			return &callerError{code: codeUnknownParameter, message: fmt.Sprintf("unrecognized configuration parameter %q", name)}
		}
	}
	return nil
}

// set assigns one of the proxy's own parameters, named without its prefix. A
// session token is merged with the present one, so that the session's floor
// never goes down.
func (s *session) set(name, value string) error {
	switch parameterPrefix + name {
	case parameterSession:
		t, err := pgsession.Parse(value)
		if err != nil {
			return &callerError{code: codeInvalidValue, message: err.Error()}
		}
		s.token = s.token.Merge(t)
	case parameterKind:
		if err := s.checkKind(value); err != nil {
			return err
		}
		s.defaultKind = value
	case parameterKey:
		if _, err := statement.ParseHints("/* key=" + value + " */"); err != nil && value != "" {
			return &callerError{code: codeInvalidValue, message: err.Error()}
		}
		s.defaultKey = value
	default:
		return &callerError{code: codeUnknownParameter, message: fmt.Sprintf("unrecognized configuration parameter %q", parameterPrefix+name)}
	}
	return nil
}

// show returns the value of one of the proxy's own parameters, named without
// its prefix.
func (s *session) show(name string) (string, error) {
	switch parameterPrefix + name {
	case parameterSession:
		return s.token.String(), nil
	case parameterKind:
		return s.defaultKind, nil
	case parameterKey:
		return s.defaultKey, nil
	default:
		return "", &callerError{code: codeUnknownParameter, message: fmt.Sprintf("unrecognized configuration parameter %q", parameterPrefix+name)}
	}
}

// checkKind returns an error if the manifest in force has no kind of that name.
func (s *session) checkKind(name string) error {
	_, err := s.kindNamed(name)
	return err
}

// kindNamed returns the kind of that name from the manifest in force. The empty
// name stands for manifest.DefaultKind.
func (s *session) kindNamed(name string) (manifest.Kind, error) {
	if name == "" {
		return manifest.DefaultKind(), nil
	}
	m := s.server.Kernel.Record().Manifest
	if m == nil {
		return manifest.Kind{}, &callerError{code: CodeRefused, message: "no manifest is in force yet"}
	}
	k, ok := m.Kind(name)
	if !ok {
		return manifest.Kind{}, &callerError{code: codeInvalidValue, message: fmt.Sprintf("kind %q is not in the manifest in force", name)}
	}
	return k, nil
}

// run answers the caller's messages until the caller disconnects or the VM
// stops. Its end rolls back a transaction that is still open.
func (s *session) run(ctx context.Context) {
	defer s.group.EndSession(ctx, s.id)
	for {
		if s.backend.Flush() != nil {
			return
		}
		m, ok := s.next()
		if !ok {
			return
		}
		if !s.handle(ctx, m) {
			return
		}
	}
}

// next returns the caller's next message, or false if the session must end.
// While the VM is stopping, a session without an open transaction ends here,
// unless bytes of another message have already arrived.
func (s *session) next() (pgproto3.FrontendMessage, bool) {
	for {
		if s.idleWhileStopping() && socket.PeekState(s.conn) == socket.Idle {
			s.disconnect()
			return nil, false
		}
		m, err := s.backend.Receive()
		if err == nil {
			return copyMessage(m), true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			s.reportOversized(err)
			return nil, false
		}
		// interruptReads set the deadline because the VM is stopping. Remove it,
		// so that later reads can wait.
		if s.conn.SetReadDeadline(time.Time{}) != nil {
			return nil, false
		}
	}
}

// idleWhileStopping reports whether the VM is stopping and the session has
// neither an open transaction nor an unfinished batch.
func (s *session) idleWhileStopping() bool {
	select {
	case <-s.server.stopping:
		return s.transactionState == 'I' && len(s.batch) == 0
	default:
		return false
	}
}

// reportOversized tells the caller if a read failed because its message was
// longer than maxMessageBytes. Other read errors are not reported.
func (s *session) reportOversized(err error) {
	var oversized *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &oversized) {
		s.sendFatal(&callerError{code: codeProtocolViolation, message: fmt.Sprintf("a message may have at most %d bytes", maxMessageBytes)})
	}
}

// disconnect tells an idle caller to connect again and then discards input until
// the caller hangs up or drainTimeout passes. Closing the socket with unread
// bytes would reset the connection and could destroy the error message, which
// also answers a request that was already on its way: it did not run.
func (s *session) disconnect() {
	const drainTimeout = 2 * time.Second
	s.sendFatal(&callerError{code: CodeStopping, message: "refused, not run: this VM is stopping; connect again"})
	if c, ok := s.conn.(*net.TCPConn); ok {
		// If this fails, the read below fails too.
		_ = c.CloseWrite()
	}
	if s.conn.SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		// Only the end of the input matters.
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// copyMessage returns a copy of a message that the next Receive would
// overwrite. Messages that are handled at once are returned as they are.
func copyMessage(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := m.(type) {
	case *pgproto3.Query:
		c := *m
		return &c
	case *pgproto3.Parse:
		c := *m
		c.ParameterOIDs = slices.Clone(m.ParameterOIDs)
		return &c
	case *pgproto3.Bind:
		c := *m
		c.Parameters = make([][]byte, len(m.Parameters))
		for i, p := range m.Parameters {
			c.Parameters[i] = slices.Clone(p)
		}
		c.ParameterFormatCodes = slices.Clone(m.ParameterFormatCodes)
		c.ResultFormatCodes = slices.Clone(m.ResultFormatCodes)
		return &c
	case *pgproto3.Describe:
		c := *m
		return &c
	case *pgproto3.Execute:
		c := *m
		return &c
	case *pgproto3.Close:
		c := *m
		return &c
	default:
		return m
	}
}

// sendReady reports the session's token if it has changed, and sends
// ReadyForQuery.
func (s *session) sendReady() {
	if t := s.token.String(); t != s.reportedToken {
		s.reportedToken = t
		s.backend.Send(&pgproto3.ParameterStatus{Name: parameterSession, Value: t})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.transactionState})
}

// sendFatal sends an error of severity FATAL; the caller of sendFatal then
// closes the connection.
func (s *session) sendFatal(err error) {
	r := errorResponse(err)
	r.Severity = "FATAL"
	s.backend.Send(r)
	_ = s.backend.Flush()
}

// sendError reports an error and rolls back an open transaction. If ready is
// set, the request ends here and ReadyForQuery follows; if not, the rest of the
// batch is dropped up to the next Sync.
func (s *session) sendError(err error, ready bool) {
	s.backend.Send(errorResponse(err))
	if s.transactionState != 'I' && !s.rolledBack {
		s.group.EndSession(context.Background(), s.id)
		s.markRolledBack()
	}
	if ready {
		s.sendReady()
		return
	}
	s.skipToSync = true
}

// markRolledBack records that the open transaction has been rolled back.
func (s *session) markRolledBack() {
	s.transactionState = 'E'
	s.rolledBack = true
}

// handle processes one message from the caller. It returns false if the session
// must end.
func (s *session) handle(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		return s.simpleQuery(ctx, m)
	case *pgproto3.Sync:
		return s.runBatch(ctx)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.addToBatch(m)
		return true
	case *pgproto3.Flush:
		s.rejectUnsupported("Flush within a pipeline")
		return true
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		s.rejectUnsupported("COPY")
		return true
	case *pgproto3.FunctionCall:
		s.sendError(&callerError{code: codeUnsupported, message: "FunctionCall is not supported"}, true)
		return true
	default:
		s.sendFatal(&callerError{code: codeProtocolViolation, message: fmt.Sprintf("unexpected message %T", m)})
		return false
	}
}

// maxBatchMessages limits the number of messages up to a Sync.
const maxBatchMessages = 10000

// rejectUnsupported reports a feature that the proxy does not support and drops
// the current batch.
func (s *session) rejectUnsupported(what string) {
	if s.skipToSync {
		return
	}
	s.sendError(&callerError{code: codeUnsupported, message: what + " is not supported"}, false)
	s.batch = nil
}

// addToBatch checks a message and adds it to the batch that Sync will run.
func (s *session) addToBatch(m pgproto3.FrontendMessage) {
	if s.skipToSync {
		return
	}
	if len(s.batch) >= maxBatchMessages {
		s.rejectUnsupported(fmt.Sprintf("a pipeline of more than %d messages", maxBatchMessages))
		return
	}
	if err := s.checkMessage(m); err != nil {
		s.batch = nil
		s.sendError(err, false)
		return
	}
	s.batch = append(s.batch, m)
}

// checkMessage rejects statements that may not run on a pooled connection, and
// references to unknown prepared statements. Its errors are callerErrors.
func (s *session) checkMessage(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if err := statement.CheckSupported(m.Query); err != nil {
			return &callerError{code: codeUnsupported, message: err.Error()}
		}
	case *pgproto3.Bind:
		return s.checkStatementName(m.PreparedStatement)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			return s.checkStatementName(m.Name)
		}
	}
	return nil
}

// checkStatementName returns an error unless the named statement was prepared
// earlier in the session or in the current batch.
func (s *session) checkStatementName(name string) error {
	if name == "" {
		return nil
	}
	if _, ok := s.prepared[name]; ok {
		return nil
	}
	for _, m := range s.batch {
		if p, ok := m.(*pgproto3.Parse); ok && p.Name == name {
			return nil
		}
	}
	return &callerError{code: codeUnknownStatement, message: fmt.Sprintf("prepared statement %q does not exist", name)}
}
