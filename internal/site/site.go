package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Options configures a Site.
type Options struct {
	// Groups are the names of the database groups. Each has one server per zone; the
	// first zone's server starts as the primary.
	Groups []string
	// Zones are the names of the availability zones.
	Zones []string
	// ConnectionLimit is the most connections that each server accepts at a
	// time; zero means 20.
	ConnectionLimit int
	// Lag is how long an entry of the primary's log takes to reach the replicas.
	Lag time.Duration
	// StatementDelay is how long each server waits before it executes a query.
	StatementDelay time.Duration
	// Work returns how long each server waits before it executes a query, by the query's
	// text; nil means StatementDelay.
	Work func(text string) time.Duration
	// StatementTimeout is the timeout of the routes; zero means one second.
	StatementTimeout time.Duration
	// Era is the store's era at the start; zero sends none with its answers.
	Era uint64
	// ProxyAddress returns the address under which a server is registered,
	// given its ID and the address on which it listens, such as that of a proxy
	// between them. Nil registers the server's own address.
	ProxyAddress func(id, address string) string
	// PromotionDelay is how long after the call a promotion takes effect; the call is
	// answered at once. Zero means 30 ms, and an answer once it has taken effect.
	PromotionDelay time.Duration
	// DemotionDelay is how long a primary goes on once it can reach a newer one, before
	// it becomes a replica. Zero means until it is told to step down.
	DemotionDelay time.Duration
	// Reaches reports whether a server, given by its ID, reaches another one or StoreNode.
	// Nil means that all reach one another.
	Reaches func(from, to string) bool
	// EntryTimeout is how long a server may not reach the store before its entry is
	// removed. Zero means that entries stay.
	EntryTimeout time.Duration
	// Slots is how many statements, statuses and new connections each server works on at
	// a time. Twice as many may wait; more are answered with BUSY. Zero means no limit.
	Slots int
	// SyncReplicas is how many replicas receive a commit before it is acknowledged.
	SyncReplicas int
	// Seed determines which answers servers send twice.
	Seed uint64
	// Absent is the row that a read of an item returns which was never written; empty means
	// "none".
	Absent string
	// Rewrite changes what a VM writes to a key of the store; nil leaves it as it is.
	Rewrite func(key string, value []byte) []byte
}

// StoreNode is the name of the store in calls of Options.Reaches.
const StoreNode = "store"

// Site is a running simulation of the platform and its database servers.
type Site struct {
	// Store is the metadata store.
	Store *Store
	// Address is the address of the HTTP server for the store and the promotion call.
	Address string

	options              Options
	groups               map[string]*Group
	listener             net.Listener
	lock                 sync.Mutex
	configurationVersion int
	customers            []Customer
	fencingTokens        []uint64
	// callDelay bounds the random time after which promotion calls are taken up.
	callDelay time.Duration
	closed    chan struct{}
}

// Group is one database group: a primary and its replicas.
type Group struct {
	// Name is the group's name in Options.Groups.
	Name string
	// ConnectionLimit is the most connections that each server accepts at a time.
	ConnectionLimit int
	// StatementDelay is how long each server waits before it executes a query.
	StatementDelay time.Duration

	site    *Site
	servers []*Server

	lock sync.Mutex
	// promotions are those that took effect, in order.
	promotions []Promotion
}

// Open starts a site on loopback and puts its first configuration in the store. It
// fails if an address cannot be listened on.
func Open(options Options) (*Site, error) {
	if options.ConnectionLimit == 0 {
		options.ConnectionLimit = 20
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for platform API: %w", err)
	}
	s := &Site{
		Store: NewStore(), Address: l.Addr().String(), options: options, listener: l,
		groups: map[string]*Group{}, closed: make(chan struct{}),
	}
	s.Store.SetEra(options.Era)
	s.Store.rewrite = options.Rewrite
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", s.promote)
	mux.Handle("/", s.Store)
	for _, name := range options.Groups {
		if err := s.openGroup(name); err != nil {
			return nil, err
		}
	}
	for _, g := range s.groups {
		g.run()
	}
	go func() {
		// Serve returns an error once Close has closed the listener.
		_ = http.Serve(l, mux)
	}()
	s.Configure(nil)
	return s, nil
}

