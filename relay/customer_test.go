package relay_test

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/customer"
	"amaranthsill/pool"
	"amaranthsill/query"
	"amaranthsill/relay"
)

// named records the customers that relayed orders name to a holder, each as
// "name@version". The holder knows all customers except "gone".
type named struct {
	lock sync.Mutex
	list []string
}

func (n *named) lookup(name string, version uint64) (*customer.Customer, bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.list = append(n.list, fmt.Sprintf("%s@%d", name, version))
	return &customer.Customer{Name: name}, name != "gone"
}

func (n *named) orders() []string {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.list
}

// newCustomersHolder returns a holder in a deployment with customers.
func newCustomersHolder(connections int) (*holder, *named) {
	n := &named{}
	h := newHolder(connections)
	h.server.Customer = n.lookup
	return h, n
}

// customersDialer returns the dialer of another VM that has version 7 of a
// configuration with customers.
func customersDialer(direct pool.Dialer, addresses ...string) *relay.Dialer {
	d := dialer(direct)
	d.Holders = func(pool.Target, string) relay.Holders {
		return relay.Holders{ByCustomer: true, Addresses: addresses}
	}
	d.Version = func() uint64 { return 7 }
	return d
}

// dialFor opens a link for a customer.
func dialFor(d *relay.Dialer, name string) pool.Link {
	l, _, err := d.Dial(context.Background(), commonTarget, name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(l.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	return l
}

// closedAddress returns an address at which connections are refused.
func closedAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(l.Close()).To(gomega.Succeed())
	return l.Addr().String()
}

var _ = ginkgo.Describe("A relayed link of several customers", func() {
	ginkgo.It("names to the holder the customer of each order, and the version that the sender has", func() {
		h, n := newCustomersHolder(2)
		l := dialFor(customersDialer(nil, h.address()), "bell").(pool.CustomerLink)
		l.SetCustomer("bell", 1)
		exchange(l, read("q1"))
		l.SetCustomer("drum", 1)
		exchange(l, pool.Begin{})
		exchange(l, commit("q2"))
		l.SetCustomer("", 1)
		exchange(l, read("q3"))
		gomega.Expect(n.orders()).To(gomega.Equal([]string{"bell@7", "drum@7"}))
	})

	// A revoked customer's statement must not run on a holder that knows of the
	// revocation, although the sending VM does not yet.
	ginkgo.It("answers an order of a customer that does not exist any more as busy, and runs nothing", func() {
		h, _ := newCustomersHolder(2)
		l := dialFor(customersDialer(nil, h.address()), "gone").(pool.CustomerLink)
		l.SetCustomer("gone", 0)
		gomega.Expect(exchange(l, read("q1")).Failure.Code).To(gomega.Equal(query.CodeBusy))
		r := exchange(l, pool.Begin{})
		gomega.Expect(r.Failure.Code).To(gomega.Equal(query.CodeBusy))
		gomega.Expect(r.State).To(gomega.Equal(query.StateIdle))
		gomega.Expect(h.orders()).To(gomega.BeEmpty())
		l.SetCustomer("bell", 0)
		exchange(l, read("q2"))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q2 READ 1"}}))
	})

	// Positions belong to no customer. A holder of the leader answers for all VMs that
	// come through it, also those whose customer it does not know.
	ginkgo.It("answers for the leader's position without a connection of any customer", func() {
		h, n := newCustomersHolder(1)
		h.leadership.Store(1)
		l := dialFor(customersDialer(nil, h.address()), "bell").(pool.CustomerLink)
		for _, name := range []string{"", "gone"} {
			l.SetCustomer(name, 0)
			gomega.Expect(exchange(l, pool.Locate{MaxAge: time.Minute}).Position.IsZero()).To(gomega.BeFalse())
		}
		gomega.Expect(h.refreshes.Load()).To(gomega.Equal(int32(1)))
		gomega.Expect(h.orders()).To(gomega.BeEmpty())
		gomega.Expect(n.orders()).To(gomega.BeEmpty())
	})

	ginkgo.It("orders statements at the holder by the priorities of their routes", func() {
		h, _ := newCustomersHolder(1)
		d := customersDialer(nil, h.address())
		open := dialFor(d, "bell").(pool.CustomerLink)
		open.SetCustomer("bell", 0)
		exchange(open, pool.Begin{})
		wait := sync.WaitGroup{}
		for i, priority := range []int{3, 0} {
			l := dialFor(d, "bell").(pool.CustomerLink)
			l.SetCustomer("bell", priority)
			gomega.Expect(l.Send(read(fmt.Sprint("q", priority)))).To(gomega.Succeed())
			gomega.Eventually(h.pool.Waiting, "1s", "1ms").Should(gomega.Equal(i + 1))
			wait.Go(func() {
				defer ginkgo.GinkgoRecover()
				_, err := l.Receive()
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			})
		}
		exchange(open, commit("end"))
		wait.Wait()
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"begin", "end COMMIT", "q0 READ 1", "q3 READ 1"}}))
	})

	// Otherwise links through the next holder would count as links through the first,
	// and a direct connection would stay after the holder has begun to hold the target.
	ginkgo.It("is refused for a target whose connections other VMs hold, and not asked for again at once", func() {
		h, _ := newCustomersHolder(1)
		held := atomic.Bool{}
		h.server.Group = func(_, target string) (*pool.Group, bool) { return h.pool, target == "b" || held.Load() }
		direct := &fakeTarget{}
		d := customersDialer(direct, h.address())
		offset := atomic.Int64{}
		d.Now = func() time.Duration { return clock.SinceBoot() + time.Duration(offset.Load()) }
		exchange(dialFor(d, "bell"), read("q1"))
		gomega.Expect(h.orders()).To(gomega.BeEmpty())
		gomega.Expect(direct.orders()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
		gomega.Expect(d.IsFallback(commonTarget)).To(gomega.BeTrue())
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.BeEmpty())
		held.Store(true)
		offset.Store(int64(2 * time.Second))
		gomega.Expect(d.IsFallback(commonTarget)).To(gomega.BeFalse())
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.Equal(h.address()))
		exchange(dialFor(d, "bell"), read("q2"))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q2 READ 1"}}))
	})
})

