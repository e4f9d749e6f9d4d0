package edge

import (
	"context"
	"time"

	"amaranthsill/group"
	"amaranthsill/peer/peerpb"
	"amaranthsill/query"
)

// Bounds on finding out how far the acknowledged commits of a group reach.
const (
	// acknowledgedHorizon is how long ago VMs may last have acknowledged a commit of which
	// no VM tells any more. Each VM that answers must have been up for as long, and a
	// position that includes all commits of before must be known. It is shorter than
	// recentPeerRetention, for which this VM remembers one that is gone.
	acknowledgedHorizon = 15 * time.Second
	// acknowledgedMargin covers the time that the answers take.
	acknowledgedMargin = time.Second
)

// acknowledged returns what this VM tells of the commits of a group that it has
// acknowledged.
func (f *fleet) acknowledged(name string) *peerpb.Acknowledged {
	now := f.Now()
	a := &peerpb.Acknowledged{Up: uint64((now - f.startedAt).Milliseconds())}
	g, ok := f.existingPool(name)
	if !ok {
		return a
	}
	answered, known := g.AnsweredCommits()
	if !known {
		// As a VM that has just started, this one cannot tell of all commits.
		return &peerpb.Acknowledged{}
	}
	a.Term, a.Offset = uint64(answered.Term()), answered.Offset()
	if p, age, known := g.Covering(now - acknowledgedHorizon + acknowledgedMargin); known {
		a.SampleTerm, a.SampleOffset, a.SampleAge = uint64(p.Term()), p.Offset(), uint64(age.Milliseconds())+1
	}
	return a
}

// Acknowledged implements succession.Fleet.
func (f *fleet) Acknowledged(ctx context.Context, name string) (query.Position, bool) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgedMargin)
	defer cancel()
	items, revision, err := f.Adapter.Store.List(ctx, vmPrefix)
	if err != nil {
		f.storeFailed("reading the VMs", err)
		return query.Position{}, false
	}
	f.directory.ResetPeers(items, revision)
	now := f.Now()
	if now-f.startedAt < recentPeerRetention || f.directory.vmLeftSince(now-acknowledgedHorizon) {
		return query.Position{}, false
	}
	peers := f.directory.recentPeers()
	told := f.gatherAcknowledged(ctx, name, peers)
	told[f.Settings.VM()] = f.acknowledged(name)
	answers := []*peerpb.Acknowledged{told[f.Settings.VM()]}
	for _, p := range peers {
		answers = append(answers, told[p.Name])
	}
	return highestAcknowledged(answers)
}

// gatherAcknowledged returns what VMs tell of a group, by name. Those that do not answer
// along the overlay are asked one by one.
func (f *fleet) gatherAcknowledged(ctx context.Context, name string, peers []recentPeer) map[string]*peerpb.Acknowledged {
	zones := map[string][]recentPeer{}
	for _, p := range peers {
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	answers := make(chan map[string]*peerpb.Acknowledged, len(zones))
	for zone, inZone := range zones {
		go func() { answers <- f.gatherAcknowledgedIn(ctx, zone, inZone, name) }()
	}
	told := map[string]*peerpb.Acknowledged{}
	for range zones {
		for vm, a := range <-answers {
			told[vm] = a
		}
	}
	return told
}

// gatherAcknowledgedIn is gatherAcknowledged for the VMs of one zone.
func (f *fleet) gatherAcknowledgedIn(ctx context.Context, zone string, peers []recentPeer, name string) map[string]*peerpb.Acknowledged {
	told := map[string]*peerpb.Acknowledged{}
	take := func(members []*peerpb.Status) {
		for _, m := range members {
			told[m.GetName()] = m.GetAcknowledged()
		}
	}
	take(f.gatherZone(ctx, zone, &peerpb.GatherRequest{Group: name}))
	late := make(chan []*peerpb.Status, len(peers))
	asked := 0
	for _, p := range peers {
		if _, ok := told[p.Name]; ok {
			continue
		}
		asked++
		go func() {
			// Without a timeout in the request, the VM answers for itself alone.
			members, _ := f.callGather(ctx, p.Peer, &peerpb.GatherRequest{Group: name}, recallTimeout)
			late <- members
		}()
	}
	for range asked {
		take(<-late)
	}
	return told
}

// highestAcknowledged returns a position that includes all commits that VMs have
// acknowledged, given what all of them tell that have run within acknowledgedHorizon; false
// if one does not tell, or was not up all the while, or if no position is known that
// includes all commits of before.
func highestAcknowledged(answers []*peerpb.Acknowledged) (query.Position, bool) {
	highest, before, known := query.Position{}, query.Position{}, false
	for _, a := range answers {
		if a == nil || toldTime(a.GetUp()) < acknowledgedHorizon {
			return query.Position{}, false
		}
		if p := group.At(group.Term(a.GetTerm()), a.GetOffset()); p.Compare(highest) > 0 {
			highest = p
		}
		if a.GetSampleAge() == 0 || toldTime(a.GetSampleAge()) > acknowledgedHorizon-acknowledgedMargin {
			continue
		}
		if p := group.At(group.Term(a.GetSampleTerm()), a.GetSampleOffset()); !known || p.Compare(before) < 0 {
			before, known = p, true
		}
	}
	if before.Compare(highest) > 0 {
		highest = before
	}
	return highest, known
}
