package entry

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"amaranthsill/internal/strict"
)

// Settings are one VM's own. Read them with ReadSettings.
type Settings struct {
	vm       string
	zone     string
	callers  netip.AddrPort
	peers    netip.AddrPort
	admin    netip.AddrPort
	platform netip.AddrPort
	fleet    int
	sessions int
	grace    time.Duration
}

// The defaults and limits of settings.
const (
	defaultFleet    = 8
	defaultSessions = 10000
	defaultGrace    = 30 * time.Second
	maxFleet        = 10000
	maxSessions     = 1000000
	maxGrace        = 10 * time.Minute
)

// VM returns the VM's name.
func (s Settings) VM() string { return s.vm }

// Zone returns the VM's availability zone.
func (s Settings) Zone() string { return s.zone }

// Callers returns where callers connect.
func (s Settings) Callers() netip.AddrPort { return s.callers }

// Peers returns where other VMs connect.
func (s Settings) Peers() netip.AddrPort { return s.peers }

// Admin returns where metrics, health and status are served.
func (s Settings) Admin() netip.AddrPort { return s.admin }

// Platform returns the address of the platform's key-value service.
func (s Settings) Platform() netip.AddrPort { return s.platform }

// Fleet returns the most VMs that may run at a time; while the roster is
// unknown, each VM takes this share of a target's connections.
func (s Settings) Fleet() int { return s.fleet }

// Sessions returns the most callers connected at a time.
func (s Settings) Sessions() int { return s.sessions }

// Grace returns how long a stop waits for requests under way.
func (s Settings) Grace() time.Duration { return s.grace }

// ReadSettings reads a settings file. Its error names the line and what to
// write instead.
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
	s := Settings{fleet: defaultFleet, sessions: defaultSessions, grace: defaultGrace}
	root := doc.Root()
	err = root.Object(strict.Fields{
		"vm":       func(f strict.Field) error { return f.Word(&s.vm) },
		"zone":     func(f strict.Field) error { return f.Word(&s.zone) },
		"callers":  func(f strict.Field) error { return f.Address(&s.callers) },
		"peers":    func(f strict.Field) error { return f.Address(&s.peers) },
		"admin":    func(f strict.Field) error { return f.Address(&s.admin) },
		"platform": func(f strict.Field) error { return f.Address(&s.platform) },
		"fleet":    func(f strict.Field) error { return f.Count(&s.fleet, 1, maxFleet) },
		"sessions": func(f strict.Field) error { return f.Count(&s.sessions, 1, maxSessions) },
		"grace":    func(f strict.Field) error { return f.Duration(&s.grace, time.Second, maxGrace) },
	})
	if err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	if err := s.complete(root); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// complete checks that nothing is missing and no address stands twice.
func (s Settings) complete(root strict.Field) error {
	switch {
	case s.vm == "":
		return root.Fail("write the VM's name under vm")
	case s.zone == "":
		return root.Fail("write the VM's availability zone under zone")
	}
	used := map[netip.AddrPort]string{}
	for _, a := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"callers", s.callers},
		{"peers", s.peers},
		{"admin", s.admin},
		{"platform", s.platform},
	} {
		if !a.address.IsValid() {
			return root.Fail("write an address such as \"10.0.0.7:6432\" under %s", a.name)
		}
		if other := used[a.address]; other != "" {
			return root.Fail("%s and %s have the same address; give each its own", other, a.name)
		}
		used[a.address] = a.name
	}
	return nil
}