// oldRequest is a request without the fields that name the customer, as builds send
// and expect it that do not know of customers.
type oldRequest struct {
	Kind     uint8
	Left     time.Duration
	ID, Text string
}

// oldHello is the hello of such a build.
type oldHello struct{ Group, Target string }

// oldResponse is the response of such a build.
type oldResponse struct {
	Rows []string
	Code query.Code
}

// oldForward is the kind of an order that forwards a query.
const oldForward = 2

var _ = ginkgo.Describe("A link between builds with and without customers", func() {
	ginkgo.It("serves orders that name no customer as before", func() {
		h, n := newCustomersHolder(1)
		conn, err := net.Dial("tcp4", h.address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
		encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
		gomega.Expect(encoder.Encode(oldHello{"choir", "a"})).To(gomega.Succeed())
		gomega.Expect(decoder.Decode(&oldResponse{})).To(gomega.Succeed())
		gomega.Expect(encoder.Encode(oldRequest{Kind: oldForward, Left: time.Second, ID: "q1", Text: "READ 1"})).To(gomega.Succeed())
		r := oldResponse{}
		gomega.Expect(decoder.Decode(&r)).To(gomega.Succeed())
		gomega.Expect(r).To(gomega.Equal(oldResponse{Rows: []string{"row"}}))
		gomega.Expect(n.orders()).To(gomega.BeEmpty())
	})

	ginkgo.It("sends orders that a holder without customers understands", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }()
		received := make(chan oldRequest, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			encoder, decoder := oldHandshake(l)
			q := oldRequest{}
			gomega.Expect(decoder.Decode(&q)).To(gomega.Succeed())
			gomega.Expect(encoder.Encode(oldResponse{})).To(gomega.Succeed())
			received <- q
		}()
		link := dialFor(customersDialer(nil, l.Addr().String()), "bell").(pool.CustomerLink)
		link.SetCustomer("bell", 2)
		exchange(link, read("q1"))
		q := <-received
		gomega.Expect([]any{q.Kind, q.ID, q.Text}).To(gomega.Equal([]any{uint8(oldForward), "q1", "READ 1"}))
	})
})

// oldHandshake accepts connections as a holder without customers and streams does, until
// one names a target: it replies to a hello without one, and closes the connection.
func oldHandshake(l net.Listener) (*gob.Encoder, *gob.Decoder) {
	for {
		conn, err := l.Accept()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
		h := oldHello{}
		gomega.Expect(decoder.Decode(&h)).To(gomega.Succeed())
		gomega.Expect(encoder.Encode(oldResponse{})).To(gomega.Succeed())
		if h.Target != "" {
			return encoder, decoder
		}
		gomega.Expect(conn.Close()).To(gomega.Succeed())
	}
}

