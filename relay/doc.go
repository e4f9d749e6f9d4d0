// Package relay forwards orders to targets through another VM. If a target
// allows fewer connections than there are VMs, a few VMs hold the connections, of
// each availability zone or, with customers, of the target's zone. The other VMs
// reach the target through these holders, over one hop. Only while VMs learn at
// different times that a holder with customers has changed, there may be two.
//
// With customers, each order names its customer, and the holders are tried in an
// order that depends on the customer. A link is shared by customers; a connection
// to the target is not.
//
// A relayed link behaves like a direct one: orders are answered in sequence,
// and a transaction keeps its connection from its opening to its end. If a
// link is lost, it is unknown whether the target ran an unanswered order. An
// order for which the holder finds no connection in time is answered as busy,
// which guarantees that it did not run.
//
// # Usage
//
// On a holder:
//
//	s := &relay.Server{Group: pools, Leadership: leadership, Refresh: refresh, TransactionIdleTimeout: idle, Now: clock.SinceBoot, Log: log}
//	go s.Serve(ctx, listener)
//
// On the other VMs, in place of a dialer that connects to targets:
//
//	d := &relay.Dialer{Direct: direct, Holders: holders, Now: clock.SinceBoot, Log: log}
//	go d.WatchHolders(ctx)
//	link, position, err := d.Dial(ctx, target, customer)
package relay
