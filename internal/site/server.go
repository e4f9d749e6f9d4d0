package site

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server simulates one database server. Each write is an entry of its log once it is
// committed; replicas copy the primary's log with a delay of Options.Lag.
type Server struct {
	// ID is the group's name and the index of the server's zone, such as "choir-0".
	ID string
	// Group is the database group that the server belongs to.
	Group *Group
	// Zone is the server's availability zone.
	Zone string
	// lenient makes the server accept DEALLOC of a statement that does not exist. The
	// protocol leaves both answers open.
	lenient bool

	listener net.Listener
	lock     sync.Mutex
	primary  bool
	term     uint64
	// fencedTerm is the fourth field of a status. It stays zero: the simulated servers
	// are never fenced.
	fencedTerm  uint64
	log         []entry
	connections map[net.Conn]bool
	// proxyAddress is registered in place of the listener's address; empty without
	// a proxy.
	proxyAddress string
	// logAtRun maps a request's ID to the log as it was when the request last ran.
	logAtRun map[string][]entry
	// refusedConnections counts connections that were refused because
	// Group.ConnectionLimit were open.
	refusedConnections int
	unresponsive       bool
	busy               bool
	answersToDrop      int
	replicationPaused  bool
	executions         map[string]int
	// startedBy holds the names that were given when connections were opened.
	startedBy map[string]bool
	// executed holds the statements that ran, by their request's ID.
	executed map[string][]Execution
	// transactions counts the transactions that were begun.
	transactions int
	// ranFor maps a request's ID to the customer of the connection on which it last ran.
	ranFor map[string]string
	// committedAt maps a write's ID to when it was last committed on the server.
	committedAt map[string]time.Time
	// slots limits what the server works on; nil without a limit. busyUntil is until when
	// it answers statements with BUSY after its log was rolled back.
	slots     *slots
	busyUntil time.Time
	// receivePaused reports that a PAUSE keeps the replica from receiving.
	receivePaused bool
	crashed       bool
	// starts counts how often the server has started.
	starts int
	// repeatShare is the share of answers that are sent twice, repeatCount how many were,
	// and random determines which.
	repeatShare float64
	repeatCount int
	random      *rand.Rand
	// newerSince is since when the server, a primary, reaches a newer one; zero if it does
	// not.
	newerSince time.Time
	// silentSince is since when the server has not reached the store; zero if it does.
	// reportDue reports that its entry is to be written once it does, and removed that the
	// entry was removed.
	silentSince        time.Time
	reportDue, removed bool
}

// entry is one write in a log, or one that its transaction has not committed yet.
type entry struct {
	term      uint64
	key       string
	value     string
	requestID string
}

func (s *Server) position() string {
	n := len(s.log)
	t := uint64(1)
	if n > 0 {
		t = s.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", t, n)
}

// Address returns the address on which the server listens, whether or not it is
// registered under another one.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Primary reports whether the server considers itself the primary of its group.
func (s *Server) Primary() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.primary
}

// SetUnresponsive makes the server unresponsive, or responsive again. While it is
// unresponsive, it stops replicating, and closes a connection without an answer 5 s
// after a message arrives on it.
func (s *Server) SetUnresponsive(unresponsive bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unresponsive = unresponsive
}

// SetBusy makes the server answer statements with BUSY, without running them, or
// lets it run them again.
func (s *Server) SetBusy(busy bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.busy = busy
}

// SetReplicationPaused pauses the replica's copying of the primary's log, or
// resumes it.
func (s *Server) SetReplicationPaused(paused bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.replicationPaused = paused
}

// DropAnswers makes the server drop the answers to the next n requests that
// have an ID: each is executed, and its connection is closed 5 s later without
// an answer.
func (s *Server) DropAnswers(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.answersToDrop = n
}

// Runs returns how many times the request with this ID ran on the server. Requests
// answered with BUSY, and writes answered with READONLY, reset the count.
func (s *Server) Runs(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.executions[id]
}

// RefusedConnections returns the number of connections refused because
// Group.ConnectionLimit were open.
func (s *Server) RefusedConnections() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.refusedConnections
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.connections)
}

