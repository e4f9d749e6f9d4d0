package check

import (
	"fmt"
	"slices"

	"amaranthsill/customer"
)

// Risk is what a change may cost callers.
type Risk string

// The risks of changes.
const (
	// RiskNone means that no caller notices.
	RiskNone Risk = "none"
	// RiskNotice means that some callers are served differently.
	RiskNotice Risk = "notice"
	// RiskDanger means that callers lose sessions or are refused.
	RiskDanger Risk = "danger"
)

// Change is one difference from the version in force.
type Change struct {
	Risk Risk `json:"risk"`
	// Text says what changes and what follows, in the operators' words.
	Text string `json:"change"`
}

// comparer collects changes.
type comparer struct {
	changes []Change
}

func (c *comparer) add(r Risk, text string, args ...any) {
	c.changes = append(c.changes, Change{Risk: r, Text: fmt.Sprintf(text, args...)})
}

// Compare returns what differs between the configuration in force and the next one.
func Compare(inForce, next *Document) []Change {
	c := &comparer{}
	if inForce.Version != 0 && next.Version <= inForce.Version {
		c.add(RiskDanger, "version %d is not above version %d, which is in force; no VM takes it", next.Version, inForce.Version)
	}
	c.compareGroups(byName(inForce.Groups, Group.name), byName(next.Groups, Group.name))
	c.compareRoutes(byName(inForce.Routes, Route.name), byName(next.Routes, Route.name))
	c.compareCustomers(byName(inForce.Customers, Customer.name), byName(next.Customers, Customer.name))
	if inForce.TransactionIdleTimeout != next.TransactionIdleTimeout {
		c.add(lowering(next.TransactionIdleTimeout < inForce.TransactionIdleTimeout), "transactions may be idle for %v instead of %v", next.TransactionIdleTimeout, inForce.TransactionIdleTimeout)
	}
	return c.changes
}

func (g Group) name() string    { return g.Name }
func (r Route) name() string    { return r.Name }
func (c Customer) name() string { return c.Name }

// named holds entries by name, with the names in the order of the file.
type named[T any] struct {
	names   []string
	entries map[string]T
}

func byName[T any](entries []T, name func(T) string) named[T] {
	n := named[T]{entries: make(map[string]T, len(entries))}
	for _, e := range entries {
		if _, ok := n.entries[name(e)]; !ok {
			n.names = append(n.names, name(e))
		}
		n.entries[name(e)] = e
	}
	return n
}

