package pool

import (
	"context"
	"time"

	"amaranthsill/query"
)

// dialLimit bounds the opening of a connection: two round trips between
// zones, and a queue of statements at the target.
const dialLimit = 1200 * time.Millisecond

// Warm opens a connection to the leader and to the targets of the own zone,
// so that the first statements find one.
func (g *Group) Warm() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, s := range g.servers {
		near := s.Zone == g.Zone || s.ID == g.leader
		if near && !s.Draining && s.open+s.dialing == 0 {
			g.dial(s)
		}
	}
}

// dial opens a connection in the background. The lock is held.
func (g *Group) dial(s *server) {
	s.dialing++
	t, wiring := s.Target, g.wiring
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
		defer cancel()
		link, p, err := g.Dialer.Dial(ctx, t)
		g.dialed(s, &connection{link: link, wiring: wiring}, p, err)
	}()
}

func (g *Group) dialed(s *server, c *connection, p query.Position, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.dialing--
	now := g.Now()
	if err != nil {
		s.failed(now, err)
		g.Log.V(1).Info("connection to target failed", "group", g.Name, "target", s.ID, "reason", err.Error())
		time.AfterFunc(s.retryAt-now, g.wake)
		return
	}
	s.heard = now
	s.alive()
	if s.gone || c.wiring != g.wiring {
		c.link.Close()
		g.dispatch()
		return
	}
	if p.Reaches(s.position) {
		s.position = p
	}
	s.open++
	c.used = now
	s.idle = append(s.idle, c)
	g.trim(s)
	g.dispatch()
}

// Probe opens a connection to a target that has gone silent, so that a dead
// one is told from a dead connection.
func (g *Group) Probe(id string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil || s.probing || s.gone || g.Now() < s.retryAt {
		return
	}
	s.probing = true
	t := s.Target
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
		defer cancel()
		link, _, err := g.Dialer.Dial(ctx, t)
		if err == nil {
			link.Close()
		}
		g.probed(s, err)
	}()
}

// heardLately is how long ago an answer of a target is proof that it runs, and a
// failure that it does not.
const heardLately = 250 * time.Millisecond

// Reaches reports whether a target answers this VM, and tries it if it has not
// done so a moment ago.
func (g *Group) Reaches(ctx context.Context, id string) bool {
	g.lock.Lock()
	s := g.servers[id]
	now := g.Now()
	if s == nil || now-s.heard < heardLately || s.down() && now-s.failedAt < heardLately {
		reached := s != nil && !s.down()
		g.lock.Unlock()
		return reached
	}
	t := s.Target
	g.lock.Unlock()
	link, _, err := g.Dialer.Dial(ctx, t)
	g.lock.Lock()
	defer g.lock.Unlock()
	if err != nil {
		return false
	}
	link.Close()
	s.heard = g.Now()
	s.alive()
	return true
}

// probeLimit bounds a probe; a target that is slow to start a session is not
// one that cannot be reached.
const probeLimit = 1500 * time.Millisecond

func (g *Group) probed(s *server, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.probing = false
	now := g.Now()
	if err != nil {
		s.failed(now, err)
		return
	}
	s.alive()
	s.heard = now
}
