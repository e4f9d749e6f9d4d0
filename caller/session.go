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

// The parameters that a session has of its own.
const (
	parameterPrefix  = "amaranthsill."
	parameterSession = parameterPrefix + "session"
	parameterKind    = parameterPrefix + "kind"
	parameterKey     = parameterPrefix + "key"
)

// session is one caller's connection, served by one goroutine.
type session struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	process uint32
	secret  []byte

	group     *kernel.Group
	id        uint64
	kind      string
	key       string
	token     pgsession.Token
	reported  string
	prepared  map[string]statement.Prepared
	cancelled chan struct{}

	batch    []pgproto3.FrontendMessage
	skipping bool
	// state is the transaction state that the caller was told: I, T or E.
	state byte
	// aborted reports that the open transaction is already rolled back, so
	// that its end is answered without a target.
	aborted bool
}

// begin checks the start-up message and answers it.
func (s *session) begin(start *pgproto3.StartupMessage) error {
	if err := s.takeParameters(start.Parameters); err != nil {
		return err
	}
	name := start.Parameters["database"]
	g, err := s.server.Kernel.Group(name)
	if err != nil {
		return &problem{code: codeNoDatabase, message: fmt.Sprintf("database %q is no group of the manifest in force", name)}
	}
	s.group = g
	s.id = s.server.Kernel.NextID()
	s.state = 'I'
	s.prepared = map[string]statement.Prepared{}
	s.cancelled = make(chan struct{}, 1)
	if err := s.server.register(s); err != nil {
		return &problem{code: codeTooMany, message: err.Error()}
	}
	s.welcome()
	return nil
}

func (s *session) welcome() {
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
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	s.ready()
}

// knownParameters are the start-up parameters that drivers send and that
// need nothing from the proxy.
var knownParameters = []string{
	"user", "database", "application_name", "client_encoding", "options",
	"datestyle", "timezone", "extra_float_digits", "standard_conforming_strings",
	"search_path", "statement_timeout", "idle_in_transaction_session_timeout",
	"intervalstyle", "client_min_messages", "bytea_output",
}

func (s *session) takeParameters(parameters map[string]string) error {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		if strings.HasPrefix(name, parameterPrefix) {
			if err := s.set(strings.TrimPrefix(name, parameterPrefix), value); err != nil {
				return err
			}
			continue
		}
		if !slices.Contains(knownParameters, strings.ToLower(name)) {
			return &problem{code: codeParameter, message: fmt.Sprintf("unrecognized configuration parameter %q", name)}
		}
	}
	return nil
}

// set assigns one of the session's own parameters.
func (s *session) set(name, value string) error {
	switch parameterPrefix + name {
	case parameterSession:
		t, err := pgsession.Parse(value)
		if err != nil {
			return &problem{code: codeValue, message: err.Error()}
		}
		s.token = s.token.Join(t)
	case parameterKind:
		if err := s.checkKind(value); err != nil {
			return err
		}
		s.kind = value
	case parameterKey:
		if _, err := statement.ParseHints("/* key=" + value + " */"); err != nil && value != "" {
			return &problem{code: codeValue, message: err.Error()}
		}
		s.key = value
	default:
		return &problem{code: codeParameter, message: fmt.Sprintf("unrecognized configuration parameter %q", parameterPrefix+name)}
	}
	return nil
}

func (s *session) show(name string) (string, error) {
	switch parameterPrefix + name {
	case parameterSession:
		return s.token.String(), nil
	case parameterKind:
		return s.kind, nil
	case parameterKey:
		return s.key, nil
	default:
		return "", &problem{code: codeParameter, message: fmt.Sprintf("unrecognized configuration parameter %q", parameterPrefix+name)}
	}
}

func (s *session) checkKind(name string) error {
	_, err := s.lookUp(name)
	return err
}

// lookUp returns a kind of the manifest in force.
func (s *session) lookUp(name string) (manifest.Kind, error) {
	if name == "" {
		return manifest.Unnamed(), nil
	}
	m := s.server.Kernel.Record().Manifest
	if m == nil {
		return manifest.Kind{}, &problem{code: CodeRefused, message: "no manifest is in force yet"}
	}
	k, ok := m.Kind(name)
	if !ok {
		return manifest.Kind{}, &problem{code: codeValue, message: fmt.Sprintf("kind %q is not in the manifest in force", name)}
	}
	return k, nil
}

