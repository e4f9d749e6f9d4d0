package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Site runs a simulated platform and its targets on loopback. Each group has one target
// per zone. Set Groups, Zones, ConnectionLimit and Kinds before Start.
type Site struct {
	// Groups are the names of the database groups.
	Groups []string
	// Zones are the names of the three availability zones.
	Zones []string
	// ConnectionLimit is the most connections that each target accepts.
	ConnectionLimit int
	// Kinds is the JSON of the manifest's field "kinds".
	Kinds string

	// Platform is the simulated platform. Start sets it.
	Platform *Platform
	// PlatformAddress is the address on which the platform listens. Start sets it.
	PlatformAddress string
	// Targets maps a group's name to its targets, in the order of Zones. Start sets it.
	Targets map[string][]*Target

	cancels map[*Target]context.CancelFunc
}

// FreeAddress returns a loopback address on which nothing listens. The system chooses the
// port, which is not reserved. It fails if no port can be listened on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start starts the platform and the targets, which stop when the context ends. It fails
// if no loopback port can be listened on.
func (s *Site) Start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for platform: %w", err)
	}
	s.Platform = &Platform{}
	s.PlatformAddress = l.Addr().String()
	h := &http.Server{Handler: s.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = h.Close() })
	s.Targets = map[string][]*Target{}
	s.cancels = map[*Target]context.CancelFunc{}
	for _, g := range s.Groups {
		for range s.Zones {
			if err := s.startTarget(ctx, g); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startTarget(ctx context.Context, group string) error {
	const slots, lag = 3, 2 * time.Millisecond
	a, err := FreeAddress()
	if err != nil {
		return err
	}
	t := &Target{Address: a, ConnectionLimit: s.ConnectionLimit, Slots: slots, Lag: lag}
	s.Targets[group] = append(s.Targets[group], t)
	ctx, s.cancels[t] = context.WithCancel(ctx)
	go func() { _ = t.Run(ctx) }()
	return nil
}

// KillPrimary stops the target that is primary of the group: it stops listening, and its
// connections are closed.
func (s *Site) KillPrimary(name string) {
	for _, t := range s.Targets[name] {
		if t.isPrimary() {
			s.cancels[t]()
		}
	}
}

// Manifest returns a manifest, as JSON, with the site's groups, its targets and Kinds.
func (s *Site) Manifest() string {
	groups := []string{}
	for _, g := range s.Groups {
		targets := []string{}
		for i, t := range s.Targets[g] {
			targets = append(targets, fmt.Sprintf(`{"name": "%s-%d", "zone": %q, "address": %q, "connections": %d}`, g, i, s.Zones[i], t.Address, s.ConnectionLimit))
		}
		groups = append(groups, fmt.Sprintf(`{"name": %q, "targets": [%s]}`, g, strings.Join(targets, ", ")))
	}
	return fmt.Sprintf(`{"groups": [%s], "kinds": %s}`, strings.Join(groups, ", "), s.Kinds)
}
