// Package peer is how the VMs of the system speak with each other.
package peer

import (
	"context"

	"amaranthsill/group"
	"amaranthsill/kernel"
)

func init() {
	kernel.Register("peer", func(_ context.Context, _ *kernel.Kernel, p kernel.Parts) (kernel.Driver, error) {
		return &driver{peers: p.Peers}, nil
	})
}

type driver struct {
	peers kernel.Peers
}

// Carry implements kernel.Driver.
func (d *driver) Carry(ctx context.Context, g *kernel.Group, a group.Action) bool {
	q, ok := a.(group.AskPeers)
	if !ok {
		return false
	}
	if d.peers == nil {
		return true
	}
	go d.peers.AskTarget(ctx, g.Name(), q.Target, func(zone string, hears bool) {
		g.Post(ctx, group.PeerSaw{Zone: zone, Target: q.Target, Hears: hears})
	})
	return true
}
