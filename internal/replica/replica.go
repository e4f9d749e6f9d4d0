// Package replica simulates the replicated data of one target: a log of entries
// with terms and positions, the rows that result from applying the log, and the
// control calls Fence, Promote and Follow. It does no I/O and takes the time as
// a parameter, so that the target process of package standin and the simulation
// of package world share one implementation. All times are offsets from the
// same arbitrary start.
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

// The errors of control calls and commits. Each means that nothing was changed.
// Package standin sends their texts to its clients.
var (
	// ErrFenced rejects a control call whose term is too low, or whose owner
	// does not hold the fence of the term.
	ErrFenced = errors.New("a higher or another owner's term holds the fence")
	// ErrNotPrimary rejects a write on a target that is not the primary.
	ErrNotPrimary = errors.New("the target is not the primary")
	// ErrDuplicate rejects an insert of a row that exists.
	ErrDuplicate = errors.New("the key exists already")
	// ErrConflict rejects a commit if a row that the transaction read has
	// been written since.
	ErrConflict = errors.New("the row changed since the transaction read it")
)

// Row identifies a row by its table and key. Its fields, and those of Change and
// Entry, keep their names because package standin sends entries as JSON.
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

// Entry is a log entry: the changes of one transaction and the term of the
// primary that wrote it. The first entry of each term has no changes.
type Entry struct {
	Term    group.Term
	Changes []Change
}

// Replica is the log and rows of one target. It is not safe for concurrent use.
type Replica struct {
	// Name is the name under which other replicas follow this one.
	Name string

	term group.Term
	// fenceOwner is the owner of the term's fence; empty when the term was
	// learnt from a Follow call.
	fenceOwner string
	role       group.Role
	primary    string
	entries    []Entry
	// receivedAt holds the time at which each entry was appended.
	receivedAt []time.Duration
	// applied is the number of entries that rows reflects.
	applied int
	rows    map[Row]versionedValue
	// lastContact is when the replica last received a message from its primary
	// or began to follow it.
	lastContact time.Duration
}

// versionedValue is a row's value and the log offset of the entry that set it.
type versionedValue struct {
	value  string
	offset int
}

// New returns an empty replica at term 0 in the detached role.
func New(name string) *Replica {
	return &Replica{Name: name, rows: map[Row]versionedValue{}}
}

// Role returns the replica's role at its term.
func (r *Replica) Role() group.Role { return r.role }

// Term returns the highest term accepted by Fence or Follow.
func (r *Replica) Term() group.Term { return r.term }

// Primary returns the name of the primary that the replica follows; empty if it
// follows none.
func (r *Replica) Primary() string { return r.primary }

// Last returns the position of the log's last entry; zero if the log is empty.
func (r *Replica) Last() group.Position { return r.positionAt(len(r.entries)) }

// Applied returns the position of the last entry that reads see; zero if none.
func (r *Replica) Applied() group.Position { return r.positionAt(r.applied) }

func (r *Replica) positionAt(n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return group.At(r.entries[n-1].Term, uint64(n))
}

// Status returns the target's status at time now, as control calls report it.
func (r *Replica) Status(now time.Duration) group.Status {
	silence := now - r.lastContact
	if r.role == group.RolePrimary {
		silence = 0
	}
	return group.NewStatus(r.term, r.role, r.Last(), r.Applied(), silence)
}

// Fence raises the replica's term for one owner and detaches it from its
// primary. It is idempotent for the same term and owner, and returns ErrFenced
// for any other term that is not above the current one.
func (r *Replica) Fence(term group.Term, owner string) error {
	if term == r.term && owner == r.fenceOwner {
		return nil
	}
	if term <= r.term {
		return ErrFenced
	}
	r.term = term
	r.fenceOwner = owner
	r.role = group.RoleDetached
	r.primary = ""
	return nil
}

