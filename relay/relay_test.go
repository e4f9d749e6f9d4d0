package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
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

// errConnectionLost is the error of a connection that fakeTarget has broken.
var errConnectionLost = errors.New("connection lost")

// fakeTarget is a database server that records the orders sent on each
// connection.
type fakeTarget struct {
	lock  sync.Mutex
	conns []*fakeConn
	// block delays replies until it is closed; nil if replies are not delayed.
	block chan struct{}
	// receiveError is returned instead of replies unless it is nil.
	receiveError error
}

type fakeConn struct {
	target *fakeTarget
	// customer is the one for which the connection was opened.
	customer string
	orders   []string
	closed   bool
	open     bool
}

func (t *fakeTarget) Affinity(pool.Target, string) string { return "" }

func (t *fakeTarget) Dial(_ context.Context, _ pool.Target, customer string) (pool.Link, query.Position, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	c := &fakeConn{target: t, customer: customer}
	t.conns = append(t.conns, c)
	return c, group.At(1, 4), nil
}

func (t *fakeTarget) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

// orders returns the orders that were sent on each connection.
func (t *fakeTarget) orders() [][]string {
	t.lock.Lock()
	defer t.lock.Unlock()
	all := [][]string{}
	for _, c := range t.conns {
		all = append(all, slices.Clone(c.orders))
	}
	return all
}

// openConnections returns the number of connections that are not closed.
func (t *fakeTarget) openConnections() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	n := 0
	for _, c := range t.conns {
		if !c.closed {
			n++
		}
	}
	return n
}

