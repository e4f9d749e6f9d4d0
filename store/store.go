// Package store is the client of the platform's key-value service: keys
// with compare-and-swap, leases, watches, and the list of VMs.
//
// Every call may fail after it took effect, because its answer was lost;
// such an error wraps ErrUnavailable and says nothing about the effect.
//
// # Usage
//
//	s := &store.Client{Address: "127.0.0.1:2379"}
//	entry, err := s.Get(ctx, "manifest")
//	entry, err = s.Swap(ctx, "manifest", entry.Revision(), text)
package store

import (
	"context"
	"errors"
	"time"
)

// The errors of a Store's calls.
var (
	// ErrUnavailable reports a service that did not answer.
	ErrUnavailable = errors.New("platform's key-value service is unavailable")
	// ErrAbsent reports a key without a value.
	ErrAbsent = errors.New("key is absent")
	// ErrConflict reports a compare-and-swap that lost, or a lease that
	// another holds.
	ErrConflict = errors.New("another writer was first")
)

// Entry is a key's value and the revision under which it was written.
type Entry struct {
	value    []byte
	revision uint64
}

// NewEntry returns an entry from its parts.
func NewEntry(value []byte, revision uint64) Entry {
	return Entry{value: value, revision: revision}
}

// Value returns the value; the caller must not change it.
func (e Entry) Value() []byte { return e.value }

// Revision returns the number that a later Swap must give; zero stands for
// an absent key.
func (e Entry) Revision() uint64 { return e.revision }

// VM is one machine on the platform's lagging list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns a key's entry; its error wraps ErrAbsent if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// Watch waits until the key's revision is above after, at most for the
	// given time, and returns the entry.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Swap writes a value if the key's revision is still the given one. If
	// it is not, the error wraps ErrConflict and the entry is the winner's.
	Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error)
	// Acquire takes or renews a lease; its error wraps ErrConflict while
	// another holder has it.
	Acquire(ctx context.Context, name, holder string, life time.Duration) error
	// Release gives a lease back.
	Release(ctx context.Context, name, holder string) error
	// VMs returns the platform's list of VMs, which lags.
	VMs(ctx context.Context) ([]VM, error)
}
