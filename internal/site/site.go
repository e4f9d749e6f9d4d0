package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Shape says what a site consists of.
type Shape struct {
	// Groups are the database groups, each with a server in every zone; the
	// first zone's leads.
	Groups []string
	Zones  []string
	// Connections is the limit of each server; zero means 20.
	Connections int
	// Lag is how far replicas are behind.
	Lag time.Duration
	// Work is the time of one statement.
	Work time.Duration
	// Through returns the address under which a server registers, when it is
	// reached through something; nil for its own.
	Through func(address string) string
}

// Site is a stand-in for the platform and its servers.
type Site struct {
	// Store is the metadata store, Address where it listens.
	Store   *Store
	Address string

	shape    Shape
	groups   map[string]*Group
	listener net.Listener
	lock     sync.Mutex
	version  int
	tokens   []uint64
	closed   chan struct{}
}

// Group is one database group.
type Group struct {
	Name        string
	Connections int
	Work        time.Duration

	site    *Site
	servers []*Server
}

// Open starts a site on loopback.
func Open(shape Shape) (*Site, error) {
	if shape.Connections == 0 {
		shape.Connections = 20
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as platform: %w", err)
	}
	s := &Site{
		Store: NewStore(), Address: l.Addr().String(), shape: shape, listener: l,
		groups: map[string]*Group{}, closed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", s.promote)
	mux.Handle("/", s.Store)
	go func() {
		// Serve returns when the listener is closed.
		_ = http.Serve(l, mux)
	}()
	for _, name := range shape.Groups {
		if err := s.openGroup(name); err != nil {
			return nil, err
		}
	}
	s.Configure(nil)
	return s, nil
}

func (s *Site) openGroup(name string) error {
	g := &Group{Name: name, Connections: s.shape.Connections, Work: s.shape.Work, site: s}
	s.groups[name] = g
	for i, zone := range s.shape.Zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen as server: %w", err)
		}
		v := &Server{
			ID: fmt.Sprintf("%s-%d", name, i), Group: g, Zone: zone, listener: l,
			primary: i == 0, term: 1, conns: map[net.Conn]bool{}, runs: map[string]int{}, shown: map[string][]entry{},
		}
		if s.shape.Through != nil {
			v.through = s.shape.Through(v.Address())
		}
		g.servers = append(g.servers, v)
		go v.serve()
		g.announce(v)
	}
	go g.replicate()
	return nil
}

// Close stops the site.
func (s *Site) Close() {
	close(s.closed)
	_ = s.listener.Close()
	for _, g := range s.groups {
		for _, v := range g.servers {
			_ = v.listener.Close()
		}
	}
}

// Servers returns a group's servers.
func (s *Site) Servers(group string) []*Server { return s.groups[group].servers }

// Leader returns the server that leads a group in its own view and has the
// highest term.
func (s *Site) Leader(group string) *Server {
	var best *Server
	for _, v := range s.groups[group].servers {
		if v.Primary() && (best == nil || v.term > best.term) {
			best = v
		}
	}
	return best
}

// Tokens returns the fencing tokens of all promotions, in order.
func (s *Site) Tokens() []uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.tokens)
}

// Route is a row of the operators' configuration.
type Route map[string]any

// Configure writes a configuration with the routes of every group, named
// GROUP-current, GROUP-bounded and GROUP-own, and further ones.
func (s *Site) Configure(further []Route) int {
	s.lock.Lock()
	s.version += 3
	version := s.version
	s.lock.Unlock()
	routes := append([]Route{}, further...)
	services := []map[string]any{}
	for _, g := range s.shape.Groups {
		services = append(services, map[string]any{"name": g, "max_conns": s.shape.Connections, "sync_replicas": 0})
		for word, kind := range map[string]string{"current": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"} {
			routes = append(routes, Route{
				"name": g + "-" + word, "host": g + "-" + word, "kind": kind, "service": g,
				"timeout_ms": 1000, "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
			})
		}
	}
	s.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"tx_idle_ms": 1000},
	})
	return version
}

// announce writes a server's entry.
func (g *Group) announce(v *Server) { g.announceAs(v, "ready") }

// registered returns the address under which the server registers.
func (s *Server) registered() string {
	if s.through != "" {
		return s.through
	}
	return s.Address()
}

// Drain reports that a server is leaving.
func (s *Server) Drain() { s.Group.announceAs(s, "draining") }

func (g *Group) announceAs(v *Server, state string) {
	role := "replica"
	if v.Primary() {
		role = "primary"
	}
	g.site.Store.Put("servers/"+v.ID, map[string]any{
		"service": g.Name, "address": v.registered(), "zone": v.Zone, "version": "v1", "slots": 3,
		"state": state, "cold_left_ms": 0, "db_role": role, "seq": 1, "born": 1,
	})
}

// replicate copies the primary's log to the replicas, again and again.
func (g *Group) replicate() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-g.site.closed:
			return
		case <-tick.C:
		}
		leader := g.site.Leader(g.Name)
		if leader == nil || leader.isDark() {
			continue
		}
		leader.lock.Lock()
		log, term := slices.Clone(leader.log), leader.term
		leader.lock.Unlock()
		time.Sleep(g.site.shape.Lag)
		for _, v := range g.servers {
			v.copy(log, term)
		}
	}
}

func (s *Server) copy(log []entry, term uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.primary || s.deaf || s.dark || term < s.term {
		return
	}
	s.log = log
	s.term = term
}

// promote answers the platform's call.
func (s *Site) promote(w http.ResponseWriter, q *http.Request) {
	b := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	if json.NewDecoder(q.Body).Decode(&b) != nil || s.groups[b.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseUint(q.Header.Get("Fence-Token"), 10, 64)
	if err != nil || q.Header.Get("Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	s.tokens = append(s.tokens, token)
	s.lock.Unlock()
	g := s.groups[b.Service]
	i := slices.IndexFunc(g.servers, func(v *Server) bool { return v.ID == b.ID })
	if i < 0 || g.servers[i].isDark() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.promote(g.servers[i])
	w.WriteHeader(http.StatusOK)
}

func (g *Group) promote(v *Server) {
	if v.Primary() && g.site.Leader(g.Name) == v {
		return
	}
	highest := uint64(0)
	for _, o := range g.servers {
		o.lock.Lock()
		highest = max(highest, o.term)
		o.lock.Unlock()
	}
	time.Sleep(30 * time.Millisecond)
	v.lock.Lock()
	v.primary = true
	v.term = highest + 1
	v.lock.Unlock()
	g.announce(v)
}
