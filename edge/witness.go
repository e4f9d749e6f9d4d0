package edge

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"amaranthsill/peer/peerpb"
)

// Limits of asking other VMs whether they reach a leader.
const (
	// witnessTimeout bounds the questions to all VMs. It covers a round trip
	// between zones and a new connection from there to the target.
	witnessTimeout = 350 * time.Millisecond
	// maxWitnesses is how many VMs are asked.
	maxWitnesses = 4
)

// reachedByMajority reports whether most of the VMs that were asked, with this one
// counted as not reaching it, reach a target. The fault then lies in this VM or
// its network.
func (f *fleet) reachedByMajority(ctx context.Context, group, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
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

// witnesses returns up to maxWitnesses other VMs. One of each zone comes first and,
// if only some VMs hold the group's connections, the holders before the others.
func (f *fleet) witnesses(group, key string) []Peer {
	firstInZone, rest := []Peer{}, []Peer{}
	seen := map[string]bool{}
	members := f.directory.members()
	order := ranked(members.peers, key)
	if h := f.holdersOf(group); h.relayed {
		order = members.holdersFirst(group, h.targets, order)
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
		firstInZone = append(firstInZone, p)
	}
	all := append(firstInZone, rest...)
	return all[:min(len(all), maxWitnesses)]
}
