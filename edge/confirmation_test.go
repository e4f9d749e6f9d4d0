package edge

import (
	"fmt"
	"testing"
)

// voters returns VMs of this build by number, of which some are silent.
func voters(vms int, silent ...int) []recentPeer {
	list := make([]recentPeer, vms)
	for i := range list {
		list[i].Peer = Peer{Name: fmt.Sprint(i), Majority: true, Silence: true}
	}
	for _, i := range silent {
		list[i].Silent, list[i].unheard = true, true
	}
	return list
}

// TestConfirmationOfASplitFleet answers the pattern of a network partition while a VM is
// gone: the side that has most of the VMs that run goes on serving.
func TestConfirmationOfASplitFleet(t *testing.T) {
	oldBuild := voters(8, 7)
	oldBuild[3].Silence = false
	thirds := voters(8)
	thirds[3].Majority = false
	cases := map[string]struct {
		others []recentPeer
		agree  int
		want   bool
	}{
		"65 to 35, all run":                                {voters(19), 12, true},
		"35 to 65, all run":                                {voters(19), 6, false},
		"60 to 40, all run":                                {voters(9), 5, true},
		"50 to 50, all run":                                {voters(9), 4, false},
		"5 of 8, one of them gone":                         {voters(7, 6), 3, true},
		"5 of 8, one of them gone for a short time":        {voters(7), 3, false},
		"4 of 8, one of the others gone":                   {voters(7, 6), 3, true},
		"4 of 8, one of them gone":                         {voters(7, 6), 2, false},
		"3 of 6, one of the others gone":                   {voters(5, 4), 2, true},
		"all others gone":                                  {voters(3, 0, 1, 2), 0, true},
		"one gone, beside a build that counts its yield":   {oldBuild, 3, false},
		"most agree, beside a build that moves at a third": {thirds, 4, false},
		"two thirds agree, beside such a build":            {thirds, 6, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newConfirmation(c.others)
			for i := range c.agree {
				n.agree(fmt.Sprint(i))
			}
			if got := n.enough(); got != c.want {
				t.Errorf("confirmed: %t, want %t", got, c.want)
			}
		})
	}
}

func TestConfirmationCountsEachVMOnce(t *testing.T) {
	c := newConfirmation(voters(4, 3))
	for range 3 {
		c.agree("0")
		c.agree("3")
		c.agree("unknown")
	}
	if c.agreed != 2 || c.enough() {
		t.Errorf("%d VMs agreed, enough: %t; want 2 of 4, not enough", c.agreed, c.enough())
	}
}

// TestConfirmationCountsVMsThatAreNotKnown guards against a VM that confirms the record
// alone, since the entries of all others had lapsed when it started.
func TestConfirmationCountsVMsThatAreNotKnown(t *testing.T) {
	cases := map[string]struct {
		others []recentPeer
		vms    int
		agree  int
		want   bool
	}{
		"the record counts no VMs":           {nil, 0, 0, true},
		"the only VM":                        {nil, 1, 0, true},
		"one of four, no other is known":     {nil, 4, 0, false},
		"two of four, two are not known":     {voters(1), 4, 1, false},
		"three of four, one is not known":    {voters(2), 4, 2, true},
		"two of four, one of them is silent": {voters(3, 2), 4, 1, true},
		"more than the record counts":        {voters(4), 4, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newConfirmation(c.others)
			n.expect(c.vms)
			for i := range c.agree {
				n.agree(fmt.Sprint(i))
			}
			if got := n.enough(); got != c.want {
				t.Errorf("confirmed: %t, want %t", got, c.want)
			}
		})
	}
}
