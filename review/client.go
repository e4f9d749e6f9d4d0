package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// session is a client's session with the system.
type session struct {
	record *record
	conn   net.Conn
	in     *bufio.Reader
}

var nextID atomic.Int64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", nextID.Add(1)) }

// errClosed reports a session that ended without an answer.
var errClosed = errors.New("connection ended")

func openSession(r *record, address, database string) (*session, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{record: r, conn: c, in: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte("STARTUP " + database + " u1\r\n")); err != nil {
		_ = c.Close()
		return nil, err
	}
	line, err := readMessage(s.in)
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("startup answered %q: %w", line, errClosed)
	}
	return s, nil
}

// result is the answer to a request: the code of an error, or what the success carried.
type result struct {
	code, mac, state string
	rows             []string
}

// query sends a request and reads its answer.
func (s *session) query(id, text string, limit time.Duration) (result, error) {
	s.record.send(id, text)
	_ = s.conn.SetDeadline(time.Now().Add(limit))
	if _, err := s.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		s.record.answered(id, "nothing: "+err.Error())
		return result{}, err
	}
	n := result{}
	for {
		line, err := readMessage(s.in)
		if err != nil {
			s.record.answered(id, "nothing: "+err.Error())
			return n, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			n.rows = append(n.rows, rest)
		case "COMPLETE":
			n.mac = rest
		case "ERROR":
			n.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			n.state, _, _ = strings.Cut(rest, " ")
			what := "success " + n.mac
			if n.code != "" {
				what = "error " + n.code
			}
			s.record.answered(id, what)
			return n, nil
		default:
			return n, fmt.Errorf("message %q: %w", line, errClosed)
		}
	}
}

func (s *session) close() { _ = s.conn.Close() }

// class is a kind of request of the sheet, with its rate a second on one service.
type class struct {
	database      string
	items         string
	perSecond     float64
	sessions      int
	writes, trans float64
}

// load sends a class's operations from open sessions until stop is closed.
func load(r *record, vms []*vm, c class, stop chan struct{}) {
	work := make(chan struct{}, 1000)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / c.perSecond * float64(time.Second))):
				select {
				case work <- struct{}{}:
				default:
				}
			}
		}
	}()
	for range c.sessions {
		go func() {
			var s *session
			for {
				select {
				case <-stop:
					return
				case <-work:
				}
				for attempt := 0; attempt <= clientRetries; attempt++ {
					if attempt > 0 {
						time.Sleep(retryPause)
					}
					if s == nil {
						var err error
						if s, err = openSession(r, vms[rand.N(len(vms))].callers, c.database); err != nil {
							s = nil
							continue
						}
					}
					open, again := s.operate(c)
					if !open {
						s.close()
						s = nil
					}
					if !again {
						break
					}
				}
			}
		}()
	}
}

// statementTime is how long a client waits for one answer.
const statementTime = 4 * time.Second

// clientRetries is the number of retries of the sheet, and retryPause about what a refused client is
// told to wait.
const (
	clientRetries = 2
	retryPause    = 250 * time.Millisecond
)

// isPromise reports whether a code says that nothing of the client's attempt is kept.
func isPromise(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT":
		return true
	}
	return false
}

// operate runs one operation. It reports whether the session stays open, and whether the operation
// may be tried again.
func (s *session) operate(c class) (open, again bool) {
	statement := func() (string, bool) {
		name := c.items + fmt.Sprintf("%x", rand.N(2000))
		if rand.Float64() < c.writes {
			return "WRITE " + name + " d" + fmt.Sprint(rand.N(1000000)), true
		}
		return "READ " + name, false
	}
	if rand.Float64() >= c.trans {
		id := newID()
		text, write := statement()
		n, err := s.query(id, text, statementTime)
		if err != nil {
			return false, !write
		}
		if write && n.code == "" && n.mac != "-" && n.mac != "" {
			s.record.acknowledge(id)
		}
		return n.state == "I", isPromise(n.code) || n.code == "FAILED" && !write
	}
	begin := "BEGIN"
	if c.writes == 0 {
		begin = "BEGIN READ"
	}
	if n, err := s.query(newID(), begin, statementTime); err != nil || n.code != "" {
		return false, true
	}
	wrote := false
	for range 1 + rand.N(11) {
		text, write := statement()
		n, err := s.query(newID(), text, statementTime)
		if err != nil {
			return false, true
		}
		if n.code != "" {
			n, err = s.query(newID(), "ROLLBACK", statementTime)
			return err == nil && n.state == "I", true
		}
		wrote = wrote || write
		time.Sleep(time.Duration(rand.N(20)) * time.Millisecond)
	}
	id := newID()
	n, err := s.query(id, "COMMIT", statementTime)
	if err != nil {
		return false, !wrote
	}
	if wrote && n.code == "" && n.mac != "-" && n.mac != "" {
		s.record.acknowledge(id)
	}
	return n.state == "I", isPromise(n.code)
}
