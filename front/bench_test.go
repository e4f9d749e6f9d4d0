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

func (certainLeaders) Leadership(string, string) (pool.Leadership, bool) { return 1, true }

func (certainLeaders) AwaitLeadership(context.Context, string, pool.Leadership, time.Duration) error {
	return nil
}

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

// bench is a server of sessions in front of the targets of one group, on the clock of
// the test's bubble.
type bench struct {
	*front.Server
	t        *testing.T
	group    *pool.Group
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
// Its only target is certain to lead.
func run(t *testing.T, c *catalog.Configuration, test func(*bench)) {
	d := &database{}
	runOn(t, c, d, func(b *bench) {
		b.database, b.Leaders = d, certainLeaders{}
		b.group.Configure([]pool.Target{{ID: "a", Group: "choir", Zone: "coban", Slots: 4, Role: pool.RolePrimary}}, 9)
		b.group.SetLeader("a")
		test(b)
	})
}

// runOn starts a server like run, but leaves it to the test to set the leaders, and to
// configure the targets, before the first session.
func runOn(t *testing.T, c *catalog.Configuration, d pool.Dialer, test func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		b := &bench{t: t, limits: &limiter{}, registry: prometheus.NewRegistry(), listener: &pipes{accepted: make(chan net.Conn)}}
		b.current.Store(true)
		log := funcr.New(func(prefix, args string) {
			b.lock.Lock()
			defer b.lock.Unlock()
			b.log.WriteString(prefix + args + "\n")
		}, funcr.Options{Verbosity: 9})
		now := func() time.Duration { return time.Since(begun) }
		b.group = &pool.Group{Name: "choir", Zone: "coban", Dialer: d, Now: now, Log: log}
		b.Server = &front.Server{
			Catalog: &catalog.Catalog{}, Limits: b.limits, Current: b.current.Load, Now: now,
			Group:         func(string) (*pool.Group, bool) { return b.group, true },
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

// transactionTime is how long a transaction may go on after its key was revoked.
const transactionTime = 2 * time.Second

// put puts a configuration in force, as the directory does.
func (b *bench) put(c *catalog.Configuration) {
	synctest.Wait()
	if !b.Catalog.Update(c) {
		b.t.Fatalf("version %d was not put in force", c.Version)
	}
	b.ConfigurationChanged(transactionTime)
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