func (c *fakeConn) Send(orders ...pool.Order) error {
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	for _, o := range orders {
		c.orders = append(c.orders, orderText(o))
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

// orderText returns a short description of an order.
func orderText(o pool.Order) string {
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

func (c *fakeConn) Receive() (query.Reply, error) {
	c.target.lock.Lock()
	block, fail := c.target.block, c.target.receiveError
	c.target.lock.Unlock()
	if block != nil {
		<-block
	}
	if fail != nil {
		return query.Reply{}, fail
	}
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	r := query.Reply{Rows: []string{"row"}, Receipt: "mac", Position: group.At(1, 5)}
	if c.open {
		r.State = query.StateOpen
	}
	return r, nil
}

func (c *fakeConn) SetDeadline(time.Time) error { return nil }

func (c *fakeConn) Close() {
	c.target.lock.Lock()
	defer c.target.lock.Unlock()
	c.closed = true
}

// commonTarget is the target of all links.
var commonTarget = pool.Target{ID: "a", Group: "choir", Zone: "xela", Slots: 3}

// holder is a VM that holds connections to the target.
type holder struct {
	*fakeTarget
	server   *relay.Server
	listener *countingListener
	pool     *pool.Group
	// retired is true once the VM is no holder any more.
	retired atomic.Bool
	// leadership is that of the target, zero while it is not confirmed as the leader;
	// refreshes counts the questions for the leader's position.
	leadership atomic.Uint64
	refreshes  atomic.Int32
}

func newHolder(connections int) *holder {
	h := &holder{fakeTarget: &fakeTarget{}}
	h.pool = &pool.Group{Name: "choir", Zone: "xela", Dialer: h.fakeTarget, Now: clock.SinceBoot, Log: logr.Discard()}
	h.pool.Configure([]pool.Target{commonTarget}, connections)
	h.server = &relay.Server{
		Group: func(string, string) (*pool.Group, bool) { return h.pool, !h.retired.Load() },
		Leadership: func(string, string) (pool.Leadership, bool) {
			l := h.leadership.Load()
			return pool.Leadership(l), l != 0
		},
		Refresh: func(context.Context, *pool.Group) error {
			h.refreshes.Add(1)
			h.pool.Sample(clock.SinceBoot(), group.At(1, 9))
			return nil
		},
		Now: clock.SinceBoot,
		Log: logr.Discard(),

		TransactionIdleTimeout: func() time.Duration { return 100 * time.Millisecond },
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h.listener = &countingListener{Listener: l}
	go func() {
		defer ginkgo.GinkgoRecover()
		gomega.Expect(h.server.Serve(context.Background(), h.listener)).To(gomega.Succeed())
	}()
	ginkgo.DeferCleanup(func() { _ = h.listener.Close() })
	return h
}

// countingListener keeps the connections that it has accepted.
type countingListener struct {
	net.Listener
	lock  sync.Mutex
	conns []net.Conn
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.conns = append(l.conns, c)
	}
	return c, err
}

// accepted returns the number of connections that were accepted.
func (l *countingListener) accepted() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.conns)
}

// lose ends the holder's connections and accepts no more, as when its process ends.
func (h *holder) lose() {
	gomega.Expect(h.listener.Close()).To(gomega.Succeed())
	h.listener.lock.Lock()
	defer h.listener.lock.Unlock()
	for _, c := range h.listener.conns {
		_ = c.Close()
	}
}

func (h *holder) address() string { return h.listener.Addr().String() }

// dialer returns the dialer of another VM that reaches the target through the
// holders at the addresses.
func dialer(direct pool.Dialer, addresses ...string) *relay.Dialer {
	return &relay.Dialer{
		Direct:  direct,
		Holders: func(pool.Target, string) relay.Holders { return relay.Holders{Addresses: addresses} },
		Now:     clock.SinceBoot,
		Log:     logr.Discard(),
	}
}

func dial(d *relay.Dialer) pool.Link {
	l, _, err := d.Dial(context.Background(), commonTarget, "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(l.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	return l
}

func exchange(l pool.Link, o pool.Order) query.Reply {
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
	ginkgo.It("forwards statements unchanged and returns complete answers", func() {
		h := newHolder(2)
		l, p, err := dialer(nil, h.address()).Dial(context.Background(), commonTarget, "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(p).To(gomega.Equal(query.Position{}))
		gomega.Expect(l.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
		r := exchange(l, read("q1"))
		gomega.Expect(r).To(gomega.Equal(query.Reply{Rows: []string{"row"}, Receipt: "mac", Position: group.At(1, 5)}))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
	})

	ginkgo.It("keeps a transaction on one connection, apart from other links", func() {
		h := newHolder(3)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		gomega.Expect(exchange(one, pool.Begin{}).State).To(gomega.Equal(query.StateOpen))
		exchange(other, read("q9"))
		exchange(one, read("q1"))
		gomega.Expect(exchange(one, commit("q2")).State).To(gomega.Equal(query.StateIdle))
		gomega.Expect(h.orders()).To(gomega.ConsistOf([]string{"begin", "q1 READ 1", "q2 COMMIT"}, []string{"q9 READ 1"}))
	})

	ginkgo.It("gives each link its own session values and prepared statements", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		plan := query.Plan{Access: query.AccessRead, Shape: "q2c"}
		exchange(one, pool.Align{Step: session.Assign{Name: "tenant", Value: "x"}})
		exchange(one, pool.Align{Step: session.Define{Plan: plan}})
		exchange(one, pool.ForwardPlan{Query: query.Query{ID: "q1"}, Plan: plan, Arguments: "7"})
		exchange(other, read("q2"))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{
			"session.Assign", "session.Define", "q1 q2c(7)", "session.Reset", "q2 READ 1",
		}}))
	})

	ginkgo.It("ends when a transaction is opened inside another, which is rolled back", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		exchange(l, pool.Begin{})
		gomega.Expect(l.Send(pool.Begin{})).To(gomega.Succeed())
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Eventually(h.orders).Should(gomega.Equal([][]string{{"begin", "rollback"}}))
	})

	ginkgo.It("ends if its VM is no holder any more, but not inside a transaction", func() {
		h := newHolder(2)
		d := dialer(&fakeTarget{}, h.address())
		open, idle := dial(d), dial(d)
		exchange(open, pool.Begin{})
		h.retired.Store(true)
		gomega.Expect(exchange(idle, read("q1")).Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(idle.Send(read("q2"))).To(gomega.Succeed())
		_, err := idle.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(exchange(open, commit("q3")).Receipt).To(gomega.Equal("mac"))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"begin", "q3 COMMIT"}}))
	})

	ginkgo.It("ends transactions over a second hop as well", func() {
		far := newHolder(1)
		near := newHolder(1)
		near.pool = &pool.Group{Name: "choir", Zone: "xela", Dialer: dialer(nil, far.address()), Now: clock.SinceBoot, Log: logr.Discard()}
		near.pool.Configure([]pool.Target{commonTarget}, 1)
		l := dial(dialer(nil, near.address()))
		for i := range 2 {
			exchange(l, pool.Begin{})
			gomega.Expect(exchange(l, commit(fmt.Sprint("q", i))).Receipt).To(gomega.Equal("mac"))
		}
		gomega.Expect(far.orders()).To(gomega.Equal([][]string{{"begin", "q0 COMMIT", "begin", "q1 COMMIT"}}))
	})

	ginkgo.It("answers an order as busy, and does not run it, if no connection is free in time", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		exchange(one, pool.Begin{})
		r := exchange(other, read("q9"))
		gomega.Expect(r.Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"begin"}}))
	})

	ginkgo.It("returns no position if the holder has no free connection to the leader", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		one, other := dial(d), dial(d)
		exchange(one, pool.Begin{})
		r := exchange(other, pool.Locate{})
		gomega.Expect(r.Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(r.Position.IsZero()).To(gomega.BeTrue())
	})

	ginkgo.It("returns a position that the holder knows if it may be that old, and asks the leader otherwise", func() {
		h := newHolder(1)
		h.leadership.Store(1)
		h.pool.Sample(clock.SinceBoot()-time.Second, group.At(1, 4))
		l := dial(dialer(nil, h.address()))
		old := exchange(l, pool.Locate{MaxAge: 2 * time.Second})
		gomega.Expect(old.Position).To(gomega.Equal(group.At(1, 4)))
		gomega.Expect(old.Age).To(gomega.BeNumerically("~", time.Second, 500*time.Millisecond))
		gomega.Expect(h.refreshes.Load()).To(gomega.BeZero())
		recent := exchange(l, pool.Locate{MaxAge: 500 * time.Millisecond})
		gomega.Expect(recent.Position).To(gomega.Equal(group.At(1, 9)))
		gomega.Expect(recent.Age).To(gomega.BeNumerically("<=", 500*time.Millisecond))
		gomega.Expect(h.refreshes.Load()).To(gomega.Equal(int32(1)))
		exchange(l, pool.Locate{})
		gomega.Expect(h.refreshes.Load()).To(gomega.Equal(int32(2)))
		gomega.Expect(h.orders()).To(gomega.BeEmpty())
	})

	ginkgo.It("passes a question for a position on if its target is not confirmed as the leader", func() {
		h := newHolder(1)
		h.pool.Sample(clock.SinceBoot(), group.At(1, 4))
		l := dial(dialer(nil, h.address()))
		exchange(l, pool.Locate{MaxAge: time.Minute})
		gomega.Expect(h.refreshes.Load()).To(gomega.BeZero())
		gomega.Expect(h.orders()).To(gomega.HaveLen(1))
	})

	ginkgo.It("lets a holder learn positions from the answers of the leader to other VMs", func() {
		h := newHolder(1)
		h.leadership.Store(1)
		h.pool.SetLeader(commonTarget.ID)
		l := dial(dialer(nil, h.address()))
		exchange(l, read("q1"))
		r := exchange(l, pool.Locate{MaxAge: time.Minute})
		gomega.Expect(r.Position.IsZero()).To(gomega.BeFalse())
		gomega.Expect(h.refreshes.Load()).To(gomega.BeZero())
	})

	// Guards against reads that lack acknowledged commits, because a holder took a position
	// for the leader's that a target answered while another one led.
	ginkgo.It("does not let a holder learn a position from an answer to a statement that was sent before the present leadership", func() {
		h := newHolder(1)
		h.leadership.Store(1)
		h.pool.SetLeader(commonTarget.ID)
		l := dial(dialer(nil, h.address()))
		h.fakeTarget.lock.Lock()
		h.fakeTarget.block = make(chan struct{})
		h.fakeTarget.lock.Unlock()
		gomega.Expect(l.Send(read("q1"))).To(gomega.Succeed())
		gomega.Eventually(h.orders).Should(gomega.Equal([][]string{{"q1 READ 1"}}))
		h.leadership.Store(2)
		close(h.fakeTarget.block)
		_, err := l.Receive()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r := exchange(l, pool.Locate{MaxAge: time.Minute})
		gomega.Expect(r.Position).To(gomega.Equal(group.At(1, 9)))
		gomega.Expect(h.refreshes.Load()).To(gomega.Equal(int32(1)))
	})

	ginkgo.It("rolls back the open transaction when the link is lost", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		exchange(l, pool.Begin{})
		l.Close()
		gomega.Eventually(h.orders).Should(gomega.Equal([][]string{{"begin", "rollback"}}))
	})

	ginkgo.It("rolls back the open transaction of a VM that is silent for longer than the idle timeout", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		exchange(l, pool.Begin{})
		gomega.Eventually(h.orders, "4s").Should(gomega.Equal([][]string{{"begin", "rollback"}}))
		gomega.Expect(l.SetDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("breaks when the target's connection is lost, since it is unknown whether the order ran", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		h.fakeTarget.lock.Lock()
		h.fakeTarget.receiveError = errConnectionLost
		h.fakeTarget.lock.Unlock()
		gomega.Expect(l.Send(read("q1"))).To(gomega.Succeed())
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against the promise that a write was rolled back which took effect on its own.
	ginkgo.It("tells that a statement ran outside its transaction", func() {
		h := newHolder(2)
		l := dial(dialer(nil, h.address()))
		exchange(l, pool.Begin{})
		h.fakeTarget.lock.Lock()
		h.fakeTarget.receiveError = pool.ErrOutsideTransaction
		h.fakeTarget.lock.Unlock()
		write := pool.Forward{Query: query.Query{ID: "q1", Text: "WRITE 1 x", Operation: query.Write{Item: "1"}}}
		gomega.Expect(exchange(l, write).Failure.Code).To(gomega.Equal(query.CodeInDoubt))
		gomega.Eventually(h.openConnections).Should(gomega.BeZero())
	})

	ginkgo.It("goes through the next holder, or directly, if a holder is not reached", func() {
		h := newHolder(1)
		gone, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(gone.Close()).To(gomega.Succeed())
		exchange(dial(dialer(nil, gone.Addr().String(), h.address())), read("q1"))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
		direct := &fakeTarget{}
		exchange(dial(dialer(direct, gone.Addr().String())), read("q2"))
		gomega.Expect(direct.orders()).To(gomega.Equal([][]string{{"q2 READ 1"}}))
	})

	ginkgo.It("is direct at most once per target while no holder is reached, since the connections are reserved for holders", func() {
		gone, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(gone.Close()).To(gomega.Succeed())
		d := dialer(&fakeTarget{}, gone.Addr().String())
		first := dial(d)
		_, _, err = d.Dial(context.Background(), commonTarget, "")
		gomega.Expect(errors.Is(err, pool.ErrReserved)).To(gomega.BeTrue())
		first.Close()
		first.Close()
		dial(d)
	})

	ginkgo.It("breaks soon after its holder has stopped answering, long before its own deadline", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		l := dial(d)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.WatchHolders(ctx)
		h.fakeTarget.lock.Lock()
		h.fakeTarget.block = make(chan struct{})
		h.fakeTarget.lock.Unlock()
		gomega.Expect(h.listener.Close()).To(gomega.Succeed())
		gomega.Expect(l.Send(read("q1"))).To(gomega.Succeed())
		begun := time.Now()
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 4*time.Second))
	})
})

