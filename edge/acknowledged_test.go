package edge

import (
	"testing"

	"amaranthsill/group"
	"amaranthsill/peer/peerpb"
	"amaranthsill/query"
)

// TestHighestAcknowledged guards against a log position that passes for the end of what was
// acknowledged although a VM that is not heard may have acknowledged more.
func TestHighestAcknowledged(t *testing.T) {
	const up = 60_000
	sampled := &peerpb.Acknowledged{Up: up, Term: 3, Offset: 5, SampleTerm: 3, SampleOffset: 4, SampleAge: 9_000}
	cases := map[string]struct {
		answers []*peerpb.Acknowledged
		want    query.Position
		known   bool
	}{
		"the highest commit counts": {
			[]*peerpb.Acknowledged{sampled, {Up: up, Term: 3, Offset: 8}, {Up: up}},
			group.At(3, 8), true,
		},
		"a higher term counts more": {
			[]*peerpb.Acknowledged{sampled, {Up: up, Term: 4, Offset: 1}},
			group.At(4, 1), true,
		},
		"a sample counts where the commits are older": {
			[]*peerpb.Acknowledged{{Up: up, SampleTerm: 3, SampleOffset: 9, SampleAge: 1}, {Up: up, Term: 3, Offset: 2}},
			group.At(3, 9), true,
		},
		"the lowest of several samples is enough": {
			[]*peerpb.Acknowledged{sampled, {Up: up, SampleTerm: 3, SampleOffset: 9, SampleAge: 1}},
			group.At(3, 5), true,
		},
		"a VM that does not answer":            {[]*peerpb.Acknowledged{sampled, nil}, group.Position{}, false},
		"a VM that started again lately":       {[]*peerpb.Acknowledged{sampled, {Up: 14_000}}, group.Position{}, false},
		"no sample":                            {[]*peerpb.Acknowledged{{Up: up, Term: 3, Offset: 5}}, group.Position{}, false},
		"a sample that is too old":             {[]*peerpb.Acknowledged{{Up: up, SampleTerm: 3, SampleOffset: 5, SampleAge: 14_001}}, group.Position{}, false},
		"an age that overflows a duration":     {[]*peerpb.Acknowledged{{Up: up, SampleTerm: 3, SampleOffset: 5, SampleAge: 1 << 63}}, group.Position{}, false},
		"nobody answers":                       {nil, group.Position{}, false},
		"a time that overflows counts as long": {[]*peerpb.Acknowledged{{Up: 1 << 63, SampleTerm: 3, SampleOffset: 5, SampleAge: 1}}, group.At(3, 5), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, known := highestAcknowledged(c.answers)
			if known != c.known || known && got.Compare(c.want) != 0 {
				t.Errorf("position %v, known %t; want %v, %t", got, known, c.want, c.known)
			}
		})
	}
}
