// Package roster knows the VMs of the system and chooses among them.
//
// # Usage
//
//	order := roster.Order("choir", vms)
//	rank := roster.Rank("choir", "vm-1", vms)
package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is one VM of the system.
type VM struct {
	Name    string
	Zone    string
	Address string
	Leaving bool
}

// Order sorts VMs by rendezvous hashing for a name: the same VMs give the
// same order everywhere, and a VM that leaves moves only what it had.
func Order(name string, vms []VM) []VM {
	type scored struct {
		vm    VM
		score uint64
	}
	list := make([]scored, 0, len(vms))
	for _, v := range vms {
		list = append(list, scored{vm: v, score: xxhash.Sum64String(name + "\x00" + v.Name)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.Name, b.vm.Name)
	})
	out := make([]VM, 0, len(vms))
	for _, s := range list {
		out = append(out, s.vm)
	}
	return out
}

// PerZone returns the first count VMs of each zone in the order for a name.
func PerZone(name string, vms []VM, count int) []VM {
	taken := map[string]int{}
	out := []VM{}
	for _, v := range Order(name, vms) {
		if taken[v.Zone] < count {
			taken[v.Zone]++
			out = append(out, v)
		}
	}
	return out
}

// Rank returns a VM's place among the watchers of a name, one in each zone,
// or -1 if it is not one of them.
func Rank(name, vm string, vms []VM) int {
	return slices.IndexFunc(PerZone(name, vms, 1), func(v VM) bool { return v.Name == vm })
}
