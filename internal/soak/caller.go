package soak

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"amaranthsill/internal/site"
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
	// maxTransactionPause bounds the pause between two statements of a transaction. It is
	// below the time after which an idle transaction is ended.
	maxTransactionPause = 300 * time.Millisecond
	// stutterPause is the mean pause between operations with Stutter.
	stutterPause = 4 * time.Millisecond
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

// notCommitted is the code of a write whose transaction the caller did not commit.
const notCommitted = "ROLLBACK"

// statement is one message of a caller and its answer.
type statement struct {
	id string
	// text is that of an EXECUTE as site.Plan.Text returns it.
	text string
	// code is as in request.
	code    string
	receipt string
	rows    []string
	// settings are the values that were acknowledged to the session.
	settings map[string]string
	// transaction names the transaction that the caller had opened; empty outside any.
	transaction string
}

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
	// meanPause is the mean pause between two operations.
	meanPause time.Duration
	// varied adds prepared statements, further settings, and pauses in transactions.
	varied bool
	// hostile adds bytes to data, shapes and settings that are special elsewhere.
	hostile bool
	record  func(request)
	// recordStatement and report record a message and a violation.
	recordStatement func(statement)
	report          func(format string, args ...any)
	stopped         chan struct{}

	requestCount, lastValue, sessionCount, transactionCount int
	// settings and plans are those of the open session.
	settings map[string]string
	plans    map[string]site.Plan
	// transaction is the name of the open transaction; empty outside any.
	transaction string
	// transactionBegun is when the open transaction began; zero outside a transaction.
	transactionBegun time.Time
	conn             net.Conn
	reader           *bufio.Reader
	vm               *VM
	route            string
}

// run runs operations until stopped is closed.
func (c *caller) run() {
	defer c.close()
	for {
		select {
		case <-c.stopped:
			return
		default:
		}
		if c.conn == nil && !c.open() {
			time.Sleep(reconnectPause)
			continue
		}
		c.runOperation()
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * c.meanPause))))
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
	c.settings, c.plans = map[string]string{}, map[string]site.Plan{}
	if c.sendStartup() != nil {
		return false
	}
	if _, _, _, err := c.readAnswer(); err != nil {
		return false
	}
	if !c.set("tenant", c.name) {
		return false
	}
	return !c.varied || c.prepare("r", "READ") && c.prepare("w", "WRITE")
}

// set assigns a value to a session variable and reports whether that succeeded.
func (c *caller) set(name, value string) bool {
	c.requestCount++
	code, _, _, err := c.query(c.id(), "SET "+name+" "+value)
	if err != nil || code != "" {
		c.close()
		return false
	}
	c.settings = maps.Clone(c.settings)
	c.settings[name] = value
	return true
}

// prepare defines a prepared statement of a random shape and reports whether that
// succeeded. Callers use the same names for other shapes.
func (c *caller) prepare(name, access string) bool {
	p := site.Plan{Access: access, Shape: c.text(fmt.Sprintf("q%d", c.random.IntN(3)))}
	c.requestCount++
	code, _, _, err := c.query(c.id(), fmt.Sprintf("PREPARE %s %s %s", name, access, p.Shape))
	if err != nil || code != "" {
		c.close()
		return false
	}
	c.plans[name] = p
	return true
}

// text returns a word and, for a hostile caller, bytes after it.
func (c *caller) text(word string) string {
	if !c.hostile || c.random.IntN(3) == 0 {
		return word
	}
	return word + " " + hostileBytes(c.random)
}

// sendStartup sends the startup message, with the customer's key if there is one.
func (c *caller) sendStartup() error {
	c.customer, c.customerKey = c.credentials()
	return c.send("STARTUP " + c.route + " " + cmp.Or(c.customerKey, c.name))
}

func (c *caller) id() string { return fmt.Sprintf("%s-%d", c.name, c.requestCount) }

func (c *caller) send(text string) error {
	if n := c.reader.Buffered(); n > 0 {
		if b, _ := c.reader.Peek(n); !strings.HasPrefix(string(b), "ERROR") {
			c.report("%s got an answer to nothing: %.80q", c.id(), b)
		}
	}
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
// error.
func (c *caller) readAnswer() (code string, rows []string, receipt string, err error) {
	for {
		line, err := site.ReadLine(c.reader)
		if err != nil {
			c.close()
			return "", nil, "", fmt.Errorf("read answer: %w", err)
		}
		keyword, rest, _ := strings.Cut(line, " ")
		switch keyword {
		case "DATAROW":
			rows = append(rows, rest)
		case "COMPLETE":
			receipt = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
			if code == "AUTHFAIL" {
				// The VM closes the session and sends no READY.
				c.close()
				return code, nil, "", errSessionRefused
			}
		case "READY":
			return code, rows, receipt, nil
		}
	}
}

// query sends a query, and records it with its answer.
func (c *caller) query(id, text string) (code string, rows []string, receipt string, err error) {
	q := statement{id: id, text: text, settings: c.settings, transaction: c.transaction}
	if rest, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		name, arguments, _ := strings.Cut(rest, " ")
		q.text = c.plans[name].Text(arguments)
	}
	if err = c.send("QUERY " + id + " " + text); err == nil {
		q.code, q.rows, q.receipt, err = c.readAnswer()
	}
	code = q.code
	if err != nil {
		q.code = lostAnswer
	}
	c.recordStatement(q)
	return code, q.rows, q.receipt, err
}

