package front

import (
	"fmt"
	"testing"
)

// TestBusiestCustomers guards against metrics with a series for each of thousands of
// customers, and against sessions that no series counts.
func TestBusiestCustomers(t *testing.T) {
	counts := map[string]int{}
	for i := range 10_000 {
		counts[fmt.Sprintf("c%d", i)] = i + 1
	}
	got := busiest(counts)
	if len(got) != maxCustomerLabels+1 {
		t.Errorf("got %d labels, want %d and the rest", len(got), maxCustomerLabels)
	}
	sum := 0
	for name, n := range got {
		sum += n
		if name != OtherCustomers && n <= 10_000-maxCustomerLabels {
			t.Errorf("customer %s with %d sessions is not among the busiest", name, n)
		}
	}
	if sum != 10_000*10_001/2 {
		t.Errorf("labels count %d sessions, want all", sum)
	}
	if got := busiest(map[string]int{"c1": 2}); len(got) != 1 || got["c1"] != 2 {
		t.Errorf("got %v for a single customer", got)
	}
}
