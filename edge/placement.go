package edge

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthsill/pool"
	"amaranthsill/relay"
)

// Placement of connections by target, which applies to deployments with customers. Its
// design is described in docs/design/placement.md.
const (
	// connectionsPerHolder is for how many connections of a target there is one
	// holder. With fewer for each, a holder cannot keep one for most of its customers,
	// and each VM has links to more holders, which it uses more seldom.
	connectionsPerHolder = 32
	// minHolders is the least number of a target's holders. The second replaces the
	// first when it fails.
	minHolders = 2
	// formerHolderRetention is how long a VM that ceased to hold a target is still
	// counted among those that have a share. The allocator remembers its claims as
	// long.
	formerHolderRetention = 5 * time.Second
	// maxCachedOrders is for how many customers a target's order of holders is kept.
	// For others it is computed for each statement, which takes under 1 us.
	maxCachedOrders = 256
)

// targetHolders says which VMs hold the connections to one target, as this VM sees it.
// It is immutable, except for the cache of customers' orders.
type targetHolders struct {
	zone string
	// self is true if this VM is one of the holders.
	self bool
	// holders are the VMs that hold connections, in the order of the hash ring. The
	// first is the allocator.
	holders []Peer
	// due are the VMs that are to hold connections instead, and dueSince is when they
	// were first others than the holders; zero if they are the same.
	due      []Peer
	dueSince time.Duration
	// former holds when VMs that are no holders any more ceased to be, by name.
	former map[string]time.Duration
	// allocatorSince is when this VM became the first holder; zero if it is not.
	allocatorSince time.Duration
	orders         *customerOrders
}

// targetHolders returns the VMs that are to hold the connections to a target, in the
// order of the hash ring: VMs of the target's zone or, if that has none, of any zone.
func (m *membership) targetHolders(t pool.Target, connections int) []Peer {
	z := m.zone(t.Zone)
	if len(z.order) == 0 {
		z = m.everywhere()
	}
	return z.place(holderKey+t.ID, max(connections/connectionsPerHolder, minHolders))
}

// startingHolders returns what a VM that starts takes for the present holders of a
// target, given the membership without itself: other VMs may not know of it yet, and the
// one that holds the target in its place still has its share. It returns nil if there are
// no other VMs.
func startingHolders(others *membership, t pool.Target, connections int) *targetHolders {
	holders := others.targetHolders(t, connections)
	if len(holders) == 0 {
		return nil
	}
	return &targetHolders{zone: t.Zone, holders: holders, due: holders, orders: newCustomerOrders(holders)}
}

// without returns the membership without a VM.
func (m *membership) without(vm string) *membership {
	return newMembership(slices.DeleteFunc(slices.Clone(m.peers), func(p Peer) bool { return p.Name == vm }))
}

// next returns the holders of a target that follow from those known before, nil if there
// were none, given the VMs that are due to hold it. It returns the old ones if nothing
// has changed. Other holders are adopted once they have been due for holderChangeDelay.
func (t *targetHolders) next(now time.Duration, vm string, target pool.Target, due []Peer) *targetHolders {
	n := &targetHolders{zone: target.Zone, holders: due, due: due, former: map[string]time.Duration{}}
	if t != nil {
		maps.Copy(n.former, t.former)
		maps.DeleteFunc(n.former, func(name string, at time.Duration) bool {
			return now-at > formerHolderRetention || containsVM(due, name)
		})
		if !slices.EqualFunc(t.holders, due, func(a, b Peer) bool { return a.Name == b.Name }) {
			n.dueSince = max(now, 1)
			if t.dueSince != 0 && slices.EqualFunc(t.due, due, func(a, b Peer) bool { return a.Name == b.Name }) {
				n.dueSince = t.dueSince
			}
		}
	}
	switch {
	case n.dueSince == 0:
	case now-n.dueSince < holderChangeDelay:
		n.holders = t.holders
	default:
		n.dueSince = 0
		for _, p := range t.holders {
			if !containsVM(due, p.Name) {
				n.former[p.Name] = now
			}
		}
	}
	n.self = containsVM(n.holders, vm)
	if len(n.holders) > 0 && n.holders[0].Name == vm {
		n.allocatorSince = max(now, 1)
		if t != nil {
			n.allocatorSince = cmp.Or(t.allocatorSince, n.allocatorSince)
		}
	}
	if t != nil && t.equal(n) {
		return t
	}
	n.orders = newCustomerOrders(n.holders)
	if t != nil && slices.Equal(t.holders, n.holders) {
		n.orders = t.orders
	}
	return n
}

