package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/group"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/relay"
	"amaranthsill/session"
)

func TestRelay(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "relay")
}

// errCut is what a target's lost connection reports.
var errCut = errors.New("connection was cut")

// target is a database server that notes what each connection was told.
type target struct {
	lock  sync.Mutex
	conns []*conn
	// hold delays answers until it is closed; nil for none.
	hold chan struct{}
	// lose makes connections break instead of answering.
	lose bool
}

type conn struct {
	target *target
	told   []string
	closed bool
	open   bool
}

func (t *target) Dial(context.Context, pool.Target) (pool.Link, query.Position, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := &conn{target: t}
	t.conns = append(t.conns, c)
	return c, group.At(1, 4), nil
}

func (t *target) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

// told returns what was told over each connection.
func (t *target) told() [][]string {
	t.lock.Lock()
	defer t.lock.Unlock()
	all := [][]string{}
	for _, c := range t.conns {
		all = append(all, slices.Clone(c.told))
	}
	return all
}

func (c *conn) Send(orders ...pool.Order) error {
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	for _, o := range orders {
		c.told = append(c.told, text(o))
		switch o := o.(type) {
		case pool.Begin:
			c.open = true
		case pool.Rollback:
			c.open = false
		case pool.Forward:
			if o.Query.Text == "COMMIT" {
				c.open = false
			}
		}
	}
	return nil
}

// text is an order in short.
func text(o pool.Order) string {
	switch o := o.(type) {
	case pool.Begin:
		return "begin"
	case pool.Rollback:
		return "rollback"
	case pool.Forward:
		return o.Query.ID + " " + o.Query.Text
	case pool.ForwardPlan:
		return o.Query.ID + " " + o.Plan.Shape + "(" + o.Arguments + ")"
	case pool.Align:
		return fmt.Sprintf("%T", o.Step)
	default:
		return fmt.Sprintf("%T", o)
	}
}

func (c *conn) Receive() (query.Reply, error) {
	c.target.lock.Lock()
	hold, lose := c.target.hold, c.target.lose
	c.target.lock.Unlock()
	if hold != nil {
		<-hold
	}
	if lose {
		return query.Reply{}, errCut
	}
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	r := query.Reply{Rows: []string{"row"}, Receipt: "mac", Position: group.At(1, 5)}
	if c.open {
		r.State = query.StateOpen
	}
	return r, nil
}

func (c *conn) SetDeadline(time.Time) error { return nil }

func (c *conn) Close() {
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	c.closed = true
}

// where is the target that everybody uses.
var where = pool.Target{ID: "a", Group: "choir", Zone: "xela", Slots: 3}

// holder is a VM that holds connections to the target.
type holder struct {
	*target
	server   *relay.Server
	listener net.Listener
	pool     *pool.Group
	// retired reports that the VM holds no connections any more.
	retired atomic.Bool
}

func newHolder(connections int) *holder {
	h := &holder{target: &target{}}
	h.pool = &pool.Group{Name: "choir", Zone: "xela", Dialer: h.target, Now: clock.Boot, Log: logr.Discard()}
	h.pool.Configure([]pool.Target{where}, connections)
	h.server = &relay.Server{
		Group: func(string) (*pool.Group, bool) { return h.pool, !h.retired.Load() },
		Now:   clock.Boot,
		Log:   logr.Discard(),

		TransactionIdle: func() time.Duration { return 100 * time.Millisecond },
	}
	var err error
	h.listener, err = net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		defer ginkgo.GinkgoRecover()
		gomega.Expect(h.server.Serve(context.Background(), h.listener)).To(gomega.Succeed())
	}()
	ginkgo.DeferCleanup(func() { _ = h.listener.Close() })
	return h
}

func (h *holder) address() string { return h.listener.Addr().String() }

// dialer returns another VM's way to the target through some holders.
func dialer(direct pool.Dialer, addresses ...string) *relay.Dialer {
	return &relay.Dialer{
		Direct:  direct,
		Holders: func(string) relay.Holders { return relay.Holders{Addresses: addresses} },
		Now:     clock.Boot,
		Log:     logr.Discard(),
	}
}

