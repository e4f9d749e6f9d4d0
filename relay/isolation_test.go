package relay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/clock"
	"amaranthsill/customer"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// isolationTimeout is how long a statement may wait for a connection.
const isolationTimeout = 5 * time.Second

// callFor runs a read for a customer through a VM's pool, until it is not answered as
// busy.
func callFor(g *pool.Group, c *customer.Customer, id string) {
	deadline := clock.SinceBoot() + isolationTimeout
	for {
		s, err := g.Acquire(context.Background(), pool.Need{Target: commonTarget.ID, Customer: c, Until: deadline})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		a, err := s.Run(pool.Forward{Query: query.Query{ID: id, Text: "READ 1", Operation: query.Read{Item: "1"}}}, deadline)
		s.Release()
		if err == nil && a.Failure == nil {
			return
		}
		gomega.Expect(clock.SinceBoot()).To(gomega.BeNumerically("<", deadline))
	}
}

// foreignOrders returns the orders that ran on connections of another customer, whose
// name precedes the order's ID.
func (t *fakeTarget) foreignOrders() []string {
	t.lock.Lock()
	defer t.lock.Unlock()
	list := []string{}
	for _, c := range t.conns {
		for _, o := range c.orders {
			if !strings.HasPrefix(o, c.customer+"-") {
				list = append(list, fmt.Sprintf("%s on a connection of %q", o, c.customer))
			}
		}
	}
	return list
}

var _ = ginkgo.Describe("Customers of several VMs", func() {
	// The links between VMs are shared by customers, the connections behind them are not.
	ginkgo.It("never have a statement on a connection that was opened for another, through a holder or not", func() {
		h, _ := newCustomersHolder(3)
		direct := &fakeTarget{}
		for _, address := range []string{h.address(), closedAddress()} {
			wait := sync.WaitGroup{}
			for vm := range 2 {
				g := &pool.Group{Name: "choir", Zone: "xela", Dialer: customersDialer(direct, address), Now: clock.SinceBoot, Log: logr.Discard()}
				budget := 4
				if address != h.address() {
					// As in package edge while no holder is available.
					budget = 1
				}
				g.Configure([]pool.Target{commonTarget}, budget)
				for _, name := range []string{"bell", "drum", "lute", "harp"} {
					wait.Go(func() {
						defer ginkgo.GinkgoRecover()
						for i := range 20 {
							callFor(g, &customer.Customer{Name: name}, fmt.Sprintf("%s-%d-%d", name, vm, i))
						}
					})
				}
			}
			wait.Wait()
		}
		gomega.Expect(h.fakeTarget.orders()).NotTo(gomega.BeEmpty())
		gomega.Expect(h.fakeTarget.foreignOrders()).To(gomega.BeEmpty())
		gomega.Expect(direct.orders()).NotTo(gomega.BeEmpty())
		gomega.Expect(direct.foreignOrders()).To(gomega.BeEmpty())
	})
})
