package ring_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"amaranthsill/ring"
)

// nodes returns VMs of which every tenth has four times the processor of the others.
func nodes(count int) []ring.Node {
	list := []ring.Node{}
	for i := range count {
		weight := 0.2
		if i%10 == 0 {
			weight = 0.8
		}
		list = append(list, ring.Node{Name: fmt.Sprintf("vm-%d", i), Weight: weight})
	}
	return list
}

func TestPickPlacesKeysByWeight(t *testing.T) {
	cases := map[string]struct{ vms, keys int }{
		"fifty VMs":          {50, 20_000},
		"five hundred VMs":   {500, 200_000},
		"a single large one": {1, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			all := nodes(c.vms)
			r := ring.New(all)
			count := map[string]int{}
			for k := range c.keys {
				count[r.Pick(fmt.Sprintf("group-%d", k), 1)[0]]++
			}
			total := 0.0
			for _, n := range all {
				total += n.Weight
			}
			for _, n := range all {
				share := float64(c.keys) * n.Weight / total
				if got := float64(count[n.Name]); got > 3*share {
					t.Errorf("%s of weight %.1f has %.0f keys, want at most three times its share of %.0f", n.Name, n.Weight, got, share)
				}
			}
		})
	}
}

func TestPickReturnsDifferentNodes(t *testing.T) {
	r := ring.New(nodes(3))
	got := r.Pick("choir", 9)
	slices.Sort(got)
	if want := []string{"vm-0", "vm-1", "vm-2"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := ring.New(nil).Pick("choir", 2); len(got) != 0 {
		t.Errorf("an empty ring returned %v", got)
	}
}

func TestPickMovesOnlyTheKeysOfALeavingNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(2, 60).Draw(t, "vms"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		before := ring.New(all)
		after := ring.New(slices.Delete(slices.Clone(all), gone, gone+1))
		for k := range 100 {
			key := fmt.Sprintf("group-%d", k)
			old, now := before.Pick(key, 1)[0], after.Pick(key, 1)[0]
			if old != all[gone].Name && old != now {
				t.Fatalf("%s moved from %s to %s although %s left", key, old, now, all[gone].Name)
			}
		}
	})
}

func TestPickDoesNotDependOnTheOrderOfNodes(t *testing.T) {
	all := nodes(30)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	a, b := ring.New(all), ring.New(reversed)
	for k := range 100 {
		key := fmt.Sprintf("group-%d", k)
		if !slices.Equal(a.Pick(key, 3), b.Pick(key, 3)) {
			t.Errorf("%s is placed on %v and on %v", key, a.Pick(key, 3), b.Pick(key, 3))
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, vms := range []int{50, 500} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			r := ring.New(nodes(vms))
			for b.Loop() {
				r.Pick("choir", 2)
			}
		})
	}
}
