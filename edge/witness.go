package edge

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
)

// The bounds of asking whether others reach a leader.
const (
	// witnessLimit bounds one question: a round trip between zones, and a new
	// connection to the target.
	witnessLimit = 350 * time.Millisecond
	// witnessCount is how many VMs are asked, of different zones first.
	witnessCount = 4
)

// outvoted reports whether more of the VMs asked reach a target than do not;
// then the fault is this VM's, or its network's.
func (f *fleet) outvoted(ctx context.Context, group, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessLimit)
	defer cancel()
	witnesses := f.witnesses(group, target)
	answers := make(chan bool, len(witnesses))
	for _, p := range witnesses {
		go func() {
			r, err := f.client(p.Address).Witness(ctx, connect.NewRequest(&peerpb.WitnessRequest{Group: group, Target: target}))
			answers <- err == nil && r.Msg.GetReaches()
		}()
	}
	reaching := 0
	for range witnesses {
		if <-answers {
			reaching++
		}
	}
	return 2*reaching > len(witnesses)+1
}

// witnesses returns some other VMs, one of each zone first, and those first that
// reach the group's targets themselves.
func (f *fleet) witnesses(group, key string) []Peer {
	first, rest := []Peer{}, []Peer{}
	seen := map[string]bool{}
	order := f.order(key)
	if f.holding(group).relayed {
		order = holdersFirst(group, order)
	}
	for _, p := range order {
		if p.Name == f.Settings.VM() {
			continue
		}
		if seen[p.Zone] {
			rest = append(rest, p)
			continue
		}
		seen[p.Zone] = true
		first = append(first, p)
	}
	all := append(first, rest...)
	return all[:min(len(all), witnessCount)]
}
