package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
	"amaranthsill/relay"
)

// Limits and timing of holding target connections on behalf of other VMs.
const (
	// minDirectConnections is how many connections to a target there must be per
	// VM for all VMs to connect to it directly. With fewer, a transaction that
	// occupies the only connection of a VM blocks its other statements.
	minDirectConnections = 4
	// holdersPerZone is how many VMs of a zone hold a group's connections. The
	// second replaces the first when it fails.
	holdersPerZone = 2
	// maxRelayedLinks is how many links to a target a VM may open through a
	// holder. They use no connection of the target, but their orders wait at the
	// holder.
	maxRelayedLinks = 8
	// holderCheckInterval is the time between two evaluations of the holders.
	holderCheckInterval = 250 * time.Millisecond
	// holderChangeDelay is how long a VM must have been due to start or stop
	// holding connections before it does so. VMs whose entries expired while the
	// store was away have registered again by then.
	holderChangeDelay = time.Second
	// holderKey, followed by the group, places the group's connections on VMs of
	// a zone.
	holderKey = "hold/"
	// allocatorOrderKey, followed by the group, ranks the VMs that may divide the
	// group's connections.
	allocatorOrderKey = "divide/"
)

// groupHolders says which VMs hold the connections to a group's targets, as this
// VM sees it.
type groupHolders struct {
	relay.Holders
	// vms is how many VMs hold connections, in all zones together.
	vms int
	// relayed reports that only some VMs hold connections; the others send their
	// orders through these. It is false if every VM connects directly.
	relayed bool
	// allocators are the VMs that may divide the connections, in the order in
	// which they are asked.
	allocators []Peer
	// allocatorSince is when this VM became the first of the allocators; zero if
	// it is not.
	allocatorSince time.Duration
}

// holdersOf returns which VMs hold a group's connections. Before the first
// evaluation every VM holds its own.
func (v *VM) holdersOf(group string) groupHolders {
	if h, ok := (*v.holders.Load())[group]; ok {
		return h
	}
	return groupHolders{Holders: relay.Holders{Self: true}, vms: max(v.directory.PeerCount(), v.expectedVMs())}
}

// holderInputs is everything on which the holders of all groups depend.
type holderInputs struct {
	configuration *catalog.Configuration
	members       *membership
	vms           int
}

// updateHolders evaluates for every group which VMs hold its connections, and
// replaces the open links of groups for which this VM starts or stops to hold
// them. Only the supervisor calls it.
func (s *supervisor) updateHolders() {
	now := s.Now()
	if s.holdersCheckedAt != 0 && now-s.holdersCheckedAt < holderCheckInterval {
		return
	}
	s.holdersCheckedAt = now
	c := s.catalog.Current()
	members := s.directory.members()
	in := holderInputs{configuration: c, members: members, vms: max(len(members.peers), s.VM.expectedVMs())}
	if in == s.holderInputs && len(s.holderChangeSince) == 0 {
		return
	}
	s.holderInputs = in
	next := map[string]groupHolders{}
	for name, n := range c.Groups {
		next[name] = s.chooseHolders(name, n.ConnectionLimit-controlConnections, in.vms, members)
	}
	before := *s.holders.Load()
	changed := []string{}
	for name, h := range next {
		old, ok := before[name]
		h.allocatorSince = s.allocatorSince(h, old, now)
		next[name] = h
		if !ok || old.Self == h.Self {
			delete(s.holderChangeSince, name)
			continue
		}
		if !s.holderChangeDue(name, now) {
			old.allocators, old.allocatorSince = h.allocators, h.allocatorSince
			next[name] = old
			continue
		}
		s.Log.Info("holders of a group's connections changed", "group", name, "self", h.Self, "holders", h.Addresses)
		changed = append(changed, name)
	}
	s.holders.Store(&next)
	for _, name := range changed {
		s.pool(name).ReplaceLinks()
	}
}

// allocatorSince returns since when this VM is the first of a group's allocators, given
// what it knew before; zero if it is not.
func (s *supervisor) allocatorSince(h, before groupHolders, now time.Duration) time.Duration {
	if len(h.allocators) == 0 || h.allocators[0].Name != s.Settings.VM() {
		return 0
	}
	return cmp.Or(before.allocatorSince, now)
}

// holderChangeDue reports whether this VM has been due to start or stop holding a
// group's connections for holderChangeDelay. A change costs all open connections.
func (s *supervisor) holderChangeDue(group string, now time.Duration) bool {
	since, ok := s.holderChangeSince[group]
	if !ok {
		s.holderChangeSince[group] = now
		return false
	}
	if now-since < holderChangeDelay {
		return false
	}
	delete(s.holderChangeSince, group)
	return true
}

// chooseHolders decides which VMs hold a group's connections, given how many
// there are to a target, how many VMs are expected, and which are registered.
// While fewer than half of the expected VMs are registered, as when all start
// together, every VM connects directly. A VM that starts alone finds the others
// in the store.
func (s *supervisor) chooseHolders(group string, connections, vms int, members *membership) groupHolders {
	all := members.holders(group)
	allocators := ranked(all, allocatorOrderKey+group)
	if connections >= minDirectConnections*vms || 2*len(members.peers) < vms {
		return groupHolders{Holders: relay.Holders{Self: true}, vms: vms, allocators: allocators}
	}
	h := groupHolders{relayed: true, vms: len(all), allocators: allocators}
	for _, p := range all {
		if p.Zone != s.Settings.Zone() {
			continue
		}
		h.Self = h.Self || p.Name == s.Settings.VM()
		h.Addresses = append(h.Addresses, p.Relay)
	}
	return h
}

// holders returns the VMs that hold a group's connections where they do not suffice
// for all VMs: holdersPerZone of each zone, in the order in which the other VMs of
// the zone try them.
func (m *membership) holders(group string) []Peer {
	list := []Peer{}
	for _, z := range m.zones {
		list = append(list, z.place(holderKey+group, holdersPerZone)...)
	}
	return list
}

// holdersFirst moves the VMs that hold a group's connections to the front.
func (m *membership) holdersFirst(group string, order []Peer) []Peer {
	isHolder := map[string]bool{}
	for _, p := range m.holders(group) {
		isHolder[p.Name] = true
	}
	rank := func(p Peer) int {
		if isHolder[p.Name] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// heldPool returns the pool of a group if this VM holds the connections to the
// target; false if it does not.
func (v *VM) heldPool(group, _ string) (*pool.Group, bool) {
	if !v.holdersOf(group).Self {
		return nil, false
	}
	return v.existingPool(group)
}

// newDialer returns the dialer that opens links to targets: directly, or through a
// holder, which is a VM of the same zone that holds the group's connections for
// the VMs that have none.
func (v *VM) newDialer() *relay.Dialer {
	return &relay.Dialer{
		Direct:  v.Adapter.Dialer,
		Holders: func(t pool.Target, _ string) relay.Holders { return v.holdersOf(t.Group).Holders },
		Now:     v.Now,
		Log:     v.Log,
	}
}

// serveRelays accepts links from other VMs until the listener fails or the
// context ends.
func (v *VM) serveRelays(ctx context.Context, l listeners) {
	if err := v.relays.Serve(ctx, l.relay); err != nil {
		v.Log.Error(err, "relayed links from other VMs are no longer accepted")
	}
}
