package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthsill/internal/site"
)

// server is a stand-in for a server of a service. It follows the pages for the statements that
// the cases use. All servers of a service share one log, as if replicas received each commit
// at once.
type server struct {
	id, service, zone string
	listener          net.Listener
	log               *sharedLog
	// work returns how long the server works on a statement.
	work func(text string) time.Duration
	// row returns what a read of an item returns; nil means a fixed row.
	row   func(item string) string
	slots chan struct{}
	// cut reports that the server does not reach the store.
	cut atomic.Bool

	lock    sync.Mutex
	primary bool
	term    uint64
	// ran holds when the server ended its work on a statement, by request.
	ran map[string]time.Time
}

// sharedLog counts the commits of a service.
type sharedLog struct {
	lock sync.Mutex
	term uint64
	n    uint64
}

func (l *sharedLog) position() (uint64, uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.term, l.n
}

func (l *sharedLog) commit(term uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.term = term
	l.n++
}

// openService starts a server in each zone; the first is the primary.
func (d *deployment) openService(service string, zones []string, slots int, work func(string) time.Duration) ([]*server, error) {
	list, log := []*server{}, &sharedLog{term: 1, n: 1}
	for i, z := range zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for a server: %w", err)
		}
		s := &server{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: z, listener: l, log: log, work: work,
			slots: make(chan struct{}, slots), primary: i == 0, term: 1, ran: map[string]time.Time{},
		}
		d.lock.Lock()
		d.servers[s.id] = s
		d.lock.Unlock()
		s.register(d.store)
		go s.serve()
		go func() {
			for range time.Tick(time.Second) {
				s.register(d.store)
			}
		}()
		list = append(list, s)
	}
	return list, nil
}

func (s *server) register(store *site.Store) {
	if s.cut.Load() {
		return
	}
	s.lock.Lock()
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.lock.Unlock()
	store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": cap(s.slots),
		"state": "ready", "cold_left_ms": 0, "db_role": role, "seq": time.Now().UnixNano(), "born": 1700000000000,
	})
}

func (s *server) currentTerm() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.term
}

func (s *server) setRole(primary bool, term uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.primary, s.term = primary, term
}

// endedAt returns when the server ended its work on a request.
func (s *server) endedAt(id string) (time.Time, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	t, ok := s.ran[id]
	return t, ok
}

func (s *server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&serverSession{server: s, conn: c, plans: map[string][2]string{}}).run()
	}
}

// serverSession is one connection to a server.
type serverSession struct {
	*server
	conn   net.Conn
	open   bool
	plain  bool
	failed bool
	writes int
	plans  map[string][2]string
}

func (c *serverSession) run() {
	defer func() { _ = c.conn.Close() }()
	in := bufio.NewReader(c.conn)
	line, err := site.ReadLine(in)
	f := strings.Split(line, " ")
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != c.service || len(f) > 3 && f[3] != c.id {
		_, _ = fmt.Fprintf(c.conn, "ERROR MISROUTED %s\r\n", c.id)
		return
	}
	if !c.reply("") {
		return
	}
	for {
		line, err := site.ReadLine(in)
		f := strings.SplitN(line, " ", 3)
		if err != nil || len(f) < 3 || f[0] != "QUERY" {
			return
		}
		if !c.reply(c.answer(f[1], f[2])) {
			return
		}
	}
}

// reply sends an answer, followed by READY.
func (c *serverSession) reply(answer string) bool {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.open:
		state = "T"
	}
	term, n := c.log.position()
	_, err := fmt.Fprintf(c.conn, "%sREADY %s %d.%d\r\n", answer, state, term, n)
	return err == nil
}

const done = "COMPLETE -\r\n"

func (c *serverSession) fail(code string) string {
	c.failed = c.open
	return "ERROR " + code + " " + c.id + "\r\n"
}

func (c *serverSession) answer(id, text string) string {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch word {
	case "ROLLBACK":
		c.open, c.failed, c.writes = false, false, 0
		return done
	case "SET":
		return done
	case "RESET":
		clear(c.plans)
		return done
	case "PREPARE":
		access, shape, _ := strings.Cut(value, " ")
		c.plans[name] = [2]string{access, shape}
		return done
	case "DEALLOC":
		if _, ok := c.plans[name]; !ok {
			return c.fail("NOSTMT")
		}
		delete(c.plans, name)
		return done
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return c.status(word, rest)
	}
	if c.failed {
		return c.fail("MALFORMED")
	}
	c.server.lock.Lock()
	primary, term := c.primary, c.term
	c.server.lock.Unlock()
	if word == "BEGIN" {
		if rest == "" && !primary {
			return c.fail("READONLY")
		}
		c.open, c.plain = true, rest == ""
		return done
	}
	if word == "EXECUTE" {
		p, ok := c.plans[name]
		if !ok {
			return c.fail("NOSTMT")
		}
		word, rest = p[0], value
	}
	c.slots <- struct{}{}
	time.Sleep(c.work(text))
	<-c.slots
	c.server.lock.Lock()
	c.ran[id] = time.Now()
	c.server.lock.Unlock()
	switch word {
	case "READ":
		row := "row"
		if c.row != nil {
			row = c.row(rest)
		}
		return "DATAROW " + row + "\r\n" + c.receipt(id, text)
	case "WRITE":
		if !primary {
			return c.fail("READONLY")
		}
		if c.writes++; !c.open {
			c.log.commit(term)
			c.writes = 0
		}
		return c.receipt(id, text)
	case "COMMIT":
		if c.writes > 0 {
			c.log.commit(term)
		}
		c.open, c.writes = false, 0
		return c.receipt(id, text)
	default:
		return c.fail("MALFORMED")
	}
}

func (c *serverSession) receipt(id, text string) string {
	sum := sha256.Sum256([]byte(c.id + "\n" + id + "\n" + text))
	return "COMPLETE " + hex.EncodeToString(sum[:12]) + "\r\n"
}

func (c *serverSession) status(word, rest string) string {
	c.server.lock.Lock()
	defer c.server.lock.Unlock()
	if t, err := strconv.ParseUint(rest, 10, 64); word == "STEPDOWN" && err == nil && t > c.term {
		c.primary, c.term = false, t
	}
	role := "replica"
	if c.primary {
		role = "primary"
	}
	term, n := c.log.position()
	return fmt.Sprintf("DATAROW %s %d %d.%d 0 0 0 1\r\n%s", role, c.term, term, n, done)
}
