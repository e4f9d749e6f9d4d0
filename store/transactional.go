package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a TransactionalStore's calls, in addition to those of a Store.
var (
	// ErrCompacted reports that the requested changes have been removed from
	// the service's history.
	ErrCompacted = errors.New("requested revision has been compacted")
	// ErrNoLease reports a lease that has expired or was ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrRefused reports a call that the service rejected without executing
	// it.
	ErrRefused = errors.New("service refused the call")
)

// LeaseID is the ID of a lease; zero means no lease.
type LeaseID uint64

// Item is the state of a key at a revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the service's revision at the last change of the key, in the era
	// of the answer.
	Revision Revision
	// Lease is the lease with whose end the key is deleted; zero if there is
	// none.
	Lease LeaseID
	// Deleted reports that the change at Revision deleted the key.
	Deleted bool
	// Replaced reports that the key had another value before the change at Revision. It
	// is false if the source of the item does not tell.
	Replaced bool
}

// Condition requires that a key still has the given revision. Zero requires
// that the key is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease to which the key is attached; zero means none.
	Lease LeaseID
}

// Transaction makes all of its changes atomically if all of its conditions
// hold, and none of them otherwise.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// TransactionalStore is a key-value service with multi-key transactions, leases
// and a revision that counts the changes of all keys, so that a client can
// watch changes without gaps. A call whose error wraps ErrUnavailable may have
// taken effect, and may still take effect later while its conditions hold.
//
// A service may come back from an older copy of itself and lose what it has
// acknowledged since; each time its era rises by one. Revisions carry the era of the
// answer in which they came. An answer of an era below one that was already seen is
// not used; the call fails with ErrUnavailable.
type TransactionalStore interface {
	// Read returns the item of a key and the revision of the service. The
	// error wraps ErrAbsent if the key does not exist.
	Read(ctx context.Context, key string) (Item, Revision, error)
	// List returns all items under a prefix and the revision from which
	// Watch continues without a gap.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under a prefix after a revision, and the
	// revision from which to continue. If there are none, it waits for them,
	// at most for the given time. The error wraps ErrCompacted if the changes
	// are no longer in the service's history, or if the revision is of another
	// era.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Apply executes a transaction and returns its revision. The error wraps
	// ErrConflict if a condition did not hold or is of an earlier era, and
	// ErrNoLease if a lease of the transaction has ended.
	Apply(ctx context.Context, t Transaction) (Revision, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the time to live of a lease and returns the era of the
	// answer. The error wraps ErrNoLease if the lease has ended.
	Renew(ctx context.Context, id LeaseID) (era uint64, err error)
	// End ends a lease and deletes its keys. To end a lease that has already
	// ended is no error.
	End(ctx context.Context, id LeaseID) error
	// Era returns the highest era that an answer has had; zero if none told one.
	Era() uint64
}
