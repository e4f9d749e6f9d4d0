// Package group makes the routing and failover decisions for one database
// group: which target runs each request, when a reply may be released to the
// caller, when the primary has failed, and which target is promoted in its
// place.
//
// A Machine is deterministic. It takes an Event and the current time and
// returns the Actions to carry out. It does no I/O, reads no clock and starts
// no goroutine. The same settings, seed, events and times always give the
// same actions.
//
// Three rules keep replies consistent:
//
//   - A primary's reply is released only when a majority of the targets,
//     counting the primary, is known to hold the log position that the reply
//     shows, in the primary's term.
//   - A replica's reply is released only when the replica holds a log entry of
//     its own term and has applied every entry that the session must see.
//   - A promotion fences a majority of the targets with a token that no other
//     attempt uses, and then promotes the fenced target whose log is highest.
//
// # Usage
//
//	m := &group.Machine{Name: "choir", VM: "vm-1", Zone: "coban", Limits: group.DefaultLimits()}
//	m.Members = members
//	for _, action := range m.Step(now, group.Arrived{Request: request}) {
//		carryOut(action)
//	}
//	wakeUpAt := m.Next(now)
package group
