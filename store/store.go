// Package store defines the interfaces to the platform's key-value service and
// implements a client for one of them. Store offers compare-and-swap on single
// keys, named leases, watches and the list of VMs; Client implements it over
// HTTP. TransactionalStore offers transactions over several keys; package platform
// implements it.
//
// A call whose answer was lost may have taken effect. Its error wraps
// ErrUnavailable, which therefore says nothing about the effect.
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

// Errors of a Store's calls.
var (
	// ErrUnavailable reports a call without a usable answer from the service.
	ErrUnavailable = errors.New("platform's key-value service is unavailable")
	// ErrAbsent reports a key that does not exist.
	ErrAbsent = errors.New("key is absent")
	// ErrConflict reports a write whose expected revision was outdated, or a
	// lease that another holder has.
	ErrConflict = errors.New("conflict with another writer")
)

// Entry is the value of a key and the revision at which it was written.
type Entry struct {
	value    []byte
	revision uint64
}

// NewEntry returns an entry with the given value and revision.
func NewEntry(value []byte, revision uint64) Entry {
	return Entry{value: value, revision: revision}
}

// Value returns the value; the caller must not change it.
func (e Entry) Value() []byte { return e.value }

// Revision returns the revision that a later Swap has to expect; it is zero if
// the key is absent.
func (e Entry) Revision() uint64 { return e.revision }

// VM is an element of the platform's list of VMs. The list may be out of date.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Leaving reports that the VM is about to stop.
	Leaving bool `json:"leaving"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of a key. The error wraps ErrAbsent if the key
	// does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Watch waits until the revision of the key is above after, at most for
	// the given time, and returns the entry.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Swap writes a value if the key still has the given revision; zero
	// expects an absent key. Otherwise the error wraps ErrConflict and the
	// entry is the current one.
	Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error)
	// Acquire takes the named lease for a holder, or renews it, with the given
	// time to live. The error wraps ErrConflict while another holder has the
	// lease.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) error
	// Release ends the named lease if the holder has it.
	Release(ctx context.Context, name, holder string) error
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}
