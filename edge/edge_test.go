package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/edge"
	"amaranthsill/internal/site"
	"amaranthsill/platform"
	"amaranthsill/pool"
	"amaranthsill/query"
)

func TestEdge(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "edge")
}

// zones are those of the users' sites.
var zones = []string{"quetzaltenango", "guatemala", "coban"}

// patience is how long a test waits for what the users expect within 7 s.
const patience = 7 * time.Second

// fixture is a site with some VMs in front of it.
type fixture struct {
	site  *site.Site
	vms   []*vm
	begun time.Time
}

// vm is one running VM and its own way to the store.
type vm struct {
	callers string
	ready   string
	metrics string
	cut     atomic.Bool
	// blocked is the ID of a target that this VM alone does not reach.
	blocked atomic.Value
	stop    context.CancelFunc
	ended   chan struct{}
}

func open(shape site.Shape, vms int) *fixture {
	s, err := site.Open(shape)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f := &fixture{site: s, begun: time.Now()}
	ginkgo.DeferCleanup(f.close)
	for i := range vms {
		f.start(fmt.Sprintf("vm-%d", i), shape.Zones[i%len(shape.Zones)], true)
	}
	for _, v := range f.vms {
		gomega.Eventually(v.isReady, patience, "20ms").Should(gomega.BeTrue())
	}
	return f
}

func (f *fixture) close() {
	for _, v := range f.vms {
		v.stop()
	}
	for _, v := range f.vms {
		<-v.ended
	}
	f.site.Close()
}

// start runs a VM whose calls to the store pass a gate of its own.
func (f *fixture) start(name, zone string, first bool) *vm {
	return f.startAt(site.FreeAddress(), name, zone, first)
}

