package soak

import (
	"slices"
	"strings"

	"amaranthsill/internal/site"
)

// maxDetails bounds how many violations of one kind are described.
const maxDetails = 5

// checkStatements checks that each read, write and commit that succeeded was answered with
// the receipt and rows of that very statement, and that the servers ran only what callers
// sent, each statement in its own transaction.
func (r *Run) checkStatements() {
	r.lock.Lock()
	statements := slices.Clone(r.statements)
	r.lock.Unlock()
	c := &statementChecker{
		Run: r, sent: map[string]statement{}, servers: map[string]*site.Server{},
		executions: map[string]map[string][]site.Execution{}, counts: map[string]int{},
	}
	for _, q := range statements {
		c.sent[q.id] = q
	}
	for _, g := range r.groups {
		for _, s := range r.site.Servers(g) {
			c.servers[s.ID], c.executions[s.ID] = s, s.Executions()
			c.checkExecutions(s)
		}
	}
	checked := 0
	for _, q := range statements {
		c.checkBusy(q)
		if q.code == "" && runsOnServer(q.text) {
			checked++
			c.checkAnswer(q)
		}
	}
	c.checkTransactions(statements)
	r.Logf("seed %d: %d answers were sent twice; of %d reads, writes and commits that succeeded and %d that ran: %v", r.Seed, r.repeats(), checked, c.counts[ran], c.counts)
}

// Kinds of violations, by which they are counted, and the count of all statements that ran.
const (
	ran            = "ran"
	ranBusy        = "ran and was answered BUSY"
	unasked        = "nobody sent it"
	changedText    = "ran with changed text"
	otherReceipt   = "answered with another request's receipt"
	otherSettings  = "answered with a receipt for other settings"
	otherAnswer    = "answered with other rows or a receipt for another text"
	otherPlacement = "ran outside its transaction"
)

// statementChecker compares what callers sent and were answered with what servers ran.
type statementChecker struct {
	*Run
	sent    map[string]statement
	servers map[string]*site.Server
	// executions holds what each server ran, by its ID.
	executions map[string]map[string][]site.Execution
	counts     map[string]int
}

// violate counts a violation of one kind, and reports it unless there were many.
func (c *statementChecker) violate(kind, format string, args ...any) {
	c.counts[kind]++
	if c.counts[kind] <= maxDetails {
		c.reportViolation(kind+": "+format, args...)
	}
}

// runsOnServer reports whether only a server can answer a statement with success.
func runsOnServer(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	return slices.Contains([]string{"READ", "WRITE", "COMMIT"}, word) || strings.HasPrefix(text, "EXECUTE\r\n")
}

// checkExecutions checks that a server ran only statements that callers sent, unchanged.
func (c *statementChecker) checkExecutions(s *site.Server) {
	for id, runs := range c.executions[s.ID] {
		q, known := c.sent[id]
		for _, e := range runs {
			c.counts[ran]++
			switch {
			case !known:
				c.violate(unasked, "%s ran %q for %s", s.ID, e.Text, id)
			case e.Text != q.text:
				c.violate(changedText, "%s ran %q for %s, sent %q", s.ID, e.Text, id, q.text)
			}
		}
	}
}

// checkBusy checks that no server ran a statement that was answered with BUSY.
func (c *statementChecker) checkBusy(q statement) {
	if q.code != "BUSY" {
		return
	}
	for _, s := range c.servers {
		if s.Runs(q.id) > 0 {
			c.violate(ranBusy, "%s %q ran on %s", q.id, q.text, s.ID)
		}
	}
}

// checkAnswer checks that a statement that succeeded was answered with its own receipt and
// rows.
func (c *statementChecker) checkAnswer(q statement) {
	fields := strings.SplitN(q.receipt, ":", 4)
	s := c.servers[fields[0]]
	want := ""
	if s != nil {
		want = s.Receipt(q.id, q.text, q.settings, q.rows)
	}
	kind := otherAnswer
	switch {
	case s != nil && q.receipt == want:
		return
	case len(fields) < 4 || fields[1] != q.id:
		kind = otherReceipt
	case !strings.HasSuffix(want, ":"+fields[3]):
		kind = otherSettings
	}
	c.violate(kind, "%s %q with rows %q got %q, want %q", q.id, q.text, q.rows, q.receipt, want)
}

// checkTransactions checks that statements that succeeded ran in one transaction of their
// server exactly if their caller had opened one.
func (c *statementChecker) checkTransactions(statements []statement) {
	type place struct {
		server string
		number int
	}
	callers, places := map[place]string{}, map[string]place{}
	for _, q := range statements {
		id, _, _ := strings.Cut(q.receipt, ":")
		runs := c.executions[id][q.id]
		if q.code != "" || !runsOnServer(q.text) || len(runs) == 0 {
			continue
		}
		p := place{id, runs[len(runs)-1].Transaction}
		if (p.number == 0) != (q.transaction == "") {
			c.violate(otherPlacement, "%s %q of transaction %q ran in %v", q.id, q.text, q.transaction, p)
		}
		if q.transaction == "" {
			continue
		}
		if first, ok := places[q.transaction]; ok && first != p {
			c.violate(otherPlacement, "%s %q of transaction %q ran in %v, the first in %v", q.id, q.text, q.transaction, p, first)
		}
		if other, ok := callers[p]; ok && other != q.transaction {
			c.violate(otherPlacement, "%s %q of transaction %q ran in %v, as did %q", q.id, q.text, q.transaction, p, other)
		}
		callers[p], places[q.transaction] = q.transaction, p
	}
}
