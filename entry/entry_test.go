package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthsill/entry"
	"amaranthsill/internal/standin"
	"amaranthsill/platform"
	"amaranthsill/submission"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

const kinds = `[
	{"name": "tracks", "access": "read", "age": "2s"},
	{"name": "lookup", "access": "read"},
	{"name": "marks", "access": "write", "repeat": true, "timeout": "60s"},
	{"name": "payment", "access": "write", "timeout": "60s"}
]`

// fixture is a site with VMs.
type fixture struct {
	site *standin.Site
	vms  []*running
}

// running is a VM and how to stop it.
type running struct {
	callers string
	admin   string
	stop    context.CancelFunc
	ended   chan error
}

func start(ctx context.Context, vms int) *fixture {
	f := &fixture{site: &standin.Site{
		Groups:      []string{"choir", "dues"},
		Zones:       []string{"quetzaltenango", "guatemala", "coban"},
		Connections: 40,
		Kinds:       kinds,
	}}
	Expect(f.site.Start(ctx)).To(Succeed())
	s := &submission.Submission{Store: &platform.Client{Address: f.site.PlatformAddress}, Text: []byte(f.site.Manifest())}
	outcome, err := s.Run(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome).To(Equal(submission.Accepted{Version: 1, Current: 1}))
	for i := range vms {
		f.startVM(ctx, i)
	}
	for i := range vms {
		f.await(ctx, i)
	}
	return f
}

