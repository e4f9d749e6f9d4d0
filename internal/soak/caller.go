package soak

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// The timeout and the pauses of a caller.
const (
	// callerTimeout is how long a caller waits for an answer. It equals the
	// timeout of the users' callers.
	callerTimeout = 4 * time.Second
	// callerPause is the mean pause between two operations of a caller.
	callerPause = 15 * time.Millisecond
	// reconnectPause is the pause after a session could not be opened.
	reconnectPause = 50 * time.Millisecond
)

// request is one query of a caller and its outcome.
type request struct {
	id, key string
	// value is the value that a write wrote or a read returned.
	value int
	// code is the error code: empty after a success, lostAnswer if no complete answer
	// arrived.
	code string
	// begun is when the caller sent the request, or opened its transaction, since all
	// reads of a transaction run on one snapshot. ended is when the answer arrived.
	begun, ended time.Time
	transaction  bool
	write        bool
	// route is the database that the session was opened for.
	route  string
	vmName string
	// serverID is the ID of the target that answered, as its COMPLETE line states.
	serverID string
	// sessionID is the caller's name and the number of its session.
	sessionID string
	// customer is the customer for which the session was opened, and customerKey the
	// key that the caller gave; empty without customers.
	customer, customerKey string
}

// lostAnswer is the code of a request without a complete answer.
const lostAnswer = "lost"

// errWrongAnswer reports an answer that is wrong whichever faults were injected.
var errWrongAnswer = errors.New("wrong answer")

// errSessionRefused reports a key that is not valid, or not any more.
var errSessionRefused = errors.New("key refused")

// caller writes increasing numbers to a key of its own, and reads the keys of all callers
// of its group, over sessions with random VMs.
type caller struct {
	name  string
	group string
	// credentials returns the caller's customer and the key to give; both are empty
	// without customers.
	credentials func() (customer, key string)
	// customer and customerKey are those of the open session.
	customer, customerKey string
	// keys are the keys of all callers of the group.
	keys   []string
	vms    []*VM
	random *rand.Rand
	// transactions adds transactions that write.
	transactions bool
	record       func(request)
	stopped      chan struct{}

	requestCount, lastValue, sessionCount int
	// transactionBegun is when the open transaction began; zero outside a transaction.
	transactionBegun time.Time
	conn             net.Conn
	reader           *bufio.Reader
	vm               *VM
	route            string
}

