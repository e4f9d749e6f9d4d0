// Package manifest reads and checks the operators' description of their
// database groups and kinds of request.
//
// A manifest is JSON with comments. It names groups, each with its targets,
// and kinds, each saying how requests of that kind may be served. Submitted
// manifests get a version; versions only grow.
//
// # Usage
//
//	m, err := manifest.Parse("choir.json", text)
//	if err != nil {
//		fmt.Println(err) // choir.json:12: kinds[0].age: a write cannot ...
//	}
//	kind, ok := m.Kind("dues")
package manifest

import (
	"fmt"
	"net/netip"
	"time"

	"amaranthsill/internal/strict"
)

// The limits on a manifest.
const (
	MaxBytes       = 1 << 20
	MaxGroups      = 2000
	MaxKinds       = 500
	MaxTargets     = 7
	MaxConnections = 10000
	MaxAge         = 24 * time.Hour
	MinTimeout     = 50 * time.Millisecond
	MaxTimeout     = 5 * time.Minute

	// DefaultTimeout bounds a request whose kind states no timeout.
	DefaultTimeout = 5 * time.Second
	// DefaultObjective is the share of requests that must succeed, for a
	// kind that states none.
	DefaultObjective = 0.999
)

// Access is what a kind of request does to the data.
type Access uint8

// The accesses of a kind.
const (
	AccessWrite Access = iota
	AccessRead
)

// Manifest is a checked description. It does not change after Parse.
type Manifest struct {
	groups []Group
	kinds  []Kind
	text   []byte
}

// Groups returns the database groups in the order of the text.
func (m *Manifest) Groups() []Group { return m.groups }

// Kinds returns the kinds in the order of the text.
func (m *Manifest) Kinds() []Kind { return m.kinds }

// Text returns the text that the manifest was read from.
func (m *Manifest) Text() []byte { return m.text }

// Group returns the group of that name.
func (m *Manifest) Group(name string) (Group, bool) {
	for _, g := range m.groups {
		if g.name == name {
			return g, true
		}
	}
	return Group{}, false
}

// Kind returns the kind of that name.
func (m *Manifest) Kind(name string) (Kind, bool) {
	for _, k := range m.kinds {
		if k.name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Group is a set of targets that replicate one database.
type Group struct {
	name    string
	targets []Target
}

// Name returns the group's name, which callers give as their database.
func (g Group) Name() string { return g.name }

// Targets returns the group's targets.
func (g Group) Targets() []Target { return g.targets }

// Target is one database server.
type Target struct {
	name        string
	zone        string
	address     netip.AddrPort
	connections int
}

// Name returns the target's name.
func (t Target) Name() string { return t.name }

// Zone returns the target's availability zone.
func (t Target) Zone() string { return t.zone }

// Address returns where the target listens.
func (t Target) Address() netip.AddrPort { return t.address }

// Connections returns how many connections all VMs together may hold.
func (t Target) Connections() int { return t.connections }

// Kind says how requests that name it may be served.
type Kind struct {
	name      string
	access    Access
	age       time.Duration
	patience  time.Duration
	repeat    bool
	timeout   time.Duration
	objective float64
}

// Name returns the kind's name, as requests give it.
func (k Kind) Name() string { return k.name }

// Access returns whether requests of the kind read or write.
func (k Kind) Access() Access { return k.access }

// Age returns how old the data may be that a read sees; zero means current.
func (k Kind) Age() time.Duration { return k.age }

// Patience returns how much longer than a trip to the primary a read may wait
// for a replica; zero means the system's own choice.
func (k Kind) Patience() time.Duration { return k.patience }

// Repeat reports whether a write may run more than once.
func (k Kind) Repeat() bool { return k.repeat }

// Timeout returns how long a request may take before it is given up.
func (k Kind) Timeout() time.Duration { return k.timeout }

// Objective returns the share of requests that are to succeed in time.
func (k Kind) Objective() float64 { return k.objective }

// Unnamed returns the kind of a request that names none: a write that is
// never repeated.
func Unnamed() Kind {
	return Kind{access: AccessWrite, timeout: DefaultTimeout, objective: DefaultObjective}
}

// Parse reads and checks a manifest. Its error is a strict.Error, with the
// line and what to write instead.
func Parse(file string, text []byte) (*Manifest, error) {
	if len(text) > MaxBytes {
		return nil, &strict.Error{File: file, Line: 1, Field: "document", Remedy: fmt.Sprintf("write at most %d bytes, not %d", MaxBytes, len(text))}
	}
	doc, err := strict.Open(file, text)
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	m := &Manifest{text: text}
	root := doc.Root()
	err = root.Object(strict.Fields{
		"groups": m.readGroups,
		"kinds":  m.readKinds,
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

func readGroup(f strict.Field, names map[string]bool, addresses map[netip.AddrPort]bool) (Group, error) {
	g := Group{}
	err := f.Object(strict.Fields{
		"name": func(f strict.Field) error { return f.Word(&g.name) },
		"targets": func(f strict.Field) error {
			return f.List(func(f strict.Field) error {
				t, err := readTarget(f, names, addresses)
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
		"name":        func(f strict.Field) error { return f.Word(&t.name) },
		"zone":        func(f strict.Field) error { return f.Word(&t.zone) },
		"address":     func(f strict.Field) error { return f.Address(&t.address) },
		"connections": func(f strict.Field) error { return f.Count(&t.connections, 1, MaxConnections) },
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
	k := Unnamed()
	access := ""
	repeats := false
	err := f.Object(strict.Fields{
		"name":     func(f strict.Field) error { return f.Word(&k.name) },
		"access":   func(f strict.Field) error { return f.Text(&access) },
		"age":      func(f strict.Field) error { return f.Duration(&k.age, time.Millisecond, MaxAge) },
		"patience": func(f strict.Field) error { return f.Duration(&k.patience, time.Millisecond, MaxTimeout) },
		"repeat": func(f strict.Field) error {
			repeats = true
			return f.Flag(&k.repeat)
		},
		"timeout":   func(f strict.Field) error { return f.Duration(&k.timeout, MinTimeout, MaxTimeout) },
		"objective": func(f strict.Field) error { return f.Share(&k.objective) },
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
	case k.access == AccessWrite && k.age > 0:
		return Kind{}, f.Fail("a write has no age; remove age or write \"read\" under access")
	case k.access == AccessWrite && k.patience > 0:
		return Kind{}, f.Fail("a write waits for no replica; remove patience or write \"read\" under access")
	case k.patience >= k.timeout:
		return Kind{}, f.Fail("patience is not below the timeout of %s; write less", k.timeout)
	case k.access == AccessRead && repeats:
		return Kind{}, f.Fail("a read may always be repeated; remove repeat or write \"write\" under access")
	}
	return k, nil
}
