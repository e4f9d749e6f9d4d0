package edge

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// zoneOf returns the membership of one zone with the VMs of the given numbers.
func zoneOf(numbers ...int) *zoneMembership {
	peers := []Peer{}
	for _, n := range numbers {
		peers = append(peers, Peer{Name: fmt.Sprintf("vm-%d", n), Zone: "coban"})
	}
	return newMembership(peers).zone("coban")
}

// upTo returns the numbers from zero to n, excluded.
func upTo(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// reach returns how often a message that starts at a VM reaches each VM.
func reach(z *zoneMembership, from string) map[string]int {
	count := map[string]int{from: 1}
	for _, p := range z.children(from) {
		for name, n := range reach(z, p.Name) {
			count[name] += n
		}
	}
	return count
}

func TestOverlayReachesEveryVMOfAZoneOnce(t *testing.T) {
	for _, vms := range []int{1, 2, 9, 50, 73, 172, 585} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			z := zoneOf(upTo(vms)...)
			count := reach(z, z.order[0].Name)
			if len(count) != vms {
				t.Fatalf("reached %d VMs, want %d", len(count), vms)
			}
			for name, n := range count {
				if n != 1 {
					t.Errorf("%s was reached %d times", name, n)
				}
			}
		})
	}
}

func TestOverlayConnectionsDoNotGrowWithTheZone(t *testing.T) {
	for _, vms := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			z := zoneOf(upTo(vms)...)
			for _, p := range z.order {
				if n := len(z.children(p.Name)); n > overlayFanout {
					t.Errorf("%s has %d children", p.Name, n)
				}
				if n := len(z.sources(p.Name)); n > 5 {
					t.Errorf("%s follows %d VMs", p.Name, n)
				}
			}
		})
	}
}

func TestOverlayHasNoCyclesBetweenDifferentViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := upTo(rapid.IntRange(2, 80).Draw(t, "vms"))
		order := zoneOf(all...).order
		rank := map[string]int{}
		for i, p := range order {
			rank[p.Name] = i
		}
		view := zoneOf(slices.DeleteFunc(all, func(int) bool { return rapid.IntRange(0, 3).Draw(t, "unknown") == 0 })...)
		for _, p := range view.order {
			for _, source := range view.sources(p.Name) {
				if rank[source.Name] >= rank[p.Name] {
					t.Fatalf("%s follows %s, which ranks behind it", p.Name, source.Name)
				}
			}
			for _, child := range view.children(p.Name) {
				if rank[child.Name] <= rank[p.Name] {
					t.Fatalf("%s calls %s, which ranks before it", p.Name, child.Name)
				}
			}
		}
	})
}

// TestRootsFollowTheFirstOnes guards against a root in each zone that follows the store:
// all but the first two learn of changes from those.
func TestRootsFollowTheFirstOnes(t *testing.T) {
	peers := []Peer{}
	for n := range 60 {
		peers = append(peers, Peer{Name: fmt.Sprintf("vm-%d", n), Zone: fmt.Sprintf("z%d", n%6)})
	}
	m := newMembership(peers)
	if len(m.roots) != 6 {
		t.Fatalf("%d roots, want 6", len(m.roots))
	}
	for i, p := range m.roots {
		if got, want := m.sources(p.Zone, p.Name), m.roots[:min(i, maxRootSources)]; !slices.Equal(got, want) {
			t.Errorf("root %d follows %v, want %v", i, got, want)
		}
		if !m.zone(p.Zone).isWatcher(p.Name) {
			t.Errorf("root %d does not call the store when those that it follows fail", i)
		}
	}
}

func TestSourcesOfAVMThatIsNotRegistered(t *testing.T) {
	z := zoneOf(upTo(20)...)
	if got := z.sources("vm-new"); !slices.Equal(got, z.order[:maxZoneWatchers]) {
		t.Errorf("a VM that is not registered follows %v, want the zone watchers", got)
	}
	if z.isWatcher("vm-new") {
		t.Error("a VM that is not registered calls the store although there are others")
	}
	if !zoneOf().isWatcher("vm-new") {
		t.Error("a VM alone in its zone does not call the store")
	}
}

func TestFollowersOfAVM(t *testing.T) {
	two := newMembership([]Peer{{Name: "a", Zone: "x"}, {Name: "b", Zone: "y"}})
	cases := map[string]struct {
		membership *membership
		name       string
		want       []Peer
	}{
		"of one that knows no VM":        {newMembership(nil), "new", nil},
		"of one that is not registered":  {two, "new", nil},
		"of the first root":              {two, two.roots[0].Name, two.roots[1:]},
		"of the second root":             {two, two.roots[1].Name, nil},
		"of the only VM, which is alone": {newMembership([]Peer{{Name: "a", Zone: "x"}}), "a", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			zone := two.roots[0].Zone
			if c.name == two.roots[1].Name {
				zone = two.roots[1].Zone
			}
			if got := c.membership.followers(zone, c.name); !slices.Equal(got, c.want) {
				t.Errorf("followers %v, want %v", got, c.want)
			}
		})
	}
}

// BenchmarkChooseHolders measures the placement of all groups on the VMs of a fleet
// after one VM has joined.
func BenchmarkChooseHolders(b *testing.B) {
	cases := map[string]struct{ vms, groups int }{
		"295 VMs, 20 groups":  {295, 20},
		"860 VMs, 970 groups": {860, 970},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) {
			peers := []Peer{}
			for n := range c.vms {
				peers = append(peers, Peer{Name: fmt.Sprintf("vm-%04d", n), Zone: fmt.Sprintf("z%d", n%6), Cores: 0.192})
			}
			for b.Loop() {
				m := newMembership(peers)
				for g := range c.groups {
					m.holders(fmt.Sprintf("group-%d", g))
				}
			}
		})
	}
}
