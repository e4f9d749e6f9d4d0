package front_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"

	"amaranthsill/catalog"
	"amaranthsill/customer"
	"amaranthsill/front"
	"amaranthsill/platform"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// Keys of the customers in these tests.
const (
	firstKey  = "3fgf-first"
	secondKey = "iqrh-second"
	otherKey  = "9uu2-other"
)

// database is a target that records what it is told. It runs statements in the time
// work, and first refuses as many as refusals.
type database struct {
	lock     sync.Mutex
	ran      []string
	work     time.Duration
	refusals int
}

func (d *database) Affinity(pool.Target, string) string { return "" }

func (d *database) Dial(context.Context, pool.Target, string) (pool.Link, query.Position, error) {
	return &link{database: d}, query.Position{}, nil
}

func (d *database) ParseStatus(query.Reply) (pool.Report, error) {
	return pool.Report{Role: pool.RolePrimary}, nil
}

// run takes in what an order does, and returns whether the target refuses it.
func (d *database) run(what string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.refusals > 0 {
		d.refusals--
		return true
	}
	d.ran = append(d.ran, what)
	return false
}

// orders returns what ran so far, joined by commas.
func (d *database) orders() string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return strings.Join(d.ran, ",")
}

type link struct {
	database *database
	sent     []pool.Order
	state    query.State
}

func (l *link) Send(orders ...pool.Order) error {
	l.sent = append(l.sent, orders...)
	return nil
}

func (l *link) Receive() (query.Reply, error) {
	o := l.sent[0]
	l.sent = l.sent[1:]
	what, after := "", l.state
	switch o := o.(type) {
	case pool.Begin:
		what, after = "BEGIN", query.StateOpen
	case pool.Rollback:
		what, after = "ROLLBACK", query.StateIdle
	case pool.Forward:
		what = o.Query.Text
		if what == "COMMIT" {
			after = query.StateIdle
		}
		time.Sleep(l.database.work)
	default:
		return query.Reply{State: l.state}, nil
	}
	if l.database.run(what) {
		return query.Reply{Failure: &query.Failure{Code: query.CodeBusy}, State: l.state}, nil
	}
	l.state = after
	return query.Reply{Receipt: "mac", State: l.state}, nil
}

func (l *link) SetDeadline(time.Time) error { return nil }
func (l *link) Close()                      {}

// certainLeaders confirms every leader.
type certainLeaders struct{}

func (certainLeaders) IsLeader(string, string) bool { return true }

func (certainLeaders) AwaitLeader(context.Context, string, string, time.Duration) error { return nil }

// limiter counts the operations that it is asked to admit.
type limiter struct {
	asked atomic.Int64
	// retry is the time that refused operations are told; zero admits all.
	retry time.Duration
}

func (l *limiter) Admit(_ context.Context, c *customer.Customer) (time.Duration, bool) {
	if c == nil {
		panic("admission without a customer")
	}
	l.asked.Add(1)
	return l.retry, l.retry == 0
}

