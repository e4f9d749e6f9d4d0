package edge

import (
	"context"
	"fmt"
	"time"

	"amaranthsill/catalog"
	"amaranthsill/pool"
)

// controls gives orders to targets over connections of their own.
type controls struct{ *VM }

// Candidates implements succession.Targets.
func (c *controls) Candidates(group string) []pool.Target {
	return c.directory.Targets(group)
}

// Order implements succession.Targets.
func (c *controls) Order(ctx context.Context, group, target string, o pool.Order) (pool.Report, error) {
	t, ok := c.find(group, target)
	if !ok {
		return pool.Report{}, fmt.Errorf("target %s is not registered: %w", target, pool.ErrNoTarget)
	}
	link, _, err := c.Adapter.Dialer.Dial(ctx, t)
	if err != nil {
		return pool.Report{}, fmt.Errorf("open control connection: %w", err)
	}
	defer link.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := link.SetDeadline(deadline); err != nil {
			return pool.Report{}, fmt.Errorf("run control order: %w", err)
		}
	}
	if err := link.Send(o); err != nil {
		return pool.Report{}, fmt.Errorf("send control order: %w", err)
	}
	r, err := link.Receive()
	if err != nil {
		return pool.Report{}, fmt.Errorf("receive answer to control order: %w", err)
	}
	report, err := c.Adapter.Dialer.ParseStatus(r)
	if err != nil {
		return pool.Report{}, fmt.Errorf("read answer to control order: %w", err)
	}
	return report, nil
}

func (c *controls) find(group, id string) (pool.Target, bool) {
	for _, t := range c.directory.Targets(group) {
		if t.ID == id {
			return t, true
		}
	}
	return pool.Target{}, false
}

// introduceLimit bounds the writing of first leaders.
const introduceLimit = 3 * time.Second

// introduce records the leaders of groups that the record lacks, one VM after
// the other by rank.
func (s *steward) introduce(ctx context.Context, groups map[string]catalog.Group) {
	if !s.registered.Load() || s.introducing.Load() {
		return
	}
	leaders := map[string]string{}
	for name := range groups {
		if _, ok := s.grants.Record().Leads[name]; ok {
			continue
		}
		if id := s.soleLeader(name); id != "" {
			leaders[name] = id
		}
	}
	if len(leaders) == 0 {
		s.missing = 0
		return
	}
	now := s.Now()
	if s.missing == 0 {
		s.missing = now
	}
	if now-s.missing < time.Duration(s.rank(""))*rankDelay {
		return
	}
	s.introducing.Store(true)
	go func() {
		defer s.introducing.Store(false)
		limited, cancel := context.WithTimeout(ctx, introduceLimit)
		defer cancel()
		if err := s.mover.Start(limited, leaders); err != nil {
			s.Log.Info("first leaders are not recorded yet", "reason", err.Error())
		}
	}()
}

// soleLeader returns the only target of a group that says that it leads.
func (s *steward) soleLeader(group string) string {
	found := ""
	for _, t := range s.directory.Targets(group) {
		if t.Role != pool.RolePrimary {
			continue
		}
		if found != "" {
			return ""
		}
		found = t.ID
	}
	return found
}

// checkReady makes the VM ready once it knows what it serves.
func (s *steward) checkReady() {
	if s.informed {
		return
	}
	c := s.catalog.Current()
	if c == nil {
		return
	}
	leads := s.grants.Record().Leads
	for _, r := range c.Routes {
		if _, ok := leads[r.Group]; !ok {
			return
		}
	}
	s.informed = true
	close(s.readied)
	s.Log.Info("VM is ready", "version", c.Version, "leaders", s.grants.Record().Revision)
}
