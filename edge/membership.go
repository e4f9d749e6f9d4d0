package edge

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"amaranthsill/ring"
)

// membership is the set of VMs that may be running, with everything that VMs derive
// from it alike. It is computed once for each change of the set and never modified.
type membership struct {
	// peers are the VMs, sorted by name.
	peers []Peer
	zones map[string]*zoneMembership
	// roots are the first VMs of the zones' orders, ranked among one another.
	roots []Peer

	everywhereOnce sync.Once
	allZones       *zoneMembership
}

// zoneMembership is the part of a membership in one zone.
type zoneMembership struct {
	// order ranks the VMs; see overlay.go for its use.
	order []Peer
	// byName maps the names of the zone's VMs to their positions in order.
	byName map[string]int

	placeOnce sync.Once
	placed    *ring.Ring
}

// overlayOrderKey ranks the VMs of a zone in the overlay.
const overlayOrderKey = "spread"

// newMembership returns the membership of VMs that are sorted by name.
func newMembership(peers []Peer) *membership {
	m := &membership{peers: peers, zones: map[string]*zoneMembership{}}
	for _, p := range ranked(peers, overlayOrderKey) {
		z := m.zones[p.Zone]
		if z == nil {
			z = &zoneMembership{byName: map[string]int{}}
			m.zones[p.Zone] = z
			m.roots = append(m.roots, p)
		}
		z.byName[p.Name] = len(z.order)
		z.order = append(z.order, p)
	}
	return m
}

// zone returns the part of the membership in a zone, which may be empty.
func (m *membership) zone(name string) *zoneMembership {
	if z := m.zones[name]; z != nil {
		return z
	}
	return &zoneMembership{}
}

// everywhere returns the VMs of all zones together as if they were in one.
func (m *membership) everywhere() *zoneMembership {
	m.everywhereOnce.Do(func() {
		m.allZones = &zoneMembership{order: m.peers, byName: map[string]int{}}
		for i, p := range m.peers {
			m.allZones.byName[p.Name] = i
		}
	})
	return m.allZones
}

// place returns up to count VMs of the zone for a key, in the order of preference.
func (z *zoneMembership) place(key string, count int) []Peer {
	z.placeOnce.Do(func() {
		nodes := make([]ring.Node, 0, len(z.order))
		for _, p := range z.order {
			nodes = append(nodes, ring.Node{Name: p.Name, Weight: p.Cores})
		}
		z.placed = ring.New(nodes)
	})
	list := make([]Peer, 0, count)
	for _, name := range z.placed.Pick(key, count) {
		list = append(list, z.order[z.byName[name]])
	}
	return list
}

// ranked returns the VMs in an order that depends on the key and is the same on
// every VM that knows the same VMs. The key is any text, such as the name of a group
// or the ID of a target; with a key for each, the first ranks are spread over the
// VMs.
func ranked(peers []Peer, key string) []Peer {
	type hashed struct {
		hash uint64
		peer Peer
	}
	list := make([]hashed, 0, len(peers))
	for _, p := range peers {
		list = append(list, hashed{xxhash.Sum64String(key + p.Name), p})
	}
	slices.SortFunc(list, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	order := make([]Peer, 0, len(list))
	for _, h := range list {
		order = append(order, h.peer)
	}
	return order
}

// rankedPeers returns the VMs that the directory holds, among them this one once
// it is registered, ranked by a key.
func (v *VM) rankedPeers(key string) []Peer { return ranked(v.directory.members().peers, key) }