// pipes is a listener for connections within the process.
type pipes struct{ accepted chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// bench is a server of sessions in front of one target, on the clock of the test's
// bubble.
type bench struct {
	*front.Server
	t        *testing.T
	database *database
	limits   *limiter
	current  atomic.Bool
	registry *prometheus.Registry
	listener *pipes
	lock     sync.Mutex
	log      strings.Builder
}

// configuration returns a version in which a customer holds each list of keys. Nil
// means that the deployment has no customers.
func configuration(version uint64, keys map[string][]string) *catalog.Configuration {
	route := func(name string, public bool) *catalog.Route {
		return &catalog.Route{Name: name, Database: name, Group: "choir", Timeout: 3 * time.Second, LatencyObjective: 800 * time.Millisecond, Public: public}
	}
	c := &catalog.Configuration{
		Version: version,
		Routes:  map[string]*catalog.Route{"kept": route("kept", false), "open": route("open", true)},
		Groups:  map[string]catalog.Group{"choir": {Name: "choir", ConnectionLimit: 9}},

		TransactionIdleTimeout: 5 * time.Second,
	}
	if keys == nil {
		return c
	}
	entries := []customer.Entry{}
	for name, list := range keys {
		e := customer.Entry{Customer: customer.Customer{Name: name, Rate: 1, Burst: 1}}
		for _, k := range list {
			e.Keys = append(e.Keys, customer.DigestOf(k))
		}
		entries = append(entries, e)
	}
	var err error
	if c.Customers, err = customer.NewSet(entries); err != nil {
		panic(err)
	}
	return c
}

// both has two customers, of which the first has two keys.
var both = map[string][]string{"miny": {firstKey, secondKey}, "odo": {otherKey}}

// withoutFirst is both after firstKey was revoked.
var withoutFirst = map[string][]string{"miny": {secondKey}, "odo": {otherKey}}

// run starts a server with a configuration, nil for none, in a bubble with virtual time.
func run(t *testing.T, c *catalog.Configuration, test func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		b := &bench{t: t, database: &database{}, limits: &limiter{}, registry: prometheus.NewRegistry(), listener: &pipes{accepted: make(chan net.Conn)}}
		b.current.Store(true)
		log := funcr.New(func(prefix, args string) {
			b.lock.Lock()
			defer b.lock.Unlock()
			b.log.WriteString(prefix + args + "\n")
		}, funcr.Options{Verbosity: 9})
		now := func() time.Duration { return time.Since(begun) }
		g := &pool.Group{Name: "choir", Zone: "coban", Dialer: b.database, Now: now, Log: log}
		g.Configure([]pool.Target{{ID: "a", Group: "choir", Zone: "coban", Slots: 4, Role: pool.RolePrimary}}, 9)
		g.SetLeader("a")
		b.Server = &front.Server{
			Catalog: &catalog.Catalog{}, Leaders: certainLeaders{}, Limits: b.limits, Current: b.current.Load, Now: now,
			Group:         func(string) (*pool.Group, bool) { return g, true },
			NewCallerConn: func(c net.Conn) front.CallerConn { return platform.NewSession(c) },
			Metrics:       front.NewMetrics(b.registry, log), Log: log,
		}
		if c != nil {
			b.Catalog.Update(c)
		}
		served := make(chan error)
		go func() { served <- b.Serve(context.Background(), b.listener) }()
		test(b)
		close(b.listener.accepted)
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}

// put puts a configuration in force, as the directory does.
func (b *bench) put(c *catalog.Configuration) {
	synctest.Wait()
	if !b.Catalog.Update(c) {
		b.t.Fatalf("version %d was not put in force", c.Version)
	}
	b.ConfigurationChanged()
	synctest.Wait()
}

// caller is a caller's connection.
type caller struct {
	b      *bench
	conn   net.Conn
	reader *bufio.Reader
}

// connect sends the startup message and returns the first line of the answer.
func (b *bench) connect(startup string) (*caller, string) {
	own, other := net.Pipe()
	b.t.Cleanup(func() { _ = own.Close() })
	b.listener.accepted <- other
	c := &caller{b: b, conn: own, reader: bufio.NewReader(own)}
	c.send(startup)
	return c, c.line()
}

// session starts a session that has to be accepted.
func (b *bench) session(startup string) *caller {
	c, line := b.connect(startup)
	if !strings.HasPrefix(line, "READY I") {
		b.t.Fatalf("%s: session starts with %q", startup, line)
	}
	return c
}

func (c *caller) send(line string) {
	if _, err := fmt.Fprintf(c.conn, "%s\r\n", line); err != nil {
		c.b.t.Errorf("send %q: %v", line, err)
	}
}

// line returns the next line of an answer; empty if the session was closed.
func (c *caller) line() string {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimRight(line, "\r\n")
}

// ask sends a query and returns the code of the failure, or "done", and the state.
func (c *caller) ask(text string) string {
	outcome, _ := c.askDetail(text)
	return outcome
}

func (c *caller) askDetail(text string) (outcome, detail string) {
	c.send("QUERY 1 " + text)
	word, rest, _ := strings.Cut(c.line(), " ")
	outcome = "done"
	if word == "ERROR" {
		outcome, detail, _ = strings.Cut(rest, " ")
	}
	ready := c.line()
	return outcome + " " + strings.TrimSuffix(strings.TrimPrefix(ready, "READY "), " -"), detail
}

// want fails the test unless a query ends in the given way.
func (c *caller) want(text, outcome string) {
	c.b.t.Helper()
	if got := c.ask(text); got != outcome {
		c.b.t.Errorf("%s: got %q, want %q", text, got, outcome)
	}
}

// wantClosed fails the test unless the session is closed within a time, and not after an
// answer.
func (c *caller) wantClosed(within time.Duration) {
	c.b.t.Helper()
	begun := time.Now()
	if line := c.line(); line != "" {
		c.b.t.Errorf("got %q, want a closed session", line)
	}
	if took := time.Since(begun); took > within {
		c.b.t.Errorf("session was closed after %s, want %s at most", took, within)
	}
}

// metric returns the sum of a metric over its labels, of those that have the given label
// value if it is not empty.
func (b *bench) metric(name, label string) float64 {
	families, err := b.registry.Gather()
	if err != nil {
		b.t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			matches := label == ""
			for _, l := range m.GetLabel() {
				matches = matches || l.GetValue() == label
			}
			if f.GetName() == name && matches {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// TestStartOfSession guards against callers who get in without a valid key, and against
// ones who are told that a valid key is unknown by a VM that cannot know it yet.
func TestStartOfSession(t *testing.T) {
	cases := map[string]struct {
		configuration *catalog.Configuration
		outdated      bool
		startup       string
		want          string
		reason        string
	}{
		"a known key":                                 {configuration(1, both), false, "STARTUP kept " + firstKey, "READY I", ""},
		"an unknown key":                              {configuration(1, both), false, "STARTUP kept nobody", "ERROR AUTHFAIL", "unknown-key"},
		"a key with another one's beginning":          {configuration(1, both), false, "STARTUP kept " + firstKey[:9], "ERROR AUTHFAIL", "unknown-key"},
		"a customer's name instead of a key":          {configuration(1, both), false, "STARTUP kept miny", "ERROR AUTHFAIL", "unknown-key"},
		"no key":                                      {configuration(1, both), false, "STARTUP kept", "ERROR AUTHFAIL", "unknown-key"},
		"an empty list of customers":                  {configuration(1, map[string][]string{}), false, "STARTUP kept " + firstKey, "ERROR AUTHFAIL", "unknown-key"},
		"a customer without keys":                     {configuration(1, map[string][]string{"miny": {}}), false, "STARTUP kept", "ERROR AUTHFAIL", "unknown-key"},
		"a VM without a configuration":                {nil, false, "STARTUP kept " + firstKey, "ERROR BUSY", "no-configuration"},
		"an outdated VM and a known key":              {configuration(1, both), true, "STARTUP kept " + firstKey, "ERROR BUSY", "outdated-configuration"},
		"an outdated VM and an unknown key":           {configuration(1, both), true, "STARTUP kept nobody", "ERROR BUSY", "outdated-configuration"},
		"an outdated VM and an unknown database":      {configuration(1, both), true, "STARTUP new " + firstKey, "ERROR BUSY", "outdated-configuration"},
		"a public route on an outdated VM":            {configuration(1, both), true, "STARTUP open nobody", "READY I", ""},
		"an unknown database":                         {configuration(1, both), false, "STARTUP new " + firstKey, "ERROR UNKNOWNDB", ""},
		"no customers":                                {configuration(1, nil), false, "STARTUP kept nobody", "READY I", ""},
		"no customers and an outdated VM":             {configuration(1, nil), true, "STARTUP kept", "READY I", ""},
		"no customers and a database without a route": {configuration(1, nil), true, "STARTUP new", "ERROR UNKNOWNDB", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, c.configuration, func(b *bench) {
				b.current.Store(!c.outdated)
				caller, line := b.connect(c.startup)
				if !strings.HasPrefix(line, c.want) {
					t.Errorf("got %q, want %q", line, c.want)
				}
				if c.want == "ERROR BUSY" && !strings.Contains(line, "; retry after ") {
					t.Errorf("%q does not say when to retry", line)
				}
				if c.want != "READY I" {
					caller.wantClosed(0)
				}
				if c.reason != "" && b.metric("amaranthsill_refused_starts_total", c.reason) != 1 {
					t.Errorf("refused start was not counted as %s", c.reason)
				}
				_ = caller.conn.Close()
			})
		})
	}
}

// TestRevokedKeyOfIdleSession guards against sessions that go on under a revoked key, and
// against ones of other keys that are ended with it.
func TestRevokedKeyOfIdleSession(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		revoked, unused := b.session("STARTUP kept "+firstKey), b.session("STARTUP kept "+firstKey)
		second, other, public := b.session("STARTUP kept "+secondKey), b.session("STARTUP kept "+otherKey), b.session("STARTUP open "+firstKey)
		revoked.want("WRITE bar 1", "done I")
		b.put(configuration(2, withoutFirst))
		revoked.wantClosed(20 * time.Millisecond)
		unused.wantClosed(0)
		for _, c := range []*caller{second, other, public} {
			c.want("WRITE bar 2", "done I")
			_ = c.conn.Close()
		}
		if n := b.metric("amaranthsill_revoked_sessions_total", ""); n != 2 {
			t.Errorf("%v sessions were counted as ended by a revoked key, want 2", n)
		}
	})
}

