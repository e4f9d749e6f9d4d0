package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order sorts VMs by rendezvous hashing for a name: the same VMs give the
// same order everywhere, and a VM that leaves moves only what it had.
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

// PerZone returns the first count VMs of each zone in the order for a name.
func PerZone(name string, vms []Member, count int) []Member {
	taken := map[string]int{}
	out := []Member{}
	for _, v := range Order(name, vms) {
		if taken[v.zone] < count {
			taken[v.zone]++
			out = append(out, v)
		}
	}
	return out
}

// Rank returns a VM's place among the watchers of a name, one in each zone,
// or -1 if it is not one of them.
func Rank(name, vm string, vms []Member) int {
	return slices.IndexFunc(PerZone(name, vms, 1), func(v Member) bool { return v.name == vm })
}
