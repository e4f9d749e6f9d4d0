package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit in a log.
type entry struct {
	term   uint64
	id     string
	writes map[string]string
}

// heartbeat is how often a server reports to the store; after three intervals of silence its
// entry is removed.
const heartbeat = 1200 * time.Millisecond

// service is a database service: its servers replicate the log of the primary.
type service struct {
	name     string
	lab      *lab
	mu       sync.Mutex
	servers  []*server
	maxConns int
	sync     int
	// newest is the server that was promoted last; nil if none was.
	newest *server
}

// server is a stand-in for one database server. The service's lock guards its fields.
type server struct {
	*service
	id, zone, address string
	listener          net.Listener
	role              string
	term              uint64
	log               []entry
	born              int64
	paused            bool
	// deaf keeps the server from receiving the log, cutStore from reaching the store and
	// cutPrimary from reaching other servers. cutVMs keeps it from answering VMs.
	deaf, cutStore, cutVMs bool
	// down reports that it has crashed; silent that its machine answers nothing.
	down, silent bool
	listed       bool
	listedAs     string
	silentAt     time.Time
	slots        chan struct{}
	conns        map[net.Conn]bool
	work         time.Duration
	newerFrom    time.Time
	state        string
	busyUntil    time.Time
	runs         map[string]int
}

func (v *service) add(id, zone, role string) *server {
	l := must(net.Listen("tcp4", free()))
	s := &server{
		service: v, id: id, zone: zone, address: l.Addr().String(), listener: l, role: role, term: 1, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, 3), conns: map[net.Conn]bool{}, work: 4 * time.Millisecond, state: "ready", runs: map[string]int{},
	}
	v.mu.Lock()
	v.servers = append(v.servers, s)
	v.mu.Unlock()
	go s.accept()
	return s
}

// position returns TERM.NUMBER of the log. Before the first commit the number is zero.
func (s *server) position() string {
	if len(s.log) == 0 {
		return fmt.Sprintf("%d.0", s.term)
	}
	return fmt.Sprintf("%d.%d", s.log[len(s.log)-1].term, len(s.log))
}

// run registers the servers and replicates until the lab ends.
func (v *service) run() {
	for range time.Tick(5 * time.Millisecond) {
		v.mu.Lock()
		p := v.leader()
		for _, s := range v.servers {
			v.report(s)
			s.learn(p)
			if s != p {
				s.receive(p)
			}
		}
		v.mu.Unlock()
	}
}

// leader returns the running primary of the highest term; nil if none runs.
func (v *service) leader() *server {
	p := (*server)(nil)
	for _, s := range v.servers {
		if s.role == "primary" && !s.down && !s.silent && (p == nil || s.term > p.term) {
			p = s
		}
	}
	return p
}

// receive copies the primary's log.
func (s *server) receive(p *server) {
	if p == nil || s.down || s.silent || s.deaf || s.paused || s.role == "primary" || p.term < s.term {
		return
	}
	n := 0
	for n < len(s.log) && n < len(p.log) && s.log[n].id == p.log[n].id && s.log[n].term == p.log[n].term {
		n++
	}
	if n < len(s.log) {
		s.log = s.log[:n:n]
		s.busyUntil = time.Now().Add(100 * time.Millisecond)
	}
	s.term = max(s.term, p.term)
	s.log = append(s.log, p.log[n:]...)
}

// learn makes a primary that has reached a newer one for a second a replica.
func (s *server) learn(p *server) {
	if s.role != "primary" || s.down || s.silent || p == nil || p.term <= s.term {
		s.newerFrom = time.Time{}
		return
	}
	if s.newerFrom.IsZero() {
		s.newerFrom = time.Now()
	}
	if time.Since(s.newerFrom) > time.Second {
		s.role, s.term = "replica", p.term
	}
}

// report writes the server's entry if it has changed, and removes it after three intervals
// of silence.
func (v *service) report(s *server) {
	if s.down || s.silent || s.cutStore {
		if s.silentAt.IsZero() {
			s.silentAt = time.Now()
		}
		if s.listed && time.Since(s.silentAt) > 3*heartbeat {
			s.listed, s.listedAs = false, ""
			v.lab.store.drop("servers/" + s.id)
			v.lab.note("store: entry of %s removed after three intervals of silence", s.id)
		}
		return
	}
	s.silentAt = time.Time{}
	as := fmt.Sprintf("%s %s %d", s.role, s.state, s.born)
	if s.listed && s.listedAs == as {
		return
	}
	s.listed, s.listedAs = true, as
	v.lab.store.put("servers/"+s.id, map[string]any{
		"service": v.name, "address": s.address, "zone": s.zone, "version": "1.0",
		"slots": 3, "state": s.state, "cold_left_ms": 0, "seq": 1, "born": s.born, "db_role": s.role,
	})
	v.lab.note("store: %s registers as %s", s.id, as)
}