// missingFrom returns the names that another set lacks.
func (n named[T]) missingFrom(o named[T]) []string {
	missing := []string{}
	for _, name := range n.names {
		if _, ok := o.entries[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

// lowering returns the risk of a limit that changes.
func lowering(lower bool) Risk {
	if lower {
		return RiskDanger
	}
	return RiskNotice
}

func (c *comparer) compareGroups(before, after named[Group]) {
	if added := after.missingFrom(before); len(added) > 0 {
		c.add(RiskNone, "%s added: %s", plural(len(added), "group"), list(added))
	}
	if removed := before.missingFrom(after); len(removed) > 0 {
		c.add(RiskDanger, "%s removed: %s; their routes are refused", plural(len(removed), "group"), list(removed))
	}
	for _, name := range after.names {
		old, ok := before.entries[name]
		if now := after.entries[name]; ok && old.Connections != now.Connections {
			c.add(lowering(now.Connections < old.Connections), "group %s: each target allows %d connections instead of %d", name, now.Connections, old.Connections)
		}
	}
}

func (c *comparer) compareRoutes(before, after named[Route]) {
	if added := after.missingFrom(before); len(added) > 0 {
		c.add(RiskNone, "%s added: %s", plural(len(added), "route"), list(added))
	}
	if removed := before.missingFrom(after); len(removed) > 0 {
		c.add(RiskDanger, "%s removed: %s; their callers are refused from the next transaction on", plural(len(removed), "route"), list(removed))
	}
	for _, name := range after.names {
		if old, ok := before.entries[name]; ok {
			c.compareRoute(name, old, after.entries[name])
		}
	}
}

func (c *comparer) compareRoute(name string, old, now Route) {
	if old.Database != now.Database {
		c.add(RiskDanger, "route %s: callers name database %s instead of %s", name, now.Database, old.Database)
	}
	if old.Group != now.Group {
		c.add(RiskDanger, "route %s: group %s serves it instead of %s; sessions do not see there what they wrote", name, now.Group, old.Group)
	}
	if old.Consistency != now.Consistency {
		c.add(RiskDanger, "route %s: its reads are %s instead of %s", name, now.Consistency, old.Consistency)
	}
	if old.MaxStaleness != now.MaxStaleness {
		c.add(RiskNotice, "route %s: reads may be %v old instead of %v", name, now.MaxStaleness, old.MaxStaleness)
	}
	if old.Timeout != now.Timeout {
		c.add(lowering(now.Timeout < old.Timeout), "route %s: a statement may take %v instead of %v", name, now.Timeout, old.Timeout)
	}
	if old.LatencyObjective != now.LatencyObjective {
		c.add(RiskNotice, "route %s: its latency objective is %v instead of %v", name, now.LatencyObjective, old.LatencyObjective)
	}
	if old.Priority != now.Priority {
		c.add(RiskNotice, "route %s: its priority is %d instead of %d", name, now.Priority, old.Priority)
	}
	if old.Public != now.Public {
		c.add(RiskDanger, "route %s: %s", name, map[bool]string{true: "callers need no key any more", false: "callers need a key"}[now.Public])
	}
}

func (c *comparer) compareCustomers(before, after named[Customer]) {
	if len(before.names) == 0 && len(after.names) > 0 {
		c.add(RiskDanger, "callers of all routes that are not public need a key from now on")
	}
	if len(before.names) > 0 && len(after.names) == 0 {
		c.add(RiskDanger, "nobody needs a key any more, and nothing is limited")
	}
	if added := after.missingFrom(before); len(added) > 0 {
		c.add(RiskNone, "%s added: %s", plural(len(added), "customer"), list(added))
	}
	if removed := before.missingFrom(after); len(removed) > 0 {
		c.add(RiskDanger, "%s removed: %s; their sessions close", plural(len(removed), "customer"), list(removed))
	}
	for _, name := range after.names {
		if old, ok := before.entries[name]; ok {
			c.compareCustomer(name, old, after.entries[name])
		}
	}
}

func (c *comparer) compareCustomer(name string, old, now Customer) {
	if added := len(digestsMissing(now.Keys, old.Keys)); added > 0 {
		c.add(RiskNone, "customer %s: %s added", name, plural(added, "key"))
	}
	if revoked := digestsMissing(old.Keys, now.Keys); len(revoked) > 0 {
		c.add(RiskDanger, "customer %s: %s revoked (%s): sessions that were started with it close", name, plural(len(revoked), "key"), list(revoked))
	}
	if old.Rate != now.Rate {
		// A rate of zero means no limit.
		lower := now.Rate > 0 && (old.Rate == 0 || now.Rate < old.Rate)
		c.add(lowering(lower), "customer %s: its limit is %s instead of %s", name, rate(now.Rate), rate(old.Rate))
	}
	if old.Burst != now.Burst {
		c.add(lowering(now.Burst < old.Burst), "customer %s: its burst is %g instead of %g", name, now.Burst, old.Burst)
	}
	if old.Priority != now.Priority {
		c.add(RiskNotice, "customer %s: its priority is %d instead of %d", name, now.Priority, old.Priority)
	}
}

func rate(r float64) string {
	if r == 0 {
		return "none"
	}
	return fmt.Sprintf("%g a second", r)
}

// digestsMissing returns the digests of a list that another one lacks, as text.
func digestsMissing(digests, from []customer.Digest) []string {
	missing := []string{}
	for _, d := range digests {
		if !slices.Contains(from, d) {
			missing = append(missing, d.String())
		}
	}
	return missing
}
