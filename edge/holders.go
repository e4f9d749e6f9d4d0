package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/customer"
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
	// targets holds by ID the holders of the group's targets where these are placed
	// by target, which is with customers. It is nil elsewhere. If it is not, Self is
	// true where this VM holds any of them, and Addresses and the allocators are not
	// used.
	targets map[string]*targetHolders
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
	c := s.catalog.Current()
	changedTargets := s.targetsChanged(c)
	if !changedTargets && s.holdersCheckedAt != 0 && now-s.holdersCheckedAt < holderCheckInterval {
		return
	}
	s.holdersCheckedAt = now
	members := s.directory.members()
	in := holderInputs{configuration: c, members: members, vms: max(len(members.peers), s.VM.expectedVMs())}
	unchanged := in == s.holderInputs && !changedTargets
	if unchanged && !s.targetHoldersChanging && len(s.holderChangeSince) == 0 {
		return
	}
	s.holderInputs = in
	before := *s.holders.Load()
	next := map[string]groupHolders{}
	s.targetHoldersChanging = false
	others := (*membership)(nil)
	if len(before) == 0 && c.Customers != nil && !s.Settings.FirstStart() && !s.directory.Returned() {
		others = members.without(s.Settings.VM())
		s.holdersSettleAt = now + holderChangeDelay + holderCheckInterval
	}
	for name, n := range c.Groups {
		if unchanged && before[name].settled() && s.holderChangeSince[name] == 0 {
			next[name] = before[name]
			continue
		}
		h := s.chooseHolders(name, n.ConnectionLimit-controlConnections, in.vms, members)
		if h.relayed && c.Customers != nil {
			h = s.placeTargets(h, before[name].targets, name, n.ConnectionLimit-controlConnections, members, others)
		}
		next[name] = h
	}
	changed := []string{}
	for name, h := range next {
		old, ok := before[name]
		h.allocatorSince = s.allocatorSince(h, old, now)
		next[name] = h
		if !ok || h.sameWay(old) {
			delete(s.holderChangeSince, name)
			continue
		}
		if !s.holderChangeDue(name, now) {
			old.allocators, old.allocatorSince = h.allocators, h.allocatorSince
			next[name] = old
			continue
		}
		s.Log.Info("holders of a group's connections changed", "group", name, "self", h.Self, "holders", h.Addresses, "targets", len(h.targets))
		changed = append(changed, name)
	}
	s.holders.Store(&next)
	for _, name := range changed {
		s.pool(name).ReplaceLinks()
	}
	for name, h := range next {
		s.replaceChangedLinks(name, before[name].targets, h.targets)
	}
}

// settled reports whether the group's targets are placed by target and no holder of
// any changes unless something else does.
func (h groupHolders) settled() bool {
	for _, t := range h.targets {
		if t.changing() {
			return false
		}
	}
	return h.targets != nil
}

// sameWay reports whether this VM reaches the group's targets in the same way as
// before, except for single targets where these are placed by target.
func (h groupHolders) sameWay(old groupHolders) bool {
	if h.targets != nil || old.targets != nil {
		return h.targets != nil && old.targets != nil
	}
	return h.Self == old.Self
}

// placeTargets returns a group's holders with those of each of its targets, given the
// targets' holders before. At the VM's start, others are the VMs without this one.
func (s *supervisor) placeTargets(h groupHolders, before map[string]*targetHolders, group string, connections int, members, others *membership) groupHolders {
	h.targets = map[string]*targetHolders{}
	h.Self = false
	for _, t := range s.directory.Targets(group) {
		old := before[t.ID]
		if others != nil {
			old = startingHolders(others, t, connections)
		}
		n := old.next(s.holdersCheckedAt, s.Settings.VM(), t, members.targetHolders(t, connections))
		h.targets[t.ID] = n
		h.Self = h.Self || n.self
		s.targetHoldersChanging = s.targetHoldersChanging || n.changing()
	}
	return h
}