// A VM and a holder must need one connection, whatever the number of links: with one for
// each link they grew with the VMs times the targets.
var _ = ginkgo.Describe("The links of a VM to one holder", func() {
	ginkgo.It("share one connection, and none waits for another", func() {
		h := newHolder(3)
		d := dialer(nil, h.address())
		links := []pool.Link{}
		for range 50 {
			links = append(links, dial(d))
		}
		exchange(links[0], pool.Begin{})
		h.fakeTarget.lock.Lock()
		h.fakeTarget.block = make(chan struct{})
		h.fakeTarget.lock.Unlock()
		gomega.Expect(links[1].Send(read("q1"))).To(gomega.Succeed())
		h.leadership.Store(1)
		h.pool.Sample(clock.SinceBoot(), group.At(1, 7))
		gomega.Expect(exchange(links[2], pool.Locate{MaxAge: time.Hour}).Position).To(gomega.Equal(group.At(1, 7)))
		links[1].Close()
		close(h.fakeTarget.block)
		exchange(links[0], commit("q2"))
		gomega.Expect(h.listener.accepted()).To(gomega.Equal(1))
	})

	ginkgo.It("are not opened before they are needed, but the connection is", func() {
		h := newHolder(1)
		d := dialer(nil, h.address())
		g := &pool.Group{Name: "choir", Zone: "xela", Dialer: d, Now: clock.SinceBoot, Log: logr.Discard()}
		g.Configure([]pool.Target{commonTarget}, 8)
		g.Warm()
		gomega.Eventually(h.listener.accepted).Should(gomega.Equal(1))
		gomega.Expect(g.Opens()).To(gomega.BeZero())
		exchange(dial(d), read("q1"))
		gomega.Expect(h.listener.accepted()).To(gomega.Equal(1))
	})

	ginkgo.It("end with it, open transactions are rolled back, and the next link opens another", func() {
		h := newHolder(2)
		d := dialer(nil, h.address())
		open, idle := dial(d), dial(d)
		exchange(open, pool.Begin{})
		h.listener.lock.Lock()
		_ = h.listener.conns[0].Close()
		h.listener.lock.Unlock()
		for _, l := range []pool.Link{open, idle} {
			_, err := l.Receive()
			gomega.Expect(err).To(gomega.HaveOccurred())
		}
		gomega.Eventually(h.orders).Should(gomega.Equal([][]string{{"begin", "rollback"}}))
		exchange(dial(d), read("q1"))
		gomega.Expect(h.listener.accepted()).To(gomega.Equal(2))
	})

	ginkgo.It("do not end when one of them passes its deadline", func() {
		h := newHolder(2)
		d := dialer(nil, h.address())
		late, other := dial(d), dial(d)
		gomega.Expect(late.SetDeadline(time.Unix(1, 0))).To(gomega.Succeed())
		_, err := late.Receive()
		gomega.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		late.Close()
		exchange(other, read("q1"))
	})
})

