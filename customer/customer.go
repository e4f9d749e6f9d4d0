// Package customer knows the deployment's customers by the keys with which their
// callers start sessions. Keys are kept as digests only.
//
// # Usage
//
//	set, err := customer.NewSet([]customer.Entry{{Customer: customer.Customer{Name: "choir"}, Keys: []customer.Digest{customer.DigestOf(key)}}})
//	c, ok := set.Lookup(customer.DigestOf(given))
package customer

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrInvalid reports an entry that cannot be used.
var ErrInvalid = errors.New("invalid customer")

// Customer is one customer of the deployment. It must not be changed once it is in a
// Set.
type Customer struct {
	Name string
	// Priority ranks customers under load; zero is the highest priority.
	Priority int
	// Rate is the limit of operations a second, summed over all VMs; zero means none.
	Rate float64
	// Burst is how many operations above the rate may come at once.
	Burst float64
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the first 8 hexadecimal digits, which do not reveal the key.
func (d Digest) String() string { return fmt.Sprintf("%x", d[:4]) }

// Entry is a customer with the digests of its keys.
type Entry struct {
	Customer
	Keys []Digest
}

// Set holds the customers of one configuration. It is immutable and safe for
// concurrent use.
type Set struct {
	// byKey holds the keys by the first 8 bytes of their digests.
	byKey  map[prefix]*heldKey
	byName map[string]*Customer
}

// prefix is the first 8 bytes of a digest. A map with whole digests as keys would
// compare them with early exit.
type prefix [8]byte

// heldKey is a key and the customer that holds it.
type heldKey struct {
	digest   Digest
	customer *Customer
	// next is another key whose digest has the same prefix; nil if there is none.
	next *heldKey
}

// NewSet returns a set of the entries. Its error wraps ErrInvalid if a name is missing
// or given twice, a key is held twice, or a limit is negative.
func NewSet(entries []Entry) (*Set, error) {
	keys := 0
	for _, e := range entries {
		keys += len(e.Keys)
	}
	s := &Set{byKey: make(map[prefix]*heldKey, keys), byName: make(map[string]*Customer, len(entries))}
	for _, e := range entries {
		if e.Name == "" {
			return nil, fmt.Errorf("customer has no name: %w", ErrInvalid)
		}
		if s.byName[e.Name] != nil {
			return nil, fmt.Errorf("customer %s is given twice: %w", e.Name, ErrInvalid)
		}
		if e.Rate < 0 || e.Burst < 0 {
			return nil, fmt.Errorf("customer %s has a negative limit: %w", e.Name, ErrInvalid)
		}
		c := e.Customer
		s.byName[c.Name] = &c
		for _, k := range e.Keys {
			if other, held := s.Lookup(k); held {
				return nil, fmt.Errorf("customers %s and %s hold the same key %s: %w", other.Name, c.Name, k, ErrInvalid)
			}
			s.byKey[prefix(k[:])] = &heldKey{digest: k, customer: &c, next: s.byKey[prefix(k[:])]}
		}
	}
	return s, nil
}

// Lookup returns the customer that holds a key; false if nobody does. Whole digests are
// compared in constant time.
func (s *Set) Lookup(d Digest) (*Customer, bool) {
	for k := s.byKey[prefix(d[:])]; k != nil; k = k.next {
		if subtle.ConstantTimeCompare(k.digest[:], d[:]) == 1 {
			return k.customer, true
		}
	}
	return nil, false
}

// Named returns the customer with a name; false if there is none.
func (s *Set) Named(name string) (*Customer, bool) {
	c, ok := s.byName[name]
	return c, ok
}

// Len returns the number of customers.
func (s *Set) Len() int { return len(s.byName) }

// All returns the customers in the order of their names.
func (s *Set) All() []*Customer {
	return slices.SortedFunc(maps.Values(s.byName), func(a, b *Customer) int { return cmp.Compare(a.Name, b.Name) })
}
