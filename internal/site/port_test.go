package site

import "testing"

// TestAddressesOfTwoProcessesDiffer guards against test processes beside one another whose
// VMs take the ports of one another's VMs while these are down: callers of one process were
// answered by VMs of the other.
func TestAddressesOfTwoProcessesDiffer(t *testing.T) {
	one, other := &addresses{}, &addresses{}
	t.Cleanup(func() {
		for _, l := range append(one.guards, other.guards...) {
			_ = l.Close()
		}
	})
	seen := map[string]bool{}
	for range 2 * blockPorts {
		seen[one.free()] = true
	}
	for range 2 * blockPorts {
		if a := other.free(); seen[a] {
			t.Fatalf("both get %s", a)
		}
	}
}
