package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order sorts VMs by rendezvous hashing of their names with the given name.
// The same VMs are in the same order on every VM, and the removal of a VM
// does not change the order of the others.
func Order(name string, vms []Member) []Member {
	type scored struct {
		vm    Member
		score uint64
	}
	list := make([]scored, 0, len(vms))
	for _, v := range vms {
		list = append(list, scored{vm: v, score: xxhash.Sum64String(name + "\x00" + v.name)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.name, b.vm.name)
	})
	out := make([]Member, 0, len(vms))
	for _, s := range list {
		out = append(out, s.vm)
	}
	return out
}

// PerZone returns, in that order, the first count VMs of each zone.
func PerZone(name string, vms []Member, count int) []Member {
	chosen := map[string]int{}
	out := []Member{}
	for _, v := range Order(name, vms) {
		if chosen[v.zone] < count {
			chosen[v.zone]++
			out = append(out, v)
		}
	}
	return out
}

// Rank returns the position of vm among the first VM of each zone in the
// order for name, or -1 if vm is not the first of its zone.
func Rank(name, vm string, vms []Member) int {
	return slices.IndexFunc(PerZone(name, vms, 1), func(v Member) bool { return v.name == vm })
}
