package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"amaranthsill/customer"
)

// minStaleness is the staleness below which replicas rarely qualify: replication lag
// is usually 10 to 100 ms.
const minStaleness = 100 * time.Millisecond

// Severity tells whether a finding forbids the configuration.
type Severity string

// The severities of findings.
const (
	SeverityWarning Severity = "warning"
	SeverityError   Severity = "error"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    Place    `json:"place"`
	// Entry names the entry, such as "route r-4".
	Entry string `json:"entry"`
	// Problem says what is wrong and what follows.
	Problem string `json:"problem"`
}

// Fleet is what is known of the VMs that will serve the configuration.
type Fleet struct {
	// VMs is their number; zero if it is not known.
	VMs int
}

// examiner collects findings.
type examiner struct {
	*Document
	findings []Finding
}

func (e *examiner) add(s Severity, p Place, entry, problem string, args ...any) {
	e.findings = append(e.findings, Finding{Severity: s, Place: p, Entry: entry, Problem: fmt.Sprintf(problem, args...)})
}

// Examine returns the problems of a configuration, in the order of the file.
func Examine(d *Document, f Fleet) []Finding {
	e := &examiner{Document: d}
	e.examineGroups(f)
	e.examineRoutes()
	e.examineCustomers()
	slices.SortStableFunc(e.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Place.Line, b.Place.Line), cmp.Compare(a.Place.Column, b.Place.Column))
	})
	return e.findings
}

func (e *examiner) examineGroups(f Fleet) {
	used := map[string]bool{}
	for _, r := range e.Routes {
		used[r.Group] = true
	}
	// The kinds of a manifest name no group; callers name it when they connect.
	routed := len(used) > 1 || len(used) == 1 && !used[""]
	seen := map[string]bool{}
	for _, g := range e.Groups {
		entry := "group " + g.Name
		if seen[g.Name] {
			e.add(SeverityError, g.Place, entry, "it is given twice; only the last one counts")
		}
		seen[g.Name] = true
		if routed && !used[g.Name] {
			e.add(SeverityWarning, g.Place, entry, "no route uses it")
		}
		if g.Connections > 0 && g.Connections < f.VMs {
			e.add(SeverityWarning, g.Place, entry, "each target allows %d connections, fewer than one for each of %d VMs; most VMs reach it through others", g.Connections, f.VMs)
		}
		if g.Connections == 0 {
			e.add(SeverityError, g.Place, entry, "its targets allow no connections")
		}
	}
}

func (e *examiner) examineRoutes() {
	groups := map[string]bool{}
	for _, g := range e.Groups {
		groups[g.Name] = true
	}
	databases := map[string]string{}
	for _, r := range e.Routes {
		entry := "route " + r.Name
		if first, ok := databases[r.Database]; ok && r.Database != "" {
			e.add(SeverityError, r.Place, entry, "route %s has the same database %s; one of them can never match", first, r.Database)
		}
		databases[r.Database] = r.Name
		if r.Group != "" && !groups[r.Group] {
			e.add(SeverityError, r.Place, entry, "its group %s does not exist; all of its requests are refused", r.Group)
		}
		e.examineTimes(r, entry)
	}
}

func (e *examiner) examineTimes(r Route, entry string) {
	if r.LatencyObjective > r.Timeout && r.Timeout > 0 {
		e.add(SeverityWarning, r.Place, entry, "its latency objective of %v is above its timeout of %v", r.LatencyObjective, r.Timeout)
	}
	if e.TransactionIdleTimeout > 0 && e.TransactionIdleTimeout < r.Timeout {
		e.add(SeverityWarning, r.Place, entry, "transactions may be idle for %v, less than its timeout of %v for one statement", e.TransactionIdleTimeout, r.Timeout)
	}
	if r.MaxStaleness > 0 && r.MaxStaleness < minStaleness {
		e.add(SeverityWarning, r.Place, entry, "reads may be %v old, less than replicas usually lag; most of them go to the leader", r.MaxStaleness)
	}
}

func (e *examiner) examineCustomers() {
	names := map[string]bool{}
	holders := map[customer.Digest]string{}
	for _, c := range e.Customers {
		entry := "customer " + c.Name
		if names[c.Name] {
			e.add(SeverityError, c.Place, entry, "it is given twice")
		}
		names[c.Name] = true
		if len(c.Keys) == 0 {
			e.add(SeverityWarning, c.Place, entry, "it has no keys; nobody can start a session as this customer")
		}
		for _, k := range c.Keys {
			if holder, ok := holders[k]; ok {
				e.add(SeverityError, c.Place, entry, "key %s is also held by %s", k, holder)
			}
			holders[k] = c.Name
		}
		e.examineLimit(c, entry)
	}
}

func (e *examiner) examineLimit(c Customer, entry string) {
	switch {
	case c.Rate < 0 || c.Burst < 0:
		e.add(SeverityError, c.Place, entry, "its limit is negative")
	case c.Rate == 0 && c.Burst > 0:
		e.add(SeverityWarning, c.Place, entry, "its burst of %g has no effect without a rate", c.Burst)
	case c.Rate > 0 && c.Burst < 1:
		e.add(SeverityError, c.Place, entry, "its burst of %g is below one operation; everything is refused", c.Burst)
	}
}

// Errors returns the number of findings that forbid the configuration.
func Errors(findings []Finding) int {
	count := 0
	for _, f := range findings {
		if f.Severity == SeverityError {
			count++
		}
	}
	return count
}

// plural returns "1 key" or "3 keys".
func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

// list returns the first names of a list as text.
func list(names []string) string {
	const shown = 5
	if len(names) > shown {
		return strings.Join(names[:shown], ", ") + fmt.Sprintf(" and %d more", len(names)-shown)
	}
	return strings.Join(names, ", ")
}