func (s *server) lock() func() {
	s.mu.Lock()
	return s.mu.Unlock
}

// crash ends the process: its connections are closed, new ones refused.
func (s *server) crash() {
	defer s.lock()()
	s.down = true
	_ = s.listener.Close()
	s.closeAll()
}

func (s *server) closeAll() {
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
}

// start starts the process again at the same address under the same id, with its log or
// without.
func (s *server) start(keepLog bool) {
	l := must(net.Listen("tcp4", s.address))
	defer s.lock()()
	s.listener = l
	s.down, s.paused = false, false
	s.born = time.Now().UnixMilli()
	if !keepLog {
		s.log, s.term, s.role = nil, 1, "replica"
	} else if s.newest != nil && s.newest != s {
		s.role = "replica"
	}
	go s.accept()
}

// setSilent makes the machine answer nothing, or answer again; connections do not outlive it.
func (s *server) setSilent(silent bool) {
	defer s.lock()()
	s.silent = silent
	if !silent {
		s.closeAll()
	}
}

func (s *server) mute() bool {
	defer s.lock()()
	return s.silent || s.cutVMs
}

func (s *server) accept() {
	l := s.listener
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

type conn struct {
	*server
	net       net.Conn
	out       *bufio.Writer
	tx        bool
	plain     bool
	failed    bool
	writes    map[string]string
	wrote     string
	prepared  map[string]string
	values    map[string]string
	syncedFor int
}

func (s *server) serve(n net.Conn) {
	defer n.Close()
	in := bufio.NewReaderSize(n, 64<<10)
	c := &conn{server: s, net: n, out: bufio.NewWriter(n), prepared: map[string]string{}, values: map[string]string{}}
	line, ok := readLine(in)
	if !ok {
		return
	}
	c.waitMute()
	f := strings.Split(line, " ")
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != s.name || len(f) > 3 && f[3] != s.id {
		c.send("ERROR MISROUTED " + s.id)
		return
	}
	unlock := s.lock()
	full := len(s.conns) >= s.maxConns
	if !full {
		s.conns[n] = true
	}
	unlock()
	if full {
		c.send("ERROR CONNLIMIT " + s.id)
		return
	}
	defer func() {
		defer s.lock()()
		delete(s.conns, n)
	}()
	c.ready()
	for {
		line, ok := readLine(in)
		if !ok {
			return
		}
		c.waitMute()
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" || !c.query(f[1], f[2]) {
			return
		}
	}
}

// waitMute holds up what arrives while the machine answers nothing.
func (c *conn) waitMute() {
	for c.mute() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *conn) send(lines ...string) {
	for _, l := range lines {
		_, _ = c.out.WriteString(l + "\r\n")
	}
	_ = c.out.Flush()
}

func (c *conn) ready() {
	state := "I"
	if c.failed {
		state = "E"
	} else if c.tx {
		state = "T"
	}
	unlock := c.lock()
	p := c.position()
	unlock()
	c.send("READY " + state + " " + p)
}

func mac() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// query runs one query and answers it. It returns false if the connection ends.
func (c *conn) query(id, text string) bool {
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT" || word == "STATUS" {
		c.slots <- struct{}{}
		time.Sleep(c.work)
		defer func() { <-c.slots }()
	}
	if c.mute() {
		c.waitMute()
		return false
	}
	lines, code, place := c.execute(id, after, word, rest)
	if place > 0 && !c.awaitSync(place) {
		return false
	}
	if c.mute() {
		c.waitMute()
		return false
	}
	if code != "" {
		if c.tx && code != "BUSY" {
			c.failed = true
		}
		lines = append(lines, "ERROR "+code+" "+c.id)
	}
	for _, l := range lines {
		_, _ = c.out.WriteString(l + "\r\n")
	}
	c.ready()
	return true
}

// awaitSync waits until a replica has received the log up to a place.
func (c *conn) awaitSync(place int) bool {
	for c.sync > 0 {
		unlock := c.lock()
		if c.down {
			unlock()
			return false
		}
		got := 0
		for _, s := range c.servers {
			if s != c.server && len(s.log) >= place && len(c.log) >= place && s.log[place-1].id == c.log[place-1].id {
				got++
			}
		}
		unlock()
		if got >= c.sync {
			return true
		}
		time.Sleep(2 * time.Millisecond)
	}
	return true
}

