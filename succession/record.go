// Package succession moves the leadership of database groups whose targets only
// the platform can promote, and tells a VM whether a target certainly leads its
// group.
//
// A leader record in the platform's store names the leader of each group. A VM
// releases answers of a leader only while its grant is valid: while the record
// was confirmed to be unchanged less than Grants.Length ago. A VM confirms the
// record by renewing a lease that the record names, or learns of a confirmation
// from other VMs. A VM that moves a leadership first writes the record, which
// ends that lease. It has a target promoted only once no VM can release answers
// of the old leader any more, for one of three reasons: the old leader has
// stepped down, every VM has yielded by taking in the new record, or the last
// confirmation of an older record has expired.
//
// # Usage
//
//	g := &succession.Grants{Length: succession.GrantLength, Now: clock.SinceBoot}
//	g.Observe(record)
//	if g.IsLeader("choir", target) {
//		release(answer)
//	}
package succession

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"amaranthsill/store"
)

// The store keys of the leader record and of the duty to promote. The value of
// the duty key names the VM that may promote, and its revision is the fencing
// token; the key is written only when the holder changes.
const (
	RecordKey = "amaranthsill/leaders"
	DutyKey   = "amaranthsill/duty"
)

// ErrRecord reports a stored leader record that cannot be decoded.
var ErrRecord = errors.New("malformed leader record")

// Lead is the leadership of one group.
type Lead struct {
	// Target is the ID of the leader, or of the previous leader during a move.
	Target string `json:"target"`
	// Mover identifies the write of the VM that moves the leadership; empty if
	// no move is in progress.
	Mover string `json:"mover,omitempty"`
	// First is the Mover of the first of several unfinished moves in a row; empty
	// if the writer does not tell.
	First string `json:"first,omitempty"`
	// Since tells the leadership from earlier ones of the same target: it is the lowest
	// revision that the record in which it began could get. Zero during a move, and if
	// the writer does not tell.
	Since store.Revision `json:"since,omitempty"`
	// Term is the term in which the target reported that it leads; zero during a move, and
	// if the writer does not know.
	Term uint64 `json:"term,omitempty"`
}

// Moving reports whether a move of the leadership is in progress.
func (l Lead) Moving() bool { return l.Mover != "" }

// continuedBy reports whether a later lead is of the same leadership. Relied states that
// the VM could rely on the earlier one until it learned of the later one, so that no
// other target led in between. That decides if a writer does not tell when a leadership
// began.
func (l Lead) continuedBy(next Lead, relied bool) bool {
	if l.Target != next.Target || l.Moving() || next.Moving() {
		return false
	}
	if l.Since == 0 || next.Since == 0 {
		return relied
	}
	return l.Since == next.Since
}

// Row identifies a row of unfinished moves. Two leads with the same row had no leader
// between them.
func (l Lead) Row() string { return cmp.Or(l.First, l.Mover) }

// Record names the leader of each group.
type Record struct {
	// Lease is the lease that VMs renew to learn whether the record is still
	// current.
	Lease store.LeaseID `json:"lease"`
	// Former holds the leases of earlier records that may not have ended yet.
	// While they live, VMs with those records can still renew them.
	Former []store.LeaseID `json:"former,omitempty"`
	// Leads maps group names to leaderships.
	Leads map[string]Lead `json:"leads"`
	// VMs is the number of VMs that the writer knew.
	VMs int `json:"vms,omitempty"`
	// Writer identifies the write, so that a VM whose write got no answer
	// recognises the record as its own.
	Writer string `json:"writer"`
	// Era is the store's era in which the record was written; zero if the store
	// tells none.
	Era uint64 `json:"era,omitempty"`
	// Revision orders records: it consists of Era and the number of the store's
	// revision of the record. A record that the store brings back from a copy
	// therefore does not pass for a newer one.
	Revision store.Revision `json:"-"`
	// Stored is the revision under which the store returned the record, in the
	// era of the answer; zero if the record came from another VM.
	Stored store.Revision `json:"-"`
}

// Moving reports whether a move of any leadership is in progress.
func (r Record) Moving() bool {
	for _, l := range r.Leads {
		if l.Moving() {
			return true
		}
	}
	return false
}

// WithLead returns a copy of the record in which one group's leadership is
// replaced.
func (r Record) WithLead(group string, l Lead) Record {
	r.Leads = maps.Clone(r.Leads)
	if r.Leads == nil {
		r.Leads = map[string]Lead{}
	}
	r.Leads[group] = l
	return r
}

// withBeginnings returns a copy of the record in which the leaderships that name no
// beginning name the given one.
func (r Record) withBeginnings(since store.Revision) Record {
	r.Leads = maps.Clone(r.Leads)
	for group, l := range r.Leads {
		if l.Since == 0 && !l.Moving() {
			l.Since = since
			r.Leads[group] = l
		}
	}
	return r
}

// Encode returns the record as JSON, without Revision and Stored.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode leader record: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes a record as the store returned it. Its error wraps ErrRecord.
func DecodeRecord(i store.Item) (Record, error) {
	r := Record{}
	if err := json.Unmarshal(i.Value, &r); err != nil {
		return Record{}, fmt.Errorf("decode leader record: %w", errors.Join(ErrRecord, err))
	}
	r.Stored = i.Revision
	r.Revision = i.Revision
	if r.Era != 0 {
		r.Revision = store.At(r.Era, i.Revision.Number())
	}
	return r, nil
}
