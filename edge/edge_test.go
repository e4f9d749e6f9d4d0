package edge_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/catalog"
	"amaranthsill/clock"
	"amaranthsill/customer"
	"amaranthsill/edge"
	"amaranthsill/front"
	"amaranthsill/internal/site"
	"amaranthsill/platform"
	"amaranthsill/pool"
	"amaranthsill/query"
)

func TestEdge(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "edge")
}

// zones are the zones of the test sites.
var zones = []string{"quetzaltenango", "guatemala", "coban"}

// recoveryTimeout is the time within which callers must be served again after a
// failure.
const recoveryTimeout = 7 * time.Second

// cleanups is held during calls of ginkgo.DeferCleanup, which is not safe for concurrent use.
var cleanups sync.Mutex

// deferCleanup is ginkgo.DeferCleanup for parts of a spec that run side by side.
func deferCleanup(cleanup func()) {
	cleanups.Lock()
	defer cleanups.Unlock()
	ginkgo.DeferCleanup(cleanup)
}

// sideBySide runs parts of a spec that mostly wait, by name, and returns once all have ended.
func sideBySide(parts map[string]func()) {
	wait := sync.WaitGroup{}
	for name, run := range parts {
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			done := false
			defer func() {
				if !done {
					ginkgo.GinkgoWriter.Println("failed:", name)
				}
			}()
			run()
			done = true
		})
	}
	wait.Wait()
}

// fixture is a simulated platform with some VMs in front of its targets.
type fixture struct {
	site  *site.Site
	zones []string
	vms   []*vm
	begun time.Time
	// grace is how long a VM may take to stop; zero means two seconds.
	grace time.Duration
	// customers are added to the configuration that the VMs decode; nil for none.
	customers *customer.Set
}

// vm is one running VM with its own connection to the store.
type vm struct {
	callers string
	ready   string
	metrics string
	// storeCut makes every call of this VM to the store fail.
	storeCut atomic.Bool
	// blocked is the ID of a target that only this VM cannot reach.
	blocked atomic.Value
	// stop begins the graceful stop; ended is closed when Run has returned.
	stop  context.CancelFunc
	ended chan struct{}
	// exit closes the connections to callers and targets, as the end of the process does.
	exit closers
}

// closers are the connections that the end of a process closes.
type closers struct {
	lock  sync.Mutex
	list  []func()
	ended bool
}

// add adds a connection, which is closed at once if the process has ended.
func (c *closers) add(closeConnection func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.ended {
		closeConnection()
	}
	c.list = append(c.list, closeConnection)
}

func (c *closers) closeAll() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ended = true
	// Those to callers come last in the list: no answer that the end causes reaches them.
	for _, closeConnection := range slices.Backward(c.list) {
		closeConnection()
	}
}

// openFixture starts a platform and as many VMs, and waits until all are ready.
func openFixture(options site.Options, vms int) *fixture {
	return openFixtureWith(options, vms, nil)
}

// openFixtureWith is like openFixture for a deployment with customers.
func openFixtureWith(options site.Options, vms int, customers *customer.Set) *fixture {
	f := openSite(options)
	f.customers = customers
	f.startAll(vms, true)
	return f
}

// openSite starts a platform without VMs.
func openSite(options site.Options) *fixture {
	s, err := site.Open(options)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f := &fixture{site: s, zones: options.Zones, begun: time.Now()}
	deferCleanup(f.close)
	return f
}

// startAll starts VMs, and waits until they are ready. First reports that this is the first
// start of the whole system.
func (f *fixture) startAll(vms int, first bool) {
	for i := range vms {
		f.start(fmt.Sprintf("vm-%d", i), f.zones[i%len(f.zones)], first)
	}
	for _, v := range f.vms {
		gomega.Eventually(v.isReady, recoveryTimeout, "20ms").Should(gomega.BeTrue())
	}
}

