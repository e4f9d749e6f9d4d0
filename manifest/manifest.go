// Package manifest parses and validates the operators' description of their
// database groups and kinds of request.
//
// A manifest is JSON with comments. It lists groups, each with its targets,
// and kinds, each of which says how requests of that kind may be served. It may
// list customers, with their keys and limits.
// Manifests receive a version when they are submitted; it increases with each
// submission.
//
// # Usage
//
//	m, err := manifest.Parse("choir.json", text)
//	if err != nil {
//		fmt.Println(err) // check manifest: choir.json:4: kinds[0]: a write has no age; ...
//	}
//	kind, ok := m.Kind("dues")
package manifest

import (
	"fmt"
	"net/netip"
	"time"

	"amaranthsill/customer"
	"amaranthsill/internal/strict"
)

// Limits on a manifest, and the defaults of a kind.
const (
	// MaxBytes is the maximum length of the text in bytes.
	MaxBytes = 1 << 20
	// MaxGroups is the maximum number of groups.
	MaxGroups = 2000
	// MaxKinds is the maximum number of kinds.
	MaxKinds = 500
	// MaxTargets is the maximum number of targets in a group.
	MaxTargets = 7
	// MaxConnections is the highest connection limit that a target may have.
	MaxConnections = 10000
	// MaxAge is the greatest MaxStaleness of a kind, the bound of the key age.
	MaxAge = 24 * time.Hour
	// MinTimeout is the shortest timeout of a kind.
	MinTimeout = 50 * time.Millisecond
	// MaxTimeout is the longest timeout of a kind.
	MaxTimeout = 5 * time.Minute

	// DefaultTimeout is the timeout of requests whose kind sets none.
	DefaultTimeout = 5 * time.Second
	// DefaultSuccessObjective is the share of requests that are to succeed in
	// time, for a kind that sets none.
	DefaultSuccessObjective = 0.999
)

// Access tells whether requests of a kind read or write.
type Access uint8

// The values of Access.
const (
	AccessWrite Access = iota
	AccessRead
)

// Manifest is a validated manifest. It is immutable.
type Manifest struct {
	groups []Group
	kinds  []Kind
	// customers is nil if the manifest does not list customers.
	customers []customer.Entry
	text      []byte
}

// Groups returns the database groups in the order of the text. Callers must not
// change the slice.
func (m *Manifest) Groups() []Group { return m.groups }

// Kinds returns the kinds in the order of the text. Callers must not change the
// slice.
func (m *Manifest) Kinds() []Kind { return m.kinds }

// Text returns the text that the manifest was parsed from.
func (m *Manifest) Text() []byte { return m.text }

// Group returns the group with the given name. The second result is false if
// there is none.
func (m *Manifest) Group(name string) (Group, bool) {
	for _, g := range m.groups {
		if g.name == name {
			return g, true
		}
	}
	return Group{}, false
}

