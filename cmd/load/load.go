package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"amaranthsill/caller"
)

// loadRun is one run of the load generator.
type loadRun struct {
	vms           []string
	group         string
	duration      time.Duration
	sessions      int
	requestsPerVM int
	thinkTime     time.Duration
	faults        []fault

	// name is the prefix of the run's row keys. It is random, so that rows of
	// earlier runs do not interfere.
	name string

	lock           sync.Mutex
	result         result
	latencies      *hdrhistogram.Histogram
	acknowledgedAt []time.Time
	// acknowledgedKeys and refusedKeys are the keys of ledger rows whose
	// transactions were acknowledged, or refused as not run.
	acknowledgedKeys []string
	refusedKeys      []string
}

// requestTimeout is the time that a session waits for the answer to a request.
const requestTimeout = 15 * time.Second

// run sends requests and faults for the run's duration, verifies the ledger and
// returns the result.
func (l *loadRun) run(ctx context.Context) result {
	const longest, digits = int64(time.Minute / time.Microsecond), 3
	l.latencies = hdrhistogram.New(1, longest, digits)
	l.name = fmt.Sprintf("run%x", rand.Uint32())
	begin := time.Now()
	for _, f := range l.faults {
		time.AfterFunc(f.delay, func() {
			if err := syscall.Kill(f.pid, f.signal); err != nil {
				l.recordViolation(fmt.Sprintf("signal %v to %d failed: %v", f.signal, f.pid, err))
			}
		})
	}
	var sessions sync.WaitGroup
	for i := range l.sessions {
		sessions.Go(func() {
			s := &session{run: l, number: i, vmIndex: i % len(l.vms), uncertain: map[string]bool{}}
			s.sendRequests(ctx, begin.Add(l.duration))
		})
	}
	sessions.Wait()
	l.verifyLedger(ctx)
	l.summarize(begin)
	return l.result
}

// summarize computes the longest time without an acknowledged write and the
// latency quantiles.
func (l *loadRun) summarize(begin time.Time) {
	slices.SortFunc(l.acknowledgedAt, time.Time.Compare)
	last := begin
	for _, at := range l.acknowledgedAt {
		l.result.GapMS = max(l.result.GapMS, at.Sub(last).Milliseconds())
		last = at
	}
	l.result.P50US = l.latencies.ValueAtQuantile(50)
	l.result.P99US = l.latencies.ValueAtQuantile(99)
	l.result.MaxUS = l.latencies.Max()
}

// recordViolation adds the description of a failed check to the result.
func (l *loadRun) recordViolation(what string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.result.Violations = append(l.result.Violations, what)
}

// verifyLedger checks that the ledger contains every row whose transaction was
// acknowledged and none whose transaction was refused as not run.
func (l *loadRun) verifyLedger(ctx context.Context) {
	rows, err := l.fetchLedger(ctx)
	if err != nil {
		l.recordViolation("the ledger could not be read: " + err.Error())
		return
	}
	for _, k := range l.acknowledgedKeys {
		if !rows[k] {
			l.recordViolation("acknowledged write " + k + " was lost")
		}
	}
	for _, k := range l.refusedKeys {
		if rows[k] {
			l.recordViolation("refused write " + k + " ran")
		}
	}
}

// fetchLedger reads the keys of the ledger through the first VM that answers.
func (l *loadRun) fetchLedger(ctx context.Context) (map[string]bool, error) {
	var lastErr error
	for _, vm := range l.vms {
		rows, err := l.readLedger(ctx, vm)
		if err == nil {
			return rows, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// readLedger reads the keys of the ledger through one VM.
func (l *loadRun) readLedger(ctx context.Context, vm string) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://load@"+vm+"/"+l.group+"?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("connect for ledger: %w", err)
	}
	defer func() { _ = c.Close(ctx) }()
	rows, err := c.Query(ctx, "/* kind=lookup */ select key from ledger")
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	keys, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	out := map[string]bool{}
	for _, k := range keys {
		out[k] = true
	}
	return out, nil
}

// session is the session of one caller. It writes and reads a row of its own and
// adds rows to the ledger.
type session struct {
	run *loadRun
	// number identifies the session in the run.
	number int
	// vmIndex is the index in run.vms, modulo their number, of the VM to use.
	vmIndex int
	// conn is nil while the session is not connected.
	conn *pgx.Conn
	// token is the session token from the last connection that was closed.
	token    string
	requests int
	// lastAcknowledged is the value of the last acknowledged write of the row.
	lastAcknowledged string
	// uncertain has the values of writes whose outcome is unknown; a read may
	// return any of them.
	uncertain map[string]bool
}

// sendRequests sends requests with think time between them until the given time.
func (s *session) sendRequests(ctx context.Context, until time.Time) {
	for time.Now().Before(until) {
		s.sendRequest(ctx)
		time.Sleep(s.run.thinkTime)
	}
	s.disconnect(ctx)
}

// disconnect keeps the session token and closes the connection.
func (s *session) disconnect(ctx context.Context) {
	if s.conn != nil {
		s.token = s.conn.PgConn().ParameterStatus("amaranthsill.session")
		_ = s.conn.Close(ctx)
		s.conn = nil
	}
}

// sendRequest sends one request of a random type. If it is due, the session
// first moves to the next VM.
func (s *session) sendRequest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s.requests++
	if s.run.requestsPerVM > 0 && s.requests%s.run.requestsPerVM == 0 {
		s.disconnect(ctx)
		s.vmIndex++
	}
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	switch draw := rand.IntN(10); {
	case draw < 3:
		s.writeOwnRow(ctx)
	case draw < 4:
		s.addLedgerRow(ctx)
	case draw < 7:
		s.readOwnRow(ctx, "lookup")
	default:
		s.readOwnRow(ctx, "tracks")
	}
}

