// Package group decides for one database group: where each request runs,
// when its answer may be released, when the primary has failed and who takes
// its place.
//
// A Machine is deterministic. It takes an Event and the time, and returns
// the Actions to carry out; it does no I/O, reads no clock and starts no
// goroutine. Given the same settings, seed, events and times it returns the
// same actions.
//
// Three rules make its answers safe. An answer from a primary is released
// only when a majority of the targets, the primary among them, is known to
// hold the log position that the answer shows while at that primary's term.
// An answer from a replica is released only when the replica holds an entry
// of its own term and has applied what the session must see. A promotion
// fences a majority for one attempt only, and promotes the highest log.
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