// TestRevokedKeyBeforeSessionsAreTold guards against an operation that a session starts
// between the new version and the call of ConfigurationChanged.
func TestRevokedKeyBeforeSessionsAreTold(t *testing.T) {
	for _, text := range []string{"WRITE bar 1", "BEGIN"} {
		t.Run(text, func(t *testing.T) {
			run(t, configuration(1, both), func(b *bench) {
				c := b.session("STARTUP kept " + firstKey)
				synctest.Wait()
				b.Catalog.Update(configuration(2, withoutFirst))
				c.want(text, "AUTHFAIL I")
				c.wantClosed(0)
				if ran := b.database.orders(); ran != "" {
					t.Errorf("target ran %s", ran)
				}
			})
		})
	}
}

// TestRevokedKeyDuringStart guards against a session that looked its key up in the older
// version, and that ConfigurationChanged did not know yet.
func TestRevokedKeyDuringStart(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		// The start asks for this after it has read the configuration.
		b.Current = func() bool {
			if b.Catalog.Update(configuration(2, withoutFirst)) {
				b.ConfigurationChanged()
			}
			return true
		}
		c := b.session("STARTUP kept " + firstKey)
		c.wantClosed(20 * time.Millisecond)
	})
}

// TestQueryOnItsWayWhenTheKeyIsRevoked guards against a query that is neither served nor
// answered, so that its caller cannot tell whether it was executed.
func TestQueryOnItsWayWhenTheKeyIsRevoked(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c := b.session("STARTUP kept " + firstKey)
		b.put(configuration(2, withoutFirst))
		time.Sleep(10 * time.Millisecond)
		c.want("SET zone utc", "AUTHFAIL I")
		c.wantClosed(0)
	})
}