// startAt runs a VM whose callers come to the given address.
func (f *fixture) startAt(callers, name, zone string, first bool) *vm {
	v := &vm{callers: callers, ready: site.FreeAddress(), metrics: site.FreeAddress(), ended: make(chan struct{})}
	gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if v.cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.site.Store.ServeHTTP(w, q)
	}))
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "ready": %q, "peers": %q, "metrics": %q, "relay": %q,
		"store": %q, "duty": %q, "memory": 512, "grace": "2s", "first": %t}`,
		name, zone, v.callers, v.ready, site.FreeAddress(), v.metrics, site.FreeAddress(), gate.Listener.Addr(), f.site.Address, first)
	settings, err := edge.ParseSettings("vm.json", []byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	f.vms = append(f.vms, v)
	adapter := platform.NewAdapter(settings)
	adapter.Dialer = blind{Dialer: adapter.Dialer, vm: v}
	e := &edge.VM{Settings: settings, Adapter: adapter, Now: clock.Boot, Log: logr.FromSlogHandler(slog.NewTextHandler(ginkgo.GinkgoWriter, nil))}
	go func() {
		defer ginkgo.GinkgoRecover()
		defer close(v.ended)
		defer gate.CloseClientConnections()
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

// awaitLeaderOtherThan waits until another server leads the group.
func (f *fixture) awaitLeaderOtherThan(old *site.Server) {
	gomega.Eventually(func() bool {
		l := f.site.Leader("choir")
		return l != nil && l != old
	}, 2*patience, "20ms").Should(gomega.BeTrue())
}

// blind does not reach one target.
type blind struct {
	pool.Dialer
	vm *vm
}

func (b blind) Dial(ctx context.Context, t pool.Target) (pool.Link, query.Position, error) {
	if b.vm.blocked.Load() == t.ID {
		return nil, query.Position{}, context.DeadlineExceeded
	}
	return b.Dialer.Dial(ctx, t)
}

// caller is a caller's session.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	count  int
	name   string
}

var callers atomic.Int64

func (v *vm) connect(database string) (*caller, error) {
	conn, err := net.DialTimeout("tcp4", v.callers, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to VM: %w", err)
	}
	c := &caller{conn: conn, reader: bufio.NewReader(conn), name: fmt.Sprintf("c%d", callers.Add(1))}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, c.name); err != nil {
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

func (v *vm) session(database string) *caller {
	c, err := v.connect(database)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.conn.Close() })
	return c
}

func (c *caller) line() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return "", fmt.Errorf("set deadline: %w", err)
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read answer: %w", err)
	}
	return strings.TrimRight(line, "\r\n"), nil
}

// answer is a whole answer.
type answer struct {
	id    string
	rows  []string
	proof string
	code  string
	state string
}

// ask sends a query and returns the whole answer.
func (c *caller) ask(text string) (answer, error) {
	c.count++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.count)}
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
			a.proof = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *caller) must(text string) answer {
	a, err := c.ask(text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(a.code).To(gomega.BeEmpty(), text)
	return a
}

// until repeats a query until it succeeds, and returns its answer.
func (c *caller) until(text string) answer {
	var a answer
	gomega.Eventually(func() string {
		var err error
		a, err = c.ask(text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return a.code
	}, patience, "20ms").Should(gomega.BeEmpty())
	return a
}

var shape = site.Shape{Groups: []string{"choir"}, Zones: zones, Lag: 10 * time.Millisecond, Work: time.Millisecond}

var _ = ginkgo.Describe("A calm fleet", func() {
	ginkgo.It("shows a session what it wrote, and every VM what was acknowledged", func() {
		f := open(shape, 3)
		own := f.vms[1].session("choir-own")
		current := f.vms[2].session("choir-current")
		for i := range 20 {
			value := fmt.Sprintf("v%d", i)
			own.must("WRITE bar " + value)
			gomega.Expect(own.must("READ bar").rows).To(gomega.Equal([]string{value}))
			gomega.Expect(current.must("READ bar").rows).To(gomega.Equal([]string{value}))
		}
	})

	ginkgo.It("keeps transactions, values and names of sessions apart", func() {
		f := open(shape, 1)
		one, two := f.vms[0].session("choir-own"), f.vms[0].session("choir-own")
		one.must("SET zone utc")
		one.must("PREPARE s READ q1")
		two.must("PREPARE s WRITE q2")
		two.must("EXECUTE s bar 12")
		gomega.Expect(one.must("EXECUTE s bar").proof).To(gomega.HaveSuffix(":zone=utc"))
		gomega.Expect(two.must("READ bar").proof).To(gomega.HaveSuffix(":"))
		one.must("BEGIN")
		one.must("WRITE bar 13")
		gomega.Expect(two.must("READ bar").rows).To(gomega.Equal([]string{"12"}))
		gomega.Expect(one.must("READ bar").rows).To(gomega.Equal([]string{"13"}))
		one.must("ROLLBACK")
		gomega.Expect(one.must("READ bar").rows).To(gomega.Equal([]string{"12"}))
	})

	ginkgo.It("rolls back what a caller leaves open, and what is idle for too long", func() {
		f := open(shape, 1)
		gone, idle, other := f.vms[0].session("choir-own"), f.vms[0].session("choir-own"), f.vms[0].session("choir-own")
		gone.must("BEGIN")
		left := gone.must("WRITE bar 1")
		_ = gone.conn.Close()
		idle.must("BEGIN")
		idle.must("WRITE bar 2")
		time.Sleep(1500 * time.Millisecond)
		a, err := idle.ask("READ bar")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.Equal("ABORTED"))
		gomega.Expect(a.state).To(gomega.Equal("E"))
		idle.must("ROLLBACK")
		gomega.Expect(other.must("READ bar").rows).To(gomega.Equal([]string{"none"}))
		gomega.Expect(f.site.Leader("choir").Has(left.id)).To(gomega.BeFalse())
	})

	ginkgo.It("accepts nobody before it knows what it serves", func() {
		f := open(shape, 1)
		f.site.Store.SetDown(true)
		v := f.start("vm-late", zones[1], false)
		gomega.Consistently(func() error {
			_, err := v.connect("choir-own")
			return err
		}, "600ms", "50ms").ShouldNot(gomega.Succeed())
		f.site.Store.SetDown(false)
		gomega.Eventually(v.isReady, patience, "20ms").Should(gomega.BeTrue())
		v.session("choir-own").must("WRITE bar 1")
	})

	ginkgo.It("waits for an address that is still taken", func() {
		f := open(shape, 1)
		address := site.FreeAddress()
		taken, err := net.Listen("tcp4", address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		v := f.startAt(address, "vm-late", zones[1], false)
		gomega.Consistently(v.isReady, "700ms", "50ms").Should(gomega.BeFalse())
		gomega.Expect(taken.Close()).To(gomega.Succeed())
		gomega.Eventually(v.isReady, patience, "20ms").Should(gomega.BeTrue())
	})

	ginkgo.It("stops without cutting a request", func() {
		f := open(shape, 2)
		busy := f.vms[0].session("choir-own")
		idle := f.vms[0].session("choir-own")
		idle.must("WRITE bar 0")
		f.vms[0].stop()
		for i := range 10 {
			if a, err := busy.ask(fmt.Sprintf("WRITE bar %d", i)); err != nil {
				// A session ends between two operations: what was not answered
				// did not run.
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

var _ = ginkgo.Describe("A store in trouble", func() {
	ginkgo.It("keeps no write from a VM that it refuses", func() {
		f := open(shape, 3)
		f.vms[1].cut.Store(true)
		c := f.vms[1].session("choir-own")
		for range 25 {
			c.must("WRITE bar 1")
			time.Sleep(100 * time.Millisecond)
		}
	})

	ginkgo.It("may be away for all, with one VM lost, for some seconds", func() {
		f := open(shape, 4)
		f.site.Store.SetDown(true)
		f.vms[3].stop()
		c := f.vms[1].session("choir-own")
		for range 40 {
			c.must("WRITE bar 1")
			time.Sleep(100 * time.Millisecond)
		}
	})

	ginkgo.It("puts a configuration in force within 4 s though it drops watches and history", func() {
		f := open(shape, 2)
		f.site.Store.SetDeaf(true)
		f.site.Configure([]site.Route{{
			"name": "new", "host": "new", "kind": "read_your_writes", "service": "choir",
			"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
		}})
		f.site.Store.Compact()
		f.site.Store.SetDeaf(false)
		for _, v := range f.vms {
			gomega.Eventually(func() error {
				_, err := v.connect("new")
				return err
			}, "4s", "50ms").Should(gomega.Succeed())
		}
	})

	ginkgo.It("may hold entries that nobody can read", func() {
		f := open(shape, 1)
		f.site.Store.PutBytes("servers/stranger", []byte("\x00\xff{"))
		f.site.Store.PutBytes("servers/other", []byte(`{"service": 7}`))
		f.site.Store.PutBytes("amaranthsill/vms/nobody", []byte("[]"))
		f.site.Store.PutBytes("op/other", []byte("{"))
		time.Sleep(300 * time.Millisecond)
		f.vms[0].session("choir-own").must("WRITE bar 1")
	})
})

var _ = ginkgo.Describe("A target's answer that is lost", func() {
	ginkgo.It("leaves a write in doubt at once, and a read is run elsewhere", func() {
		f := open(shape, 1)
		c := f.vms[0].session("choir-own")
		c.must("WRITE bar 1")
		f.site.Leader("choir").Mute(1)
		a, err := c.ask("WRITE bar 2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.Equal("INDOUBT"))
		gomega.Expect(f.site.Leader("choir").Runs(a.id)).To(gomega.Equal(1))
		for _, s := range f.site.Servers("choir") {
			s.Mute(1)
		}
		gomega.Expect(f.vms[0].session("choir-bounded").until("READ bar").code).To(gomega.BeEmpty())
	})

	ginkgo.It("is never called a read that did not run", func() {
		f := open(shape, 1)
		c := f.vms[0].session("choir-own")
		c.must("WRITE bar 1")
		for _, s := range f.site.Servers("choir") {
			s.Mute(100)
		}
		a, err := c.ask("READ bar")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.code).To(gomega.Equal("ABORTED"))
	})
})

var _ = ginkgo.Describe("Metrics", func() {
	ginkgo.It("show the configuration, the record, the VMs and each group's load", func() {
		f := open(shape, 2)
		f.vms[0].session("choir-own").must("WRITE bar 1")
		a, err := http.Get("http://" + f.vms[0].metrics + "/metrics")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = a.Body.Close() }()
		text, err := io.ReadAll(a.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, line := range []string{
			"amaranthsill_configuration_version 3", "amaranthsill_vms 2", "amaranthsill_record_age_seconds 0.",
			`amaranthsill_waiting_statements{group="choir"} 0`, `amaranthsill_target_connections{group="choir",use="idle"}`,
			`amaranthsill_statements_total{outcome="done",route="choir-own"} 1`,
		} {
			gomega.Expect(string(text)).To(gomega.ContainSubstring(line))
		}
	})
})
