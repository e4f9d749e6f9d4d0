package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// The times of a caller.
const (
	// callerTimeout is how long a caller waits for an answer, as the users'
	// callers do.
	callerTimeout = 4 * time.Second
	// callerPause is about the time between a caller's operations.
	callerPause = 15 * time.Millisecond
	// reconnectPause is the time after a session that could not be opened.
	reconnectPause = 50 * time.Millisecond
)

// request is one query of a caller and what became of it.
type request struct {
	id, item string
	// value is what a write wrote, or what a read returned.
	value int
	// code is empty after a success; "lost" if no whole answer came.
	code string
	// begun and ended are when the caller sent it, or its transaction's opening,
	// and had its answer: a transaction reads on one log.
	begun, ended time.Time
	transaction  bool
	write        bool
	// route is the database that the session was opened for.
	route string
	vm    string
	// server is the target that answered, by its proof.
	server string
	// session numbers the caller's session.
	session string
}

// lost is the code of a request without a whole answer.
const lost = "lost"

// errAnswer reports an answer that cannot be right whatever happened.
var errAnswer = errors.New("wrong answer")

// caller writes growing numbers to an item of its own, and reads its own and
// others' items, over sessions with whichever VM answers.
type caller struct {
	name  string
	group string
	// items are those of all callers of the group.
	items   []string
	vms     []*VM
	random  *rand.Rand
	record  func(request)
	stopped chan struct{}

	count, next, sessions int
	// opened is when the open transaction began; zero outside one.
	opened time.Time
	conn   net.Conn
	reader *bufio.Reader
	vm     *VM
	route  string
}

// run works until it is stopped. Its error is a wrong answer.
func (c *caller) run() error {
	defer c.close()
	for {
		select {
		case <-c.stopped:
			return nil
		default:
		}
		if c.conn == nil && !c.open() {
			time.Sleep(reconnectPause)
			continue
		}
		if err := c.operate(); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * callerPause))))
		if c.random.IntN(30) == 0 {
			c.close()
		}
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// open starts a session with some VM and gives it a value of its own.
func (c *caller) open() bool {
	c.vm = c.vms[c.random.IntN(len(c.vms))]
	c.route = c.group + "-" + []string{"own", "own", "current", "bounded"}[c.random.IntN(4)]
	conn, err := net.DialTimeout("tcp4", c.vm.Callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.sessions++
	if c.say("STARTUP "+c.route+" "+c.name) != nil {
		return false
	}
	if _, _, _, err := c.answer(); err != nil {
		return false
	}
	c.count++
	code, _, _, err := c.ask(c.id(), "SET tenant "+c.name)
	return err == nil && code == ""
}

func (c *caller) id() string { return fmt.Sprintf("%s-%d", c.name, c.count) }

func (c *caller) say(text string) error {
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if _, err := c.conn.Write([]byte(text + "\r\n")); err != nil {
		c.close()
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// answer reads a whole answer; the connection is closed after an error.
func (c *caller) answer() (code, row, proof string, err error) {
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.close()
			return "", "", "", fmt.Errorf("read answer: %w", err)
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			row = rest
		case "COMPLETE":
			proof = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return code, row, proof, nil
		}
	}
}

func (c *caller) ask(id, text string) (code, row, proof string, err error) {
	if err := c.say("QUERY " + id + " " + text); err != nil {
		return "", "", "", err
	}
	return c.answer()
}

// operate runs one operation.
func (c *caller) operate() error {
	switch c.random.IntN(5) {
	case 0:
		return c.write()
	case 1:
		return c.transact()
	default:
		return c.read(c.items[c.random.IntN(len(c.items))])
	}
}

func (c *caller) write() error {
	if strings.HasSuffix(c.route, "bounded") {
		return c.read(c.name)
	}
	c.next++
	r := c.begin(c.name)
	r.write, r.value = true, c.next
	_, err := c.finish(r, fmt.Sprintf("WRITE %s %d", c.name, c.next))
	return err
}

// transact reads in a transaction, on one log and with one session's values.
func (c *caller) transact() error {
	c.opened = time.Now()
	defer func() { c.opened = time.Time{} }()
	if code, _, _, err := c.ask(c.begin("").id, "BEGIN READ"); err != nil || code != "" {
		c.close()
		return nil
	}
	for range 2 {
		if err := c.read(c.items[c.random.IntN(len(c.items))]); err != nil {
			return err
		}
		if c.conn == nil {
			return nil
		}
	}
	if code, _, _, err := c.ask(c.begin("").id, "COMMIT"); err == nil && code != "" {
		c.close()
	}
	return nil
}

func (c *caller) read(item string) error {
	r, err := c.finish(c.begin(item), "READ "+item)
	if r.code != "" {
		// A transaction that failed has to be ended; a new session is as good.
		c.close()
	}
	return err
}

func (c *caller) begin(item string) request {
	c.count++
	begun := c.opened
	if begun.IsZero() {
		begun = time.Now()
	}
	return request{id: c.id(), item: item, route: c.route, vm: c.vm.Name, begun: begun, transaction: !c.opened.IsZero(), session: fmt.Sprintf("%s/%d", c.name, c.sessions)}
}

// finish asks and records how it ended. Its error is a wrong answer.
func (c *caller) finish(r request, text string) (request, error) {
	code, row, proof, err := c.ask(r.id, text)
	r.ended = time.Now()
	r.code = code
	if err != nil {
		r.code = lost
	}
	if r.code != "" {
		c.record(r)
		return r, nil
	}
	if !strings.HasSuffix(proof, ":tenant="+c.name) {
		return r, fmt.Errorf("%s ran with the proof %q: %w", r.id, proof, errAnswer)
	}
	r.server, _, _ = strings.Cut(proof, ":")
	if !r.write && row != "none" {
		if r.value, err = strconv.Atoi(row); err != nil {
			return r, fmt.Errorf("%s returned %q: %w", r.id, row, errAnswer)
		}
	}
	c.record(r)
	return r, nil
}

// probe reads over a connection that is open; it returns the code.
func (c *caller) probe(conn net.Conn) string {
	c.conn, c.reader = conn, bufio.NewReader(conn)
	if c.say("STARTUP "+c.route+" "+c.name) != nil {
		return lost
	}
	// The answer to the opening of a session of an unknown database is an error
	// without an end.
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return lost
	}
	code, _, _, err := c.ask("probe", "READ "+c.name)
	if err != nil {
		return lost
	}
	return code
}
