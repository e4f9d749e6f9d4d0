package edge

import "slices"

// The overlay connects the VMs of a zone for what all of them have to learn or to
// answer: changes in the store, confirmations of the leader record, and yields. It is
// a tree over the zone's order, in which a VM has at most overlayFanout children, so
// that no VM's calls and connections grow with the fleet. The first VM of the order
// is the root. The roots speak with one another across zones: the first of them
// follows the store, and the others follow it.
//
// VMs whose views of the membership differ may place a VM under different parents.
// A parent always ranks before its children, by a hash that does not depend on the
// view, so that there is never a cycle.

const (
	// overlayFanout is how many children a VM has at most. Two levels below the
	// root cover a zone of 73 VMs, three one of 585.
	overlayFanout = 8
	// maxZoneWatchers is how many VMs of a zone call the store for the whole
	// zone. The second follows the first, and replaces it when it fails.
	maxZoneWatchers = 2
	// maxRootSources is how many other roots a root follows before it calls the
	// store itself. The second replaces the first when it fails.
	maxRootSources = 2
)

// parent returns the position of the parent of the VM at a position above zero.
func parent(position int) int { return (position - 1) / overlayFanout }

// children returns the children of a VM; none if it is not among the zone's VMs.
func (z *zoneMembership) children(name string) []Peer {
	i, ok := z.byName[name]
	if !ok {
		return nil
	}
	first := min(i*overlayFanout+1, len(z.order))
	return z.order[first:min(first+overlayFanout, len(z.order))]
}

// sources returns the VMs that the named one follows, in the order in which it asks
// them: its ancestors from its parent to the root, and then the other zone watchers.
// A VM that is not registered yet follows the zone watchers.
func (z *zoneMembership) sources(name string) []Peer {
	i, ok := z.byName[name]
	if !ok {
		return z.watchers()
	}
	list := []Peer{}
	for at := i; at > 0; {
		at = parent(at)
		list = append(list, z.order[at])
	}
	for at := 1; at < min(i, maxZoneWatchers); at++ {
		if parent(i) != at {
			list = append(list, z.order[at])
		}
	}
	return list
}

// sources returns the VMs that a VM of a zone follows, in the order in which it asks
// them. A root follows the roots that rank before it.
func (m *membership) sources(zone, name string) []Peer {
	z := m.zone(zone)
	if len(z.order) == 0 || z.order[0].Name != name {
		return z.sources(name)
	}
	i := m.rootRank(name)
	return m.roots[:min(i, maxRootSources)]
}

// followers returns the VMs that normally follow a VM of a zone: its children, and the
// other roots if it is the first of them.
func (m *membership) followers(zone, name string) []Peer {
	list := slices.Clone(m.zone(zone).children(name))
	if len(m.roots) > 0 && m.roots[0].Name == name {
		list = append(list, m.roots[1:]...)
	}
	return list
}

// rootRank returns the position of a VM among the roots; their number if it is none.
func (m *membership) rootRank(name string) int {
	i := slices.IndexFunc(m.roots, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return len(m.roots)
	}
	return i
}

// watchers returns the VMs that call the store for the zone.
func (z *zoneMembership) watchers() []Peer { return z.order[:min(len(z.order), maxZoneWatchers)] }

// isWatcher reports whether the named VM calls the store for the zone. A VM that is
// not registered yet does so if there is no other.
func (z *zoneMembership) isWatcher(name string) bool {
	i, ok := z.byName[name]
	if !ok {
		return len(z.order) == 0
	}
	return i < maxZoneWatchers
}

// ownZone returns the membership of this VM's zone.
func (v *VM) ownZone() *zoneMembership { return v.directory.members().zone(v.Settings.Zone()) }

// ownSources returns the VMs that this one follows, without those that did not answer
// lately.
func (v *VM) ownSources() []Peer {
	return v.sources.answering(v.directory.members().sources(v.Settings.Zone(), v.Settings.VM()), v.Now())
}

// isZoneWatcher reports whether this VM calls the store for its zone.
func (v *VM) isZoneWatcher() bool { return v.ownZone().isWatcher(v.Settings.VM()) }

// isFleetWatcher reports whether this VM is one of the first roots, on which all zones
// rely.
func (v *VM) isFleetWatcher() bool {
	return v.directory.members().rootRank(v.Settings.VM()) < maxRootSources
}
