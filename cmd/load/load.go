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

// load is one run.
type load struct {
	vms      []string
	group    string
	length   time.Duration
	sessions int
	roam     int
	think    time.Duration
	faults   []fault

	// name sets the run's rows apart from those of other runs.
	name string

	lock         sync.Mutex
	result       result
	latencies    *hdrhistogram.Histogram
	acknowledged []time.Time
	// kept and refused are the rows whose writes were acknowledged, or
	// refused as not run.
	kept    []string
	refused []string
}

// requestLimit bounds what a caller waits for one answer.
const requestLimit = 15 * time.Second

func (l *load) run(ctx context.Context) result {
	const longest, digits = int64(time.Minute / time.Microsecond), 3
	l.latencies = hdrhistogram.New(1, longest, digits)
	l.name = fmt.Sprintf("run%x", rand.Uint32())
	begin := time.Now()
	for _, f := range l.faults {
		time.AfterFunc(f.at, func() {
			if err := syscall.Kill(f.pid, f.signal); err != nil {
				l.broken(fmt.Sprintf("signal %v to %d failed: %v", f.signal, f.pid, err))
			}
		})
	}
	var all sync.WaitGroup
	for i := range l.sessions {
		all.Go(func() {
			s := &session{load: l, number: i, vm: i % len(l.vms), maybe: map[string]bool{}}
			s.run(ctx, begin.Add(l.length))
		})
	}
	all.Wait()
	l.audit(ctx)
	l.finish(begin)
	return l.result
}

func (l *load) finish(begin time.Time) {
	slices.SortFunc(l.acknowledged, time.Time.Compare)
	last := begin
	for _, at := range l.acknowledged {
		l.result.GapMS = max(l.result.GapMS, at.Sub(last).Milliseconds())
		last = at
	}
	l.result.P50US = l.latencies.ValueAtQuantile(50)
	l.result.P99US = l.latencies.ValueAtQuantile(99)
	l.result.MaxUS = l.latencies.Max()
}

func (l *load) broken(what string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.result.Broken = append(l.result.Broken, what)
}

// audit reads the ledger and compares it with what callers were told.
func (l *load) audit(ctx context.Context) {
	rows, err := l.ledger(ctx)
	if err != nil {
		l.broken("the ledger could not be read: " + err.Error())
		return
	}
	for _, k := range l.kept {
		if !rows[k] {
			l.broken("acknowledged write " + k + " was lost")
		}
	}
	for _, k := range l.refused {
		if rows[k] {
			l.broken("refused write " + k + " ran")
		}
	}
}

func (l *load) ledger(ctx context.Context) (map[string]bool, error) {
	var failure error
	for _, vm := range l.vms {
		rows, err := l.readLedger(ctx, vm)
		if err == nil {
			return rows, nil
		}
		failure = err
	}
	return nil, failure
}

func (l *load) readLedger(ctx context.Context, vm string) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
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

// session is one caller's session; it writes a row of its own and the ledger,
// and reads its row back.
type session struct {
	load   *load
	number int
	vm     int
	conn   *pgx.Conn
	token  string
	count  int
	last   string
	maybe  map[string]bool
}

func (s *session) run(ctx context.Context, until time.Time) {
	for time.Now().Before(until) {
		s.request(ctx)
		time.Sleep(s.load.think)
	}
	s.leave(ctx)
}

func (s *session) leave(ctx context.Context) {
	if s.conn != nil {
		s.token = s.conn.PgConn().ParameterStatus("amaranthsill.session")
		_ = s.conn.Close(ctx)
		s.conn = nil
	}
}

func (s *session) request(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	s.count++
	if s.load.roam > 0 && s.count%s.load.roam == 0 {
		s.leave(ctx)
		s.vm++
	}
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	switch dice := rand.IntN(10); {
	case dice < 3:
		s.write(ctx)
	case dice < 4:
		s.enter(ctx)
	case dice < 7:
		s.read(ctx, "lookup")
	default:
		s.read(ctx, "tracks")
	}
}

func (s *session) connect(ctx context.Context) bool {
	vm := s.load.vms[s.vm%len(s.load.vms)]
	c, err := pgx.ParseConfig("postgres://load@" + vm + "/" + s.load.group + "?sslmode=disable")
	if err != nil {
		s.load.broken(err.Error())
		return false
	}
	if s.token != "" {
		c.RuntimeParams["amaranthsill.session"] = s.token
	}
	s.conn, err = pgx.ConnectConfig(ctx, c)
	if err != nil {
		s.vm++
		s.conn = nil
		return false
	}
	return true
}

// ending is how a request ended for the caller.
type ending uint8

const (
	endingDone ending = iota
	endingRefused
	endingUnknown
)

// ended counts a request and returns how it ended.
func (s *session) ended(begin time.Time, err error) ending {
	l := s.load
	l.lock.Lock()
	defer l.lock.Unlock()
	l.result.Requests++
	if err == nil || errors.Is(err, pgx.ErrNoRows) {
		// The histogram's range covers every possible latency.
		_ = l.latencies.RecordValue(time.Since(begin).Microseconds())
		return endingDone
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) && (pg.Code == caller.CodeRefused || pg.Code == caller.CodeStopping) {
		l.result.Refused++
		if pg.Code == caller.CodeStopping {
			s.vm++
			s.conn = nil
		}
		return endingRefused
	}
	l.result.Unknown++
	if !errors.As(err, &pg) {
		l.result.Lost++
		s.vm++
		s.conn = nil
	}
	return endingUnknown
}

func (s *session) key() string { return fmt.Sprintf("%s-%d", s.load.name, s.number) }

func (s *session) write(ctx context.Context) {
	value := fmt.Sprintf("%d", s.count)
	begin := time.Now()
	_, err := s.conn.Exec(ctx, "insert into own (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value", s.key(), value)
	switch s.ended(begin, err) {
	case endingDone:
		s.last = value
		s.acknowledge("")
	case endingUnknown:
		s.maybe[value] = true
	case endingRefused:
	}
}

// enter adds a row to the ledger inside a transaction.
func (s *session) enter(ctx context.Context) {
	key := fmt.Sprintf("%s-%d", s.key(), s.count)
	begin := time.Now()
	err := s.transaction(ctx, key)
	switch s.ended(begin, err) {
	case endingDone:
		s.acknowledge(key)
	case endingRefused:
		s.load.lock.Lock()
		s.load.refused = append(s.load.refused, key)
		s.load.lock.Unlock()
	case endingUnknown:
	}
}

func (s *session) transaction(ctx context.Context, key string) error {
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

func (s *session) acknowledge(key string) {
	l := s.load
	l.lock.Lock()
	defer l.lock.Unlock()
	l.acknowledged = append(l.acknowledged, time.Now())
	if key != "" {
		l.kept = append(l.kept, key)
	}
}

func (s *session) read(ctx context.Context, kind string) {
	value := ""
	begin := time.Now()
	err := s.conn.QueryRow(ctx, "/* kind="+kind+" */ select value from own where key = $1", s.key()).Scan(&value)
	if s.ended(begin, err) != endingDone || value == s.last || s.maybe[value] {
		return
	}
	s.load.broken(fmt.Sprintf("session %d wrote %q and read %q through %s", s.number, s.last, value, s.load.vms[s.vm%len(s.load.vms)]))
}
