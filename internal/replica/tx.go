package replica

import (
	"slices"
	"strings"
	"time"

	"amaranthsill/group"
)

// Tx is a transaction that has not ended: what it read and what it will
// change. Its changes are visible to itself only.
type Tx struct {
	replica *Replica
	reads   map[Row]int
	changes []Change
	inserts map[Row]bool
}

// Begin starts a transaction on the rows that are visible.
func (r *Replica) Begin() *Tx {
	return &Tx{replica: r, reads: map[Row]int{}, inserts: map[Row]bool{}}
}

// Get returns a row's value as the transaction sees it.
func (t *Tx) Get(row Row) (string, bool) {
	for _, c := range slices.Backward(t.changes) {
		if c.Row == row {
			return c.Value, !c.Removed
		}
	}
	v, ok := t.replica.rows[row]
	if _, seen := t.reads[row]; !seen {
		t.reads[row] = v.offset
	}
	return v.value, ok
}

// List returns the keys of a table as the transaction sees them, in order.
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

// Insert adds a row; it returns ErrDuplicate when the row exists.
func (t *Tx) Insert(row Row, value string) error {
	if _, ok := t.Get(row); ok {
		return ErrDuplicate
	}
	t.inserts[row] = true
	t.Put(row, value)
	return nil
}

// Put sets a row's value.
func (t *Tx) Put(row Row, value string) {
	t.changes = append(t.changes, Change{Row: row, Value: value})
}

// Delete removes a row.
func (t *Tx) Delete(row Row) {
	t.changes = append(t.changes, Change{Row: row, Removed: true})
}

// Writes reports whether the transaction changes anything.
func (t *Tx) Writes() bool { return len(t.changes) > 0 }

// Commit appends the transaction to the log and returns the position that
// it reads or writes at. On an error nothing was changed.
func (r *Replica) Commit(t *Tx, now time.Duration) (group.Position, error) {
	if !t.Writes() {
		return r.Applied(), nil
	}
	if r.role != group.RolePrimary {
		return group.Position{}, ErrNotPrimary
	}
	for row, offset := range t.reads {
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
