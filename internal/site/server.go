package site

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is a stand-in for one database server. Each commit that writes is an
// entry of its log; replicas copy the primary's log after a lag.
type Server struct {
	ID    string
	Group *Group
	Zone  string

	listener net.Listener
	lock     sync.Mutex
	primary  bool
	term     uint64
	held     uint64
	log      []entry
	conns    map[net.Conn]bool
	// through is the address under which the server registers, if not its own.
	through string
	// shown are the logs on which requests ran.
	shown map[string][]entry
	// refused counts the connections over the limit.
	refused int
	dark    bool
	full    bool
	mute    int
	deaf    bool
	runs    map[string]int
}

// entry is one committed write.
type entry struct {
	term  uint64
	item  string
	value string
	id    string
}

func (s *Server) position() string {
	n := len(s.log)
	t := uint64(1)
	if n > 0 {
		t = s.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", t, n)
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Primary reports whether the server leads, in its own view.
func (s *Server) Primary() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.primary
}

// SetDark makes the server silent to everybody, or reachable again. Its open
// connections stay open and say nothing.
func (s *Server) SetDark(dark bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.dark = dark
}

// SetFull makes the server turn statements away.
func (s *Server) SetFull(full bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.full = full
}

// SetDeaf stops a replica from copying, or lets it copy again.
func (s *Server) SetDeaf(deaf bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.deaf = deaf
}

// Mute makes the server lose the answers to its next n statements, after it
// ran them.
func (s *Server) Mute(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.mute = n
}

// Runs returns how often a request ran here.
func (s *Server) Runs(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.runs[id]
}

// Refused returns how many connections were refused over the limit.
func (s *Server) Refused() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.refused
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.conns)
}

// Log returns the requests that wrote the entries of the log, in order.
func (s *Server) Log() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	ids := make([]string, len(s.log))
	for i, e := range s.log {
		ids[i] = e.id
	}
	return ids
}

// Shown returns the length of the log on which a request ran here, and which
// request wrote its last entry; false if it did not run here.
func (s *Server) Shown(id string) (length int, last string, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	log, ok := s.shown[id]
	if len(log) > 0 {
		last = log[len(log)-1].id
	}
	return len(log), last, ok
}

// Lacked reports whether a request ran here on a log without what another wrote.
func (s *Server) Lacked(id, write string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return !slices.ContainsFunc(s.shown[id], func(e entry) bool { return e.id == write })
}

// Count returns how many entries of the log a request wrote.
func (s *Server) Count(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, e := range s.log {
		if e.id == id {
			n++
		}
	}
	return n
}

// Has reports whether the log holds what a request wrote.
func (s *Server) Has(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, e := range s.log {
		if e.id == id {
			return true
		}
	}
	return false
}

func (s *Server) isDark() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.dark
}

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.session(c)
	}
}

// dialect is one connection's state.
type dialect struct {
	*Server
	conn   net.Conn
	out    *bufio.Writer
	open   bool
	failed bool
	writes []entry
	values map[string]string
	plans  map[string]string
}

func (s *Server) session(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	d := &dialect{Server: s, conn: c, out: bufio.NewWriter(c), values: map[string]string{}, plans: map[string]string{}}
	if !d.start(strings.Fields(line)) {
		return
	}
	s.lock.Lock()
	s.conns[c] = true
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		delete(s.conns, c)
		s.lock.Unlock()
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		if !d.query(f[1], f[2]) {
			return
		}
	}
}

// start answers the first message.
func (d *dialect) start(f []string) bool {
	if d.isDark() {
		time.Sleep(5 * time.Second)
		return false
	}
	d.lock.Lock()
	tooMany := len(d.conns) >= d.Group.Connections
	if tooMany {
		d.refused++
	}
	d.lock.Unlock()
	switch {
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != d.Group.Name || len(f) > 3 && f[3] != d.ID:
		d.send("ERROR MISROUTED " + d.ID)
		_ = d.out.Flush()
		return false
	case tooMany:
		d.send("ERROR CONNLIMIT " + d.ID)
		_ = d.out.Flush()
		return false
	}
	d.ready()
	return true
}

func (d *dialect) send(line string) { _, _ = d.out.WriteString(line + "\r\n") }

func (d *dialect) ready() {
	state := "I"
	switch {
	case d.failed:
		state = "E"
	case d.open:
		state = "T"
	}
	d.lock.Lock()
	p := d.position()
	d.lock.Unlock()
	d.send("READY " + state + " " + p)
	_ = d.out.Flush()
}