var _ = ginkgo.Describe("A holder that stops", func() {
	// Guards against transactions that hold up a holder until it has to exit, and are cut off
	// then.
	ginkgo.It("ends transactions in which no order runs", func() {
		h := newHolder(2)
		d := dialer(&fakeTarget{}, h.address())
		l := dial(d)
		exchange(l, pool.Begin{})
		h.server.EndTransactions()
		gomega.Eventually(h.orders).Should(gomega.Equal([][]string{{"begin", "rollback"}}))
		_, err := l.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("answers an order of a transaction that it has ended as aborted", func() {
		h := newHolder(2)
		d := dialer(&fakeTarget{}, h.address())
		h.server.EndTransactions()
		l := dial(d)
		exchange(l, pool.Begin{})
		r := exchange(l, read("q1"))
		gomega.Expect(r.Failure).NotTo(gomega.BeNil())
		gomega.Expect(r.Failure.Code).To(gomega.Equal(query.CodeAborted))
	})

	ginkgo.It("ends links between transactions and accepts no new ones", func() {
		h := newHolder(2)
		d := dialer(&fakeTarget{}, h.address())
		open, idle := dial(d), dial(d)
		exchange(open, pool.Begin{})
		drained := make(chan struct{})
		go func() {
			h.server.Drain(context.Background())
			close(drained)
		}()
		_, err := idle.Receive()
		gomega.Expect(err).To(gomega.HaveOccurred())
		l, _, err := d.Dial(context.Background(), commonTarget, "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		exchange(l, read("q3"))
		gomega.Expect(h.orders()).NotTo(gomega.ContainElement(gomega.ContainElement("q3 READ 1")))
		gomega.Expect(exchange(open, commit("q2")).Receipt).To(gomega.Equal("mac"))
		gomega.Eventually(drained).Should(gomega.BeClosed())
	})
})

var _ = ginkgo.Describe("Bad input", func() {
	ginkgo.It("ends its own link and no other", func() {
		h := newHolder(1)
		l := dial(dialer(nil, h.address()))
		raw, err := net.Dial("tcp4", h.address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = raw.Write([]byte("QUERY q1 READ 1\r\n\x00\xff\xfe"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(raw.Close()).To(gomega.Succeed())
		exchange(l, read("q1"))
	})
})
