package site

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
)

// ReadLine returns the next line of the line protocol without the CR LF that ends it. A
// lone CR or LF is part of the line.
func ReadLine(r *bufio.Reader) (string, error) {
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("read line: %w", err)
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// cutAfter returns the position in the AFTER clause of a query, if there is one, and the
// text of the statement.
func cutAfter(text string) (position, statement string) {
	rest, ok := strings.CutPrefix(text, "AFTER ")
	if !ok {
		return "", text
	}
	position, statement, _ = strings.Cut(rest, " ")
	return position, statement
}

// Plan is what a prepared statement runs.
type Plan struct {
	// Access is READ or WRITE.
	Access string
	// Shape is opaque.
	Shape string
}

// Text returns the text of an EXECUTE of the plan, with the plan in place of the
// statement's name, which the system may change. It differs for any two plans and
// arguments, since none of them contains CR LF.
func (p Plan) Text(arguments string) string {
	return strings.Join([]string{"EXECUTE", p.Access, p.Shape, arguments}, "\r\n")
}

// Execution is one run of a statement on a server.
type Execution struct {
	// Text is the statement; that of an EXECUTE is as Plan.Text returns it.
	Text string
	// Transaction is the number of the transaction in which the statement ran; zero
	// outside any.
	Transaction int
}

// Executions returns the reads, writes and commits that ran on the server, in order, by
// their request's ID.
func (s *Server) Executions() map[string][]Execution {
	s.lock.Lock()
	defer s.lock.Unlock()
	return maps.Clone(s.executed)
}

// Receipt returns the server's receipt for a statement that ran with some session settings
// and returned rows: "ID:REQUEST:MAC:NAME=VALUE,...". ID is the server's; values are
// escaped as in URLs. Receipts for two requests are never alike.
func (s *Server) Receipt(id, text string, settings map[string]string, rows []string) string {
	values := []string{}
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		values = append(values, name+"="+url.QueryEscape(settings[name]))
	}
	list := strings.Join(values, ",")
	m := hmac.New(sha256.New, []byte(s.ID))
	for _, f := range append([]string{id, text, list}, rows...) {
		_, _ = m.Write([]byte(f + "\r\n"))
	}
	return fmt.Sprintf("%s:%s:%x:%s", s.ID, id, m.Sum(nil)[:8], list)
}