// LogRequestIDs returns, for each entry of the log in order, the ID of the request that
// wrote it.
func (s *Server) LogRequestIDs() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	ids := make([]string, len(s.log))
	for i, e := range s.log {
		ids[i] = e.requestID
	}
	return ids
}

// LogAtRun returns the length of the log at the time the request with this ID
// last ran on the server, and the ID of the request that wrote the last entry
// of that log. It reports false if the request never ran on the server.
func (s *Server) LogAtRun(id string) (length int, last string, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	log, ok := s.logAtRun[id]
	if len(log) > 0 {
		last = log[len(log)-1].requestID
	}
	return len(log), last, ok
}

// LackedWrite reports whether the log on which the request id ran contains no
// entry written by the request writeID. It is true if id never ran on the
// server.
func (s *Server) LackedWrite(id, writeID string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return !slices.ContainsFunc(s.logAtRun[id], func(e entry) bool { return e.requestID == writeID })
}

// EntryCount returns the number of log entries that the request with this ID wrote.
func (s *Server) EntryCount(id string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, e := range s.log {
		if e.requestID == id {
			n++
		}
	}
	return n
}

// HasEntry reports whether the log contains an entry that the request with this ID wrote.
func (s *Server) HasEntry(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, e := range s.log {
		if e.requestID == id {
			return true
		}
	}
	return false
}

// CommittedAt returns when a write was last committed on the server as the primary. It
// reports false if it never was.
func (s *Server) CommittedAt(id string) (time.Time, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	at, ok := s.committedAt[id]
	return at, ok
}

// EntriesAtRun returns the IDs of the requests that wrote the entries of the log on which
// the request with this ID last ran.
func (s *Server) EntriesAtRun(id string) map[string]bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	ids := map[string]bool{}
	for _, e := range s.logAtRun[id] {
		ids[e.requestID] = true
	}
	return ids
}

func (s *Server) isUnresponsive() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.unresponsive
}

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(c)
	}
}

// connection is the state of one accepted connection.
type connection struct {
	*Server
	conn net.Conn
	// customer is the name that was given when the connection was opened.
	customer string
	// answer is the answer that is being composed.
	answer bytes.Buffer
	// writing is held while an answer is sent.
	writing       sync.Mutex
	inTransaction bool
	// transaction is the number of the open transaction; zero if none is.
	transaction       int
	transactionFailed bool
	// plain reports that the open transaction may write.
	plain         bool
	pendingWrites []entry
	// unsynced is the length of the log up to the last commit, until SyncReplicas have
	// received it; zero if there is none.
	unsynced int
	settings map[string]string
	prepared map[string]Plan
}

func (s *Server) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	line, err := ReadLine(in)
	if err != nil || s.isCrashed() {
		return
	}
	d := &connection{Server: s, conn: c, settings: map[string]string{}, prepared: map[string]Plan{}}
	if !d.start(strings.Split(line, " ")) {
		return
	}
	s.lock.Lock()
	s.connections[c] = true
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		delete(s.connections, c)
		s.lock.Unlock()
	}()
	for {
		line, err := ReadLine(in)
		if err != nil {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		if !d.query(f[1], f[2]) {
			return
		}
	}
}

// start answers the startup message, given as its fields, and reports whether the
// connection stays open.
func (c *connection) start(fields []string) bool {
	if c.isUnresponsive() {
		time.Sleep(5 * time.Second)
		return false
	}
	c.lock.Lock()
	tooMany := len(c.connections) >= c.Group.ConnectionLimit
	if tooMany {
		c.refusedConnections++
	}
	c.lock.Unlock()
	switch {
	case len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != c.Group.Name || len(fields) > 3 && fields[3] != c.ID:
		c.send("ERROR MISROUTED " + c.ID)
		c.flush()
		return false
	case tooMany:
		c.send("ERROR CONNLIMIT " + c.ID)
		c.flush()
		return false
	}
	c.customer = fields[2]
	c.lock.Lock()
	c.startedBy[c.customer] = true
	c.lock.Unlock()
	c.sendReady()
	return true
}

func (c *connection) send(line string) { c.answer.WriteString(line + "\r\n") }

