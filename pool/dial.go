package pool

import (
	"context"
	"time"

	"amaranthsill/query"
)

// dialTimeout bounds the opening of a connection: two round trips between
// zones and a wait in the target's statement queue.
const dialTimeout = 1200 * time.Millisecond

// Preparer is a Dialer that can make later links to a target fast without opening one.
type Preparer interface {
	// Prepare reports whether the target is reached through another VM, and connects to
	// that in the background.
	Prepare(t Target) bool
}

// Warm opens one connection to the leader and to each target of this VM's
// zone, so that the first statements do not wait for a dial. Targets that are reached
// through other VMs are prepared instead, since a link for each group on every VM would
// grow with the VMs times the groups.
func (g *Group) Warm() {
	g.lock.Lock()
	defer g.lock.Unlock()
	p, prepares := g.Dialer.(Preparer)
	for _, s := range g.servers {
		preferred := s.Zone == g.Zone || s.ID == g.leader
		if !preferred || s.Draining || s.open+s.dialing > 0 || prepares && p.Prepare(s.Target) {
			continue
		}
		g.dial(s, g.identity(s, ""))
	}
}

// dial opens a connection in the background. The caller holds the lock.
func (g *Group) dial(s *server, i identity) {
	o := s.beginOpening(i, g.Now())
	t, generation := s.Target, g.linkGeneration
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		link, p, err := g.Dialer.Dial(ctx, t, i.customer)
		g.finishDial(s, o, &connection{link: link, generation: generation, identity: i}, p, err)
	}()
}

func (g *Group) finishDial(s *server, o opening, c *connection, p query.Position, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := g.Now()
	s.endOpening(o, now, err)
	if err != nil && g.evictReserved(s, o.identity, err, now) {
		g.dispatch()
		return
	}
	if err != nil {
		s.recordDialFailure(now, err)
		g.Log.V(1).Info("dial of target failed; it is retried after a backoff", "group", g.Name, "target", s.ID, "reason", err.Error())
		time.AfterFunc(s.retryAt-now, g.redispatch)
		return
	}
	s.lastAnswer = now
	s.markReachable()
	if s.removed || c.generation != g.linkGeneration {
		c.link.Close()
		g.dispatch()
		return
	}
	if p.Reaches(s.position) {
		s.position = p
	}
	s.open++
	g.opens++
	s.recordPath(c)
	c.openedAt, c.lastUsed = now, now
	s.idle = append(s.idle, c)
	g.trim(s)
	g.dispatch()
}

// Probe dials a target in the background to distinguish a dead target from a
// dead connection. It does nothing while another probe runs or the dial
// backoff lasts.
func (g *Group) Probe(id string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s := g.servers[id]
	if s == nil || s.probing || s.removed || g.Now() < s.retryAt {
		return
	}
	s.probing = true
	t := s.Target
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		link, _, err := g.Dialer.Dial(ctx, t, "")
		if err == nil {
			link.Close()
		}
		g.finishProbe(s, err)
	}()
}

// reachabilityTTL is how long the last answer of a target, or the last failed
// dial, decides whether the target counts as reachable.
const reachabilityTTL = 250 * time.Millisecond

// Reaches reports whether this VM can reach a target. It dials the target if
// neither an answer nor a failed dial is more recent than reachabilityTTL. An
// unknown target is not reachable.
func (g *Group) Reaches(ctx context.Context, id string) bool {
	g.lock.Lock()
	s := g.servers[id]
	now := g.Now()
	if s == nil || now-s.lastAnswer < reachabilityTTL || s.unreachable() && now-s.failedAt < reachabilityTTL {
		reachable := s != nil && !s.unreachable()
		g.lock.Unlock()
		return reachable
	}
	t := s.Target
	g.lock.Unlock()
	link, _, err := g.Dialer.Dial(ctx, t, "")
	g.lock.Lock()
	defer g.lock.Unlock()
	if err != nil {
		return false
	}
	link.Close()
	s.lastAnswer = g.Now()
	s.markReachable()
	return true
}

// probeTimeout bounds a probe. It is longer than a usual dial, because a
// target that is slow to start a session is still reachable.
const probeTimeout = 1500 * time.Millisecond

func (g *Group) finishProbe(s *server, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	s.probing = false
	now := g.Now()
	if err != nil {
		s.recordDialFailure(now, err)
		return
	}
	s.markReachable()
	s.lastAnswer = now
}
