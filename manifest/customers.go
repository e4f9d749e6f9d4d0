package manifest

import (
	"errors"
	"fmt"
	"strings"

	"amaranthsill/customer"
	"amaranthsill/internal/strict"
)

// Limits on the customers of a manifest.
const (
	// MaxCustomers is the maximum number of customers.
	MaxCustomers = 10000
	// MaxPriority is the lowest priority of a customer; zero is the highest.
	MaxPriority = 1000
	// MaxRate is the highest limit of operations a second, and the highest burst.
	MaxRate = 1e6
)

// ErrCustomersUnsupported reports a manifest with customers for VMs that do not check
// keys. They would serve everybody.
var ErrCustomersUnsupported = errors.New("VMs that promote their targets themselves do not support customers; remove customers, or use the platform's configuration")

// Customers returns the customers with the digests of their keys, in the order of the
// text; nil if the manifest does not list customers. Callers must not change the slice.
func (m *Manifest) Customers() []customer.Entry { return m.customers }

// RejectCustomers returns an error that wraps ErrCustomersUnsupported if the manifest
// lists customers, even none. It is for VMs that do not check keys.
func (m *Manifest) RejectCustomers() error {
	if m.customers == nil {
		return nil
	}
	return fmt.Errorf("manifest has a list of customers: %w", ErrCustomersUnsupported)
}

// customerReader reads the list of customers.
type customerReader struct {
	names map[string]bool
	keys  map[customer.Digest]bool
}

func (m *Manifest) readCustomers(f strict.Field) error {
	r := &customerReader{names: map[string]bool{}, keys: map[customer.Digest]bool{}}
	m.customers = []customer.Entry{}
	return f.List(func(f strict.Field) error {
		c, err := r.readCustomer(f)
		if err != nil {
			return err
		}
		m.customers = append(m.customers, c)
		if len(m.customers) > MaxCustomers {
			return f.Fail("write at most %d customers", MaxCustomers)
		}
		return nil
	})
}

func (r *customerReader) readCustomer(f strict.Field) (customer.Entry, error) {
	c := customer.Entry{}
	keysSet := false
	err := f.Object(strict.Fields{
		"name": func(f strict.Field) error { return f.Name(&c.Name) },
		"keys": func(f strict.Field) error {
			keysSet = true
			return f.List(func(f strict.Field) error { return r.readKey(f, &c) })
		},
		"priority": func(f strict.Field) error { return f.Int(&c.Priority, 0, MaxPriority) },
		"rate":     func(f strict.Field) error { return f.Number(&c.Rate, 0, MaxRate) },
		"burst":    func(f strict.Field) error { return f.Number(&c.Burst, 0, MaxRate) },
	})
	switch {
	case err != nil:
		return customer.Entry{}, err
	case c.Name == "":
		return customer.Entry{}, f.Fail("write the customer's name")
	case r.names[c.Name]:
		return customer.Entry{}, f.Fail("customer %q stands twice; give each its own name", c.Name)
	case !keysSet:
		return customer.Entry{}, f.Fail("write the customer's keys, or an empty list under keys if it has none at present")
	}
	r.names[c.Name] = true
	return c, nil
}

// readKey adds the digest of a key to a customer. Its errors do not contain the key.
func (r *customerReader) readKey(f strict.Field, c *customer.Entry) error {
	key := ""
	if err := f.Text(&key); err != nil {
		return err
	}
	if strings.ContainsAny(key, " \r\n\x00") {
		return f.Fail("write a key without spaces and line breaks")
	}
	d := customer.DigestOf(key)
	if r.keys[d] {
		return f.Fail("key stands twice; give each customer its own keys")
	}
	r.keys[d] = true
	c.Keys = append(c.Keys, d)
	return nil
}