// TestRevokedKeyWithStatementUnderWay guards against an answer that is lost with its
// session.
func TestRevokedKeyWithStatementUnderWay(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		b.database.work = 2500 * time.Millisecond
		c := b.session("STARTUP kept " + firstKey)
		c.send("QUERY 1 WRITE bar 1")
		synctest.Wait()
		b.put(configuration(2, withoutFirst))
		if line := c.line(); line != "COMPLETE mac" {
			t.Errorf("got %q, want the answer", line)
		}
		c.line()
		c.wantClosed(20 * time.Millisecond)
	})
}

// TestRevokedKeyWithOpenTransaction guards against transactions that are cut off before
// their 2 s are over, or that go on afterwards.
func TestRevokedKeyWithOpenTransaction(t *testing.T) {
	begin := func(b *bench) *caller {
		c := b.session("STARTUP kept " + firstKey)
		c.want("BEGIN", "done T")
		c.want("WRITE bar 1", "done T")
		b.put(configuration(2, withoutFirst))
		return c
	}
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		t.Run(end+" in time", func(t *testing.T) {
			run(t, configuration(1, both), func(b *bench) {
				c := begin(b)
				time.Sleep(1900 * time.Millisecond)
				c.want("WRITE bar 2", "done T")
				c.want(end, "done I")
				c.wantClosed(20 * time.Millisecond)
				synctest.Wait()
				if ran := b.database.orders(); ran != "BEGIN,WRITE bar 1,WRITE bar 2,"+end {
					t.Errorf("target ran %s", ran)
				}
				// The timer of the transaction must not disturb others.
				c = b.session("STARTUP kept " + secondKey)
				c.want("BEGIN", "done T")
				time.Sleep(time.Second)
				c.want("COMMIT", "done I")
				_ = c.conn.Close()
			})
		})
	}
	const rolledBack = "BEGIN,WRITE bar 1,ROLLBACK"
	t.Run("idle until it is rolled back", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := begin(b)
			time.Sleep(1999 * time.Millisecond)
			synctest.Wait()
			if ran := b.database.orders(); ran == rolledBack {
				t.Error("transaction was rolled back too early")
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
			if ran := b.database.orders(); ran != rolledBack {
				t.Errorf("target ran %s, want %s", ran, rolledBack)
			}
			c.want("WRITE bar 2", "ABORTED E")
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
			if ran := b.database.orders(); ran != rolledBack {
				t.Errorf("target ran %s, want %s", ran, rolledBack)
			}
		})
	})
	t.Run("idle for good", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			begin(b).wantClosed(3 * time.Second)
		})
	})
	t.Run("in use until it is rolled back", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := begin(b)
			for range 19 {
				time.Sleep(100 * time.Millisecond)
				c.want("READ bar", "done T")
			}
			time.Sleep(100 * time.Millisecond)
			c.want("READ bar", "ABORTED E")
			time.Sleep(900 * time.Millisecond)
			c.want("READ bar", "ABORTED E")
			c.wantClosed(200 * time.Millisecond)
		})
	})
	t.Run("with a statement under way", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := begin(b)
			b.database.work = time.Second
			time.Sleep(1500 * time.Millisecond)
			c.want("WRITE bar 2", "done T")
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
		})
	})
	t.Run("without a statement", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			c := b.session("STARTUP kept " + firstKey)
			c.want("BEGIN", "done T")
			b.put(configuration(2, withoutFirst))
			time.Sleep(2 * time.Second)
			c.want("WRITE bar 1", "ABORTED E")
			c.want("ROLLBACK", "done I")
			c.wantClosed(20 * time.Millisecond)
			if ran := b.database.orders(); ran != "" {
				t.Errorf("target ran %s", ran)
			}
		})
	})
	t.Run("whose timer is late", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			suspended := time.Duration(0)
			now := b.Now
			b.Now = func() time.Duration { return now() + suspended }
			c := begin(b)
			time.Sleep(1500 * time.Millisecond)
			suspended = 900 * time.Millisecond
			c.want("READ bar", "ABORTED E")
			// The timer must not cut the time in which the caller is answered.
			time.Sleep(550 * time.Millisecond)
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
		})
	})
	t.Run("on a VM that was suspended meanwhile", func(t *testing.T) {
		run(t, configuration(1, both), func(b *bench) {
			suspended := time.Duration(0)
			now := b.Now
			b.Now = func() time.Duration { return now() + suspended }
			c := begin(b)
			suspended = 4 * time.Second
			c.want("COMMIT", "ABORTED I")
			c.wantClosed(20 * time.Millisecond)
		})
	})
}