func (s *Site) openGroup(name string) error {
	g := &Group{Name: name, ConnectionLimit: s.options.ConnectionLimit, StatementDelay: s.options.StatementDelay, site: s}
	s.groups[name] = g
	for i, zone := range s.options.Zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for database server: %w", err)
		}
		v := &Server{
			ID: fmt.Sprintf("%s-%d", name, i), Group: g, Zone: zone, listener: l,
			lenient: i%2 == 0, primary: i == 0, term: 1, committedAt: map[string]time.Time{}, slots: newSlots(s.options.Slots), connections: map[net.Conn]bool{}, startedBy: map[string]bool{}, ranFor: map[string]string{}, executed: map[string][]Execution{}, random: rand.New(rand.NewPCG(s.options.Seed, uint64(i))), executions: map[string]int{}, logAtRun: map[string][]entry{},
		}
		if s.options.ProxyAddress != nil {
			v.proxyAddress = s.options.ProxyAddress(v.ID, v.Address())
		}
		g.servers = append(g.servers, v)
	}
	return nil
}

// run starts the group's servers, once all groups of the site are open.
func (g *Group) run() {
	for _, v := range g.servers {
		go v.serve()
		g.register(v)
	}
	go g.replicate()
	if g.site.options.Reaches != nil {
		go g.heartbeat()
	}
}

// Close stops replication and closes the listeners. Connections that are open stay
// open.
func (s *Site) Close() {
	close(s.closed)
	_ = s.listener.Close()
	for _, g := range s.groups {
		for _, v := range g.servers {
			_ = v.listener.Close()
		}
	}
}

func (s *Site) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Servers returns the group's servers in the order of the zones.
func (s *Site) Servers(group string) []*Server { return s.groups[group].servers }

// Leader returns the server with the highest term among those of the group that
// consider themselves primary; nil if none does.
func (s *Site) Leader(group string) *Server {
	var leader *Server
	highest := uint64(0)
	for _, v := range s.groups[group].servers {
		if primary, term := v.lead(); primary && (leader == nil || term > highest) {
			leader, highest = v, term
		}
	}
	return leader
}

// Servers returns the group's servers in the order of the zones.
func (g *Group) Servers() []*Server { return g.servers }

// FencingTokens returns the fencing tokens of all promotion calls, in the order of arrival,
// including calls that were refused because of their server.
func (s *Site) FencingTokens() []uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.fencingTokens)
}

// SetCallDelay makes the platform take up each promotion call after a random time of up
// to a delay, whether or not the caller still waits; zero makes it take them up at once.
func (s *Site) SetCallDelay(delay time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.callDelay = delay
}

// SetSyncReplicas sets how many replicas receive a commit before it is acknowledged, and the
// same of the next versions that Configure writes.
func (s *Site) SetSyncReplicas(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.options.SyncReplicas = n
}

// SyncReplicas returns how many replicas receive a commit before it is acknowledged.
func (s *Site) SyncReplicas() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.options.SyncReplicas
}

// Route is one route of the operators' configuration, as a JSON object.
type Route map[string]any

// Customer is one customer of the operators' configuration, as a JSON object.
type Customer map[string]any

// SetCustomers sets the customers of the next versions that Configure writes. Nil means
// that the deployment has none.
func (s *Site) SetCustomers(customers []Customer) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.customers = customers
}

// Configure writes a new version of the operators' configuration to the store and
// returns its version. It has three routes for each group, GROUP-current,
// GROUP-bounded and GROUP-own, and the extra ones, of which the services may be others that
// have no servers.
func (s *Site) Configure(extra []Route) int {
	s.lock.Lock()
	s.configurationVersion += 3
	version, customers := s.configurationVersion, s.customers
	s.lock.Unlock()
	routes := append([]Route{}, extra...)
	services := []map[string]any{}
	for _, g := range s.options.Groups {
		services = append(services, map[string]any{"name": g, "max_conns": s.options.ConnectionLimit, "sync_replicas": s.SyncReplicas()})
		for suffix, kind := range map[string]string{"current": "primary", "bounded": "bounded_staleness", "own": "read_your_writes"} {
			routes = append(routes, Route{
				"name": g + "-" + suffix, "host": g + "-" + suffix, "kind": kind, "service": g,
				"timeout_ms": cmp.Or(s.options.StatementTimeout, time.Second).Milliseconds(), "target_latency_ms": 600, "priority": 1, "max_staleness_ms": 1500,
			})
		}
	}
	for _, r := range extra {
		if name, ok := r["service"].(string); ok && s.groups[name] == nil {
			services = append(services, map[string]any{"name": name, "max_conns": s.options.ConnectionLimit, "sync_replicas": s.SyncReplicas()})
		}
	}
	configuration := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"tx_idle_ms": 1000},
	}
	if customers != nil {
		configuration["tenants"] = customers
	}
	s.Store.Put("op/config", configuration)
	return version
}

