package edge

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"amaranthsill/internal/strict"
)

// Bounds of numeric settings.
const (
	// maxMemoryMB is 1 TiB in MiB.
	maxMemoryMB = 1 << 20
	maxCores    = 1024
	maxGrace    = 10 * time.Minute
	minGrace    = time.Second
)

// Settings are the settings of one VM, as read from its settings file. The
// accessors document the fields.
type Settings struct {
	vm       string
	zone     string
	callers  netip.AddrPort
	ready    netip.AddrPort
	peers    netip.AddrPort
	metrics  netip.AddrPort
	relay    netip.AddrPort
	store    netip.AddrPort
	duty     netip.AddrPort
	seeds    []string
	memoryMB int
	cores    float64
	share    float64
	grace    time.Duration
	first    bool
	traffic  trafficSettings
	// regions maps zones to regions; nil if the settings do not tell.
	regions map[string]string
}

// VM returns the VM's name.
func (s Settings) VM() string { return s.vm }

// Zone returns the VM's availability zone.
func (s Settings) Zone() string { return s.zone }

// CallerAddress returns the address on which callers are accepted.
func (s Settings) CallerAddress() string { return s.callers.String() }

// ReadyAddress returns the address on which the readiness check is served.
func (s Settings) ReadyAddress() string { return s.ready.String() }

// PeerAddress returns the address on which calls from other VMs are served.
func (s Settings) PeerAddress() string { return s.peers.String() }

// Seeds returns the peer addresses of some VMs, for when the store does not answer
// at the start. They may be down.
func (s Settings) Seeds() []string { return s.seeds }

// MetricsAddress returns the address on which metrics are served.
func (s Settings) MetricsAddress() string { return s.metrics.String() }

// RelayAddress returns the address on which relayed links from other VMs are
// accepted.
func (s Settings) RelayAddress() string { return s.relay.String() }

// StoreAddress returns the address of the platform's store.
func (s Settings) StoreAddress() string { return s.store.String() }

// PromotionAddress returns the address of the platform's promotion service.
func (s Settings) PromotionAddress() string { return s.duty.String() }

// MemoryBytes returns the VM's memory in bytes.
func (s Settings) MemoryBytes() int64 { return int64(s.memoryMB) << 20 }

// Cores returns the VM's processor in cores: its number of cores times the share of
// each that it may use. It is zero if the settings do not tell.
func (s Settings) Cores() float64 { return s.cores * s.share }

// Grace returns how long the VM may take to stop.
func (s Settings) Grace() time.Duration { return s.grace }

// FirstStart reports whether the whole system starts for the first time, so that
// no VM can have older state.
func (s Settings) FirstStart() bool { return s.first }

// ReadSettings reads a settings file, which is JSON with comments. The error of an
// invalid file names the line and says what to write instead.
func ReadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(file, text)
}

// ParseSettings parses the text of a settings file. The file's name is used in
// errors only.
func ParseSettings(file string, text []byte) (Settings, error) {
	doc, err := strict.Parse(file, text)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s := Settings{share: 1}
	root := doc.Root()
	err = root.Object(strict.Fields{
		"vm":      func(f strict.Field) error { return f.Name(&s.vm) },
		"zone":    func(f strict.Field) error { return f.Name(&s.zone) },
		"callers": func(f strict.Field) error { return f.Address(&s.callers) },
		"ready":   func(f strict.Field) error { return f.Address(&s.ready) },
		"peers":   func(f strict.Field) error { return f.Address(&s.peers) },
		"metrics": func(f strict.Field) error { return f.Address(&s.metrics) },
		"relay":   func(f strict.Field) error { return f.Address(&s.relay) },
		"store":   func(f strict.Field) error { return f.Address(&s.store) },
		"duty":    func(f strict.Field) error { return f.Address(&s.duty) },
		"first":   func(f strict.Field) error { return f.Bool(&s.first) },
		"memory":  func(f strict.Field) error { return f.Int(&s.memoryMB, 1, maxMemoryMB) },
		"cores":   func(f strict.Field) error { return f.Number(&s.cores, 0, maxCores) },
		"share":   func(f strict.Field) error { return f.Number(&s.share, 0, 1) },
		"grace":   func(f strict.Field) error { return f.Duration(&s.grace, minGrace, maxGrace) },
		"traffic": s.traffic.read,
		"regions": s.readRegions,
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
	if err := s.checkComplete(root); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// checkComplete returns an error for the first mandatory setting that is missing.
func (s Settings) checkComplete(root strict.Field) error {
	switch {
	case s.vm == "":
		return root.Fail("write the VM's name under vm")
	case s.zone == "":
		return root.Fail("write the VM's availability zone under zone")
	case s.memoryMB == 0:
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
