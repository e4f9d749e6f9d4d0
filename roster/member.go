// Package roster knows the VMs of the system and the versions they hold. It
// decides whom to tell what, and chooses among VMs.
//
// A Machine is deterministic: it takes events and the time and returns what
// to send. Each VM exchanges knowledge with one partner a beat, at distances
// of 1, 2, 4 and so on around a ring, so that what a VM tells its partners
// reaches all others in a number of steps that grows with the logarithm of
// their number.
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

// State is how a machine is, as far as anybody heard.
type State uint8

// The states, in the order in which one replaces another of the same
// incarnation.
const (
	StateAlive State = iota
	StateLeaving
	StateDead
)

// String returns the state's word.
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

// Member is one machine on the roster: a VM of the system, or a target's
// machine, which has no address for peers.
type Member struct {
	name        string
	zone        string
	address     string
	incarnation uint64
	state       State
}

// NewMember returns a member from its parts. A machine that was only seen on
// the platform's list has incarnation zero.
func NewMember(name, zone, address string, incarnation uint64, state State) Member {
	return Member{name: name, zone: zone, address: address, incarnation: incarnation, state: state}
}

// Name returns the machine's name.
func (m Member) Name() string { return m.name }

// Zone returns the machine's availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns where peers reach the machine; empty for a target.
func (m Member) Address() string { return m.address }

// Incarnation returns the number of the machine's start; higher is newer.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns how the machine is.
func (m Member) State() State { return m.state }

// IsVM reports whether the machine is a VM of the system.
func (m Member) IsVM() bool { return m.address != "" }

// replaces reports whether m is newer knowledge than o of the same machine.
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
