package pool

import (
	"cmp"
	"maps"
	"slices"
)

// Opens returns the number of connections to targets that this VM has opened.
func (g *Group) Opens() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.opens
}

// Evictions returns the number of idle connections that were closed to open another
// in their place.
func (g *Group) Evictions() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.evictions
}

// WaitingByCustomer returns the number of statements that wait for a target, by the
// name of their customer.
func (g *Group) WaitingByCustomer() map[string]int {
	g.lock.Lock()
	defer g.lock.Unlock()
	counts := map[string]int{}
	for _, w := range g.waiting {
		if w.need.Customer != nil {
			counts[w.need.Customer.Name]++
		}
	}
	return counts
}

// OtherCustomers is the name under which Busiest sums customers.
const OtherCustomers = "other"

// Busiest returns the largest counts by customer, the given number of them, and the
// sum of the rest under OtherCustomers. It bounds the label values of a metric.
func Busiest(counts map[string]int, number int) map[string]int {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	busiest := map[string]int{}
	for i, name := range names {
		if i >= number {
			name = OtherCustomers
		}
		busiest[name] += counts[names[i]]
	}
	return busiest
}