// Kind returns the kind with the given name. The second result is false if
// there is none.
func (m *Manifest) Kind(name string) (Kind, bool) {
	for _, k := range m.kinds {
		if k.name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Group is a set of targets that replicate the same database.
type Group struct {
	name    string
	targets []Target
}

// Name returns the name of the group, which callers give as the database name
// when they connect.
func (g Group) Name() string { return g.name }

// Targets returns the targets of the group in the order of the text.
func (g Group) Targets() []Target { return g.targets }

// Target is one database server.
type Target struct {
	name        string
	zone        string
	address     netip.AddrPort
	connections int
}

// Name returns the name of the target, which is unique in the manifest.
func (t Target) Name() string { return t.name }

// Zone returns the availability zone of the target.
func (t Target) Zone() string { return t.zone }

// Address returns the address and port on which the target accepts connections.
func (t Target) Address() netip.AddrPort { return t.address }

// ConnectionLimit returns the connection limit of the target, summed over all VMs.
func (t Target) ConnectionLimit() int { return t.connections }

// Kind is a class of requests that are served alike: whether they read or write,
// how stale their reads may be and how long they may wait for a replica, whether
// a write may be repeated, their timeout and their success objective. A request
// names its kind in a hint or a session parameter.
type Kind struct {
	name         string
	access       Access
	maxStaleness time.Duration
	replicaWait  time.Duration
	repeatable   bool
	timeout      time.Duration
	objective    float64
	public       bool
}

// Name returns the name of the kind, as requests give it.
func (k Kind) Name() string { return k.name }

// Access tells whether requests of the kind read or write.
func (k Kind) Access() Access { return k.access }

// MaxStaleness returns the maximum staleness of the data that a read sees; zero
// means that reads see every acknowledged commit.
func (k Kind) MaxStaleness() time.Duration { return k.maxStaleness }

// ReplicaWait returns the time by which a read from a replica may take longer than
// a round trip to the primary; zero lets the proxy choose.
func (k Kind) ReplicaWait() time.Duration { return k.replicaWait }

// Repeatable reports whether a write may be executed more than once.
func (k Kind) Repeatable() bool { return k.repeatable }

// Timeout returns the time after which a request is abandoned.
func (k Kind) Timeout() time.Duration { return k.timeout }

// SuccessObjective returns the share of requests, between 0 and 1, that are to
// succeed in time.
func (k Kind) SuccessObjective() float64 { return k.objective }

// Public reports whether callers need no key for requests of the kind.
func (k Kind) Public() bool { return k.public }

// DefaultKind returns the kind of requests that do not name one: a write that is
// executed at most once, with the default timeout and objective.
func DefaultKind() Kind {
	return Kind{access: AccessWrite, timeout: DefaultTimeout, objective: DefaultSuccessObjective}
}

// Parse parses and validates the text of a manifest. The file name appears in
// errors only. The error wraps a strict.Error, which gives the line and what to
// write instead.
func Parse(file string, text []byte) (*Manifest, error) {
	if len(text) > MaxBytes {
		return nil, &strict.Error{File: file, Line: 1, Field: "document", Remedy: fmt.Sprintf("write at most %d bytes, not %d", MaxBytes, len(text))}
	}
	doc, err := strict.Parse(file, text)
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	m := &Manifest{text: text}
	root := doc.Root()
	err = root.Object(strict.Fields{
		"groups": m.readGroups,
		"kinds":  m.readKinds,

		"customers": m.readCustomers,
	})
	if err != nil {
		return nil, fmt.Errorf("check manifest: %w", err)
	}
	if len(m.groups) == 0 {
		return nil, fmt.Errorf("check manifest: %w", root.Fail("write at least one group under groups"))
	}
	return m, nil
}

func (m *Manifest) readGroups(f strict.Field) error {
	names := map[string]bool{}
	targets := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	return f.List(func(f strict.Field) error {
		g, err := readGroup(f, targets, addresses)
		if err != nil {
			return err
		}
		if names[g.name] {
			return f.Fail("group %q stands twice; give each its own name", g.name)
		}
		names[g.name] = true
		m.groups = append(m.groups, g)
		if len(m.groups) > MaxGroups {
			return f.Fail("write at most %d groups", MaxGroups)
		}
		return nil
	})
}

func readGroup(f strict.Field, targets map[string]bool, addresses map[netip.AddrPort]bool) (Group, error) {
	g := Group{}
	err := f.Object(strict.Fields{
		"name": func(f strict.Field) error { return f.Name(&g.name) },
		"targets": func(f strict.Field) error {
			return f.List(func(f strict.Field) error {
				t, err := readTarget(f, targets, addresses)
				g.targets = append(g.targets, t)
				return err
			})
		},
	})
	if err != nil {
		return Group{}, err
	}
	if g.name == "" {
		return Group{}, f.Fail("write the group's name")
	}
	if n := len(g.targets); n%2 == 0 || n < 3 || n > MaxTargets {
		return Group{}, f.Fail("write an odd number of targets from 3 to %d, not %d", MaxTargets, n)
	}
	return g, nil
}

func readTarget(f strict.Field, names map[string]bool, addresses map[netip.AddrPort]bool) (Target, error) {
	t := Target{}
	err := f.Object(strict.Fields{
		"name":        func(f strict.Field) error { return f.Name(&t.name) },
		"zone":        func(f strict.Field) error { return f.Name(&t.zone) },
		"address":     func(f strict.Field) error { return f.Address(&t.address) },
		"connections": func(f strict.Field) error { return f.Int(&t.connections, 1, MaxConnections) },
	})
	switch {
	case err != nil:
		return Target{}, err
	case t.name == "":
		return Target{}, f.Fail("write the target's name")
	case t.zone == "":
		return Target{}, f.Fail("write the target's availability zone under zone")
	case !t.address.IsValid():
		return Target{}, f.Fail("write the target's address, such as \"10.0.0.5:5432\"")
	case t.connections == 0:
		return Target{}, f.Fail("write under connections how many the target takes")
	case names[t.name]:
		return Target{}, f.Fail("target %q stands twice; give each its own name", t.name)
	case addresses[t.address]:
		return Target{}, f.Fail("address %s stands twice; give each target its own", t.address)
	}
	names[t.name] = true
	addresses[t.address] = true
	return t, nil
}

func (m *Manifest) readKinds(f strict.Field) error {
	names := map[string]bool{}
	return f.List(func(f strict.Field) error {
		k, err := readKind(f)
		if err != nil {
			return err
		}
		if names[k.name] {
			return f.Fail("kind %q stands twice; give each its own name", k.name)
		}
		names[k.name] = true
		m.kinds = append(m.kinds, k)
		if len(m.kinds) > MaxKinds {
			return f.Fail("write at most %d kinds", MaxKinds)
		}
		return nil
	})
}

func readKind(f strict.Field) (Kind, error) {
	k := DefaultKind()
	access := ""
	repeatSet := false
	err := f.Object(strict.Fields{
		"name":     func(f strict.Field) error { return f.Name(&k.name) },
		"access":   func(f strict.Field) error { return f.Text(&access) },
		"age":      func(f strict.Field) error { return f.Duration(&k.maxStaleness, time.Millisecond, MaxAge) },
		"patience": func(f strict.Field) error { return f.Duration(&k.replicaWait, time.Millisecond, MaxTimeout) },
		"repeat": func(f strict.Field) error {
			repeatSet = true
			return f.Bool(&k.repeatable)
		},
		"timeout":   func(f strict.Field) error { return f.Duration(&k.timeout, MinTimeout, MaxTimeout) },
		"objective": func(f strict.Field) error { return f.Fraction(&k.objective) },
		"public":    func(f strict.Field) error { return f.Bool(&k.public) },
	})
	if err != nil {
		return Kind{}, err
	}
	switch access {
	case "read":
		k.access = AccessRead
	case "write":
		k.access = AccessWrite
	default:
		return Kind{}, f.Fail("write under access \"read\" or \"write\", not %q", access)
	}
	switch {
	case k.name == "":
		return Kind{}, f.Fail("write the kind's name")
	case k.access == AccessWrite && k.maxStaleness > 0:
		return Kind{}, f.Fail("a write has no age; remove age or write \"read\" under access")
	case k.access == AccessWrite && k.replicaWait > 0:
		return Kind{}, f.Fail("a write waits for no replica; remove patience or write \"read\" under access")
	case k.replicaWait >= k.timeout:
		return Kind{}, f.Fail("patience is not below the timeout of %s; write less", k.timeout)
	case k.access == AccessRead && repeatSet:
		return Kind{}, f.Fail("a read may always be repeated; remove repeat or write \"write\" under access")
	}
	return k, nil
}