func (t *targetHolders) equal(o *targetHolders) bool {
	return t.zone == o.zone && t.self == o.self && t.dueSince == o.dueSince && t.allocatorSince == o.allocatorSince &&
		slices.Equal(t.holders, o.holders) && slices.Equal(t.due, o.due) && maps.Equal(t.former, o.former)
}

func containsVM(list []Peer, name string) bool {
	return slices.ContainsFunc(list, func(p Peer) bool { return p.Name == name })
}

// changing reports whether the holders change after a time without any other cause.
func (t *targetHolders) changing() bool { return t.dueSince != 0 || len(t.former) > 0 }

// shares returns how many VMs may have a share of the target's connections: the holders,
// those that are due to be, and those that ceased to be lately. VMs may see a change at
// different times, and then some of each hold connections.
func (t *targetHolders) shares() int {
	count := len(t.holders)
	for _, p := range t.due {
		if !containsVM(t.holders, p.Name) {
			count++
		}
	}
	for name := range t.former {
		if !containsVM(t.holders, name) && !containsVM(t.due, name) {
			count++
		}
	}
	return count
}

// limits returns the limits for allocating the connections to the target, of which all
// VMs together may hold the given number.
func (t *targetHolders) limits(connections int) pool.Limits {
	return pool.Limits{Connections: max(connections-controlConnections, 1), VMs: t.shares(), Since: t.allocatorSince}
}

// way returns how this VM reaches the target for a customer.
func (t *targetHolders) way(customer string) relay.Holders {
	if t == nil {
		return relay.Holders{ByCustomer: true}
	}
	if t.self {
		return relay.Holders{ByCustomer: true, Self: true}
	}
	return relay.Holders{ByCustomer: true, Addresses: t.orders.of(customer)}
}

// customerOrders ranks a target's holders for each customer by rendezvous hashing: by
// the hash of the customer and the holder. Every VM ranks them alike, and when a holder
// fails its customers are spread over the others.
type customerOrders struct {
	addresses []string
	// hashes are those of the holders' names.
	hashes []uint64
	// cache maps customers' names to addresses in their order; cached counts them.
	cache  sync.Map
	cached atomic.Int64
}

func newCustomerOrders(holders []Peer) *customerOrders {
	o := &customerOrders{}
	for _, p := range holders {
		o.addresses = append(o.addresses, p.Relay)
		o.hashes = append(o.hashes, xxhash.Sum64String(p.Name))
	}
	return o
}

// of returns the addresses at which the holders accept links, in the customer's order.
// The caller must not change them.
func (o *customerOrders) of(customer string) []string {
	if order, ok := o.cache.Load(customer); ok {
		return order.([]string)
	}
	order := o.compute(customer)
	if o.cached.Load() < maxCachedOrders {
		o.cached.Add(1)
		o.cache.Store(customer, order)
	}
	return order
}

func (o *customerOrders) compute(customer string) []string {
	hash := xxhash.Sum64String(customer)
	order := make([]string, len(o.addresses))
	for i := range o.hashes {
		// The rank of a holder is the number of those with a lower score, or with the
		// same and listed before it.
		rank, score := 0, mix(hash^o.hashes[i])
		for j := range o.hashes {
			if other := mix(hash ^ o.hashes[j]); other < score || other == score && j < i {
				rank++
			}
		}
		order[rank] = o.addresses[i]
	}
	return order
}

// mix is the finalizer of SplitMix64, which makes each bit of the result depend on all
// bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
