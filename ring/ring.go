// Package ring places keys on VMs by consistent hashing. Every VM that knows the
// same VMs places a key alike, so that nothing has to be agreed, and a VM that joins
// or leaves moves only the keys that are placed on it. A VM gets keys in proportion
// to its weight.
//
// Building a Ring of n VMs takes time proportional to n log n, and placing a key
// proportional to log n, so that placing many keys on many VMs does not take the
// product of both.
//
// # Usage
//
//	r := ring.New([]ring.Node{{Name: "vm-1", Weight: 0.8}, {Name: "vm-2", Weight: 0.2}})
//	names := r.Pick("choir", 2)
package ring

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Node is a VM on which keys can be placed.
type Node struct {
	Name string
	// Weight is the VM's capacity in processor cores. A weight that is not
	// positive is unknown and counts as DefaultWeight.
	Weight float64
}

// DefaultWeight is the weight in cores of a node without one.
const DefaultWeight = 0.4

// The number of points that a node has on the ring.
const (
	pointsPerCore = 40
	minPoints     = 4
	maxPoints     = 256
)

// point is one of the positions of a node on the ring.
type point struct {
	hash uint64
	node int
}

// Ring places keys on nodes. It is immutable and safe for concurrent use.
type Ring struct {
	names  []string
	points []point
}

// New returns a ring of the nodes, whose names have to differ.
func New(nodes []Node) *Ring {
	r := &Ring{}
	for i, n := range nodes {
		r.names = append(r.names, n.Name)
		for p := range n.points() {
			r.points = append(r.points, point{hash: xxhash.Sum64String(n.Name + "#" + strconv.Itoa(p)), node: i})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(r.names[a.node], r.names[b.node]))
	})
	return r
}

func (n Node) points() int {
	w := n.Weight
	if w <= 0 || math.IsNaN(w) {
		w = DefaultWeight
	}
	return int(min(max(math.Round(w*pointsPerCore), minPoints), maxPoints))
}

// Pick returns the names of count different nodes for a key, or of all nodes if
// there are fewer, in the order of preference.
func (r *Ring) Pick(key string, count int) []string {
	count = min(count, len(r.names))
	names := make([]string, 0, count)
	hash := xxhash.Sum64String(key)
	start, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := 0; len(names) < count; i++ {
		name := r.names[r.points[(start+i)%len(r.points)].node]
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