// targetsChanged reports whether a target of a group that is placed by target has
// come, left, or moved to another zone since the holders were evaluated.
func (s *supervisor) targetsChanged(c *catalog.Configuration) bool {
	if c.Customers == nil {
		return false
	}
	known := *s.holders.Load()
	for name := range c.Groups {
		placed := known[name].targets
		if placed == nil {
			continue
		}
		list := s.directory.Targets(name)
		if len(list) != len(placed) {
			return true
		}
		for _, t := range list {
			if h := placed[t.ID]; h == nil || h.zone != t.Zone {
				return true
			}
		}
	}
	return false
}

// replaceChangedLinks replaces the links to the targets of a group for which this VM
// starts or stops to be a holder.
func (s *supervisor) replaceChangedLinks(group string, before, after map[string]*targetHolders) {
	for id, h := range after {
		if old := before[id]; old != nil && old.self != h.self {
			s.Log.Info("holders of a target's connections changed", "target", id, "self", h.self, "holders", len(h.holders))
			s.pool(group).ReplaceLinksTo(id)
		}
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

// holdersFirst moves the VMs that hold a group's connections to the front, given the
// holders of its targets if those are placed by target.
func (m *membership) holdersFirst(group string, targets map[string]*targetHolders, order []Peer) []Peer {
	isHolder := map[string]bool{}
	if targets == nil {
		for _, p := range m.holders(group) {
			isHolder[p.Name] = true
		}
	}
	for _, t := range targets {
		for _, p := range t.holders {
			isHolder[p.Name] = true
		}
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
func (v *VM) heldPool(group, target string) (*pool.Group, bool) {
	if !v.holds(group, target) {
		return nil, false
	}
	return v.existingPool(group)
}

// holds reports whether this VM holds connections to a target.
func (v *VM) holds(group, target string) bool {
	h := v.holdersOf(group)
	if h.targets == nil {
		return h.Self
	}
	t := h.targets[target]
	return t != nil && t.self
}

// releaseGrace is for how long a VM that ceased to hold a target still serves the links
// to it that are open. Other VMs learn of the change within it, and do not use the links
// any more.
const releaseGrace = 2 * time.Second

// released reports whether this VM ceased to hold a target within releaseGrace.
func (v *VM) released(group, target string) bool {
	t := v.holdersOf(group).targets[target]
	if t == nil {
		return false
	}
	at, ok := t.former[v.Settings.VM()]
	return ok && v.Now()-at < releaseGrace
}

// wayTo returns how this VM reaches a target for a customer.
func (v *VM) wayTo(t pool.Target, customer string) relay.Holders {
	h := v.holdersOf(t.Group)
	if h.targets == nil {
		return h.Holders
	}
	return h.targets[t.ID].way(customer)
}

// customersVersion returns the version of the configuration in force; zero if it has
// no customers.
func (v *VM) customersVersion() uint64 {
	c := v.catalog.Current()
	if c == nil || c.Customers == nil {
		return 0
	}
	return c.Version
}

// customerNamed returns the customer with the name that an order from another VM gives,
// sent under a version of the configuration; nil if this VM's configuration is not older
// and has no customers. It returns false if the customer does not exist any more. A
// customer of a newer version is not known here yet; it is returned with its name alone.
func (v *VM) customerNamed(name string, version uint64) (*customer.Customer, bool) {
	c := v.catalog.Current()
	if c != nil && c.Customers != nil {
		if n, ok := c.Customers.Named(name); ok {
			return n, true
		}
	}
	if c == nil || c.Version < version {
		return &customer.Customer{Name: name}, true
	}
	return nil, c.Customers == nil
}

// newDialer returns the dialer that opens links to targets: directly, or through a
// holder, which is a VM that holds the connections for the VMs that have none.
func (v *VM) newDialer() *relay.Dialer {
	return &relay.Dialer{
		Direct:  v.Adapter.Dialer,
		Holders: v.wayTo,
		Version: v.customersVersion,
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