// run runs operations until stopped is closed. Its error wraps errWrongAnswer.
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
		if err := c.runOperation(); err != nil {
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

// open opens a session with a random VM and sets its parameter tenant to the caller's
// name. It reports whether that succeeded.
func (c *caller) open() bool {
	c.vm = c.vms[c.random.IntN(len(c.vms))]
	c.route = c.group + "-" + []string{"own", "own", "current", "bounded"}[c.random.IntN(4)]
	conn, err := net.DialTimeout("tcp4", c.vm.CallersAddress, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.sessionCount++
	if c.sendStartup() != nil {
		return false
	}
	if _, _, _, err := c.readAnswer(); err != nil {
		return false
	}
	c.requestCount++
	code, _, _, err := c.query(c.id(), "SET tenant "+c.name)
	return err == nil && code == ""
}

// sendStartup sends the startup message, with the customer's key if there is one.
func (c *caller) sendStartup() error {
	c.customer, c.customerKey = c.credentials()
	return c.send("STARTUP " + c.route + " " + cmp.Or(c.customerKey, c.name))
}

func (c *caller) id() string { return fmt.Sprintf("%s-%d", c.name, c.requestCount) }

func (c *caller) send(text string) error {
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if _, err := c.conn.Write([]byte(text + "\r\n")); err != nil {
		c.close()
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// readAnswer reads the lines of an answer up to READY and closes the connection after an
// error. proof is the text of the COMPLETE line: the ID of the target and the session
// settings that the query ran with.
func (c *caller) readAnswer() (code, row, proof string, err error) {
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.close()
			return "", "", "", fmt.Errorf("read answer: %w", err)
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch keyword {
		case "DATAROW":
			row = rest
		case "COMPLETE":
			proof = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
			if code == "AUTHFAIL" {
				// The VM closes the session and sends no READY.
				c.close()
				return code, "", "", errSessionRefused
			}
		case "READY":
			return code, row, proof, nil
		}
	}
}

func (c *caller) query(id, text string) (code, row, proof string, err error) {
	if err := c.send("QUERY " + id + " " + text); err != nil {
		return "", "", "", err
	}
	return c.readAnswer()
}

// runOperation runs a random operation: a write, a transaction of reads or a read.
func (c *caller) runOperation() error {
	if c.transactions && c.random.IntN(8) == 0 {
		return c.writeInTransaction()
	}
	switch c.random.IntN(5) {
	case 0:
		return c.write()
	case 1:
		return c.readInTransaction()
	default:
		return c.read(c.keys[c.random.IntN(len(c.keys))])
	}
}

func (c *caller) write() error {
	if strings.HasSuffix(c.route, "bounded") {
		return c.read(c.name)
	}
	c.lastValue++
	r := c.newRequest(c.name)
	r.write, r.value = true, c.lastValue
	_, err := c.queryAndRecord(r, fmt.Sprintf("WRITE %s %d", c.name, c.lastValue))
	return err
}

// writeInTransaction runs a read and a write in a transaction. The outcome of the write is
// that of the COMMIT.
func (c *caller) writeInTransaction() error {
	if strings.HasSuffix(c.route, "bounded") {
		return c.read(c.name)
	}
	c.transactionBegun = time.Now()
	defer func() { c.transactionBegun = time.Time{} }()
	if code, _, _, err := c.query(c.newRequest("").id, "BEGIN"); err != nil || code != "" {
		c.close()
		return nil
	}
	if err := c.read(c.keys[c.random.IntN(len(c.keys))]); err != nil || c.conn == nil {
		return err
	}
	c.lastValue++
	r := c.newRequest(c.name)
	r.write, r.value = true, c.lastValue
	if code, _, _, err := c.query(r.id, fmt.Sprintf("WRITE %s %d", c.name, c.lastValue)); err != nil || code != "" {
		c.close()
		return nil
	}
	code, _, proof, err := c.query(c.newRequest("").id, "COMMIT")
	r.ended, r.code = time.Now(), code
	if err != nil {
		r.code = lostAnswer
	}
	r.serverID, _, _ = strings.Cut(proof, ":")
	c.record(r)
	if r.code != "" {
		c.close()
	}
	return nil
}

// readInTransaction runs two reads in a transaction.
func (c *caller) readInTransaction() error {
	c.transactionBegun = time.Now()
	defer func() { c.transactionBegun = time.Time{} }()
	if code, _, _, err := c.query(c.newRequest("").id, "BEGIN READ"); err != nil || code != "" {
		c.close()
		return nil
	}
	for range 2 {
		if err := c.read(c.keys[c.random.IntN(len(c.keys))]); err != nil {
			return err
		}
		if c.conn == nil {
			return nil
		}
	}
	if code, _, _, err := c.query(c.newRequest("").id, "COMMIT"); err == nil && code != "" {
		c.close()
	}
	return nil
}

func (c *caller) read(key string) error {
	r, err := c.queryAndRecord(c.newRequest(key), "READ "+key)
	if r.code != "" {
		// A failed transaction takes no further reads. Closing the session ends it.
		c.close()
	}
	return err
}

func (c *caller) newRequest(key string) request {
	c.requestCount++
	begun := c.transactionBegun
	if begun.IsZero() {
		begun = time.Now()
	}
	return request{id: c.id(), key: key, route: c.route, vmName: c.vm.Name, begun: begun, transaction: !c.transactionBegun.IsZero(), sessionID: fmt.Sprintf("%s/%d", c.name, c.sessionCount), customer: c.customer, customerKey: c.customerKey}
}

// queryAndRecord runs a query and records its outcome. It returns an error that wraps
// errWrongAnswer if the query ran with another session's settings or returned no
// number.
func (c *caller) queryAndRecord(r request, text string) (request, error) {
	code, row, proof, err := c.query(r.id, text)
	r.ended = time.Now()
	r.code = code
	if err != nil {
		r.code = lostAnswer
	}
	if r.code != "" {
		c.record(r)
		return r, nil
	}
	if !strings.HasSuffix(proof, ":tenant="+c.name) {
		return r, fmt.Errorf("%s was completed with %q, which lacks the session's tenant: %w", r.id, proof, errWrongAnswer)
	}
	r.serverID, _, _ = strings.Cut(proof, ":")
	if !r.write && row != "none" {
		if r.value, err = strconv.Atoi(row); err != nil {
			return r, fmt.Errorf("%s returned %q, want a number: %w", r.id, row, errWrongAnswer)
		}
	}
	c.record(r)
	return r, nil
}

// probe opens a session on a connection and reads a key. It returns the error code;
// empty after a success.
func (c *caller) probe(conn net.Conn) string {
	c.conn, c.reader = conn, bufio.NewReader(conn)
	if c.sendStartup() != nil {
		return lostAnswer
	}
	// A startup for an unknown database is answered with ERROR and without
	// READY, so that readAnswer would wait until the deadline.
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return lostAnswer
	}
	code, _, _, err := c.query("probe", "READ "+c.name)
	if err != nil {
		return lostAnswer
	}
	return code
}
