// Package peer lets the VMs of the system talk to each other. Mesh exchanges
// the roster of VMs and the version of the manifest with other VMs, and asks VMs
// in other availability zones whether they reach a target. The package also
// registers the kernel driver for group.AskPeers.
//
// The Fleet service of fleet.proto is implemented in package edge.
//
// # Usage
//
//	m := &peer.Mesh{Self: self, Limits: roster.DefaultLimits(), Log: log, ...}
//	err := m.Start(ctx)
//	vms := m.View().VMs
package peer

import (
	"context"

	"amaranthsill/group"
	"amaranthsill/kernel"
)

func init() {
	kernel.Register("peer", func(_ context.Context, _ *kernel.Kernel, p kernel.Dependencies) (kernel.Driver, error) {
		return &driver{peers: p.Peers}, nil
	})
}

// driver asks peers about targets on behalf of the kernel's groups.
type driver struct {
	peers kernel.Peers
}

// Perform implements kernel.Driver.
func (d *driver) Perform(ctx context.Context, g *kernel.Group, a group.Action) bool {
	ask, ok := a.(group.AskPeers)
	if !ok {
		return false
	}
	if d.peers == nil {
		return true
	}
	go d.peers.AskTarget(ctx, g.Name(), ask.Target, func(zone string, responsive bool) {
		g.Post(ctx, group.PeerReported{Zone: zone, Target: ask.Target, Responsive: responsive})
	})
	return true
}