var _ = ginkgo.Describe("The affinity of a customer", func() {
	ginkgo.It("is empty for direct connections and where customers do not change the holders", func() {
		for _, h := range []relay.Holders{{Self: true, ByCustomer: true, Addresses: []string{"x"}}, {Addresses: []string{"x"}}, {ByCustomer: true}} {
			d := dialer(nil)
			d.Holders = func(pool.Target, string) relay.Holders { return h }
			gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.BeEmpty())
		}
	})

	// Statements of a customer must come together at one VM: the first holder while it
	// answers, the next while it does not, and the first again after that.
	ginkgo.It("is the first holder that answers, and a holder that was lost is probed in the background", func() {
		h, _ := newCustomersHolder(1)
		second, _ := newCustomersHolder(1)
		d := customersDialer(nil, h.address(), second.address())
		offset := atomic.Int64{}
		d.Now = func() time.Duration { return clock.SinceBoot() + time.Duration(offset.Load()) }
		exchange(dialFor(d, "bell"), read("q1"))
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.Equal(h.address()))
		h.lose()
		exchange(dialFor(d, "bell"), read("q2"))
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.Equal(second.address()))
		offset.Store(int64(3 * time.Second))
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.Equal(second.address()))
		again, err := net.Listen("tcp4", h.address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = again.Close() }()
		go func() { _ = h.server.Serve(context.Background(), again) }()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.WatchHolders(ctx)
		gomega.Eventually(func() string { return d.Affinity(commonTarget, "bell") }, "10s", "5ms").Should(gomega.Equal(h.address()))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
		gomega.Expect(second.orders()).To(gomega.Equal([][]string{{"q2 READ 1"}}))
	})
})

var _ = ginkgo.Describe("A holder of customers' connections", func() {
	// An order that is on its way while a holder closes the link is answered by nobody,
	// so that its caller does not learn whether it ran. Between regions it takes 20 ms.
	ginkgo.It("comes last once it has announced that it is about to stop", func() {
		h, _ := newCustomersHolder(1)
		second, _ := newCustomersHolder(1)
		d := customersDialer(nil, h.address(), second.address())
		l := dialFor(d, "bell")
		exchange(l, read("q1"))
		h.server.Leave()
		exchange(l, read("q2"))
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.Equal(second.address()))
		exchange(dialFor(d, "bell"), read("q3"))
		second.lose()
		exchange(dialFor(d, "bell"), read("q4"))
		gomega.Expect(d.Affinity(commonTarget, "bell")).To(gomega.Equal(h.address()))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q1 READ 1", "q2 READ 1", "q4 READ 1"}}))
		gomega.Expect(second.orders()).To(gomega.Equal([][]string{{"q3 READ 1"}}))
	})

	// VMs learn of a change of holders at different times. A link that ends is found to
	// be lost only by the order after the refused one.
	ginkgo.It("still serves open links for a moment after it ceased to hold the target, and opens none", func() {
		h, _ := newCustomersHolder(1)
		released := atomic.Bool{}
		released.Store(true)
		h.server.Released = func(string, string) bool { return released.Load() }
		d := customersDialer(&fakeTarget{}, h.address())
		l := dialFor(d, "bell")
		h.retired.Store(true)
		exchange(l, read("q1"))
		exchange(dialFor(d, "bell"), read("q2"))
		gomega.Expect(h.orders()).To(gomega.Equal([][]string{{"q1 READ 1"}}))
		released.Store(false)
		gomega.Expect(exchange(l, read("q3")).Failure.Code).To(gomega.Equal(query.CodeBusy))
	})
})

var _ = ginkgo.Describe("The direct connection of a VM that reaches no holder", func() {
	// Otherwise a statement would run on a connection that was opened for another
	// customer.
	ginkgo.It("belongs to one customer, and is reserved until it is closed", func() {
		d := customersDialer(&fakeTarget{}, closedAddress(), closedAddress())
		gomega.Expect(d.IsFallback(commonTarget)).To(gomega.BeFalse())
		first := dialFor(d, "bell")
		_, shared := first.(pool.CustomerLink)
		gomega.Expect(shared).To(gomega.BeFalse())
		gomega.Expect(d.IsFallback(commonTarget)).To(gomega.BeTrue())
		gomega.Expect(d.Affinity(commonTarget, "drum")).To(gomega.BeEmpty())
		_, _, err := d.Dial(context.Background(), commonTarget, "drum")
		gomega.Expect(errors.Is(err, pool.ErrReserved)).To(gomega.BeTrue())
		first.Close()
		dialFor(d, "drum")
	})

	ginkgo.It("is opened in the name of its customer", func() {
		direct := &namedTarget{}
		dialFor(customersDialer(direct, closedAddress()), "bell")
		gomega.Expect(direct.customers).To(gomega.Equal([]string{"bell"}))
	})
})

// namedTarget records the customers for which connections are opened.
type namedTarget struct {
	fakeTarget
	customers []string
}

func (t *namedTarget) Dial(ctx context.Context, target pool.Target, name string) (pool.Link, query.Position, error) {
	t.customers = append(t.customers, name)
	return t.fakeTarget.Dial(ctx, target, name)
}
