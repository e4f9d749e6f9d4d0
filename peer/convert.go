package peer

import (
	"errors"
	"fmt"
	"time"

	"amaranthsill/peer/peerpb"
	"amaranthsill/roster"
)

// protocolVersion is sent with each request between VMs; a request of another
// version is rejected.
const protocolVersion = 1

// Bounds on a message from another VM. A message beyond one of them is rejected.
const (
	// maxMembers limits the member records in one message.
	maxMembers = 20000
	// maxDocuments limits the document versions in one message.
	maxDocuments = 16
	// maxNameBytes limits each name, zone and address.
	maxNameBytes = 256
)

// ErrInvalidMessage reports a message from another VM that is malformed, exceeds
// a bound or has another protocol version.
var ErrInvalidMessage = errors.New("unusable message from a VM")

// EncodeKnowledge returns the protobuf message for k. Ages are in milliseconds;
// a negative age becomes -1.
func EncodeKnowledge(k roster.Knowledge) *peerpb.Knowledge {
	out := &peerpb.Knowledge{From: k.From, Roster: k.Roster, Whole: k.Whole}
	for _, d := range k.Documents {
		age := int64(-1)
		if d.Age >= 0 {
			age = d.Age.Milliseconds()
		}
		out.Documents = append(out.Documents, &peerpb.Document{Name: d.Name, Version: d.Version, Age: age})
	}
	for _, m := range k.Members {
		out.Members = append(out.Members, &peerpb.Member{
			Name:        m.Name(),
			Zone:        m.Zone(),
			Address:     m.Address(),
			Incarnation: m.Incarnation(),
			State:       uint32(m.State()),
		})
	}
	return out
}

// DecodeKnowledge checks and converts a protobuf message. Its error wraps
// ErrInvalidMessage.
func DecodeKnowledge(k *peerpb.Knowledge) (roster.Knowledge, error) {
	if k == nil || k.From == "" || len(k.From) > maxNameBytes || len(k.Members) > maxMembers || len(k.Documents) > maxDocuments {
		return roster.Knowledge{}, fmt.Errorf("read knowledge: %w", ErrInvalidMessage)
	}
	out := roster.Knowledge{From: k.From, Roster: k.Roster, Whole: k.Whole}
	for _, d := range k.Documents {
		age := time.Duration(-1)
		if d.Age >= 0 {
			age = time.Duration(d.Age) * time.Millisecond
		}
		if d.Name == "" || len(d.Name) > maxNameBytes || d.Age > maxAge.Milliseconds() {
			return roster.Knowledge{}, fmt.Errorf("read document %q: %w", d.Name, ErrInvalidMessage)
		}
		out.Documents = append(out.Documents, roster.Document{Name: d.Name, Version: d.Version, Age: age})
	}
	for _, m := range k.Members {
		if m.Name == "" || len(m.Name) > maxNameBytes || len(m.Zone) > maxNameBytes || len(m.Address) > maxNameBytes || m.State > uint32(roster.StateDead) {
			return roster.Knowledge{}, fmt.Errorf("read member %q: %w", m.Name, ErrInvalidMessage)
		}
		out.Members = append(out.Members, roster.NewMember(m.Name, m.Zone, m.Address, m.Incarnation, roster.State(m.State)))
	}
	return out, nil
}

// maxAge limits how long ago a document's version may have been confirmed.
const maxAge = 365 * 24 * time.Hour