// flush sends the answer, and some answers a second time later.
func (c *connection) flush() {
	answer := bytes.Clone(c.answer.Bytes())
	c.answer.Reset()
	c.write(answer)
	if delay := c.repeatDelay(); delay > 0 {
		time.AfterFunc(delay, func() { c.write(answer) })
	}
}

func (c *connection) write(answer []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	// An error means that the connection was closed, which ends the loop that reads from it.
	_, _ = c.conn.Write(answer)
}

func (c *connection) sendReady() {
	state := "I"
	switch {
	case c.transactionFailed:
		state = "E"
	case c.inTransaction:
		state = "T"
	}
	c.lock.Lock()
	p := c.position()
	c.lock.Unlock()
	c.send("READY " + state + " " + p)
	c.flush()
}

// work waits for as long as the server works on a query.
func (c *connection) work(text string) {
	d := c.Group.StatementDelay
	if w := c.Group.site.options.Work; w != nil {
		d = w(text)
	}
	time.Sleep(d)
}

// query executes one query and sends its answer. It reports whether the connection
// stays open.
func (c *connection) query(id, text string) bool {
	acquired := !takesSlot(text) || c.slots.acquire()
	if acquired {
		c.work(text)
		if takesSlot(text) {
			defer c.slots.release()
		}
	}
	if c.isUnresponsive() {
		time.Sleep(5 * time.Second)
		return false
	}
	errorCode := "BUSY"
	if acquired {
		errorCode = c.execute(id, text)
	}
	if !c.awaitReplicas() {
		return false
	}
	if c.dropsAnswer(id) {
		time.Sleep(5 * time.Second)
		return false
	}
	if errorCode != "" {
		c.send("ERROR " + errorCode + " " + c.ID)
		if c.inTransaction && errorCode != "BUSY" {
			c.transactionFailed = true
		}
	}
	c.sendReady()
	return true
}

// takesSlot reports whether a query occupies a slot.
func takesSlot(text string) bool {
	_, text = cutAfter(text)
	word, _, _ := strings.Cut(text, " ")
	return slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"}, word)
}

func (c *connection) dropsAnswer(id string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if id == "-" || c.answersToDrop == 0 {
		return false
	}
	c.answersToDrop--
	return true
}

// execute runs the text of a query. It returns the error code of a failed query, or an
// empty string.
func (c *connection) execute(id, text string) string {
	after, text := cutAfter(text)
	if after != "" && !c.reached(after) {
		return "LAGGING"
	}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	c.lock.Lock()
	defer c.lock.Unlock()
	if id != "-" {
		c.executions[id]++
		c.ranFor[id] = c.customer
		c.logAtRun[id] = c.log
	}
	switch word {
	case "STATUS":
		if c.slots != nil && (c.busy || time.Now().Before(c.busyUntil)) {
			return "BUSY"
		}
		return c.status()
	case "STEPDOWN":
		c.stepDown(rest)
		return c.status()
	case "PAUSE":
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && term > c.term {
			c.receivePaused = true
		}
		return c.status()
	case "RESUME":
		c.receivePaused = false
		return c.status()
	case "RESET":
		clear(c.settings)
		clear(c.prepared)
		c.send("COMPLETE -")
		return ""
	case "SET":
		c.settings[name] = value
		c.send("COMPLETE -")
		return ""
	case "PREPARE":
		access, shape, _ := strings.Cut(value, " ")
		c.prepared[name] = Plan{Access: access, Shape: shape}
		c.send("COMPLETE -")
		return ""
	case "DEALLOC":
		if _, ok := c.prepared[name]; !ok && !c.lenient {
			return "NOSTMT"
		}
		delete(c.prepared, name)
		c.send("COMPLETE -")
		return ""
	case "BEGIN":
		if rest == "" && !c.primary {
			return "READONLY"
		}
		c.inTransaction, c.plain = true, rest == ""
		c.transactions++
		c.transaction = c.transactions
		c.send("COMPLETE -")
		return ""
	case "ROLLBACK":
		c.resetTransaction()
		c.send("COMPLETE -")
		return ""
	}
	if c.busy || time.Now().Before(c.busyUntil) {
		delete(c.executions, id)
		return "BUSY"
	}
	if c.inTransaction && c.plain && !c.primary && (word != "COMMIT" || len(c.pendingWrites) > 0) {
		delete(c.executions, id)
		return "READONLY"
	}
	return c.executeStatement(id, text)
}

