package edge

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthsill/ring"
)

// Constants of the choice of limiters.
const (
	// limitKey, followed by the hash bucket, places its limiters on VMs.
	limitKey = "limit/"
	// limitersPerBucket is how many VMs a VM asks in turn, apart from one in its own zone.
	limitersPerBucket = 3
	// shareRetention is how long a VM that vanished still owns a share. It may be cut off,
	// and use its share without a limiter.
	shareRetention = 10 * time.Minute
)

// limitPlaces is where the limiters of one hash bucket are.
type limitPlaces struct {
	// vms is the number of VMs among which the limits are divided.
	vms int
	// order holds the names of the limiters, in the order in which they are asked.
	order []string
	// addresses holds where VMs accept calls, by name.
	addresses map[string]string
}

// placesOf returns the limiters of a hash bucket: the first VMs in ring order, and the
// first of this VM's zone, so that the VMs of a zone that is cut off pool their shares.
func (l *rateLimiter) placesOf(m *membership, vms, bucket int) limitPlaces {
	key := limitKey + strconv.Itoa(bucket)
	r := l.places.ring(m)
	p := limitPlaces{vms: vms, order: r.Pick(key, limitersPerBucket), addresses: l.places.addresses}
	for _, near := range m.zone(l.Settings.Zone()).place(key, 1) {
		if !slices.Contains(p.order, near.Name) {
			p.order = append(p.order, near.Name)
		}
	}
	return p
}

// limitRing is the hash ring of all VMs, which is built once for each membership.
type limitRing struct {
	of        *membership
	built     *ring.Ring
	addresses map[string]string
}

func (r *limitRing) ring(m *membership) *ring.Ring {
	if r.of == m {
		return r.built
	}
	nodes := make([]ring.Node, 0, len(m.peers))
	r.addresses = map[string]string{}
	for _, p := range m.peers {
		nodes = append(nodes, ring.Node{Name: p.Name, Weight: p.Cores})
		r.addresses[p.Name] = p.Address
	}
	r.of, r.built = m, ring.New(nodes)
	return r.built
}

// vmCounter counts the VMs that own a share of the limits.
type vmCounter struct {
	// seen holds when a VM last counted as running, and left whether it had written then
	// that it left, by name.
	seen   map[string]time.Duration
	left   map[string]bool
	latest atomic.Int64
}

// count returns the number of VMs that own a share: those that count as running, and those
// that did within shareRetention and have not written that they left.
func (c *vmCounter) count(now time.Duration, m *membership, leavers map[string]bool) int {
	for _, p := range m.peers {
		c.seen[p.Name] = now
		c.left[p.Name] = leavers[p.Name]
	}
	for name, at := range c.seen {
		if at != now && (now-at > shareRetention || c.left[name]) {
			delete(c.seen, name)
			delete(c.left, name)
		}
	}
	c.latest.Store(int64(len(c.seen)))
	return len(c.seen)
}

// last returns the number of VMs that was counted last.
func (c *vmCounter) last() int { return int(c.latest.Load()) }
