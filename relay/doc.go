// Package relay passes orders to targets through another VM. Where a target
// allows fewer connections than there are VMs, a few VMs of each availability
// zone hold them, and the others reach the target through these holders, at
// most one hop.
//
// A relayed link behaves like a direct one: orders are answered in turn, a
// transaction keeps its connection from its opening to its end, and a link that
// is lost says nothing of what the target did with an unanswered order. An
// order for which the holder finds no connection in time is answered as busy,
// which promises that it did not run.
//
// # Usage
//
// On a holder:
//
//	s := &relay.Server{Group: pools, TransactionIdle: idle, Now: clock.Boot, Log: log}
//	go s.Serve(ctx, listener)
//
// On the other VMs, in place of a dialer that connects to targets:
//
//	d := &relay.Dialer{Direct: direct, Holders: holders, Now: clock.Boot, Log: log}
//	link, position, err := d.Dial(ctx, target)
package relay