// run answers the caller's messages until it leaves or the VM stops.
func (s *session) run(ctx context.Context) {
	defer s.group.Vanish(ctx, s.id)
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

// next returns the caller's next message. While the VM stops, a session
// without a transaction gets no further one, unless it has arrived already.
func (s *session) next() (pgproto3.FrontendMessage, bool) {
	for {
		if s.dismissible() && socket.Look(s.conn) == socket.Quiet {
			s.dismiss()
			return nil, false
		}
		m, err := s.backend.Receive()
		if err == nil {
			return keep(m), true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			s.refuseLong(err)
			return nil, false
		}
		// The VM began to stop; the deadline has served its purpose.
		if s.conn.SetReadDeadline(time.Time{}) != nil {
			return nil, false
		}
	}
}

// dismissible reports whether the VM stops and the session has nothing open.
func (s *session) dismissible() bool {
	select {
	case <-s.server.stopping:
		return s.state == 'I' && len(s.batch) == 0
	default:
		return false
	}
}

func (s *session) refuseLong(err error) {
	var long *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &long) {
		s.fatal(&problem{code: codeProtocol, message: fmt.Sprintf("a message may have at most %d bytes", maxMessage)})
	}
}

// dismiss tells an idle caller to connect again. It reads on until the caller
// hangs up: closing with unread bytes would destroy what was said, and a
// request that was already on its way has its answer, that it did not run.
func (s *session) dismiss() {
	const linger = 2 * time.Second
	s.fatal(&problem{code: CodeStopping, message: "refused, not run: this VM is stopping; connect again"})
	if c, ok := s.conn.(*net.TCPConn); ok {
		// An error shows at the next read.
		_ = c.CloseWrite()
	}
	if s.conn.SetReadDeadline(time.Now().Add(linger)) == nil {
		// What comes is not wanted, only its end.
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// keep copies what the next Receive would overwrite.
func keep(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
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

// ready reports the session's token, if it changed, and that the caller may
// send its next request.
func (s *session) ready() {
	if t := s.token.String(); t != s.reported {
		s.reported = t
		s.backend.Send(&pgproto3.ParameterStatus{Name: parameterSession, Value: t})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.state})
}

func (s *session) fatal(err error) {
	r := response(err)
	r.Severity = "FATAL"
	s.backend.Send(r)
	_ = s.backend.Flush()
}

// fail reports an error; the rest of an extended request is skipped. An open
// transaction is rolled back.
func (s *session) fail(err error, simple bool) {
	s.backend.Send(response(err))
	if s.state != 'I' && !s.aborted {
		s.group.Vanish(context.Background(), s.id)
		s.abort()
	}
	if simple {
		s.ready()
		return
	}
	s.skipping = true
}

// abort notes that the open transaction is rolled back.
func (s *session) abort() {
	s.state = 'E'
	s.aborted = true
}

func (s *session) handle(ctx context.Context, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		return s.query(ctx, m)
	case *pgproto3.Sync:
		return s.sync(ctx)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.collect(m)
		return true
	case *pgproto3.Flush:
		s.refuseMessage("Flush within a pipeline")
		return true
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		s.refuseMessage("COPY")
		return true
	case *pgproto3.FunctionCall:
		s.fail(&problem{code: codeUnsupported, message: "FunctionCall is not supported"}, true)
		return true
	default:
		s.fatal(&problem{code: codeProtocol, message: fmt.Sprintf("unexpected message %T", m)})
		return false
	}
}

// maxBatch bounds the messages of one pipeline.
const maxBatch = 10000

func (s *session) refuseMessage(what string) {
	if s.skipping {
		return
	}
	s.fail(&problem{code: codeUnsupported, message: what + " is not supported"}, false)
	s.batch = nil
}

// collect adds a message to the request that Sync will complete.
func (s *session) collect(m pgproto3.FrontendMessage) {
	if s.skipping {
		return
	}
	if len(s.batch) >= maxBatch {
		s.refuseMessage(fmt.Sprintf("a pipeline of more than %d messages", maxBatch))
		return
	}
	if err := s.check(m); err != nil {
		s.batch = nil
		s.fail(err, false)
		return
	}
	s.batch = append(s.batch, m)
}

// check refuses what must not reach a pooled connection.
func (s *session) check(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if err := statement.Check(m.Query); err != nil {
			return &problem{code: codeUnsupported, message: err.Error()}
		}
	case *pgproto3.Bind:
		return s.checkName(m.PreparedStatement)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			return s.checkName(m.Name)
		}
	}
	return nil
}

func (s *session) checkName(name string) error {
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
	return &problem{code: codeNoStatement, message: fmt.Sprintf("prepared statement %q does not exist", name)}
}