// runOperation runs a random operation: a write, a transaction of reads or a read.
func (c *caller) runOperation() {
	if c.varied && c.random.IntN(20) == 0 && !c.set("note", c.text(fmt.Sprint(c.random.IntN(3)))) {
		return
	}
	if c.transactions && c.random.IntN(8) == 0 {
		c.writeInTransaction()
		return
	}
	switch c.random.IntN(5) {
	case 0:
		c.write()
	case 1:
		c.readInTransaction()
	default:
		c.read(c.randomKey())
	}
}

func (c *caller) randomKey() string { return c.keys[c.random.IntN(len(c.keys))] }

func (c *caller) write() {
	if strings.HasSuffix(c.route, "bounded") {
		c.read(c.name)
		return
	}
	r := c.newWrite()
	c.queryAndRecord(r, c.writeText(r.value))
}

// newWrite returns the request that writes the next value.
func (c *caller) newWrite() request {
	c.lastValue++
	r := c.newRequest(c.name)
	r.write, r.value = true, c.lastValue
	return r
}

func (c *caller) writeText(value int) string {
	verb := "WRITE"
	if c.varied && c.random.IntN(2) == 0 {
		verb = "EXECUTE w"
	}
	return fmt.Sprintf("%s %s %s", verb, c.name, c.text(strconv.Itoa(value)))
}

// begin opens a transaction and reports whether that succeeded.
func (c *caller) begin(text string) bool {
	c.transactionBegun = time.Now()
	if code, _, _, err := c.query(c.newRequest("").id, text); err != nil || code != "" {
		c.close()
		return false
	}
	c.transactionCount++
	c.transaction = fmt.Sprintf("%s-%d", c.name, c.transactionCount)
	return true
}

func (c *caller) endTransaction() { c.transactionBegun, c.transaction = time.Time{}, "" }

// pause pauses within a transaction.
func (c *caller) pause() {
	if c.varied && c.random.IntN(2) == 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxTransactionPause))))
	}
}

// writeInTransaction runs a read and a write in a transaction. The outcome of the write is
// that of the COMMIT.
func (c *caller) writeInTransaction() {
	if strings.HasSuffix(c.route, "bounded") {
		c.read(c.name)
		return
	}
	defer c.endTransaction()
	if !c.begin("BEGIN") {
		return
	}
	if c.read(c.randomKey()); c.conn == nil {
		return
	}
	c.pause()
	r := c.newWrite()
	code, _, _, err := c.query(r.id, c.writeText(r.value))
	if err != nil || code != "" {
		c.close()
		r.code, r.ended = notCommitted, time.Now()
		c.record(r)
		return
	}
	c.pause()
	c.finish(r)
}

// finish ends the transaction of a write and records the write.
func (c *caller) finish(r request) {
	text := "COMMIT"
	if c.varied && c.random.IntN(5) == 0 {
		text = "ROLLBACK"
	}
	code, _, receipt, err := c.query(c.newRequest("").id, text)
	r.ended, r.code = time.Now(), code
	if err != nil {
		r.code = lostAnswer
	}
	if err != nil || code != "" {
		c.close()
	}
	if text == "ROLLBACK" {
		r.code = notCommitted
	}
	r.serverID, _, _ = strings.Cut(receipt, ":")
	c.record(r)
}

// readInTransaction runs two reads in a transaction.
func (c *caller) readInTransaction() {
	defer c.endTransaction()
	if !c.begin("BEGIN READ") {
		return
	}
	for range 2 {
		if c.read(c.randomKey()); c.conn == nil {
			return
		}
		c.pause()
	}
	if code, _, _, err := c.query(c.newRequest("").id, "COMMIT"); err == nil && code != "" {
		c.close()
	}
}

func (c *caller) read(key string) {
	text := "READ " + key
	if c.varied && c.random.IntN(2) == 0 {
		text = "EXECUTE r " + key
	}
	if r := c.queryAndRecord(c.newRequest(key), text); r.code != "" {
		// A failed transaction takes no further reads. Closing the session ends it.
		c.close()
	}
}

func (c *caller) newRequest(key string) request {
	c.requestCount++
	begun := c.transactionBegun
	if begun.IsZero() {
		begun = time.Now()
	}
	return request{id: c.id(), key: key, route: c.route, vmName: c.vm.Name, begun: begun, transaction: !c.transactionBegun.IsZero(), sessionID: fmt.Sprintf("%s/%d", c.name, c.sessionCount), customer: c.customer, customerKey: c.customerKey}
}

// queryAndRecord runs a query and records its outcome. A read of an item that was written
// returns a number, before any hostile bytes.
func (c *caller) queryAndRecord(r request, text string) request {
	code, rows, receipt, err := c.query(r.id, text)
	r.ended = time.Now()
	r.code = code
	if err != nil {
		r.code = lostAnswer
	}
	if r.code == "" {
		r.serverID, _, _ = strings.Cut(receipt, ":")
		r.value = c.valueOf(r, rows)
	}
	c.record(r)
	return r
}

// valueOf returns the value that a request read or wrote.
func (c *caller) valueOf(r request, rows []string) int {
	if r.write || len(rows) == 1 && (rows[0] == "none" || c.hostile && rows[0] == absentRow) {
		return r.value
	}
	word, _, _ := strings.Cut(strings.Join(rows, "\r\n"), " ")
	n, err := strconv.Atoi(word)
	if err != nil {
		c.report("%s returned %q, want a number", r.id, rows)
	}
	return n
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
	code, _, _, err := c.query(c.id(), "READ "+c.name)
	if err != nil {
		return lostAnswer
	}
	return code
}