// TestOlderVersion guards against a revoked key that is valid again since a VM sees an
// older version, as from a store that came back from a copy.
func TestOlderVersion(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c := b.session("STARTUP kept " + firstKey)
		c.want("BEGIN", "done T")
		b.put(configuration(2, withoutFirst))
		if b.Catalog.Update(configuration(1, both)) {
			t.Error("older version was put in force")
		}
		b.ConfigurationChanged()
		_, line := b.connect("STARTUP kept " + firstKey)
		if !strings.HasPrefix(line, "ERROR AUTHFAIL") {
			t.Errorf("session starts with %q under a revoked key", line)
		}
		// A newer version may have the key again, for new sessions.
		b.put(configuration(3, both))
		c.want("COMMIT", "done I")
		c.want("WRITE bar 1", "AUTHFAIL I")
		c.wantClosed(0)
		_ = b.session("STARTUP kept " + firstKey).conn.Close()
	})
}

// TestCustomersAddedLater guards against sessions that started before the deployment had
// customers, or on a route that was public, and that go on without a key.
func TestCustomersAddedLater(t *testing.T) {
	run(t, configuration(1, nil), func(b *bench) {
		keyed, keyless := b.session("STARTUP kept "+firstKey), b.session("STARTUP kept")
		public := b.session("STARTUP open")
		b.put(configuration(2, both))
		keyless.wantClosed(20 * time.Millisecond)
		keyed.want("WRITE bar 1", "done I")
		public.want("WRITE bar 1", "done I")
		if n := b.limits.asked.Load(); n != 1 {
			t.Errorf("limits were asked %d times, want once, for the session with a key", n)
		}
		closed := configuration(3, both)
		closed.Routes["open"].Public = false
		b.put(closed)
		public.wantClosed(20 * time.Millisecond)
		_ = keyed.conn.Close()
	})
}

