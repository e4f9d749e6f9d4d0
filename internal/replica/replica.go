// Package replica is the stand-in for one target's data: a log with terms
// and positions, the rows that the log's entries make, and the control calls
// fence, promote and follow. It does no I/O and reads no clock, so that both
// the stand-in process and the tests in virtual time run the same rules.
//
// # Usage
//
//	r := replica.New("quetzal-a")
//	r.Fence(1, "attempt")
//	r.Promote(1, "attempt", now)
//	position, err := r.Commit(tx, now)
package replica

import (
	"errors"
	"slices"
	"time"

	"amaranthsill/group"
)

// The errors of a replica's calls. Each means that nothing was changed.
var (
	ErrFenced     = errors.New("a higher or another owner's term holds the fence")
	ErrNotPrimary = errors.New("the target is not the primary")
	ErrDuplicate  = errors.New("the key exists already")
	ErrConflict   = errors.New("the row changed since the transaction read it")
)

// Row names a row by its table and key.
type Row struct {
	Table string
	Key   string
}

// Change sets a row's value, or removes the row.
type Change struct {
	Row     Row
	Value   string
	Removed bool
}

// Entry is one log entry: the changes of one transaction. The entry that
// opens a term has none.
type Entry struct {
	Term    group.Term
	Changes []Change
}

// Replica is one target's log and rows. It is not safe for concurrent use.
type Replica struct {
	Name string

	term     group.Term
	owner    string
	role     group.Role
	primary  string
	entries  []Entry
	received []time.Duration
	applied  int
	rows     map[Row]versioned
	heard    time.Duration
}

type versioned struct {
	value  string
	offset int
}

// New returns an empty, detached replica.
func New(name string) *Replica {
	return &Replica{Name: name, rows: map[Row]versioned{}}
}

// Role returns the replica's role.
func (r *Replica) Role() group.Role { return r.role }

// Term returns the highest term accepted.
func (r *Replica) Term() group.Term { return r.term }

// Primary returns the name of the primary that the replica follows.
func (r *Replica) Primary() string { return r.primary }

// Last returns the last entry's position.
func (r *Replica) Last() group.Position { return r.at(len(r.entries)) }

// Applied returns the position up to which rows are visible.
func (r *Replica) Applied() group.Position { return r.at(r.applied) }

func (r *Replica) at(n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return group.At(r.entries[n-1].Term, uint64(n))
}

// Status returns the target's account of itself.
func (r *Replica) Status(now time.Duration) group.Status {
	silence := now - r.heard
	if r.role == group.RolePrimary {
		silence = 0
	}
	return group.NewStatus(r.term, r.role, r.Last(), r.Applied(), silence)
}

// Fence raises the replica's term for one owner and detaches it from its
// primary. Repeating the call with the same term and owner is harmless.
func (r *Replica) Fence(term group.Term, owner string) error {
	if term == r.term && owner == r.owner {
		return nil
	}
	if term <= r.term {
		return ErrFenced
	}
	r.term = term
	r.owner = owner
	r.role = group.RoleDetached
	r.primary = ""
	return nil
}

// Promote makes a replica fenced for exactly this term and owner the
// primary, and writes the entry that opens the term. A repeat is harmless.
func (r *Replica) Promote(term group.Term, owner string, now time.Duration) error {
	if term != r.term || owner != r.owner {
		return ErrFenced
	}
	if r.role == group.RolePrimary {
		return nil
	}
	if r.Last().Term() == term {
		return ErrFenced
	}
	r.role = group.RolePrimary
	r.applyAll()
	r.append(Entry{Term: term}, now)
	r.applyAll()
	return nil
}

// Follow makes the replica copy the log of the term's primary.
func (r *Replica) Follow(term group.Term, primary string, now time.Duration) error {
	if term < r.term || (term == r.term && r.role == group.RolePrimary) {
		return ErrFenced
	}
	if term > r.term {
		r.owner = ""
	}
	if r.role != group.RoleReplica || r.primary != primary {
		r.heard = now
	}
	r.term = term
	r.primary = primary
	r.role = group.RoleReplica
	return nil
}

// Restart forgets everything that a crash loses: the log, rows and fence are
// durable, the role is not.
func (r *Replica) Restart() {
	r.role = group.RoleDetached
	r.primary = ""
}

// After returns the entries that follow position, for a replica that asks
// the primary, at most limit of them. It reports false when the primary's
// log does not hold the position.
func (r *Replica) After(p group.Position, limit int) ([]Entry, bool) {
	n := int(p.Offset())
	if n > len(r.entries) || r.at(n) != p {
		return nil, false
	}
	end := min(len(r.entries), n+limit)
	return slices.Clone(r.entries[n:end]), true
}

// Match returns the highest position at or below p that this log might share
// with the log that p comes from.
func (r *Replica) Match(p group.Position) group.Position {
	n := min(int(p.Offset()), len(r.entries))
	for n > 0 && r.entries[n-1].Term > p.Term() {
		n--
	}
	if r.at(n) == p && n > 0 {
		n--
	}
	return r.at(n)
}

// Holds reports whether the log has an entry at exactly this position.
func (r *Replica) Holds(p group.Position) bool {
	n := int(p.Offset())
	return n <= len(r.entries) && r.at(n) == p
}

// Receive appends entries that the primary of term sent after position
// after, cutting off a tail that diverges from them. It reports false when
// the log does not hold after, or the term is not the replica's.
func (r *Replica) Receive(term group.Term, after group.Position, entries []Entry, now time.Duration) bool {
	if term != r.term || r.role != group.RoleReplica {
		return false
	}
	r.heard = now
	if !r.Holds(after) {
		return false
	}
	n := int(after.Offset())
	for i, e := range entries {
		if n+i < len(r.entries) && r.entries[n+i].Term == e.Term {
			continue
		}
		r.cut(n + i)
		r.append(e, now)
	}
	return true
}

func (r *Replica) cut(n int) {
	if n >= len(r.entries) {
		return
	}
	r.entries = r.entries[:n]
	r.received = r.received[:n]
	if r.applied <= n {
		return
	}
	r.applied = 0
	r.rows = map[Row]versioned{}
	for r.applied < n {
		r.applyNext()
	}
}

func (r *Replica) append(e Entry, now time.Duration) {
	r.entries = append(r.entries, e)
	r.received = append(r.received, now)
}

// Apply makes entries visible that were received at or before now-lag.
func (r *Replica) Apply(now, lag time.Duration) {
	for r.applied < len(r.entries) && r.received[r.applied]+lag <= now {
		r.applyNext()
	}
}

func (r *Replica) applyAll() {
	for r.applied < len(r.entries) {
		r.applyNext()
	}
}

func (r *Replica) applyNext() {
	e := r.entries[r.applied]
	r.applied++
	for _, c := range e.Changes {
		if c.Removed {
			delete(r.rows, c.Row)
			continue
		}
		r.rows[c.Row] = versioned{value: c.Value, offset: r.applied}
	}
}

// Entries returns the log's length.
func (r *Replica) Entries() int { return len(r.entries) }

// Count returns the number of rows of a table that are visible.
func (r *Replica) Count(table string) int {
	n := 0
	for row := range r.rows {
		if row.Table == table {
			n++
		}
	}
	return n
}

// Values returns the values that the log's entries set, in order.
func (r *Replica) Values() []string {
	values := []string{}
	for _, e := range r.entries {
		for _, c := range e.Changes {
			values = append(values, c.Value)
		}
	}
	return values
}
