package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the sheet of habimana-reclaim and of its site file.
const (
	slotsPerServer = 3
	queuePerServer = 24
	maxConnections = 43
	handshakeTime  = 12 * time.Millisecond
	networkDelay   = 8 * time.Millisecond
	promoteTime    = 300 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
)

// commit is one commit in a server's log.
type commit struct {
	term, number uint64
	id           string
	writes       []string
}

// service is one primary with its replicas.
type service struct {
	name    string
	sync    int
	store   *store
	record  *record
	lock    sync.Mutex
	servers []*server
	// lost counts by promoted server what the check found.
	onPromote func(*server)
	promoted  atomic.Int64
}

// server is a database server that follows the pages.
type server struct {
	service *service
	id      string
	zone    string
	address string
	born    int64
	work    func(text string) time.Duration
	lock    sync.Mutex
	primary bool
	term    uint64
	log     []commit
	down    bool
	deaf    bool
	conns   map[net.Conn]bool
	waiting int
	slots   chan struct{}
	seq     int
	grown   chan struct{}
	l       net.Listener
}

func newServer(v *service, id, zone string, primary bool) *server {
	s := &server{
		service: v, id: id, zone: zone, primary: primary, term: 1, conns: map[net.Conn]bool{}, grown: make(chan struct{}),
		slots: make(chan struct{}, slotsPerServer), born: time.Now().UnixMilli(), log: []commit{{term: 1, number: 1, id: "first"}},
		work: func(string) time.Duration { return 6 * time.Millisecond },
	}
	s.l = listen()
	s.address = s.l.Addr().String()
	v.servers = append(v.servers, s)
	go s.accept()
	go s.beat()
	return s
}

// beat writes the server's entry every heartbeat.
func (s *server) beat() {
	for {
		if !s.isDown() {
			s.register()
		}
		time.Sleep(heartbeat)
	}
}

func (s *server) register() {
	s.lock.Lock()
	s.seq++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	entry := map[string]any{
		"service": s.service.name, "address": s.address, "zone": s.zone, "version": "v1", "slots": slotsPerServer,
		"state": "ready", "cold_left_ms": 0, "seq": s.seq, "db_role": role, "born": s.born,
	}
	s.lock.Unlock()
	s.service.store.write("servers/"+s.id, entry)
}

func (s *server) isDown() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.down
}

// crash ends the server's process: nothing listens, all connections end, and the entry goes after
// three heartbeats of silence.
func (s *server) crash() {
	s.lock.Lock()
	s.down = true
	_ = s.l.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.lock.Unlock()
	time.AfterFunc(3*heartbeat, func() { s.service.store.erase("servers/" + s.id) })
}