func reaches(log []entry, after string) bool {
	t, n, _ := strings.Cut(after, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	own := uint64(0)
	if len(log) > 0 {
		own = log[len(log)-1].term
	}
	return own > term || own == term && len(log) >= number
}

func (c *conn) execute(id, after, word, rest string) (lines []string, code string, place int) {
	defer c.lock()()
	if after != "" && !reaches(c.log, after) {
		return nil, "LAGGING", 0
	}
	name, value, _ := strings.Cut(rest, " ")
	ok := []string{"COMPLETE -"}
	switch word {
	case "STATUS":
		if time.Now().Before(c.busyUntil) {
			return nil, "BUSY", 0
		}
		return c.status(), "", 0
	case "STEPDOWN":
		if t, err := strconv.ParseUint(rest, 10, 64); err == nil && t > c.term && c.role == "primary" {
			c.role, c.term = "replica", t
			c.lab.note("%s steps down for term %d at %s", c.server.id, t, c.position())
		}
		return c.status(), "", 0
	case "PAUSE":
		c.paused = true
		return c.status(), "", 0
	case "RESUME":
		c.paused = false
		return c.status(), "", 0
	case "RESET":
		c.values, c.prepared = map[string]string{}, map[string]string{}
		return ok, "", 0
	case "SET":
		c.values[name] = value
		return ok, "", 0
	case "PREPARE":
		c.prepared[name] = value
		return ok, "", 0
	case "DEALLOC":
		if _, known := c.prepared[name]; !known {
			return nil, "NOSTMT", 0
		}
		delete(c.prepared, name)
		return ok, "", 0
	case "BEGIN":
		if rest == "" && c.role != "primary" {
			return nil, "READONLY", 0
		}
		c.tx, c.plain, c.writes, c.wrote = true, rest == "", map[string]string{}, ""
		return ok, "", 0
	case "ROLLBACK":
		c.tx, c.failed, c.plain, c.writes = false, false, false, nil
		return ok, "", 0
	}
	if c.failed {
		return nil, "MALFORMED", 0
	}
	if time.Now().Before(c.busyUntil) {
		return nil, "BUSY", 0
	}
	c.runs[id]++
	c.lab.note("%s as %s of term %d runs %s of %s", c.server.id, c.role, c.term, word, id)
	if word == "EXECUTE" {
		p, known := c.prepared[name]
		if !known {
			return nil, "NOSTMT", 0
		}
		word, _, _ = strings.Cut(p, " ")
		rest = value
	}
	itemName, data, _ := strings.Cut(rest, " ")
	lost := c.tx && c.plain && c.role != "primary"
	switch word {
	case "READ":
		if lost {
			return nil, "READONLY", 0
		}
		return []string{"DATAROW " + c.lookup(itemName), "COMPLETE " + mac()}, "", 0
	case "WRITE":
		if lost || c.role != "primary" {
			return nil, "READONLY", 0
		}
		if c.tx {
			c.writes[itemName], c.wrote = data, id
			return []string{"COMPLETE " + mac()}, "", 0
		}
		c.log = append(c.log, entry{c.term, id, map[string]string{itemName: data}})
		return []string{"COMPLETE " + mac()}, "", len(c.log)
	case "COMMIT":
		if !c.tx {
			return nil, "MALFORMED", 0
		}
		if len(c.writes) > 0 && c.role != "primary" {
			return nil, "READONLY", 0
		}
		if len(c.writes) > 0 {
			c.log = append(c.log, entry{c.term, id, c.writes})
			place = len(c.log)
		}
		c.tx, c.failed, c.plain, c.writes = false, false, false, nil
		return []string{"COMPLETE " + mac()}, "", place
	}
	return nil, "MALFORMED", 0
}

func (c *conn) lookup(name string) string {
	if v, ok := c.writes[name]; ok {
		return v
	}
	for i := len(c.log) - 1; i >= 0; i-- {
		if v, ok := c.log[i].writes[name]; ok {
			return v
		}
	}
	return "none"
}

func (c *conn) status() []string {
	p := c.position()
	return []string{fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d", c.role, c.term, p, 0, len(c.conns)), "COMPLETE -"}
}

// promote makes a server the primary of the next term after the time of a promotion.
func (v *service) promote(id string) int {
	defer func() func() { v.mu.Lock(); return v.mu.Unlock }()()
	for _, s := range v.servers {
		if s.id != id {
			continue
		}
		if s.down {
			return 409
		}
		if p := v.leader(); p == s {
			return 200
		}
		time.AfterFunc(300*time.Millisecond, func() { v.lead(s) })
		return 200
	}
	return 409
}

func (v *service) lead(s *server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.down || s.silent {
		return
	}
	highest := uint64(0)
	for _, o := range v.servers {
		highest = max(highest, o.term)
	}
	s.role, s.term, s.paused = "primary", highest+1, false
	v.newest = s
	log := make([]string, len(s.log))
	for i, e := range s.log {
		log[i] = e.id
	}
	v.lab.promoted(s, log)
}