func (f *fixture) startVM(ctx context.Context, i int) {
	addresses := []any{}
	for range 3 {
		a, err := standin.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, a)
	}
	name := fmt.Sprintf("vm-%d", i)
	zone := f.site.Zones[i%len(f.site.Zones)]
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "peers": %q, "admin": %q, "platform": %q}`,
		append(append([]any{name, zone}, addresses...), f.site.PlatformAddress)...)
	settings, err := entry.ParseSettings("vm.json", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	body := fmt.Sprintf(`{"zone": %q, "address": %q}`, zone, addresses[1])
	put(ctx, f.site.PlatformAddress, "/v1/vms/"+name, body)
	ctx, stop := context.WithCancel(ctx)
	r := &running{callers: addresses[0].(string), admin: addresses[2].(string), stop: stop, ended: make(chan error, 1)}
	vm := &entry.VM{Settings: settings, Log: logr.Discard()}
	go func() { r.ended <- vm.Run(ctx) }()
	f.vms = append(f.vms, r)
}

func put(ctx context.Context, address, path, body string) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	a, err := http.DefaultClient.Do(q)
	Expect(err).NotTo(HaveOccurred())
	Expect(a.Body.Close()).To(Succeed())
}

// await waits until a VM acknowledges a write in each group.
func (f *fixture) await(ctx context.Context, i int) {
	for _, g := range f.site.Groups {
		for ctx.Err() == nil {
			if c, err := f.connect(ctx, i, g, ""); err == nil {
				_, err := c.Exec(ctx, "/* kind=marks */ insert into marks (key, value) values ('start', 'x') on conflict (key) do update set value = excluded.value")
				_ = c.Close(ctx)
				if err == nil {
					break
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (f *fixture) connect(ctx context.Context, i int, group, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://me@" + f.vms[i].callers + "/" + group + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	if token != "" {
		c.RuntimeParams["amaranthsill.session"] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

func (f *fixture) mustConnect(ctx context.Context, i int, group, token string) *pgx.Conn {
	c, err := f.connect(ctx, i, group, token)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func codeOf(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return fmt.Sprint(err)
}

func token(c *pgx.Conn) string { return c.PgConn().ParameterStatus("amaranthsill.session") }

var _ = Describe("A VM", Ordered, func() {
	var ctx context.Context
	var f *fixture
	BeforeAll(func() {
		c, stop := context.WithCancel(context.Background())
		ctx = c
		DeferCleanup(stop)
		f = start(ctx, 3)
	})

	It("lets a session see its writes through any VM", func() {
		mark := ""
		for i := range 60 {
			c := f.mustConnect(ctx, i%3, "choir", mark)
			_, err := c.Exec(ctx, "/* kind=marks */ insert into marks (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value", "own", fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			mark = token(c)
			Expect(c.Close(ctx)).To(Succeed())
			c = f.mustConnect(ctx, (i+1)%3, "choir", mark)
			for _, kind := range []string{"tracks", "lookup"} {
				value := ""
				Expect(c.QueryRow(ctx, "/* kind="+kind+" */ select value from marks where key = $1", "own").Scan(&value)).To(Succeed())
				Expect(value).To(Equal(fmt.Sprint(i)))
			}
			Expect(c.Close(ctx)).To(Succeed())
		}
	})

	It("runs a request with a key once, whichever VM gets it", func() {
		c := f.mustConnect(ctx, 0, "dues", "")
		defer func() { _ = c.Close(ctx) }()
		_, err := c.Exec(ctx, "insert into paid (key, value) values ('sum', '')")
		Expect(err).NotTo(HaveOccurred())
		var all sync.WaitGroup
		for i := range 9 {
			all.Go(func() {
				defer GinkgoRecover()
				n := f.mustConnect(ctx, i%3, "dues", "")
				defer func() { _ = n.Close(ctx) }()
				tag, err := n.Exec(ctx, "/* kind=payment key=one */ update paid set value = value || 'x' where key = 'sum'")
				Expect(err).NotTo(HaveOccurred())
				Expect(tag.RowsAffected()).To(Equal(int64(1)))
			})
		}
		all.Wait()
		sum := ""
		Expect(c.QueryRow(ctx, "/* kind=lookup */ select value from paid where key = 'sum'").Scan(&sum)).To(Succeed())
		Expect(sum).To(Equal("x"))
	})

	It("never mixes transactions", func() {
		var all sync.WaitGroup
		for i := range 12 {
			all.Go(func() {
				defer GinkgoRecover()
				c := f.mustConnect(ctx, i%3, "choir", "")
				defer func() { _ = c.Close(ctx) }()
				for n := range 10 {
					tx, err := c.Begin(ctx)
					Expect(err).NotTo(HaveOccurred())
					key := fmt.Sprintf("tx-%d-%d", i, n)
					_, err = tx.Exec(ctx, "insert into marks (key, value) values ($1, $2)", key, "a")
					Expect(err).NotTo(HaveOccurred())
					got := ""
					Expect(tx.QueryRow(ctx, "select value from marks where key = $1", key).Scan(&got)).To(Succeed())
					Expect(got).To(Equal("a"))
					if n%2 == 0 {
						Expect(tx.Commit(ctx)).To(Succeed())
						continue
					}
					Expect(tx.Rollback(ctx)).To(Succeed())
					err = c.QueryRow(ctx, "/* kind=lookup */ select value from marks where key = $1", key).Scan(&got)
					Expect(err).To(MatchError(pgx.ErrNoRows))
				}
			})
		}
		all.Wait()
	})

	It("rolls back what a vanished caller left open", func() {
		c := f.mustConnect(ctx, 0, "choir", "")
		_, err := c.Exec(ctx, "begin")
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Exec(ctx, "insert into marks (key, value) values ('left', 'open')")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.PgConn().Conn().Close()).To(Succeed())
		n := f.mustConnect(ctx, 0, "choir", "")
		defer func() { _ = n.Close(ctx) }()
		for range 20 {
			got := ""
			err = n.QueryRow(ctx, "/* kind=lookup */ select value from marks where key = 'left'").Scan(&got)
			Expect(err).To(MatchError(pgx.ErrNoRows))
		}
	})

	It("answers a commit after a failed statement with a rollback", func() {
		c := f.mustConnect(ctx, 0, "choir", "")
		defer func() { _ = c.Close(ctx) }()
		tx, err := c.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert into marks (key, value) values ('half', 'x')")
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "listen nothing")
		Expect(codeOf(err)).To(Equal("0A000"))
		Expect(tx.Commit(ctx)).To(MatchError(pgx.ErrTxCommitRollback))
		got := ""
		err = c.QueryRow(ctx, "/* kind=lookup */ select value from marks where key = 'half'").Scan(&got)
		Expect(err).To(MatchError(pgx.ErrNoRows))
	})

	for name, c := range map[string]struct {
		query string
		code  string
	}{
		"a statement that keeps state": {query: "set search_path = x", code: "0A000"},
		"an unknown kind":              {query: "/* kind=nonsense */ select 1", code: "22023"},
		"a key with a quote":           {query: "/* kind=payment key=a'b */ select 1", code: "22023"},
		"a comment without an end":     {query: "/* kind=payment", code: "22023"},
		"an unknown own parameter":     {query: "set amaranthsill.nonsense = '1'", code: "42704"},
		"a malformed token":            {query: "set amaranthsill.session = 'x'", code: "22023"},
		"what the target rejects":      {query: "selekt", code: "42601"},
	} {
		It("refuses "+name+" and goes on", func() {
			n := f.mustConnect(ctx, 0, "choir", "")
			defer func() { _ = n.Close(ctx) }()
			_, err := n.Exec(ctx, c.query, pgx.QueryExecModeSimpleProtocol)
			Expect(codeOf(err)).To(Equal(c.code))
			_, err = n.Exec(ctx, "/* kind=lookup */ select count(*) from marks")
			Expect(err).NotTo(HaveOccurred())
		})
	}

	It("refuses an unknown database and an unknown start-up parameter", func() {
		_, err := f.connect(ctx, 0, "nowhere", "")
		Expect(codeOf(err)).To(Equal("3D000"))
		config, err := pgx.ParseConfig("postgres://me@" + f.vms[0].callers + "/choir?sslmode=disable&nonsense=1")
		Expect(err).NotTo(HaveOccurred())
		_, err = pgx.ConnectConfig(ctx, config)
		Expect(codeOf(err)).To(Equal("42704"))
	})

	for name, raw := range map[string][]byte{
		"garbage":                   []byte("GET / HTTP/1.1\r\n\r\n"),
		"a message cut in half":     {'Q', 0, 0, 0, 20, 's'},
		"a message over the limit":  {'Q', 0x7f, 0xff, 0xff, 0xff},
		"an unknown message":        {'!', 0, 0, 0, 4},
		"a message that is too big": {'P', 0, 0, 0, 4},
	} {
		It("survives a caller that sends "+name, func() {
			n, err := net.Dial("tcp", f.vms[0].callers)
			Expect(err).NotTo(HaveOccurred())
			front := pgproto3.NewFrontend(n, n)
			front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "me", "database": "choir"}})
			Expect(front.Flush()).To(Succeed())
			_, err = n.Write(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(n.Close()).To(Succeed())
			c := f.mustConnect(ctx, 0, "choir", "")
			defer func() { _ = c.Close(ctx) }()
			_, err = c.Exec(ctx, "/* kind=lookup */ select count(*) from marks")
			Expect(err).NotTo(HaveOccurred())
		})
	}

	It("cuts no request in flight when it stops", func() {
		i := len(f.vms)
		f.startVM(ctx, i)
		f.await(ctx, i)
		busy := f.mustConnect(ctx, i, "choir", "")
		idle := f.mustConnect(ctx, i, "choir", "")
		answered := make(chan error, 1)
		go func() {
			_, err := busy.Exec(ctx, "select pg_sleep(0.5)")
			answered <- err
		}()
		time.Sleep(100 * time.Millisecond)
		f.vms[i].stop()
		Expect(<-answered).To(Succeed())
		Expect(<-f.vms[i].ended).To(Succeed())
		_, err := idle.Exec(ctx, "select 1")
		Expect(err).To(HaveOccurred())
	})
})
