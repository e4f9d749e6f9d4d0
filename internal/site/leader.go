package site

import (
	"slices"
	"time"
)

const (
	// defaultPromotionDelay is how long a promotion takes without Options.PromotionDelay.
	defaultPromotionDelay = 30 * time.Millisecond
	// rollbackTime is how long a server whose log was rolled back is busy.
	rollbackTime = 100 * time.Millisecond
	// heartbeatInterval is how often a server reports to the store.
	heartbeatInterval = 100 * time.Millisecond
)

// Promotion is one promotion that has taken effect.
type Promotion struct {
	// Server is the ID of the server that leads from At on, and Term its term.
	Server string
	Term   uint64
	At     time.Time
}

// Promotions returns the promotions of a group that have taken effect, in order. The
// first primary was not promoted.
func (s *Site) Promotions(group string) []Promotion {
	g := s.groups[group]
	g.lock.Lock()
	defer g.lock.Unlock()
	return slices.Clone(g.promotions)
}

// LeaderAt returns the ID of the server that led a group at a time, whether or not
// another one considered itself the primary too.
func (s *Site) LeaderAt(group string, at time.Time) string {
	leader := s.groups[group].servers[0].ID
	for _, p := range s.Promotions(group) {
		if !p.At.After(at) {
			leader = p.Server
		}
	}
	return leader
}

// promote makes a server the primary after the time that a promotion takes.
func (g *Group) promote(v *Server) {
	if g.site.Leader(g.Name) == v {
		return
	}
	if d := g.site.options.PromotionDelay; d > 0 {
		time.AfterFunc(d, func() { g.setLeader(v) })
		return
	}
	time.Sleep(defaultPromotionDelay)
	g.setLeader(v)
}

// setLeader makes a server the primary of the next term, with the log that it has.
func (g *Group) setLeader(v *Server) {
	if g.site.Leader(g.Name) == v || v.isCrashed() {
		return
	}
	g.lock.Lock()
	highest := uint64(0)
	for _, o := range g.servers {
		_, term := o.lead()
		highest = max(highest, term)
	}
	v.lock.Lock()
	v.primary, v.receivePaused, v.newerSince = true, false, time.Time{}
	v.term = highest + 1
	g.promotions = append(g.promotions, Promotion{Server: v.ID, Term: v.term, At: time.Now()})
	v.lock.Unlock()
	g.lock.Unlock()
	g.register(v)
}

// lead returns whether the server considers itself the primary, and its term.
func (s *Server) lead() (primary bool, term uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.primary, s.term
}

// demoteOthers makes primaries that have reached the leader for DemotionDelay replicas.
func (g *Group) demoteOthers(leader *Server) {
	delay := g.site.options.DemotionDelay
	if delay == 0 {
		return
	}
	_, term := leader.lead()
	for _, v := range g.servers {
		reached := g.reaches(v.ID, leader.ID) && !leader.isUnresponsive() && !leader.isCrashed()
		if v != leader && v.learnOfNewer(term, reached, delay) {
			g.register(v)
		}
	}
}

// learnOfNewer reports whether the server, a primary, has just become a replica, since
// it has reached a primary of a newer term for the delay.
func (s *Server) learnOfNewer(term uint64, reached bool, delay time.Duration) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	switch {
	case !s.primary || s.unresponsive || s.crashed || !reached:
		s.newerSince = time.Time{}
		return false
	case s.newerSince.IsZero():
		s.newerSince = time.Now()
		return false
	case time.Since(s.newerSince) < delay:
		return false
	}
	s.primary, s.term = false, term
	return true
}

// Crash makes the server end its connections, without a word to the store, and refuse
// new ones until Restart.
func (s *Server) Crash() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashed = true
	for c := range s.connections {
		_ = c.Close()
	}
}

// Restart makes a crashed server come back with its log, as a primary if it was one and
// no other was promoted meanwhile.
func (s *Server) Restart() {
	leader := s.Group.site.Leader(s.Group.Name)
	s.lock.Lock()
	if !s.crashed {
		s.lock.Unlock()
		return
	}
	s.crashed, s.receivePaused = false, false
	s.starts++
	s.primary = s.primary && leader == s
	s.lock.Unlock()
	s.Group.register(s)
}

func (s *Server) isCrashed() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.crashed
}

// reaches reports whether a server reaches another one or the store.
func (g *Group) reaches(from, to string) bool {
	return g.site.options.Reaches == nil || g.site.options.Reaches(from, to)
}

func (s *Server) setReportDue() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reportDue = true
}

// heartbeat removes the entries of servers that do not reach the store, and has those
// that reach it again write theirs, until the site closes.
func (g *Group) heartbeat() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.site.closed:
			return
		case <-tick.C:
		}
		for _, v := range g.servers {
			g.beat(v)
		}
	}
}

// beat is one heartbeat of a server.
func (g *Group) beat(v *Server) {
	reached := g.reaches(v.ID, StoreNode)
	v.lock.Lock()
	silent := !reached || v.crashed
	if !silent {
		v.silentSince = time.Time{}
	} else if v.silentSince.IsZero() {
		v.silentSince = time.Now()
	}
	timeout := g.site.options.EntryTimeout
	expired := silent && timeout > 0 && !v.removed && time.Since(v.silentSince) > timeout
	due := !silent && (v.reportDue || v.removed)
	v.removed = v.removed && silent || expired
	v.reportDue = v.reportDue && silent
	v.lock.Unlock()
	if expired {
		g.site.Store.Delete("servers/" + v.ID)
	}
	if due {
		g.registerAs(v, "ready")
	}
}
