// Package roster tracks the VMs of the system, the machines of the targets
// and the document versions that the VMs hold. It decides what a VM sends to
// which other VM, and assigns work to VMs by rendezvous hashing.
//
// A Machine is deterministic: it takes events and the current time and
// returns the actions to carry out. In each exchange interval a VM exchanges
// knowledge with one partner. Its partners are at distances of 1, 2, 4 and so
// on around a ring of all VMs, so that the number of steps in which a change
// reaches every VM grows with the logarithm of their number.
//
// # Usage
//
//	m := &roster.Machine{Self: self, Limits: roster.DefaultLimits()}
//	for _, action := range m.Step(now, roster.Ticked{}) {
//		carryOut(action)
//	}
//	order := roster.Order("choir", m.VMs())
package roster

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member, as far as this VM knows.
type State uint8

// States of a member. Among records of the same incarnation, a later state in
// this list replaces an earlier one.
const (
	StateAlive State = iota
	StateLeaving
	StateDead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	default:
		return fmt.Sprintf("state %d", uint8(s))
	}
}

// Member is the record of one machine: a VM of the system, or the machine of
// a target, which has no peer address.
type Member struct {
	name        string
	zone        string
	address     string
	incarnation uint64
	state       State
}

// NewMember returns a member record. A machine that is known only from the
// platform's list has incarnation zero.
func NewMember(name, zone, address string, incarnation uint64, state State) Member {
	return Member{name: name, zone: zone, address: address, incarnation: incarnation, state: state}
}

// Name returns the machine's name.
func (m Member) Name() string { return m.name }

// Zone returns the machine's availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns the address at which other VMs reach the machine. It is
// empty for the machine of a target.
func (m Member) Address() string { return m.address }

// Incarnation returns the number of the machine's start. A higher number is a
// later start.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state of the machine.
func (m Member) State() State { return m.state }

// IsVM reports whether the machine is a VM of the system.
func (m Member) IsVM() bool { return m.address != "" }

// replaces reports whether m is a newer record than o of the same machine.
func (m Member) replaces(o Member) bool {
	if m.incarnation != o.incarnation {
		return m.incarnation > o.incarnation
	}
	return m.state > o.state
}

func (m Member) hash() uint64 {
	b := []byte(m.name)
	b = binary.BigEndian.AppendUint64(b, m.incarnation)
	b = append(b, byte(m.state))
	return xxhash.Sum64(b)
}
