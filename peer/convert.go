package peer

import (
	"errors"
	"fmt"
	"time"

	"amaranthsill/peer/peerpb"
	"amaranthsill/roster"
)

// protocol is the version of the messages between VMs.
const protocol = 1

// The bounds on a message from another VM.
const (
	maxMembers   = 20000
	maxDocuments = 16
	maxName      = 256
)

// ErrMessage reports a message from another VM that is malformed, too large
// or of another version of the program.
var ErrMessage = errors.New("unusable message from a VM")

// ToKnowledge returns the message for what a VM tells.
func ToKnowledge(k roster.Knowledge) *peerpb.Knowledge {
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

// FromKnowledge checks and reads a message. Its error wraps ErrMessage.
func FromKnowledge(k *peerpb.Knowledge) (roster.Knowledge, error) {
	if k == nil || k.From == "" || len(k.From) > maxName || len(k.Members) > maxMembers || len(k.Documents) > maxDocuments {
		return roster.Knowledge{}, fmt.Errorf("read knowledge: %w", ErrMessage)
	}
	out := roster.Knowledge{From: k.From, Roster: k.Roster, Whole: k.Whole}
	for _, d := range k.Documents {
		age := time.Duration(-1)
		if d.Age >= 0 {
			age = time.Duration(d.Age) * time.Millisecond
		}
		if d.Name == "" || len(d.Name) > maxName || age > maxAge {
			return roster.Knowledge{}, fmt.Errorf("read document %q: %w", d.Name, ErrMessage)
		}
		out.Documents = append(out.Documents, roster.Document{Name: d.Name, Version: d.Version, Age: age})
	}
	for _, m := range k.Members {
		if m.Name == "" || len(m.Name) > maxName || len(m.Zone) > maxName || len(m.Address) > maxName || m.State > uint32(roster.StateDead) {
			return roster.Knowledge{}, fmt.Errorf("read member %q: %w", m.Name, ErrMessage)
		}
		out.Members = append(out.Members, roster.NewMember(m.Name, m.Zone, m.Address, m.Incarnation, roster.State(m.State)))
	}
	return out, nil
}

// maxAge bounds the age of a confirmation.
const maxAge = 365 * 24 * time.Hour