// stopAll stops all VMs.
func (f *fixture) stopAll() {
	for _, v := range f.vms {
		v.stop()
	}
	for _, v := range f.vms {
		<-v.ended
	}
	f.vms = nil
}

func (f *fixture) close() {
	f.stopAll()
	f.site.Close()
}

// start runs a VM on a free address. Its calls to the store pass a proxy of its
// own, which fails them while storeCut is set.
func (f *fixture) start(name, zone string, first bool) *vm {
	return f.startAt(site.FreeAddress(), name, zone, first)
}

// startAt runs a VM that accepts callers at the given address.
func (f *fixture) startAt(callers, name, zone string, first bool) *vm {
	v := &vm{callers: callers, ready: site.FreeAddress(), metrics: site.FreeAddress(), ended: make(chan struct{})}
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if v.storeCut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.site.Store.ServeHTTP(w, q)
	}))
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "ready": %q, "peers": %q, "metrics": %q, "relay": %q,
		"store": %q, "duty": %q, "memory": 512, "grace": %q, "first": %t}`,
		name, zone, v.callers, v.ready, site.FreeAddress(), v.metrics, site.FreeAddress(), gate.Listener.Addr(), f.site.Address, cmp.Or(f.grace, 2*time.Second).String(), first)
	settings, err := edge.ParseSettings("vm.json", []byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	f.vms = append(f.vms, v)
	adapter := platform.NewAdapter(settings, logr.Discard())
	adapter.Dialer = partialDialer{Dialer: adapter.Dialer, vm: v}
	decode := adapter.DecodeConfiguration
	adapter.DecodeConfiguration = func(text []byte) (*catalog.Configuration, error) {
		c, err := decode(text)
		if err == nil && f.customers != nil {
			c.Customers = f.customers
		}
		return c, err
	}
	newCallerConn := adapter.NewCallerConn
	adapter.NewCallerConn = func(c net.Conn) front.CallerConn {
		v.exit.add(func() { _ = c.Close() })
		return newCallerConn(c)
	}
	e := &edge.VM{Settings: settings, Adapter: adapter, Now: clock.SinceBoot, Log: logr.FromSlogHandler(slog.NewTextHandler(ginkgo.GinkgoWriter, nil))}
	go func() {
		defer ginkgo.GinkgoRecover()
		defer close(v.ended)
		defer gate.CloseClientConnections()
		defer v.exit.closeAll()
		gomega.Expect(e.Run(ctx)).To(gomega.Succeed())
	}()
	return v
}

func (v *vm) isReady() bool {
	a, err := http.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// awaitLeaderOtherThan waits until another target leads the group.
func (f *fixture) awaitLeaderOtherThan(old *site.Server) {
	gomega.Eventually(func() bool {
		l := f.site.Leader("choir")
		return l != nil && l != old
	}, 2*recoveryTimeout, "20ms").Should(gomega.BeTrue())
}

// partialDialer fails to reach the target that its VM has blocked.
type partialDialer struct {
	pool.Dialer
	vm *vm
}

func (d partialDialer) Dial(ctx context.Context, t pool.Target, customer string) (pool.Link, query.Position, error) {
	if d.vm.blocked.Load() == t.ID {
		return nil, query.Position{}, context.DeadlineExceeded
	}
	l, p, err := d.Dialer.Dial(ctx, t, customer)
	if err == nil {
		d.vm.exit.add(l.Close)
	}
	return l, p, err
}

// caller is a session of a caller.
type caller struct {
	conn    net.Conn
	reader  *bufio.Reader
	queries int
	name    string
}

var callerCount atomic.Int64

// connect opens a session for a database.
func (v *vm) connect(database string) (*caller, error) { return v.connectAs(database, "") }

// connectAs opens a session for a database with a key; an empty one means that the
// caller's name is sent instead.
func (v *vm) connectAs(database, key string) (*caller, error) {
	conn, err := net.DialTimeout("tcp4", v.callers, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to VM: %w", err)
	}
	c := &caller{conn: conn, reader: bufio.NewReader(conn), name: fmt.Sprintf("c%d", callerCount.Add(1))}
	if key == "" {
		key = c.name
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		return nil, fmt.Errorf("start session: %w", err)
	}
	line, err := c.line()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		return nil, fmt.Errorf("session starts with %q: %w", line, net.ErrClosed)
	}
	return c, nil
}

// session opens a session that is closed when the test ends.
func (v *vm) session(database string) *caller {
	c, err := v.connect(database)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	deferCleanup(func() { _ = c.conn.Close() })
	return c
}

// line reads one line of an answer.
func (c *caller) line() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(recoveryTimeout)); err != nil {
		return "", fmt.Errorf("set deadline: %w", err)
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read answer: %w", err)
	}
	return strings.TrimRight(line, "\r\n"), nil
}

// answer is the complete answer to a query.
type answer struct {
	id      string
	rows    []string
	receipt string
	code    string
	state   string
}

// ask sends a query and returns its complete answer.
func (c *caller) ask(text string) (answer, error) {
	c.queries++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.queries)}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return a, fmt.Errorf("send query: %w", err)
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.receipt = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// must sends a query that has to succeed, and returns its answer.
func (c *caller) must(text string) answer {
	a, err := c.ask(text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(a.code).To(gomega.BeEmpty(), text)
	return a
}

// retry repeats a query until it succeeds, and returns the answer.
func (c *caller) retry(text string) answer { return c.retryFor(text, recoveryTimeout) }

// retryFor is like retry with another limit.
func (c *caller) retryFor(text string, limit time.Duration) answer {
	var a answer
	gomega.Eventually(func() string {
		var err error
		a, err = c.ask(text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return a.code
	}, limit, "20ms").Should(gomega.BeEmpty())
	return a
}

var threeZones = site.Options{Groups: []string{"choir"}, Zones: zones, Lag: 10 * time.Millisecond, StatementDelay: time.Millisecond}

var _ = ginkgo.Describe("A fleet without failures", func() {
	ginkgo.It("returns to a session its own writes, and on every VM all acknowledged writes", func() {
		f := openFixture(threeZones, 3)
		own := f.vms[1].session("choir-own")
		current := f.vms[2].session("choir-current")
		for i := range 20 {
			value := fmt.Sprintf("v%d", i)
			own.must("WRITE bar " + value)
			gomega.Expect(own.must("READ bar").rows).To(gomega.Equal([]string{value}))
			gomega.Expect(current.must("READ bar").rows).To(gomega.Equal([]string{value}))
		}
	})

	ginkgo.It("isolates the transactions, variables and prepared statements of sessions", func() {
		f := openFixture(threeZones, 1)
		one, two := f.vms[0].session("choir-own"), f.vms[0].session("choir-own")
		one.must("SET zone utc")
		one.must("PREPARE s READ q1")
		two.must("PREPARE s WRITE q2")
		two.must("EXECUTE s bar 12")
		gomega.Expect(one.must("EXECUTE s bar").receipt).To(gomega.HaveSuffix(":zone=utc"))
		gomega.Expect(two.must("READ bar").receipt).To(gomega.HaveSuffix(":"))
		one.must("BEGIN")
		one.must("WRITE bar 13")
		gomega.Expect(two.must("READ bar").rows).To(gomega.Equal([]string{"12"}))
		gomega.Expect(one.must("READ bar").rows).To(gomega.Equal([]string{"13"}))
		one.must("ROLLBACK")
		gomega.Expect(one.must("READ bar").rows).To(gomega.Equal([]string{"12"}))
	})

	ginkgo.It("rolls back transactions of disconnected callers and transactions that are idle for too long", func() {
		f := openFixture(threeZones, 1)
		disconnected, idle, other := f.vms[0].session("choir-own"), f.vms[0].session("choir-own"), f.vms[0].session("choir-own")
		disconnected.must("BEGIN")
		uncommitted := disconnected.must("WRITE bar 1")
		_ = disconnected.conn.Close()
		idle.must("BEGIN")
		idle.must("WRITE bar 2")
		time.Sleep(1500 * time.Millisecond)
		a, err := idle.ask("READ bar")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.Equal("ABORTED"))
		gomega.Expect(a.state).To(gomega.Equal("E"))
		idle.must("ROLLBACK")
		gomega.Expect(other.must("READ bar").rows).To(gomega.Equal([]string{"none"}))
		gomega.Expect(f.site.Leader("choir").HasEntry(uncommitted.id)).To(gomega.BeFalse())
	})

	ginkgo.It("accepts no callers on a VM that has not read the store", func() {
		f := openFixture(threeZones, 1)
		f.site.Store.SetDown(true)
		v := f.start("vm-late", zones[1], false)
		gomega.Consistently(func() error {
			_, err := v.connect("choir-own")
			return err
		}, "600ms", "50ms").ShouldNot(gomega.Succeed())
		f.site.Store.SetDown(false)
		gomega.Eventually(v.isReady, recoveryTimeout, "20ms").Should(gomega.BeTrue())
		v.session("choir-own").must("WRITE bar 1")
	})

	ginkgo.It("waits for a caller address that is still in use", func() {
		f := openFixture(threeZones, 1)
		address := site.FreeAddress()
		taken, err := net.Listen("tcp4", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		v := f.startAt(address, "vm-late", zones[1], false)
		gomega.Consistently(v.isReady, "700ms", "50ms").Should(gomega.BeFalse())
		gomega.Expect(taken.Close()).To(gomega.Succeed())
		gomega.Eventually(v.isReady, recoveryTimeout, "20ms").Should(gomega.BeTrue())
	})

	ginkgo.It("stops a VM without interrupting a request", func() {
		f := openFixture(threeZones, 2)
		busy := f.vms[0].session("choir-own")
		idle := f.vms[0].session("choir-own")
		idle.must("WRITE bar 0")
		f.vms[0].stop()
		for i := range 10 {
			if a, err := busy.ask(fmt.Sprintf("WRITE bar %d", i)); err != nil {
				// The VM ends sessions between two operations, so a query without an
				// answer must not have run.
				gomega.Expect(i).To(gomega.BeNumerically(">", 0))
				for _, s := range f.site.Servers("choir") {
					gomega.Expect(s.Runs(a.id)).To(gomega.BeZero())
				}
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		gomega.Eventually(f.vms[0].ended, "4s").Should(gomega.BeClosed())
		_, err := idle.line()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

var _ = ginkgo.Describe("A failing store", func() {
	ginkgo.It("does not stop writes through a VM whose calls it refuses", func() {
		f := openFixture(threeZones, 3)
		f.vms[1].storeCut.Store(true)
		c := f.vms[1].session("choir-own")
		for range 25 {
			c.must("WRITE bar 1")
			time.Sleep(100 * time.Millisecond)
		}
	})

	ginkgo.It("may be away for some seconds for all VMs while one VM stops", func() {
		f := openFixture(threeZones, 4)
		f.site.Store.SetDown(true)
		f.vms[3].stop()
		c := f.vms[1].session("choir-own")
		for range 40 {
			c.must("WRITE bar 1")
			time.Sleep(100 * time.Millisecond)
		}
	})

	ginkgo.It("puts a configuration in force within 4 s after it dropped watches and history", func() {
		f := openFixture(threeZones, 2)
		f.site.Store.SetWatchesPaused(true)
		f.site.Configure([]site.Route{{
			"name": "new", "host": "new", "kind": "read_your_writes", "service": "choir",
			"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
		}})
		f.site.Store.Compact()
		f.site.Store.SetWatchesPaused(false)
		for _, v := range f.vms {
			gomega.Eventually(func() error {
				_, err := v.connect("new")
				return err
			}, "4s", "50ms").Should(gomega.Succeed())
		}
	})

	ginkgo.It("has a configuration in force within 4 s on a VM that reaches it, although those that it follows do not", func() {
		// In a zone of five, vm-0 and vm-3 rank behind the VMs that call the store for
		// the zone. Those that are cut off confirm the leader record among themselves.
		oneZone := threeZones
		oneZone.Zones = zones[:1]
		f := openFixture(oneZone, 5)
		for _, v := range f.vms[1:] {
			v.storeCut.Store(true)
		}
		time.Sleep(time.Second)
		f.site.Configure([]site.Route{{
			"name": "new", "host": "new", "kind": "read_your_writes", "service": "choir",
			"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
		}})
		gomega.Eventually(func() error {
			_, err := f.vms[0].connect("new")
			return err
		}, "4s", "50ms").Should(gomega.Succeed())
	})

	ginkgo.It("may hold entries that cannot be decoded", func() {
		f := openFixture(threeZones, 1)
		f.site.Store.PutBytes("servers/stranger", []byte("\x00\xff{"))
		f.site.Store.PutBytes("servers/other", []byte(`{"service": 7}`))
		f.site.Store.PutBytes("amaranthsill/vms/nobody", []byte("[]"))
		f.site.Store.PutBytes("op/other", []byte("{"))
		time.Sleep(300 * time.Millisecond)
		f.vms[0].session("choir-own").must("WRITE bar 1")
	})
})

var _ = ginkgo.Describe("The loss of a target's answer", func() {
	ginkgo.It("reports a write as in doubt at once, and runs a read on another target", func() {
		f := openFixture(threeZones, 1)
		c := f.vms[0].session("choir-own")
		c.must("WRITE bar 1")
		f.site.Leader("choir").DropAnswers(1)
		a, err := c.ask("WRITE bar 2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.Equal("INDOUBT"))
		gomega.Expect(f.site.Leader("choir").Runs(a.id)).To(gomega.Equal(1))
		for _, s := range f.site.Servers("choir") {
			s.DropAnswers(1)
		}
		gomega.Expect(f.vms[0].session("choir-bounded").retry("READ bar").code).To(gomega.BeEmpty())
	})

	ginkgo.It("is not reported as a read that did not run", func() {
		f := openFixture(threeZones, 1)
		c := f.vms[0].session("choir-own")
		c.must("WRITE bar 1")
		for _, s := range f.site.Servers("choir") {
			s.DropAnswers(100)
		}
		a, err := c.ask("READ bar")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.Equal("ABORTED"))
	})
})

var _ = ginkgo.Describe("Metrics", func() {
	ginkgo.It("report the configuration, the leader record, the VMs and each group's load", func() {
		f := openFixture(threeZones, 2)
		// A VM can serve before it knows the others; a change in the store reaches
		// it within recoveryTimeout.
		gomega.Eventually(f.vms[0].readMetrics, recoveryTimeout, "20ms").Should(gomega.ContainSubstring("amaranthsill_vms 2"))
		f.vms[0].session("choir-own").must("WRITE bar 1")
		text := f.vms[0].readMetrics()
		for _, line := range []string{
			"amaranthsill_configuration_version 3", "amaranthsill_vms 2", "amaranthsill_record_age_seconds 0.",
			`amaranthsill_waiting_statements{group="choir"} 0`, `amaranthsill_target_connections{group="choir",use="idle"}`,
			`amaranthsill_statements_total{outcome="done",route="choir-own"} 1`,
		} {
			gomega.Expect(text).To(gomega.ContainSubstring(line))
		}
	})
})

// readMetrics returns the VM's metrics as text.
func (v *vm) readMetrics() string {
	a, err := http.Get("http://" + v.metrics + "/metrics")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(text)
}
