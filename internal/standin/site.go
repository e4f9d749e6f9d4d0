package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Site is a whole set of stand-ins on loopback: the platform and groups of
// three targets, one target to a zone. Set the exported fields before Start.
type Site struct {
	// Groups are the names of the database groups.
	Groups []string
	// Zones are the names of three availability zones.
	Zones []string
	// Connections is how many connections each target takes.
	Connections int
	// Kinds is the JSON of the manifest's kinds.
	Kinds string

	// Platform is the stand-in platform, once started.
	Platform *Platform
	// PlatformAddress is where it listens.
	PlatformAddress string
	// Targets are the targets of each group, in the order of the zones.
	Targets map[string][]*Target

	kills map[*Target]context.CancelFunc
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Start starts the stand-ins; they stop with the context.
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
	s.kills = map[*Target]context.CancelFunc{}
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
	t := &Target{Address: a, Connections: s.Connections, Slots: slots, Lag: lag}
	s.Targets[group] = append(s.Targets[group], t)
	ctx, s.kills[t] = context.WithCancel(ctx)
	go func() { _ = t.Run(ctx) }()
	return nil
}

// KillPrimary ends the target that leads a group: it stops listening and all
// its connections break.
func (s *Site) KillPrimary(name string) {
	for _, t := range s.Targets[name] {
		if t.leads() {
			s.kills[t]()
		}
	}
}

// Manifest returns the text of a manifest that describes the site.
func (s *Site) Manifest() string {
	groups := []string{}
	for _, g := range s.Groups {
		targets := []string{}
		for i, t := range s.Targets[g] {
			targets = append(targets, fmt.Sprintf(`{"name": "%s-%d", "zone": %q, "address": %q, "connections": %d}`, g, i, s.Zones[i], t.Address, s.Connections))
		}
		groups = append(groups, fmt.Sprintf(`{"name": %q, "targets": [%s]}`, g, strings.Join(targets, ", ")))
	}
	return fmt.Sprintf(`{"groups": [%s], "kinds": %s}`, strings.Join(groups, ", "), s.Kinds)
}