// connect connects to the current VM with the session token. If that fails, it
// selects the next VM and returns false.
func (s *session) connect(ctx context.Context) bool {
	vm := s.run.vms[s.vmIndex%len(s.run.vms)]
	c, err := pgx.ParseConfig("postgres://load@" + vm + "/" + s.run.group + "?sslmode=disable")
	if err != nil {
		s.run.recordViolation(err.Error())
		return false
	}
	if s.token != "" {
		c.RuntimeParams["amaranthsill.session"] = s.token
	}
	s.conn, err = pgx.ConnectConfig(ctx, c)
	if err != nil {
		s.vmIndex++
		s.conn = nil
		return false
	}
	return true
}

// outcome is the outcome of a request as the caller sees it.
type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeUnknown
)

// recordOutcome counts a request and returns its outcome. After a lost connection
// or an error that the VM is stopping, the session continues on the next VM.
func (s *session) recordOutcome(begin time.Time, err error) outcome {
	l := s.run
	l.lock.Lock()
	defer l.lock.Unlock()
	l.result.Requests++
	if err == nil || errors.Is(err, pgx.ErrNoRows) {
		// RecordValue fails only above one minute, and requestTimeout is shorter.
		_ = l.latencies.RecordValue(time.Since(begin).Microseconds())
		return outcomeDone
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && (pgErr.Code == caller.CodeRefused || pgErr.Code == caller.CodeStopping) {
		l.result.Refused++
		if pgErr.Code == caller.CodeStopping {
			s.vmIndex++
			s.conn = nil
		}
		return outcomeRefused
	}
	l.result.Unknown++
	if !errors.As(err, &pgErr) {
		l.result.Lost++
		s.vmIndex++
		s.conn = nil
	}
	return outcomeUnknown
}

// rowKey returns the key of the session's own row.
func (s *session) rowKey() string { return fmt.Sprintf("%s-%d", s.run.name, s.number) }

// writeOwnRow sets the session's own row to the number of the request.
func (s *session) writeOwnRow(ctx context.Context) {
	value := fmt.Sprintf("%d", s.requests)
	begin := time.Now()
	_, err := s.conn.Exec(ctx, "insert into own (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value", s.rowKey(), value)
	switch s.recordOutcome(begin, err) {
	case outcomeDone:
		s.lastAcknowledged = value
		s.recordAcknowledged("")
	case outcomeUnknown:
		s.uncertain[value] = true
	case outcomeRefused:
	}
}

// addLedgerRow adds a row to the ledger inside a transaction.
func (s *session) addLedgerRow(ctx context.Context) {
	key := fmt.Sprintf("%s-%d", s.rowKey(), s.requests)
	begin := time.Now()
	err := s.insertInTransaction(ctx, key)
	switch s.recordOutcome(begin, err) {
	case outcomeDone:
		s.recordAcknowledged(key)
	case outcomeRefused:
		s.run.lock.Lock()
		s.run.refusedKeys = append(s.run.refusedKeys, key)
		s.run.lock.Unlock()
	case outcomeUnknown:
	}
}

func (s *session) insertInTransaction(ctx context.Context, key string) error {
	tx, err := s.conn.Begin(ctx)
	if err != nil {
		return fmt.Errorf("begin: %w", err)
	}
	if _, err := tx.Exec(ctx, "insert into ledger (key, value) values ($1, 'x')", key); err != nil {
		_ = tx.Rollback(ctx)
		return fmt.Errorf("insert: %w", err)
	}
	if err := tx.Commit(ctx); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// recordAcknowledged records an acknowledged write and, unless the key is empty,
// the ledger row that it added.
func (s *session) recordAcknowledged(key string) {
	l := s.run
	l.lock.Lock()
	defer l.lock.Unlock()
	l.acknowledgedAt = append(l.acknowledgedAt, time.Now())
	if key != "" {
		l.acknowledgedKeys = append(l.acknowledgedKeys, key)
	}
}

// readOwnRow reads the session's own row as a request of the given kind. It
// records a violation unless the value is the last acknowledged one or that of a
// write with unknown outcome.
func (s *session) readOwnRow(ctx context.Context, kind string) {
	value := ""
	begin := time.Now()
	err := s.conn.QueryRow(ctx, "/* kind="+kind+" */ select value from own where key = $1", s.rowKey()).Scan(&value)
	if s.recordOutcome(begin, err) != outcomeDone || value == s.lastAcknowledged || s.uncertain[value] {
		return
	}
	s.run.recordViolation(fmt.Sprintf("session %d wrote %q and read %q through %s", s.number, s.lastAcknowledged, value, s.run.vms[s.vmIndex%len(s.run.vms)]))
}
