package store

import (
	"context"
	"errors"
	"time"
)

// The further errors of a Ledger's calls.
var (
	// ErrCompacted reports that the changes asked for are no longer kept.
	ErrCompacted = errors.New("history is no longer available")
	// ErrNoLease reports a lease that has ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrRefused reports a call that the service turned away undone.
	ErrRefused = errors.New("service refused the call")
)

// Lease identifies a lease; zero stands for none.
type Lease uint64

// Item is a key as it was written at a revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the service's revision of the last change.
	Revision uint64
	// Lease is the lease that the key ends with.
	Lease Lease
	// Deleted reports that the key was removed at the revision.
	Deleted bool
}

// Condition demands that a key's revision is still the given one; zero
// demands that the key is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Transaction changes several keys at once, or none.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Ledger is a key-value service whose revision counts all changes, so that a
// reader can follow them. Calls that fail with ErrUnavailable may have taken
// effect, or may still do so while their conditions hold.
type Ledger interface {
	// Read returns a key's item and the service's revision; its error wraps
	// ErrAbsent if there is none.
	Read(ctx context.Context, key string) (Item, uint64, error)
	// List returns the items under a prefix and the revision from which
	// Follow continues without a gap.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Follow waits for changes after a revision, at most for the given time.
	// Its error wraps ErrCompacted if they are no longer kept.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Apply carries out a transaction and returns its revision. Its error
	// wraps ErrConflict if a condition did not hold.
	Apply(ctx context.Context, t Transaction) (uint64, error)
	// Grant opens a lease.
	Grant(ctx context.Context, life time.Duration) (Lease, error)
	// Renew prolongs a lease; its error wraps ErrNoLease once it has ended.
	Renew(ctx context.Context, l Lease) error
	// End ends a lease; a lease that has ended is no error.
	End(ctx context.Context, l Lease) error
}