func dial(d *relay.Dialer) pool.Link {
	l, _, err := d.Dial(context.Background(), where)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(l.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	return l
}

func tell(l pool.Link, o pool.Order) query.Reply {
	gomega.Expect(l.Send(o)).To(gomega.Succeed())
	r, err := l.Receive()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

func read(id string) pool.Order {
	return pool.Forward{Query: query.Query{ID: id, Text: "READ 1", Operation: query.Read{Item: "1"}}}
}

func commit(id string) pool.Order {
	return pool.Forward{Query: query.Query{ID: id, Text: "COMMIT", Operation: query.Commit{}}}
}

var _ = ginkgo.Describe("A relayed link", func() {
	ginkgo.It("passes statements on unchanged, and whole answers back", func() {
		h := newHolder(2)
		l, p, err := dialer(nil, h.address()).Dial(context.Background(), where)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(p).To(gomega.Equal(query.Position{}))
		gomega.Expect(l.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
		r := tell(l, read("q1"))
		gomega.Expect(r).To(gomega.Equal(query.Reply{Rows: []string{"row"}, Receipt: "mac", Position: group.At(1, 5)}))
		gomega.Expect(h.told()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
	})

	ginkgo.It("keeps a transaction on one connection, apart from other links", func() {
		h := newHolder(3)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		gomega.Expect(tell(one, pool.Begin{}).State).To(gomega.Equal(query.StateOpen))
		tell(other, read("q9"))
		tell(one, read("q1"))
		gomega.Expect(tell(one, commit("q2")).State).To(gomega.Equal(query.StateIdle))
		gomega.Expect(h.told()).To(gomega.ConsistOf([]string{"begin", "q1 READ 1", "q2 COMMIT"}, []string{"q9 READ 1"}))
	})

	ginkgo.It("gives each link its own session values and prepared statements", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		plan := query.Plan{Access: query.AccessRead, Shape: "q2c"}
		tell(one, pool.Align{Step: session.Assign{Name: "tenant", Value: "x"}})
		tell(one, pool.Align{Step: session.Define{Plan: plan}})
		tell(one, pool.ForwardPlan{Query: query.Query{ID: "q1"}, Plan: plan, Arguments: "7"})
		tell(other, read("q2"))
		gomega.Expect(h.told()).To(gomega.Equal([][]string{{
			"session.Assign", "session.Define", "q1 q2c(7)", "session.Reset", "q2 READ 1",
		}}))
	})

	ginkgo.It("ends when a transaction is opened inside another, which is rolled back", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		tell(l, pool.Begin{})
		gomega.Expect(l.Send(pool.Begin{})).To(gomega.Succeed())
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Eventually(h.told).Should(gomega.Equal([][]string{{"begin", "rollback"}}))
	})

	ginkgo.It("ends when its holder holds no connections any more, but not inside a transaction", func() {
		h := newHolder(2)
		d := dialer(&target{}, h.address())
		open, idle := dial(d), dial(d)
		tell(open, pool.Begin{})
		h.retired.Store(true)
		gomega.Expect(tell(idle, read("q1")).Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(idle.Send(read("q2"))).To(gomega.Succeed())
		_, err := idle.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(tell(open, commit("q3")).Receipt).To(gomega.Equal("mac"))
		gomega.Expect(h.told()).To(gomega.Equal([][]string{{"begin", "q3 COMMIT"}}))
	})

	ginkgo.It("ends transactions also where it leads to another link", func() {
		far := newHolder(1)
		near := newHolder(1)
		near.pool = &pool.Group{Name: "choir", Zone: "xela", Dialer: dialer(nil, far.address()), Now: clock.Boot, Log: logr.Discard()}
		near.pool.Configure([]pool.Target{where}, 1)
		l := dial(dialer(nil, near.address()))
		for i := range 2 {
			tell(l, pool.Begin{})
			gomega.Expect(tell(l, commit(fmt.Sprint("q", i))).Receipt).To(gomega.Equal("mac"))
		}
		gomega.Expect(far.told()).To(gomega.Equal([][]string{{"begin", "q0 COMMIT", "begin", "q1 COMMIT"}}))
	})

	ginkgo.It("answers as busy, and not run, what finds no connection in time", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		tell(one, pool.Begin{})
		r := tell(other, read("q9"))
		gomega.Expect(r.Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(h.told()).To(gomega.Equal([][]string{{"begin"}}))
	})

	ginkgo.It("shows no position when it did not reach the leader to ask", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		tell(one, pool.Begin{})
		r := tell(other, pool.Locate{})
		gomega.Expect(r.Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(r.Position.IsZero()).To(gomega.BeTrue())
	})

	ginkgo.It("rolls back what a lost link left open", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		tell(l, pool.Begin{})
		l.Close()
		gomega.Eventually(h.told).Should(gomega.Equal([][]string{{"begin", "rollback"}}))
	})

	ginkgo.It("rolls back what a VM left open that says nothing more", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		tell(l, pool.Begin{})
		gomega.Eventually(h.told, "4s").Should(gomega.Equal([][]string{{"begin", "rollback"}}))
		gomega.Expect(l.SetDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("is lost with the target's connection, so that nothing is promised", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		h.target.lock.Lock()
		h.target.lose = true
		h.target.lock.Unlock()
		gomega.Expect(l.Send(read("q1"))).To(gomega.Succeed())
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("goes through the next holder, or directly, when one is not reached", func() {
		h := newHolder(1)
		gone, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(gone.Close()).To(gomega.Succeed())
		tell(dial(dialer(nil, gone.Addr().String(), h.address())), read("q1"))
		gomega.Expect(h.told()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
		direct := &target{}
		tell(dial(dialer(direct, gone.Addr().String())), read("q2"))
		gomega.Expect(direct.told()).To(gomega.Equal([][]string{{"q2 READ 1"}}))
	})

	ginkgo.It("is direct only once while no holder is reached, so that targets keep their connections", func() {
		gone, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(gone.Close()).To(gomega.Succeed())
		d := dialer(&target{}, gone.Addr().String())
		first := dial(d)
		_, _, err = d.Dial(context.Background(), where)
		gomega.Expect(errors.Is(err, pool.ErrScarce)).To(gomega.BeTrue())
		first.Close()
		first.Close()
		dial(d)
	})

	ginkgo.It("ends when its holder has gone silent, long before its own deadline", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		l := dial(d)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.Watch(ctx)
		h.target.lock.Lock()
		h.target.hold = make(chan struct{})
		h.target.lock.Unlock()
		gomega.Expect(h.listener.Close()).To(gomega.Succeed())
		gomega.Expect(l.Send(read("q1"))).To(gomega.Succeed())
		begun := time.Now()
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 4*time.Second))
	})
})

var _ = ginkgo.Describe("A holder that stops", func() {
	ginkgo.It("ends links between transactions, and takes no new ones", func() {
		h := newHolder(2)
		d := dialer(&target{}, h.address())
		open, idle := dial(d), dial(d)
		tell(open, pool.Begin{})
		drained := make(chan struct{})
		go func() {
			h.server.Drain(context.Background())
			close(drained)
		}()
		_, err := idle.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		l, _, err := d.Dial(context.Background(), where)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		tell(l, read("q3"))
		gomega.Expect(h.told()).NotTo(gomega.ContainElement(gomega.ContainElement("q3 READ 1")))
		gomega.Expect(tell(open, commit("q2")).Receipt).To(gomega.Equal("mac"))
		gomega.Eventually(drained).Should(gomega.BeClosed())
	})
})

var _ = ginkgo.Describe("Bad input", func() {
	ginkgo.It("ends the link and harms no other", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		raw, err := net.Dial("tcp4", h.address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = raw.Write([]byte("QUERY q1 READ 1\r\n\x00\xff\xfe"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(raw.Close()).To(gomega.Succeed())
		tell(l, read("q1"))
	})
})
