package replica

import (
	"slices"
	"strings"
	"time"

	"amaranthsill/group"
)

// Tx is an open transaction. Its changes are visible to itself only until
// Commit. Rows are not locked; Commit detects conflicts.
type Tx struct {
	replica *Replica
	// readVersions holds, for each row that was read, the log offset of the
	// entry that had set it; zero for a row that did not exist.
	readVersions map[Row]int
	changes      []Change
	inserts      map[Row]bool
}

// Begin starts a transaction. Its reads see the rows as applied at the time of
// each read.
func (r *Replica) Begin() *Tx {
	return &Tx{replica: r, readVersions: map[Row]int{}, inserts: map[Row]bool{}}
}

// Get returns a row's value and whether the row exists, including the
// transaction's own changes.
func (t *Tx) Get(row Row) (string, bool) {
	for _, c := range slices.Backward(t.changes) {
		if c.Row == row {
			return c.Value, !c.Removed
		}
	}
	v, ok := t.replica.rows[row]
	if _, seen := t.readVersions[row]; !seen {
		t.readVersions[row] = v.offset
	}
	return v.value, ok
}

// List returns the sorted keys of a table's rows, including the transaction's
// own changes. Commit does not check the rows listed for conflicts.
func (t *Tx) List(table string) []string {
	keys := []string{}
	for row := range t.replica.rows {
		if row.Table == table {
			keys = append(keys, row.Key)
		}
	}
	for _, c := range t.changes {
		keys = slices.DeleteFunc(keys, func(k string) bool { return c.Row.Table == table && k == c.Row.Key })
		if c.Row.Table == table && !c.Removed {
			keys = append(keys, c.Row.Key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// Insert adds a row. It returns ErrDuplicate if the row exists.
func (t *Tx) Insert(row Row, value string) error {
	if _, ok := t.Get(row); ok {
		return ErrDuplicate
	}
	t.inserts[row] = true
	t.Put(row, value)
	return nil
}

// Put sets a row's value, whether or not the row exists.
func (t *Tx) Put(row Row, value string) {
	t.changes = append(t.changes, Change{Row: row, Value: value})
}

// Delete removes a row; a row that does not exist is no error.
func (t *Tx) Delete(row Row) {
	t.changes = append(t.changes, Change{Row: row, Removed: true})
}

// Writes reports whether the transaction changes anything.
func (t *Tx) Writes() bool { return len(t.changes) > 0 }

// Commit appends the transaction's changes to the log, applies them and returns
// the position of the new entry. For a transaction without changes it returns
// the applied position. It returns ErrNotPrimary on a target that is not the
// primary, ErrDuplicate if an inserted row has been added since, and
// ErrConflict if another row that was read has been written since.
func (r *Replica) Commit(t *Tx, now time.Duration) (group.Position, error) {
	if !t.Writes() {
		return r.Applied(), nil
	}
	if r.role != group.RolePrimary {
		return group.Position{}, ErrNotPrimary
	}
	for row, offset := range t.readVersions {
		if r.rows[row].offset == offset {
			continue
		}
		if t.inserts[row] {
			return group.Position{}, ErrDuplicate
		}
		return group.Position{}, ErrConflict
	}
	r.append(Entry{Term: r.term, Changes: t.changes}, now)
	r.applyAll()
	return r.Last(), nil
}