// TestOutdatedVM guards against operations under a key that may have been revoked without
// this VM's knowledge.
func TestOutdatedVM(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		c, open, public := b.session("STARTUP kept "+firstKey), b.session("STARTUP kept "+firstKey), b.session("STARTUP open")
		open.want("BEGIN", "done T")
		open.want("WRITE bar 1", "done T")
		b.current.Store(false)
		for _, text := range []string{"WRITE bar 1", "READ bar", "BEGIN"} {
			outcome, detail := c.askDetail(text)
			if outcome != "BUSY I" || !strings.Contains(detail, "; retry after ") {
				t.Errorf("%s: got %q %q, want BUSY with a time to retry", text, outcome, detail)
			}
		}
		open.want("COMMIT", "ABORTED I")
		public.want("WRITE bar 1", "done I")
		b.current.Store(true)
		c.want("WRITE bar 1", "done I")
		for _, s := range []*caller{c, open, public} {
			_ = s.conn.Close()
		}
	})
}

// TestLimits guards against operations that are counted twice, for retries or for the
// statements of a transaction, and against refusals that executed something or come late.
func TestLimits(t *testing.T) {
	limited := func(t *testing.T, test func(*bench)) {
		run(t, configuration(1, both), test)
	}
	wantAsked := func(b *bench, n int64) {
		b.t.Helper()
		if got := b.limits.asked.Load(); got != n {
			b.t.Errorf("limits were asked %d times, want %d", got, n)
		}
	}
	t.Run("a statement that the target refuses twice counts once", func(t *testing.T) {
		limited(t, func(b *bench) {
			b.database.refusals = 2
			c := b.session("STARTUP kept " + firstKey)
			c.want("WRITE bar 1", "done I")
			wantAsked(b, 1)
			_ = c.conn.Close()
		})
	})
	t.Run("a transaction counts once", func(t *testing.T) {
		limited(t, func(b *bench) {
			b.database.refusals = 2
			c := b.session("STARTUP kept " + firstKey)
			for _, text := range []string{"BEGIN", "WRITE bar 1", "READ bar", "SET zone utc"} {
				c.want(text, "done T")
			}
			c.want("COMMIT", "done I")
			wantAsked(b, 1)
			_ = c.conn.Close()
		})
	})
	t.Run("what needs no target does not count", func(t *testing.T) {
		limited(t, func(b *bench) {
			c, public := b.session("STARTUP kept "+firstKey), b.session("STARTUP open "+firstKey)
			c.want("SET zone utc", "done I")
			c.want("PREPARE s READ q1", "done I")
			c.want("EXECUTE unknown bar", "NOSTMT I")
			c.want("COMMIT", "MALFORMED I")
			public.want("WRITE bar 1", "done I")
			wantAsked(b, 0)
			_, _ = c.conn.Close(), public.conn.Close()
		})
	})
	for _, text := range []string{"WRITE bar 1", "BEGIN"} {
		t.Run("a refused "+text+" is not executed", func(t *testing.T) {
			limited(t, func(b *bench) {
				b.limits.retry = 36*time.Millisecond + 1
				c := b.session("STARTUP kept " + firstKey)
				begun := time.Now()
				outcome, detail := c.askDetail(text)
				if outcome != "BUSY I" || !strings.HasSuffix(detail, "; retry after 37 ms") {
					t.Errorf("got %q %q", outcome, detail)
				}
				if took := time.Since(begun); took != 0 {
					t.Errorf("refusal took %s", took)
				}
				wantAsked(b, 1)
				if ran := b.database.orders(); ran != "" {
					t.Errorf("target ran %s", ran)
				}
				_ = c.conn.Close()
			})
		})
	}
}

// TestKeysStaySecret guards against keys in logs and metrics.
func TestKeysStaySecret(t *testing.T) {
	run(t, configuration(1, both), func(b *bench) {
		_ = b.session("STARTUP kept " + otherKey).conn.Close()
		for _, startup := range []string{"STARTUP kept " + firstKey + "x", "STARTUP  " + firstKey, "startup kept " + firstKey, "STARTUP " + firstKey, "STARTUP new " + firstKey} {
			c, _ := b.connect(startup)
			_ = c.conn.Close()
		}
		c := b.session("STARTUP kept " + firstKey)
		c.want("WRITE bar 1", "done I")
		b.put(configuration(2, withoutFirst))
		c.wantClosed(time.Second)
		synctest.Wait()
		families, err := b.registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		b.lock.Lock()
		defer b.lock.Unlock()
		text := b.log.String() + fmt.Sprint(families)
		for _, key := range []string{firstKey, otherKey} {
			if strings.Contains(text, key) {
				t.Errorf("key %s is in the log or the metrics", key)
			}
		}
		if !strings.Contains(b.log.String(), "key was revoked") {
			t.Error("end of the sessions was not logged")
		}
	})
}