func (c *connection) executeStatement(id, text string) string {
	access, rest, _ := strings.Cut(text, " ")
	if access == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		p, ok := c.prepared[name]
		if !ok {
			return "NOSTMT"
		}
		access, rest, text = p.Access, arguments, p.Text(arguments)
	}
	item, data, _ := strings.Cut(rest, " ")
	switch access {
	case "READ":
		row := c.lookup(item)
		c.send("DATAROW " + row)
		c.complete(id, text, row)
	case "WRITE":
		if !c.primary {
			delete(c.executions, id)
			return "READONLY"
		}
		c.pendingWrites = append(c.pendingWrites, entry{key: item, value: data, requestID: id})
		if !c.inTransaction {
			c.commit()
		}
		c.complete(id, text)
	case "COMMIT":
		if len(c.pendingWrites) > 0 && !c.primary {
			return "READONLY"
		}
		c.commit()
		c.complete(id, text)
		c.resetTransaction()
	default:
		return "MALFORMED"
	}
	return ""
}

// complete records a statement that has run and sends the receipt for it.
func (c *connection) complete(id, text string, rows ...string) {
	c.executed[id] = append(c.executed[id], Execution{Text: text, Transaction: c.transaction})
	c.send("COMPLETE " + c.Receipt(id, text, c.settings, rows))
}

func (c *connection) commit() {
	for _, e := range c.pendingWrites {
		e.term = c.term
		c.log = append(c.log, e)
		c.committedAt[e.requestID] = time.Now()
	}
	if len(c.pendingWrites) > 0 {
		c.unsynced = len(c.log)
	}
	c.pendingWrites = nil
}

// syncInterval is the time between two checks whether replicas have received a commit.
const syncInterval = 2 * time.Millisecond

// awaitReplicas waits until as many replicas as the site requires have received the last
// commit. It returns false if the server crashes before that.
func (c *connection) awaitReplicas() bool {
	n := c.unsynced
	c.unsynced = 0
	required := c.Group.site.SyncReplicas()
	if n == 0 || required == 0 {
		return true
	}
	c.lock.Lock()
	last := c.log[n-1]
	c.lock.Unlock()
	for c.Group.countReceived(c.Server, n, last) < required {
		time.Sleep(syncInterval)
		if c.isCrashed() || c.Group.site.isClosed() {
			return false
		}
	}
	return true
}

// countReceived returns how many servers other than one have an entry at a place of their
// log.
func (g *Group) countReceived(primary *Server, place int, e entry) int {
	count := 0
	for _, v := range g.servers {
		if v != primary && v.hasAt(place, e) {
			count++
		}
	}
	return count
}

func (s *Server) hasAt(place int, e entry) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.log) >= place && s.log[place-1] == e
}

func (c *connection) resetTransaction() {
	c.inTransaction, c.plain, c.transaction = false, false, 0
	c.transactionFailed = false
	c.pendingWrites = nil
}

func (c *connection) lookup(key string) string {
	for i := len(c.pendingWrites) - 1; i >= 0; i-- {
		if c.pendingWrites[i].key == key {
			return c.pendingWrites[i].value
		}
	}
	for i := len(c.log) - 1; i >= 0; i-- {
		if c.log[i].key == key {
			return c.log[i].value
		}
	}
	return cmp.Or(c.Group.site.options.Absent, "none")
}

func (c *connection) status() string {
	role := "replica"
	if c.primary {
		role = "primary"
	}
	c.send(fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d", role, c.term, c.position(), c.fencedTerm, len(c.connections)))
	c.send("COMPLETE -")
	return ""
}

func (c *connection) stepDown(text string) {
	term, err := strconv.ParseUint(text, 10, 64)
	if err == nil && term > c.term {
		c.primary = false
		c.term = term
		go c.Group.register(c.Server)
	}
}

func (s *Server) reached(position string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	own, requested := parsePosition(s.position()), parsePosition(position)
	return own[0] > requested[0] || own[0] == requested[0] && own[1] >= requested[1]
}

func parsePosition(p string) [2]uint64 {
	t, n, _ := strings.Cut(p, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return [2]uint64{term, number}
}