// query answers one query and reports whether the connection goes on.
func (d *dialect) query(id, text string) bool {
	time.Sleep(d.Group.Work)
	if d.isDark() {
		time.Sleep(5 * time.Second)
		return false
	}
	code := d.run(id, text)
	if d.muted(id) {
		time.Sleep(5 * time.Second)
		return false
	}
	if code != "" {
		d.send("ERROR " + code + " " + d.ID)
		if d.open && code != "BUSY" {
			d.failed = true
		}
	}
	d.ready()
	return true
}

func (d *dialect) muted(id string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if id == "-" || d.mute == 0 {
		return false
	}
	d.mute--
	return true
}

// run executes a text; it returns a code after a failure.
func (d *dialect) run(id, text string) string {
	f := strings.Fields(text)
	if f[0] == "AFTER" {
		if !d.shows(f[1]) {
			return "LAGGING"
		}
		f = f[2:]
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if id != "-" {
		d.runs[id]++
		d.shown[id] = d.log
	}
	switch f[0] {
	case "STATUS":
		return d.status()
	case "STEPDOWN":
		d.stepDown(f[1])
		return d.status()
	case "PAUSE":
		return d.status()
	case "RESET":
		clear(d.values)
		clear(d.plans)
		d.send("COMPLETE -")
		return ""
	case "SET":
		d.values[f[1]] = strings.Join(f[2:], " ")
		d.send("COMPLETE -")
		return ""
	case "PREPARE":
		d.plans[f[1]] = f[2]
		d.send("COMPLETE -")
		return ""
	case "DEALLOC":
		if d.plans[f[1]] == "" {
			return "NOSTMT"
		}
		delete(d.plans, f[1])
		d.send("COMPLETE -")
		return ""
	case "BEGIN":
		if len(f) == 1 && !d.primary {
			return "READONLY"
		}
		d.open = true
		d.send("COMPLETE -")
		return ""
	case "ROLLBACK":
		d.finish()
		d.send("COMPLETE -")
		return ""
	}
	if d.full {
		delete(d.runs, id)
		return "BUSY"
	}
	return d.statement(id, f)
}

func (d *dialect) statement(id string, f []string) string {
	access := f[0]
	if access == "EXECUTE" {
		access = d.plans[f[1]]
		if access == "" {
			return "NOSTMT"
		}
		f = f[1:]
	}
	switch access {
	case "READ":
		d.send("DATAROW " + d.find(f[1]))
		d.mac()
	case "WRITE":
		if !d.primary {
			delete(d.runs, id)
			return "READONLY"
		}
		d.writes = append(d.writes, entry{item: f[1], value: strings.Join(f[2:], " "), id: id})
		if !d.open {
			d.commit()
		}
		d.mac()
	case "COMMIT":
		if len(d.writes) > 0 && !d.primary {
			return "READONLY"
		}
		d.commit()
		d.finish()
		d.mac()
	default:
		return "MALFORMED"
	}
	return ""
}

// mac sends the proof that this server ran a statement, and the session values
// that it ran with.
func (d *dialect) mac() {
	values := []string{}
	for k, v := range d.values {
		values = append(values, k+"="+v)
	}
	d.send("COMPLETE " + d.ID + ":" + strings.Join(values, ","))
}

func (d *dialect) commit() {
	for _, e := range d.writes {
		e.term = d.term
		d.log = append(d.log, e)
	}
	d.writes = nil
}

func (d *dialect) finish() {
	d.open = false
	d.failed = false
	d.writes = nil
}

func (d *dialect) find(name string) string {
	for i := len(d.writes) - 1; i >= 0; i-- {
		if d.writes[i].item == name {
			return d.writes[i].value
		}
	}
	for i := len(d.log) - 1; i >= 0; i-- {
		if d.log[i].item == name {
			return d.log[i].value
		}
	}
	return "none"
}

func (d *dialect) status() string {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.send(fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d", role, d.term, d.position(), d.held, len(d.conns)))
	d.send("COMPLETE -")
	return ""
}

func (d *dialect) stepDown(word string) {
	t, err := strconv.ParseUint(word, 10, 64)
	if err == nil && t > d.term {
		d.primary = false
		d.term = t
		go d.Group.announce(d.Server)
	}
}

func (s *Server) shows(word string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	own, asked := split(s.position()), split(word)
	return own[0] > asked[0] || own[0] == asked[0] && own[1] >= asked[1]
}

func split(p string) [2]uint64 {
	t, n, _ := strings.Cut(p, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return [2]uint64{term, number}
}
