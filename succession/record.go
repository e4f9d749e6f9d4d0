// Package succession decides which target leads a database group and when
// another one is promoted, for targets that only the platform can promote.
//
// One record in the platform's store names the leader of each group. A VM
// releases answers of a leader only while it knows that the record has not
// changed for less than Grants.Length, which it learns by renewing a lease
// that the record names. A VM that moves a leadership first writes the record,
// which ends that lease, and promotes only once no VM can still release
// answers of the old leader: since the old leader has stepped down, or since
// every VM has said that it read the new record, or since the last renewal is
// older than Grants.Length.
//
// # Usage
//
//	g := &succession.Grants{Length: succession.GrantLength, Now: clock.Boot}
//	g.Observe(record)
//	if g.Holds("choir", target) {
//		release(answer)
//	}
package succession

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"amaranthsill/store"
)

// The keys of the record and of the duty to promote. The revision of the
// duty's key is the fencing token; the key is written only when the holder
// changes.
const (
	RecordKey = "amaranthsill/leaders"
	DutyKey   = "amaranthsill/duty"
)

// ErrRecord reports a record that cannot be read.
var ErrRecord = errors.New("record of leaders cannot be read")

// Lead is who leads one group.
type Lead struct {
	// Target is the leader; while the leadership moves, the last one.
	Target string `json:"target"`
	// Mover is the VM that moves the leadership; empty if it rests.
	Mover string `json:"mover,omitempty"`
}

// Moving reports whether the leadership is being moved.
func (l Lead) Moving() bool { return l.Mover != "" }

// Record names the leader of each group.
type Record struct {
	// Lease is the lease that VMs renew to learn that the record stands.
	Lease store.Lease `json:"lease"`
	// Former are leases of earlier records that may not have ended yet, so
	// that VMs with those records could still renew them.
	Former []store.Lease `json:"former,omitempty"`
	// Leads are keyed by group.
	Leads map[string]Lead `json:"leads"`
	// VMs is how many VMs the writer knew of.
	VMs int `json:"vms,omitempty"`
	// Writer identifies the write, so that a writer whose answer was lost
	// recognises its own.
	Writer string `json:"writer"`
	// Revision is the store's revision of the record.
	Revision uint64 `json:"-"`
}

// With returns a copy in which one group's lead is another.
func (r Record) With(group string, l Lead) Record {
	r.Leads = maps.Clone(r.Leads)
	if r.Leads == nil {
		r.Leads = map[string]Lead{}
	}
	r.Leads[group] = l
	return r
}

// Encode returns the form that DecodeRecord reads.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of leaders: %w", err)
	}
	return b, nil
}

// DecodeRecord reads a stored record. Its error wraps ErrRecord.
func DecodeRecord(i store.Item) (Record, error) {
	r := Record{}
	if err := json.Unmarshal(i.Value, &r); err != nil {
		return Record{}, fmt.Errorf("decode record of leaders: %w", errors.Join(ErrRecord, err))
	}
	r.Revision = i.Revision
	return r, nil
}