// register writes the server's record to the store, in the state "ready". A server that
// does not reach the store writes it once it does.
func (g *Group) register(v *Server) {
	if !g.reaches(v.ID, StoreNode) {
		v.setReportDue()
		return
	}
	g.registerAs(v, "ready")
}

// registeredAddress returns the address in the server's record: the proxy's if there
// is one, else the listener's.
func (s *Server) registeredAddress() string {
	if s.proxyAddress != "" {
		return s.proxyAddress
	}
	return s.Address()
}

// born returns the time of the server's start in its entry, which differs for each start.
func (s *Server) born() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return 1 + s.starts
}

// Drain registers the server as draining.
func (s *Server) Drain() { s.Group.registerAs(s, "draining") }

// EndDrain registers the server as ready.
func (s *Server) EndDrain() { s.Group.register(s) }

func (g *Group) registerAs(v *Server, state string) {
	role := "replica"
	if v.Primary() {
		role = "primary"
	}
	g.site.Store.Put("servers/"+v.ID, map[string]any{
		"service": g.Name, "address": v.registeredAddress(), "zone": v.Zone, "version": "v1", "slots": 3,
		"state": state, "cold_left_ms": 0, "db_role": role, "seq": 1, "born": v.born(),
	})
}

// replicate copies the logs of primaries to the replicas that they reach every 5 ms until
// the site closes, and has old primaries learn of newer ones.
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
		if leader == nil {
			continue
		}
		g.demoteOthers(leader)
		logs := map[*Server]replicatedLog{}
		for _, p := range g.servers {
			if p == leader || g.site.options.DemotionDelay > 0 {
				p.copyLog(logs)
			}
		}
		time.Sleep(g.site.options.Lag)
		for p, l := range logs {
			for _, v := range g.servers {
				if v != p && g.reaches(p.ID, v.ID) {
					v.receiveLog(l.entries, l.term)
				}
			}
		}
	}
}

// replicatedLog is the log of a primary of a term.
type replicatedLog struct {
	entries []entry
	term    uint64
}

// copyLog adds the server's log if it is a primary that replicates.
func (s *Server) copyLog(logs map[*Server]replicatedLog) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.primary && !s.unresponsive && !s.crashed {
		// Without spare capacity, servers that take over the log can't share what they
		// append to it.
		logs[s] = replicatedLog{s.log[:len(s.log):len(s.log)], s.term}
	}
}

func (s *Server) receiveLog(log []entry, term uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.primary || s.replicationPaused || s.unresponsive || s.crashed || s.receivePaused || term < s.term {
		return
	}
	if n := len(s.log); n > 0 && (n > len(log) || log[n-1] != s.log[n-1]) && s.slots != nil {
		s.busyUntil = time.Now().Add(rollbackTime)
	}
	s.log = log
	s.term = term
}

// promote handles the platform's promotion call.
func (s *Site) promote(w http.ResponseWriter, q *http.Request) {
	body := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	if json.NewDecoder(q.Body).Decode(&body) != nil || s.groups[body.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, err := strconv.ParseUint(q.Header.Get("Fence-Token"), 10, 64)
	if err != nil || q.Header.Get("Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	s.fencingTokens = append(s.fencingTokens, token)
	delay := s.callDelay
	s.lock.Unlock()
	if delay > 0 {
		time.Sleep(rand.N(delay))
	}
	g := s.groups[body.Service]
	i := slices.IndexFunc(g.servers, func(v *Server) bool { return v.ID == body.ID })
	if i < 0 || g.servers[i].isUnresponsive() || g.servers[i].isCrashed() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.promote(g.servers[i])
	w.WriteHeader(http.StatusOK)
}

// Promote promotes a server of a group as the platform does for a call that it executes
// late, when nobody waits for it any more.
func (s *Site) Promote(group string, v *Server) { s.groups[group].promote(v) }