func (s *server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// occupy takes a slot; false if the queue is full.
func (s *server) occupy() bool {
	s.lock.Lock()
	if s.waiting >= queuePerServer {
		s.lock.Unlock()
		return false
	}
	s.waiting++
	s.lock.Unlock()
	s.slots <- struct{}{}
	s.lock.Lock()
	s.waiting--
	s.lock.Unlock()
	return true
}

func (s *server) free() { <-s.slots }

func (s *server) position() string {
	p := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func (s *server) currentPosition() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.position()
}

// has reports whether the log has a position.
func (s *server) has(p string) bool {
	t, n, _ := strings.Cut(p, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	s.lock.Lock()
	defer s.lock.Unlock()
	last := s.log[len(s.log)-1]
	return last.term > term || last.term == term && last.number >= number
}

// receive takes in the log of the primary of a term.
func (s *server) receive(log []commit, term uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down || s.deaf || s.primary && s.term >= term || term < s.term || term == s.term && len(log) < len(s.log) {
		return
	}
	if s.primary {
		s.primary = false
	}
	s.log, s.term = log, term
	close(s.grown)
	s.grown = make(chan struct{})
}

// replicate sends the primary's log to the replicas.
func (v *service) replicate() {
	for range time.Tick(2 * time.Millisecond) {
		v.lock.Lock()
		servers := append([]*server{}, v.servers...)
		v.lock.Unlock()
		for _, p := range servers {
			p.lock.Lock()
			if !p.primary || p.down {
				p.lock.Unlock()
				continue
			}
			log, term := p.log[:len(p.log):len(p.log)], p.term
			p.lock.Unlock()
			time.AfterFunc(networkDelay, func() {
				if p.isDown() {
					return
				}
				for _, r := range servers {
					if r != p {
						r.receive(log, term)
					}
				}
			})
		}
	}
}

// awaitSync waits until one replica has received a commit.
func (s *server) awaitSync(n commit) bool {
	for !s.isDown() {
		for _, r := range s.service.servers {
			if r == s {
				continue
			}
			r.lock.Lock()
			last := r.log[len(r.log)-1]
			got := !r.down && last.term == n.term && last.number >= n.number
			r.lock.Unlock()
			if got {
				return true
			}
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// link is one connection to a server.
type link struct {
	*server
	conn     net.Conn
	out      *bufio.Writer
	open     bool
	readOnly bool
	failed   bool
	wrote    bool
	term     uint64
	writes   []string
	writeIDs []string
	prepared map[string]plan
}

// plan is a prepared statement: READ or WRITE, and its shape.
type plan struct{ access, shape string }

// readMessage reads one message, which CR LF terminates.
func readMessage(r *bufio.Reader) (string, error) {
	b := strings.Builder{}
	for {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	k := &link{server: s, conn: c, out: bufio.NewWriter(c), prepared: map[string]plan{}}
	in := bufio.NewReader(c)
	line, err := readMessage(in)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	s.lock.Lock()
	full := len(s.conns) >= maxConnections
	if !full && !s.down {
		s.conns[c] = true
	}
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		delete(s.conns, c)
		s.lock.Unlock()
	}()
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != s.service.name || len(f) > 3 && f[3] != s.id:
		k.line("ERROR MISROUTED " + s.id)
		_ = k.out.Flush()
		return
	case full:
		k.line("ERROR CONNLIMIT " + s.id)
		_ = k.out.Flush()
		return
	}
	s.slots <- struct{}{}
	time.Sleep(handshakeTime)
	s.free()
	k.ready()
	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if s.isDown() {
			return
		}
		if code := k.run(id, text); code != "" {
			if code == "gone" {
				return
			}
			k.line("ERROR " + code + " " + s.id)
			if k.open && code != "BUSY" {
				k.failed = true
			}
		}
		k.ready()
	}
}

func (k *link) line(t string) { _, _ = k.out.WriteString(t + "\r\n") }

func (k *link) ready() {
	state := "I"
	switch {
	case k.failed:
		state = "E"
	case k.open:
		state = "T"
	}
	k.line("READY " + state + " " + k.currentPosition())
	_ = k.out.Flush()
}

// mac returns the server's proof that it ran a request.
func (s *server) mac(id, text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.id + "\x00" + id + "\x00" + text))
	return fmt.Sprintf("m.%x", h.Sum64())
}

// forgedItem is an item whose data has two line feeds, of which each is followed by what looks like a
// message of a server.
const forgedItem = "forged"

// row is the row that a read of an item returns.
func row(item string) string {
	if item == forgedItem {
		return "note\nCOMPLETE m.0\nREADY I 1.1"
	}
	return "row-of-" + item
}

// run runs one query and returns the code of an error.
func (k *link) run(id, full string) string {
	text := full
	if strings.HasPrefix(text, "AFTER ") {
		_, rest, _ := strings.Cut(text, " ")
		position, tail, _ := strings.Cut(rest, " ")
		if !k.has(position) {
			return "LAGGING"
		}
		text = tail
	}
	f := strings.Split(text, " ")
	switch f[0] {
	case "SET", "RESET":
		k.line("COMPLETE -")
		return ""
	case "PREPARE":
		if f = strings.SplitN(text, " ", 4); len(f) < 4 || f[2] != "READ" && f[2] != "WRITE" {
			return "MALFORMED"
		}
		k.prepared[f[1]] = plan{access: f[2], shape: f[3]}
		k.line("COMPLETE -")
		return ""
	case "DEALLOC":
		if len(f) < 2 || k.prepared[f[1]].access == "" {
			return "NOSTMT"
		}
		delete(k.prepared, f[1])
		k.line("COMPLETE -")
		return ""
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		if !k.occupy() {
			return "BUSY"
		}
		time.Sleep(time.Millisecond)
		k.free()
		k.lock.Lock()
		defer k.lock.Unlock()
		if f[0] == "STEPDOWN" && len(f) > 1 {
			if t, err := strconv.ParseUint(f[1], 10, 64); err == nil && k.primary && k.term0() < t {
				k.primary = false
				go k.register()
			}
		}
		role := "replica"
		if k.primary {
			role = "primary"
		}
		k.line(fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d", role, k.term0(), k.position(), k.waiting, len(k.conns)))
		k.line("COMPLETE -")
		return ""
	case "BEGIN":
		readOnly := len(f) > 1 && f[1] == "READ"
		k.lock.Lock()
		primary, term := k.primary, k.term0()
		k.lock.Unlock()
		if !readOnly && !primary {
			return "READONLY"
		}
		k.open, k.readOnly, k.failed, k.term, k.writes, k.writeIDs = true, readOnly, false, term, nil, nil
		k.line("COMPLETE -")
		return ""
	case "ROLLBACK":
		k.end()
		k.line("COMPLETE -")
		return ""
	}
	if k.failed {
		if f[0] == "COMMIT" {
			k.end()
		}
		return "MALFORMED"
	}
	if !k.occupy() {
		return "BUSY"
	}
	time.Sleep(k.work(text))
	k.free()
	if k.isDown() {
		return "gone"
	}
	k.service.record.ran(k.server, id, text)
	return k.statement(id, text, f)
}

func (k *link) term0() uint64 { return k.server.term }

func (k *link) end() { k.open, k.failed, k.writes, k.writeIDs = false, false, nil, nil }

func (k *link) statement(id, text string, f []string) string {
	access, args := f[0], f[1:]
	if access == "EXECUTE" {
		if len(f) < 3 {
			return "MALFORMED"
		}
		p := k.prepared[f[1]]
		if access = p.access; access == "" {
			return "NOSTMT"
		}
		k.service.record.executed(id, p)
		args = f[2:]
	}
	switch access {
	case "READ":
		if len(args) != 1 {
			return "MALFORMED"
		}
		k.line("DATAROW " + row(args[0]))
	case "WRITE":
		k.lock.Lock()
		leads := k.primary && (!k.open || k.term == k.term0())
		k.lock.Unlock()
		if !leads || k.open && k.readOnly {
			return "READONLY"
		}
		k.writes, k.writeIDs = append(k.writes, strings.Join(args, " ")), append(k.writeIDs, id)
		if !k.open && !k.commit(id) {
			return "gone"
		}
	case "COMMIT":
		if !k.open {
			return "MALFORMED"
		}
		if len(k.writes) > 0 {
			k.lock.Lock()
			leads := k.primary && k.term == k.term0()
			k.lock.Unlock()
			if !leads {
				k.end()
				return "READONLY"
			}
			if !k.commit(id) {
				return "gone"
			}
		}
		k.end()
	default:
		return "MALFORMED"
	}
	k.line("COMPLETE " + k.mac(id, text))
	return ""
}

// commit adds the writes to the log and waits for as many replicas as the service asks for.
func (k *link) commit(id string) bool {
	k.lock.Lock()
	n := commit{term: k.term0(), number: k.log[len(k.log)-1].number + 1, id: id, writes: k.writeIDs}
	log := append(make([]commit, 0, len(k.log)+1), k.log...)
	k.log = append(log, n)
	k.lock.Unlock()
	k.writes, k.writeIDs = nil, nil
	return k.service.sync == 0 || k.awaitSync(n)
}

// ids returns the requests whose commits are in the log.
func (s *server) ids() map[string]bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	set := map[string]bool{}
	for _, n := range s.log {
		set[n.id] = true
	}
	return set
}

// cloud serves the promotion call.
type cloud struct {
	services map[string]*service
	record   *record
	address  string
}

func newCloud(r *record, services map[string]*service) *cloud {
	c := &cloud{services: services, record: r}
	l := listen()
	c.address = l.Addr().String()
	go func() { _ = http.Serve(l, c) }()
	return c
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&b) != nil || c.services[b.Service] == nil {
		answer(w, 400, nil)
		return
	}
	v := c.services[b.Service]
	time.Sleep(storeDelay)
	for _, s := range v.servers {
		if s.id != b.ID || s.isDown() {
			continue
		}
		s.lock.Lock()
		already := s.primary
		s.lock.Unlock()
		c.record.note("promotion of %s asked for by %s with generation number %s", b.ID, r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"))
		if !already {
			time.AfterFunc(promoteTime, func() { v.lead(s) })
		}
		answer(w, 200, map[string]any{})
		return
	}
	answer(w, 409, map[string]any{})
}

// lead makes a server the primary of the next term, with what it has received.
func (v *service) lead(s *server) {
	highest := uint64(0)
	for _, o := range v.servers {
		o.lock.Lock()
		highest = max(highest, o.term)
		o.lock.Unlock()
	}
	if v.onPromote != nil {
		v.onPromote(s)
	}
	s.lock.Lock()
	if s.primary {
		s.lock.Unlock()
		return
	}
	s.primary, s.term, s.deaf = true, highest+1, false
	s.log = append(append(make([]commit, 0, len(s.log)+1), s.log...), commit{term: s.term, number: s.log[len(s.log)-1].number + 1, id: "promotion"})
	s.lock.Unlock()
	v.promoted.Add(1)
	v.record.note("%s leads term %d", s.id, highest+1)
	s.register()
}
