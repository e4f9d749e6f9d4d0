package entry

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"amaranthsill/internal/strict"
)

// Settings are the settings of one VM. Read them with ReadSettings.
type Settings struct {
	vm         string
	zone       string
	callers    netip.AddrPort
	peers      netip.AddrPort
	admin      netip.AddrPort
	platform   netip.AddrPort
	maxVMs     int
	maxCallers int
	grace      time.Duration
}

// Defaults and limits of settings.
const (
	defaultMaxVMs     = 8
	defaultMaxCallers = 10000
	defaultGrace      = 30 * time.Second
	maxVMsLimit       = 10000
	maxCallersLimit   = 1000000
	graceLimit        = 10 * time.Minute
)

// VM returns the VM's name.
func (s Settings) VM() string { return s.vm }

// Zone returns the VM's availability zone.
func (s Settings) Zone() string { return s.zone }

// Callers returns the address on which the VM listens for callers.
func (s Settings) Callers() netip.AddrPort { return s.callers }

// Peers returns the address on which the VM listens for other VMs.
func (s Settings) Peers() netip.AddrPort { return s.peers }

// Admin returns the address that serves metrics, health and status.
func (s Settings) Admin() netip.AddrPort { return s.admin }

// Platform returns the address of the platform's key-value service.
func (s Settings) Platform() netip.AddrPort { return s.platform }

// MaxVMs returns the setting fleet: the maximum number of VMs that run at a time.
// Each VM may hold 1/MaxVMs of a target's connections, whatever the roster says.
func (s Settings) MaxVMs() int { return s.maxVMs }

// MaxCallers returns the setting sessions: the maximum number of callers
// connected at a time.
func (s Settings) MaxCallers() int { return s.maxCallers }

// Grace returns how long a stopping VM waits for requests in flight.
func (s Settings) Grace() time.Duration { return s.grace }

// ReadSettings reads and checks a settings file. An error in its contents names
// the line and the change to make, and wraps strict.ErrInput.
func ReadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(file, text)
}

// ParseSettings checks the text of a settings file and fills in defaults. The
// file name only appears in errors, which wrap strict.ErrInput.
func ParseSettings(file string, text []byte) (Settings, error) {
	doc, err := strict.Parse(file, text)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s := Settings{maxVMs: defaultMaxVMs, maxCallers: defaultMaxCallers, grace: defaultGrace}
	root := doc.Root()
	err = root.Object(strict.Fields{
		"vm":       func(f strict.Field) error { return f.Name(&s.vm) },
		"zone":     func(f strict.Field) error { return f.Name(&s.zone) },
		"callers":  func(f strict.Field) error { return f.Address(&s.callers) },
		"peers":    func(f strict.Field) error { return f.Address(&s.peers) },
		"admin":    func(f strict.Field) error { return f.Address(&s.admin) },
		"platform": func(f strict.Field) error { return f.Address(&s.platform) },
		"fleet":    func(f strict.Field) error { return f.Int(&s.maxVMs, 1, maxVMsLimit) },
		"sessions": func(f strict.Field) error { return f.Int(&s.maxCallers, 1, maxCallersLimit) },
		"grace":    func(f strict.Field) error { return f.Duration(&s.grace, time.Second, graceLimit) },
	})
	if err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	if err := s.checkComplete(root); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// checkComplete checks that no required setting is missing and that no two
// settings have the same address.
func (s Settings) checkComplete(root strict.Field) error {
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
