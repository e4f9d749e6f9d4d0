package check_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthsill/check"
	"amaranthsill/customer"
)

// sound returns a configuration without findings, for tests to break.
func sound() *check.Document {
	return &check.Document{
		Version: 7,
		Groups:  []check.Group{{Name: "choir", Connections: 70}},
		Routes: []check.Route{{
			Name: "marks", Database: "marks", Group: "choir", Consistency: "primary", Timeout: 800 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
		}},
		Customers: []check.Customer{
			{Name: "north", Keys: []customer.Digest{customer.DigestOf("n1"), customer.DigestOf("n2")}, Rate: 240, Burst: 240},
			{Name: "south", Keys: []customer.Digest{customer.DigestOf("s1")}, Rate: 2, Burst: 4},
		},
		TransactionIdleTimeout: 3 * time.Second,
	}
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	gomega.NewWithT(t).Expect(check.Examine(sound(), check.Fleet{VMs: 60})).To(gomega.BeEmpty())
}

// Each case guards against a problem that would reach the VMs unnoticed.
func TestExamine(t *testing.T) {
	cases := map[string]struct {
		change   func(*check.Document)
		severity check.Severity
		problem  string
	}{
		"two routes with one database": {func(d *check.Document) {
			d.Routes = append(d.Routes, check.Route{Name: "copy", Database: "marks", Group: "choir"})
		}, check.SeverityError, "route copy: route marks has the same database marks; one of them can never match"},
		"route to a group that does not exist": {func(d *check.Document) {
			d.Routes = append(d.Routes, check.Route{Name: "dues", Database: "dues", Group: "due"})
		}, check.SeverityError, "route dues: its group due does not exist; all of its requests are refused"},
		"group without a route": {func(d *check.Document) {
			d.Groups = append(d.Groups, check.Group{Name: "spare", Connections: 70})
		}, check.SeverityWarning, "group spare: no route uses it"},
		"customer without keys": {
			func(d *check.Document) { d.Customers[1].Keys = nil }, check.SeverityWarning,
			"customer south: it has no keys; nobody can start a session as this customer",
		},
		"key held by two customers": {
			func(d *check.Document) { d.Customers[1].Keys = d.Customers[0].Keys[:1] }, check.SeverityError,
			"customer south: key " + customer.DigestOf("n1").String() + " is also held by north",
		},
		"burst below one operation": {
			func(d *check.Document) { d.Customers[1].Burst = 0.5 }, check.SeverityError,
			"customer south: its burst of 0.5 is below one operation; everything is refused",
		},
		"burst without a rate": {
			func(d *check.Document) { d.Customers[1].Rate = 0 }, check.SeverityWarning,
			"customer south: its burst of 4 has no effect without a rate",
		},
		"objective above the timeout": {
			func(d *check.Document) { d.Routes[0].LatencyObjective = time.Second }, check.SeverityWarning,
			"route marks: its latency objective of 1s is above its timeout of 800ms",
		},
		"idle timeout below a statement's": {
			func(d *check.Document) { d.TransactionIdleTimeout = 100 * time.Millisecond }, check.SeverityWarning,
			"route marks: transactions may be idle for 100ms, less than its timeout of 800ms for one statement",
		},
		"staleness below the usual lag": {
			func(d *check.Document) { d.Routes[0].MaxStaleness = 50 * time.Millisecond }, check.SeverityWarning,
			"route marks: reads may be 50ms old, less than replicas usually lag; most of them go to the leader",
		},
		"fewer connections than VMs": {
			func(d *check.Document) { d.Groups[0].Connections = 40 }, check.SeverityWarning,
			"group choir: each target allows 40 connections, fewer than one for each of 60 VMs; most VMs reach it through others",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := sound()
			c.change(d)
			findings := check.Examine(d, check.Fleet{VMs: 60})
			g.Expect(findings).To(gomega.HaveLen(1))
			g.Expect(findings[0].Severity).To(gomega.Equal(c.severity))
			g.Expect(findings[0].Entry + ": " + findings[0].Problem).To(gomega.Equal(c.problem))
		})
	}
}

