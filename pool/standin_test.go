package pool_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"amaranthsill/customer"
	"amaranthsill/pool"
	"amaranthsill/query"
)

// openingCost is how long the stand-in spends one of its slots on a new connection.
const openingCost = 12 * time.Millisecond

// standIn is a target that serves customers, in the virtual time of a test's bubble.
// It records each order that runs on a connection of another customer.
type standIn struct {
	slots chan struct{}
	limit int
	// route returns the affinity of a customer, and whether it leads through another
	// VM; nil if all connections are direct.
	route func(customer string) (string, bool)
	// down reports that the target has failed.
	down bool
	// dialError is returned by Dial unless it is nil.
	dialError func(customer string) error

	lock sync.Mutex
	// opening is the number of connections that are being opened for customers.
	open, opening, opens int
	maxOpen, maxOpening  int
	foreign              int
	opened               map[string]int
}

func newStandIn(slots, limit int) *standIn {
	return &standIn{slots: make(chan struct{}, slots), limit: limit, opened: map[string]int{}}
}

var errDown = errors.New("target is down")

func (d *standIn) isDown() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.down
}

func (d *standIn) path(name string) (string, bool) {
	if d.route == nil {
		return "direct", false
	}
	return d.route(name)
}

func (d *standIn) Affinity(_ pool.Target, name string) string {
	a, _ := d.path(name)
	return a
}

func (d *standIn) Dial(_ context.Context, _ pool.Target, name string) (pool.Link, query.Position, error) {
	if d.isDown() {
		return nil, query.Position{}, errDown
	}
	if d.dialError != nil {
		if err := d.dialError(name); err != nil {
			return nil, query.Position{}, err
		}
	}
	if !d.beginOpening(name) {
		return nil, query.Position{}, &query.Failure{Code: query.CodeTooManyConnections}
	}
	l := &standInLink{target: d, customer: name}
	if _, relayed := d.path(name); relayed {
		time.Sleep(time.Millisecond)
		d.endOpening(name)
		return &sharedLink{l}, query.Position{}, nil
	}
	d.run(openingCost)
	d.endOpening(name)
	return l, query.Position{}, nil
}

func (d *standIn) beginOpening(name string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.open >= d.limit {
		return false
	}
	d.open++
	d.opens++
	d.opened[name]++
	if name != "" {
		d.opening++
	}
	d.maxOpen, d.maxOpening = max(d.maxOpen, d.open), max(d.maxOpening, d.opening)
	return true
}

func (d *standIn) endOpening(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if name != "" {
		d.opening--
	}
}

func (d *standIn) ParseStatus(query.Reply) (pool.Report, error) { return pool.Report{}, nil }

// run occupies a slot of the target.
func (d *standIn) run(work time.Duration) {
	d.slots <- struct{}{}
	time.Sleep(work)
	<-d.slots
}

// order is a statement of a customer that takes the target some time.
func order(name string, work time.Duration) pool.Order {
	return pool.Forward{Query: query.Query{ID: name, Text: work.String()}}
}

// standInLink is a connection to a standIn.
type standInLink struct {
	target   *standIn
	customer string
	orders   []pool.Order
	closed   bool
}

func (l *standInLink) Send(o ...pool.Order) error {
	l.orders = append(l.orders, o...)
	return nil
}

func (l *standInLink) Receive() (query.Reply, error) {
	o := l.orders[0]
	l.orders = l.orders[1:]
	f, ok := o.(pool.Forward)
	if !ok {
		return query.Reply{Receipt: "mac"}, nil
	}
	if f.Query.ID != l.customer {
		l.target.lock.Lock()
		l.target.foreign++
		l.target.lock.Unlock()
	}
	work, err := time.ParseDuration(f.Query.Text)
	if err != nil {
		return query.Reply{}, fmt.Errorf("parse the time of a statement: %w", err)
	}
	l.target.run(work)
	if l.target.isDown() {
		return query.Reply{}, errDown
	}
	return query.Reply{Receipt: "mac"}, nil
}

func (l *standInLink) SetDeadline(time.Time) error { return nil }

func (l *standInLink) Close() {
	l.target.lock.Lock()
	defer l.target.lock.Unlock()
	if !l.closed {
		l.closed = true
		l.target.open--
	}
}

// sharedLink is a link through another VM.
type sharedLink struct{ *standInLink }

func (l *sharedLink) SetCustomer(name string, _ int) { l.customer = name }

// customerVM is a VM's pool for a group whose only target is a standIn.
type customerVM struct {
	*pool.Group
	*standIn
	begun time.Time
}

func newCustomerVM(d *standIn, budget int) *customerVM {
	v := &customerVM{standIn: d, begun: time.Now()}
	v.Group = &pool.Group{Name: "choir", Zone: "coban", Dialer: d, Now: v.now, Log: logr.Discard()}
	v.configure(budget)
	v.SetLeader("a")
	return v
}

func (v *customerVM) configure(budget int) {
	v.SetIdleAllowance((budget + 1) / 2)
	v.Configure([]pool.Target{{ID: "a", Group: "choir", Zone: "coban", Slots: cap(v.slots), Role: pool.RolePrimary}}, budget)
}

func (v *customerVM) now() time.Duration { return time.Hour + time.Since(v.begun) }

// acquire acquires a connection for a statement of a customer, whose name is empty for
// a statement without one.
func (v *customerVM) acquire(name string, wait time.Duration) (*pool.Slot, error) {
	return v.Acquire(context.Background(), v.need(name, wait))
}

func (v *customerVM) need(name string, wait time.Duration) pool.Need {
	n := pool.Need{Leader: true, Until: v.now() + wait}
	if name != "" {
		n.Customer = &customer.Customer{Name: name}
	}
	return n
}

// serve runs a statement of a customer and fails the test if it is not served.
func (v *customerVM) serve(t *testing.T, name string, work time.Duration) {
	t.Helper()
	s, err := v.acquire(name, time.Second)
	if err != nil {
		t.Fatalf("statement of %q: %v", name, err)
	}
	defer s.Release()
	if _, err := s.Run(order(name, work), v.now()+time.Second); err != nil {
		t.Fatalf("statement of %q: %v", name, err)
	}
}
