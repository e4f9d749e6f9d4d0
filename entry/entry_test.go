package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
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
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/caller"
	"amaranthsill/entry"
	"amaranthsill/internal/standin"
	"amaranthsill/store"
	"amaranthsill/submission"
)

func TestEntry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

const manifestKinds = `[
	{"name": "tracks", "access": "read", "age": "2s"},
	{"name": "lookup", "access": "read"},
	{"name": "marks", "access": "write", "repeat": true, "timeout": "60s"},
	{"name": "payment", "access": "write", "timeout": "60s"}
]`

// testSite is a simulated platform with its targets, and the VMs in front of it.
type testSite struct {
	site *standin.Site
	vms  []*runningVM
}

// runningVM is a started VM with its addresses.
type runningVM struct {
	callers string
	admin   string
	stop    context.CancelFunc
	ended   chan error
}

// startSite starts a site with two groups and this many VMs, submits its
// manifest, and waits until every VM can write to every group.
func startSite(ctx context.Context, vms int) *testSite {
	f := &testSite{site: &standin.Site{
		Groups:          []string{"choir", "dues"},
		Zones:           []string{"quetzaltenango", "guatemala", "coban"},
		ConnectionLimit: 40,
		Kinds:           manifestKinds,
	}}
	gomega.Expect(f.site.Start(ctx)).To(gomega.Succeed())
	s := &submission.Submission{Store: &store.Client{Address: f.site.PlatformAddress}, Text: []byte(f.site.Manifest())}
	outcome, err := s.Run(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(outcome).To(gomega.Equal(submission.Accepted{Version: 1, Current: 1}))
	for i := range vms {
		f.startVM(ctx, i)
	}
	for i := range vms {
		f.awaitWritable(ctx, i)
	}
	return f
}

// startVM adds the VM number i to the platform's list and starts it.
func (f *testSite) startVM(ctx context.Context, i int) {
	addresses := []any{}
	for range 3 {
		a, err := standin.FreeAddress()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		addresses = append(addresses, a)
	}
	name := fmt.Sprintf("vm-%d", i)
	zone := f.site.Zones[i%len(f.site.Zones)]
	text := fmt.Sprintf(`{"vm": %q, "zone": %q, "callers": %q, "peers": %q, "admin": %q, "platform": %q}`,
		append(append([]any{name, zone}, addresses...), f.site.PlatformAddress)...)
	settings, err := entry.ParseSettings("vm.json", []byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	body := fmt.Sprintf(`{"zone": %q, "address": %q}`, zone, addresses[1])
	putJSON(ctx, f.site.PlatformAddress, "/v1/vms/"+name, body)
	ctx, stop := context.WithCancel(ctx)
	r := &runningVM{callers: addresses[0].(string), admin: addresses[2].(string), stop: stop, ended: make(chan error, 1)}
	vm := &entry.VM{Settings: settings, Log: logr.Discard()}
	go func() { r.ended <- vm.Run(ctx) }()
	f.vms = append(f.vms, r)
}

func putJSON(ctx context.Context, address, path, body string) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+path, bytes.NewReader([]byte(body)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a, err := http.DefaultClient.Do(q)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(a.Body.Close()).To(gomega.Succeed())
}

// awaitWritable waits until a write through the VM succeeds in each group.
func (f *testSite) awaitWritable(ctx context.Context, i int) {
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

// connect opens a session on the VM number i, with a session token unless it is
// empty.
func (f *testSite) connect(ctx context.Context, i int, group, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://me@" + f.vms[i].callers + "/" + group + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	if token != "" {
		c.RuntimeParams["amaranthsill.session"] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

func (f *testSite) mustConnect(ctx context.Context, i int, group, token string) *pgx.Conn {
	c, err := f.connect(ctx, i, group, token)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// sqlState returns the SQLSTATE of a PostgreSQL error, or the text of any other
// error.
func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return fmt.Sprint(err)
}

// sessionToken returns the session token that the VM last reported.
func sessionToken(c *pgx.Conn) string { return c.PgConn().ParameterStatus("amaranthsill.session") }

var _ = ginkgo.Describe("A VM", ginkgo.Ordered, func() {
	var ctx context.Context
	var f *testSite
	ginkgo.BeforeAll(func() {
		c, stop := context.WithCancel(context.Background())
		ctx = c
		ginkgo.DeferCleanup(stop)
		f = startSite(ctx, 3)
	})

	ginkgo.It("lets a session see its writes through any VM", func() {
		token := ""
		for i := range 60 {
			c := f.mustConnect(ctx, i%3, "choir", token)
			_, err := c.Exec(ctx, "/* kind=marks */ insert into marks (key, value) values ($1, $2) on conflict (key) do update set value = excluded.value", "own", fmt.Sprint(i))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			token = sessionToken(c)
			gomega.Expect(c.Close(ctx)).To(gomega.Succeed())
			c = f.mustConnect(ctx, (i+1)%3, "choir", token)
			for _, kind := range []string{"tracks", "lookup"} {
				value := ""
				gomega.Expect(c.QueryRow(ctx, "/* kind="+kind+" */ select value from marks where key = $1", "own").Scan(&value)).To(gomega.Succeed())
				gomega.Expect(value).To(gomega.Equal(fmt.Sprint(i)))
			}
			gomega.Expect(c.Close(ctx)).To(gomega.Succeed())
		}
	})

	ginkgo.It("runs concurrent requests with the same key once across all VMs", func() {
		c := f.mustConnect(ctx, 0, "dues", "")
		defer func() { _ = c.Close(ctx) }()
		_, err := c.Exec(ctx, "insert into paid (key, value) values ('sum', '')")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				n := f.mustConnect(ctx, i%3, "dues", "")
				defer func() { _ = n.Close(ctx) }()
				tag, err := n.Exec(ctx, "/* kind=payment key=one */ update paid set value = value || 'x' where key = 'sum'")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(tag.RowsAffected()).To(gomega.Equal(int64(1)))
			})
		}
		wg.Wait()
		sum := ""
		gomega.Expect(c.QueryRow(ctx, "/* kind=lookup */ select value from paid where key = 'sum'").Scan(&sum)).To(gomega.Succeed())
		gomega.Expect(sum).To(gomega.Equal("x"))
	})

	ginkgo.It("answers a repeated request with a key from the first run after a failover", func() {
		g := startSite(ctx, 3)
		const query = "/* kind=payment key=claim-7 */ insert into claims (key, value) values ('claim-7', 'sent')"
		c := g.mustConnect(ctx, 0, "dues", "")
		_, err := c.Exec(ctx, query)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		token := sessionToken(c)
		gomega.Expect(c.Close(ctx)).To(gomega.Succeed())
		g.site.KillPrimary("dues")
		for i := range 6 {
			n := g.mustConnect(ctx, i%3, "dues", token)
			tag, err := n.Exec(ctx, query)
			for sqlState(err) == caller.CodeRefused || sqlState(err) == caller.CodeUnknown {
				tag, err = n.Exec(ctx, query)
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(tag.String()).To(gomega.Equal("INSERT 0 1"))
			value := ""
			gomega.Expect(n.QueryRow(ctx, "/* kind=lookup */ select value from claims where key = 'claim-7'").Scan(&value)).To(gomega.Succeed())
			gomega.Expect(value).To(gomega.Equal("sent"))
			gomega.Expect(n.Close(ctx)).To(gomega.Succeed())
		}
	})

	ginkgo.It("isolates concurrent transactions of different callers", func() {
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				defer ginkgo.GinkgoRecover()
				c := f.mustConnect(ctx, i%3, "choir", "")
				defer func() { _ = c.Close(ctx) }()
				for n := range 10 {
					tx, err := c.Begin(ctx)
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					key := fmt.Sprintf("tx-%d-%d", i, n)
					_, err = tx.Exec(ctx, "insert into marks (key, value) values ($1, $2)", key, "a")
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					got := ""
					gomega.Expect(tx.QueryRow(ctx, "select value from marks where key = $1", key).Scan(&got)).To(gomega.Succeed())
					gomega.Expect(got).To(gomega.Equal("a"))
					if n%2 == 0 {
						gomega.Expect(tx.Commit(ctx)).To(gomega.Succeed())
						continue
					}
					gomega.Expect(tx.Rollback(ctx)).To(gomega.Succeed())
					err = c.QueryRow(ctx, "/* kind=lookup */ select value from marks where key = $1", key).Scan(&got)
					gomega.Expect(err).To(gomega.MatchError(pgx.ErrNoRows))
				}
			})
		}
		wg.Wait()
	})

	ginkgo.It("rolls back the open transaction of a caller that disconnects", func() {
		c := f.mustConnect(ctx, 0, "choir", "")
		_, err := c.Exec(ctx, "begin")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.Exec(ctx, "insert into marks (key, value) values ('left', 'open')")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.PgConn().Conn().Close()).To(gomega.Succeed())
		n := f.mustConnect(ctx, 0, "choir", "")
		defer func() { _ = n.Close(ctx) }()
		for range 20 {
			got := ""
			err = n.QueryRow(ctx, "/* kind=lookup */ select value from marks where key = 'left'").Scan(&got)
			gomega.Expect(err).To(gomega.MatchError(pgx.ErrNoRows))
		}
	})

	ginkgo.It("answers a commit after a failed statement with a rollback", func() {
		c := f.mustConnect(ctx, 0, "choir", "")
		defer func() { _ = c.Close(ctx) }()
		tx, err := c.Begin(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = tx.Exec(ctx, "insert into marks (key, value) values ('half', 'x')")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = tx.Exec(ctx, "listen nothing")
		gomega.Expect(sqlState(err)).To(gomega.Equal("0A000"))
		gomega.Expect(tx.Commit(ctx)).To(gomega.MatchError(pgx.ErrTxCommitRollback))
		got := ""
		err = c.QueryRow(ctx, "/* kind=lookup */ select value from marks where key = 'half'").Scan(&got)
		gomega.Expect(err).To(gomega.MatchError(pgx.ErrNoRows))
	})

	for name, c := range map[string]struct {
		query string
		code  string
	}{
		"a statement that would change the pooled connection": {query: "set search_path = x", code: "0A000"},
		"an unknown kind":                     {query: "/* kind=nonsense */ select 1", code: "22023"},
		"a key with a quote":                  {query: "/* kind=payment key=a'b */ select 1", code: "22023"},
		"an unterminated comment":             {query: "/* kind=payment", code: "22023"},
		"an unknown parameter of the proxy":   {query: "set amaranthsill.nonsense = '1'", code: "42704"},
		"a malformed token":                   {query: "set amaranthsill.session = 'x'", code: "22023"},
		"a statement that the target rejects": {query: "selekt", code: "42601"},
	} {
		ginkgo.It("rejects "+name+" and serves the next request", func() {
			n := f.mustConnect(ctx, 0, "choir", "")
			defer func() { _ = n.Close(ctx) }()
			_, err := n.Exec(ctx, c.query, pgx.QueryExecModeSimpleProtocol)
			gomega.Expect(sqlState(err)).To(gomega.Equal(c.code))
			_, err = n.Exec(ctx, "/* kind=lookup */ select count(*) from marks")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}

	ginkgo.It("rejects an unknown database and an unknown start-up parameter", func() {
		_, err := f.connect(ctx, 0, "nowhere", "")
		gomega.Expect(sqlState(err)).To(gomega.Equal("3D000"))
		config, err := pgx.ParseConfig("postgres://me@" + f.vms[0].callers + "/choir?sslmode=disable&nonsense=1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = pgx.ConnectConfig(ctx, config)
		gomega.Expect(sqlState(err)).To(gomega.Equal("42704"))
	})

	for name, raw := range map[string][]byte{
		"an HTTP request":                []byte("GET / HTTP/1.1\r\n\r\n"),
		"a truncated message":            {'Q', 0, 0, 0, 20, 's'},
		"a message over the limit":       {'Q', 0x7f, 0xff, 0xff, 0xff},
		"a message of unknown type":      {'!', 0, 0, 0, 4},
		"a Parse message without a body": {'P', 0, 0, 0, 4},
	} {
		ginkgo.It("keeps serving others after a caller sends "+name, func() {
			n, err := net.Dial("tcp", f.vms[0].callers)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			front := pgproto3.NewFrontend(n, n)
			front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "me", "database": "choir"}})
			gomega.Expect(front.Flush()).To(gomega.Succeed())
			_, err = n.Write(raw)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(n.Close()).To(gomega.Succeed())
			c := f.mustConnect(ctx, 0, "choir", "")
			defer func() { _ = c.Close(ctx) }()
			_, err = c.Exec(ctx, "/* kind=lookup */ select count(*) from marks")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}

	ginkgo.It("finishes requests in flight when it stops", func() {
		i := len(f.vms)
		f.startVM(ctx, i)
		f.awaitWritable(ctx, i)
		busy := f.mustConnect(ctx, i, "choir", "")
		idle := f.mustConnect(ctx, i, "choir", "")
		answered := make(chan error, 1)
		go func() {
			_, err := busy.Exec(ctx, "select pg_sleep(0.5)")
			answered <- err
		}()
		time.Sleep(100 * time.Millisecond)
		f.vms[i].stop()
		gomega.Expect(<-answered).To(gomega.Succeed())
		gomega.Expect(<-f.vms[i].ended).To(gomega.Succeed())
		_, err := idle.Exec(ctx, "select 1")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

var _ = ginkgo.Describe("A group that the manifest no longer names", func() {
	ginkgo.It("commits its open transaction and refuses later requests", func() {
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		f := startSite(ctx, 1)
		c := f.mustConnect(ctx, 0, "dues", "")
		defer func() { _ = c.Close(ctx) }()
		tx, err := c.Begin(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = tx.Exec(ctx, "insert into paid (key, value) values ('last', 'x')")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.site.Groups = []string{"choir"}
		s := &submission.Submission{Store: &store.Client{Address: f.site.PlatformAddress}, Text: []byte(f.site.Manifest())}
		_, err = s.Run(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.awaitVersion(ctx, 2)
		gomega.Expect(tx.Commit(ctx)).To(gomega.Succeed())
		_, err = c.Exec(ctx, "insert into paid (key, value) values ('late', 'x')")
		gomega.Expect(sqlState(err)).To(gomega.Equal(caller.CodeRefused))
		_, err = f.connect(ctx, 0, "dues", "")
		gomega.Expect(sqlState(err)).To(gomega.Equal("3D000"))
	})
})

var _ = ginkgo.Describe("A platform store that lost its keys", func() {
	storedRecord := func(ctx context.Context, client store.Store) store.Record {
		for ctx.Err() == nil {
			if e, err := client.Get(ctx, store.ManifestKey); err == nil {
				r, err := store.DecodeRecord(e.Value())
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return r
			}
			time.Sleep(20 * time.Millisecond)
		}
		return store.Record{}
	}
	submit := func(ctx context.Context, client store.Store, identity, text string) {
		s := &submission.Submission{Store: client, ID: identity, Text: []byte(text)}
		outcome, err := s.Run(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(outcome).To(gomega.BeAssignableToTypeOf(submission.Accepted{}))
	}

	// startAndLoseKeys puts version 2 in force on every VM and then makes the
	// platform's store lose all its keys.
	startAndLoseKeys := func() (context.Context, *testSite, store.Store) {
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		f := startSite(ctx, 3)
		client := &store.Client{Address: f.site.PlatformAddress}
		submit(ctx, client, "second", f.site.Manifest())
		f.awaitVersion(ctx, 2)
		putJSON(ctx, f.site.PlatformAddress, "/v1/faults", `{"forget": true}`)
		return ctx, f, client
	}

	ginkgo.It("gets the manifest in force back, not an older version", func() {
		ctx, _, client := startAndLoseKeys()
		gomega.Expect(storedRecord(ctx, client).Version()).To(gomega.Equal(uint64(2)))
	})

	ginkgo.It("keeps a submission accepted before or after the manifest is restored", func() {
		ctx, f, client := startAndLoseKeys()
		// The submission is not lost whether it reaches the empty store before or
		// after a VM has restored the manifest.
		submit(ctx, client, "third", f.site.Manifest()+" ")
		f.awaitVersion(ctx, 3)
		stored := storedRecord(ctx, client)
		gomega.Expect(stored.Submission()).To(gomega.Equal("third"))
		gomega.Expect(stored.Version()).To(gomega.Equal(uint64(3)))
	})
})

// awaitVersion waits until every VM has this version or a later one in force.
func (f *testSite) awaitVersion(ctx context.Context, version uint64) {
	for _, r := range f.vms {
		for ctx.Err() == nil && versionInForce(ctx, r.admin) < version {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// versionInForce returns the version of the manifest in force on a VM.
func versionInForce(ctx context.Context, admin string) uint64 {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a, err := http.DefaultClient.Do(q)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = a.Body.Close() }()
	s := entry.Status{}
	gomega.Expect(json.NewDecoder(a.Body).Decode(&s)).To(gomega.Succeed())
	return s.Version
}