// Each case guards against a change whose effect on callers is not told, or told wrongly.
func TestCompare(t *testing.T) {
	cases := map[string]struct {
		change func(*check.Document)
		want   []check.Change
	}{
		"nothing but the version": {func(*check.Document) {}, nil},
		"customers added": {func(d *check.Document) {
			d.Customers = append(d.Customers, check.Customer{Name: "east"}, check.Customer{Name: "west"})
		}, []check.Change{{check.RiskNone, "2 customers added: east, west"}}},
		"key revoked": {
			func(d *check.Document) { d.Customers[0].Keys = d.Customers[0].Keys[:1] },
			[]check.Change{{check.RiskDanger, "customer north: 1 key revoked (" + customer.DigestOf("n2").String() + "): sessions that were started with it close"}},
		},
		"limit lowered": {
			func(d *check.Document) { d.Customers[0].Rate = 60 },
			[]check.Change{{check.RiskDanger, "customer north: its limit is 60 a second instead of 240 a second"}},
		},
		"limit removed": {
			func(d *check.Document) { d.Customers[0].Rate = 0 },
			[]check.Change{{check.RiskNotice, "customer north: its limit is none instead of 240 a second"}},
		},
		"route removed": {
			func(d *check.Document) { d.Routes = nil },
			[]check.Change{{check.RiskDanger, "1 route removed: marks; their callers are refused from the next transaction on"}},
		},
		"no customers left": {func(d *check.Document) { d.Customers = nil }, []check.Change{
			{check.RiskDanger, "nobody needs a key any more, and nothing is limited"},
			{check.RiskDanger, "2 customers removed: north, south; their sessions close"},
		}},
		"version not higher": {
			func(d *check.Document) { d.Version = 7 },
			[]check.Change{{check.RiskDanger, "version 7 is not above version 7, which is in force; no VM takes it"}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := sound()
			next.Version = 8
			c.change(next)
			gomega.NewWithT(t).Expect(check.Compare(sound(), next)).To(gomega.Equal(c.want))
		})
	}
}

// The golden files guard the output on which operators' scripts rely.
func TestReportMatchesGoldenFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	next := sound()
	next.Customers[0].Keys = next.Customers[0].Keys[:1]
	next.Groups = append(next.Groups, check.Group{Place: check.Place{Line: 3, Column: 5}, Name: "spare", Connections: 70})
	r := check.NewReport("next.json", next)
	r.Findings = check.Examine(next, check.Fleet{})
	r.Changes = check.Compare(sound(), next)
	text := &bytes.Buffer{}
	g.Expect(r.WriteText(text)).To(gomega.Succeed())
	golden, err := os.ReadFile("testdata/report.txt")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text.String()).To(gomega.Equal(string(golden)))
	encoded := &bytes.Buffer{}
	g.Expect(r.WriteJSON(encoded)).To(gomega.Succeed())
	read := check.Report{}
	g.Expect(json.Unmarshal(encoded.Bytes(), &read)).To(gomega.Succeed())
	g.Expect(read).To(gomega.Equal(r))
	g.Expect(strings.Contains(text.String()+encoded.String(), "n2\"")).To(gomega.BeFalse(), "a key is printed")
}

func TestStrictRefusesWarningsAndDangerousChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	warned := check.Report{Findings: []check.Finding{{Severity: check.SeverityWarning}}}
	g.Expect(warned.Refuses(false)).To(gomega.BeFalse())
	g.Expect(warned.Refuses(true)).To(gomega.BeTrue())
	g.Expect(check.Report{Changes: []check.Change{{Risk: check.RiskDanger}}}.Refuses(true)).To(gomega.BeTrue())
	g.Expect(check.Report{Changes: []check.Change{{Risk: check.RiskNotice}}}.Refuses(true)).To(gomega.BeFalse())
	g.Expect(check.Report{Findings: []check.Finding{{Severity: check.SeverityError}}}.Refuses(false)).To(gomega.BeTrue())
}

// large returns a configuration of 10,000 customers with 30,000 keys and 2,000 groups.
func large() *check.Document {
	d := &check.Document{Version: 1}
	for i := range 2000 {
		name := fmt.Sprintf("g%d", i)
		d.Groups = append(d.Groups, check.Group{Name: name, Connections: 70})
		d.Routes = append(d.Routes, check.Route{Name: name, Database: name, Group: name})
	}
	for i := range 10000 {
		c := check.Customer{Name: fmt.Sprintf("c%d", i), Rate: 10, Burst: 10}
		for k := range 3 {
			c.Keys = append(c.Keys, customer.DigestOf(fmt.Sprintf("%d/%d", i, k)))
		}
		d.Customers = append(d.Customers, c)
	}
	return d
}

func BenchmarkExamineAndCompare(b *testing.B) {
	inForce, next := large(), large()
	for b.Loop() {
		check.Examine(next, check.Fleet{})
		check.Compare(inForce, next)
	}
}

// Guards against a name in a configuration that adds findings to a report, or hides them.
func TestReportHasOneLineForEachFinding(t *testing.T) {
	r := check.Report{File: "f", Findings: []check.Finding{{Entry: "route a\nf: good", Problem: "b\r\x1b[2K"}}, Changes: []check.Change{{Text: "c\nd"}}}
	text := &strings.Builder{}
	if err := r.WriteText(text); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(text.String(), "\n"); lines != 3 || strings.ContainsAny(text.String(), "\r\x1b") {
		t.Errorf("printed %d lines, want 3: %q", lines, text)
	}
}