// Promote makes the replica the primary of the term, applies its whole log and
// appends the first entry of the term. It returns ErrFenced unless the replica
// is fenced at this term by this owner, and if the log has an entry of the term
// already, as after a restart of the term's primary. On the term's primary
// itself it has no effect.
func (r *Replica) Promote(term group.Term, owner string, now time.Duration) error {
	if term != r.term || owner != r.fenceOwner {
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

// Follow makes the replica follow the term's primary. It returns ErrFenced if
// the replica's term is higher or the replica is itself the term's primary.
func (r *Replica) Follow(term group.Term, primary string, now time.Duration) error {
	if term < r.term || (term == r.term && r.role == group.RolePrimary) {
		return ErrFenced
	}
	if term > r.term {
		r.fenceOwner = ""
	}
	if r.role != group.RoleReplica || r.primary != primary {
		r.lastContact = now
	}
	r.term = term
	r.primary = primary
	r.role = group.RoleReplica
	return nil
}

// Restart puts the replica in its state after a crash: the log, rows, term and
// fence are durable, the role is not, so the replica is detached.
func (r *Replica) Restart() {
	r.role = group.RoleDetached
	r.primary = ""
}

// EntriesAfter returns the entries that follow position p, at most limit of
// them. It returns false if the log has no entry at exactly p.
func (r *Replica) EntriesAfter(p group.Position, limit int) ([]Entry, bool) {
	n := int(p.Offset())
	if n > len(r.entries) || r.positionAt(n) != p {
		return nil, false
	}
	end := min(len(r.entries), n+limit)
	return slices.Clone(r.entries[n:end]), true
}

// Match returns a position below p for a sender and a receiver to try next after
// their logs were found to differ at p: the highest one in this log that the
// other log may contain too.
func (r *Replica) Match(p group.Position) group.Position {
	n := min(int(p.Offset()), len(r.entries))
	for n > 0 && r.entries[n-1].Term > p.Term() {
		n--
	}
	if r.positionAt(n) == p && n > 0 {
		n--
	}
	return r.positionAt(n)
}

// Contains reports whether the log has an entry at exactly position p. Every log
// contains the zero position.
func (r *Replica) Contains(p group.Position) bool {
	n := int(p.Offset())
	return n <= len(r.entries) && r.positionAt(n) == p
}

// AppendEntries appends entries that the primary of the term sent, which follow
// the position previous in its log. Entries of this log that differ from them
// are removed, with all after these. It returns false, and appends nothing, if
// the log does not contain previous, if the term is not the replica's or if the
// replica follows no primary.
func (r *Replica) AppendEntries(term group.Term, previous group.Position, entries []Entry, now time.Duration) bool {
	if term != r.term || r.role != group.RoleReplica {
		return false
	}
	r.lastContact = now
	if !r.Contains(previous) {
		return false
	}
	n := int(previous.Offset())
	for i, e := range entries {
		if n+i < len(r.entries) && r.entries[n+i].Term == e.Term {
			continue
		}
		r.truncate(n + i)
		r.append(e, now)
	}
	return true
}

func (r *Replica) truncate(n int) {
	if n >= len(r.entries) {
		return
	}
	r.entries = r.entries[:n]
	r.receivedAt = r.receivedAt[:n]
	if r.applied <= n {
		return
	}
	r.applied = 0
	r.rows = map[Row]versionedValue{}
	for r.applied < n {
		r.applyNext()
	}
}

func (r *Replica) append(e Entry, now time.Duration) {
	r.entries = append(r.entries, e)
	r.receivedAt = append(r.receivedAt, now)
}

// Apply applies the entries that were received at or before now-lag, so that
// reads see them.
func (r *Replica) Apply(now, lag time.Duration) {
	for r.applied < len(r.entries) && r.receivedAt[r.applied]+lag <= now {
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
		r.rows[c.Row] = versionedValue{value: c.Value, offset: r.applied}
	}
}

// LogLength returns the number of entries in the log.
func (r *Replica) LogLength() int { return len(r.entries) }

// CountRows returns the number of a table's rows as of the applied position.
func (r *Replica) CountRows(table string) int {
	n := 0
	for row := range r.rows {
		if row.Table == table {
			n++
		}
	}
	return n
}

// Values returns the values that all the log's changes set, in log order; a
// removal counts as an empty value.
func (r *Replica) Values() []string {
	values := []string{}
	for _, e := range r.entries {
		for _, c := range e.Changes {
			values = append(values, c.Value)
		}
	}
	return values
}
