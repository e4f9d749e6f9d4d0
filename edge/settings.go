package edge

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"amaranthsill/internal/strict"
)

// The bounds of the settings.
const (
	// maxMemory is a terabyte, in megabytes.
	maxMemory = 1 << 20
	maxGrace  = 10 * time.Minute
	minGrace  = time.Second
)

// Settings are what a VM has to know about itself.
type Settings struct {
	vm      string
	zone    string
	callers netip.AddrPort
	ready   netip.AddrPort
	peers   netip.AddrPort
	metrics netip.AddrPort
	relay   netip.AddrPort
	store   netip.AddrPort
	duty    netip.AddrPort
	seeds   []string
	memory  int
	grace   time.Duration
	first   bool
}

// VM returns the VM's name.
func (s Settings) VM() string { return s.vm }

// Zone returns the VM's availability zone.
func (s Settings) Zone() string { return s.zone }

// Callers returns the address on which callers are accepted.
func (s Settings) Callers() string { return s.callers.String() }

// Ready returns the address on which readiness is asked for.
func (s Settings) Ready() string { return s.ready.String() }

// Peers returns the address on which other VMs call.
func (s Settings) Peers() string { return s.peers.String() }

// Seeds returns the peers' addresses of some VMs, which may be down.
func (s Settings) Seeds() []string { return s.seeds }

// Metrics returns the address on which metrics are served.
func (s Settings) Metrics() string { return s.metrics.String() }

// Relay returns the address on which other VMs' links to targets are accepted.
func (s Settings) Relay() string { return s.relay.String() }

// Store returns the address of the platform's store.
func (s Settings) Store() string { return s.store.String() }

// Duty returns the address of the platform's promotions.
func (s Settings) Duty() string { return s.duty.String() }

// Memory returns the VM's memory in bytes.
func (s Settings) Memory() int64 { return int64(s.memory) << 20 }

// Grace returns how long the VM may take to stop.
func (s Settings) Grace() time.Duration { return s.grace }

// First reports whether the whole system starts for the first time.
func (s Settings) First() bool { return s.first }

// ReadSettings reads a settings file, JSON with comments. Its error names the
// line and what to write instead.
func ReadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(file, text)
}

// ParseSettings reads the text of a settings file.
func ParseSettings(file string, text []byte) (Settings, error) {
	doc, err := strict.Open(file, text)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s := Settings{}
	root := doc.Root()
	err = root.Object(strict.Fields{
		"vm":      func(f strict.Field) error { return f.Word(&s.vm) },
		"zone":    func(f strict.Field) error { return f.Word(&s.zone) },
		"callers": func(f strict.Field) error { return f.Address(&s.callers) },
		"ready":   func(f strict.Field) error { return f.Address(&s.ready) },
		"peers":   func(f strict.Field) error { return f.Address(&s.peers) },
		"metrics": func(f strict.Field) error { return f.Address(&s.metrics) },
		"relay":   func(f strict.Field) error { return f.Address(&s.relay) },
		"store":   func(f strict.Field) error { return f.Address(&s.store) },
		"duty":    func(f strict.Field) error { return f.Address(&s.duty) },
		"first":   func(f strict.Field) error { return f.Flag(&s.first) },
		"memory":  func(f strict.Field) error { return f.Count(&s.memory, 1, maxMemory) },
		"grace":   func(f strict.Field) error { return f.Duration(&s.grace, minGrace, maxGrace) },
		"seeds": func(f strict.Field) error {
			return f.List(func(f strict.Field) error {
				a := netip.AddrPort{}
				if err := f.Address(&a); err != nil {
					return err
				}
				s.seeds = append(s.seeds, a.String())
				return nil
			})
		},
	})
	if err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	if err := s.complete(root); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// complete checks that nothing is missing.
func (s Settings) complete(root strict.Field) error {
	switch {
	case s.vm == "":
		return root.Fail("write the VM's name under vm")
	case s.zone == "":
		return root.Fail("write the VM's availability zone under zone")
	case s.memory == 0:
		return root.Fail("write the VM's memory in megabytes under memory")
	case s.grace == 0:
		return root.Fail("write the time that a stop may take, such as \"6s\", under grace")
	}
	for _, a := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"callers", s.callers},
		{"ready", s.ready},
		{"peers", s.peers},
		{"metrics", s.metrics},
		{"relay", s.relay},
		{"store", s.store},
		{"duty", s.duty},
	} {
		if !a.address.IsValid() {
			return root.Fail("write an address such as \"10.0.0.7:6432\" under %s", a.name)
		}
	}
	return nil
}
