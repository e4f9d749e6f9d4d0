package burn

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"amaranthsill/manifest"
)

// windows are the lengths over which a report looks back.
var windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Report is what the objectives have cost.
type Report struct {
	At      time.Time
	Rows    []Row
	Missing []string
}

// Row is one group and kind.
type Row struct {
	Group     string
	Kind      string
	Objective float64
	Windows   []Window
}

// Window is what was spent over a stretch of time.
type Window struct {
	Length time.Duration
	// Covered is how much of the length the snapshots cover; zero means that
	// nothing is known.
	Covered time.Duration
	Total   float64
	Refused float64
	Unknown float64
	Late    float64
}

// Bad returns the requests that spent the budget. A request that was refused
// or unknown and late as well counts twice; a late one was slow at least.
func (w Window) Bad() float64 { return w.Refused + w.Unknown + w.Late }

// Burn returns how fast the budget is spent: 1 spends exactly the budget, 10
// spends it ten times too fast. It is zero without requests.
func (w Window) Burn(objective float64) float64 {
	if w.Total == 0 {
		return 0
	}
	return w.Bad() / w.Total / (1 - objective)
}

// Compare reports on the newest snapshot against the older ones, oldest
// first. Missing are the VMs that did not answer.
func Compare(m *manifest.Manifest, snapshots []Snapshot, missing map[string]error) Report {
	r := Report{}
	for _, vm := range slices.Sorted(maps.Keys(missing)) {
		r.Missing = append(r.Missing, fmt.Sprintf("%s: %v", vm, missing[vm]))
	}
	if len(snapshots) == 0 {
		return r
	}
	last := snapshots[len(snapshots)-1]
	r.At = last.At
	for _, p := range last.pairs() {
		row := Row{Group: p.group, Kind: p.kind, Objective: objective(m, p.kind)}
		for _, length := range windows {
			row.Windows = append(row.Windows, compareWindow(snapshots, p, length))
		}
		r.Rows = append(r.Rows, row)
	}
	return r
}

func objective(m *manifest.Manifest, kind string) float64 {
	if m == nil {
		return manifest.DefaultObjective
	}
	k, ok := m.Kind(kind)
	if !ok {
		return manifest.DefaultObjective
	}
	return k.Objective()
}

// pair is a group and a kind.
type pair struct{ group, kind string }

func (s Snapshot) pairs() []pair {
	seen := map[pair]bool{}
	for _, c := range s.Counts {
		seen[pair{group: c.Group, kind: c.Kind}] = true
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.kind, b.kind))
	})
}

// compareWindow adds up what came to the counters from one snapshot to the
// next. A counter that fell was that of a VM that started anew.
func compareWindow(snapshots []Snapshot, p pair, length time.Duration) Window {
	w := Window{Length: length}
	last := snapshots[len(snapshots)-1].At
	for i := len(snapshots) - 1; i > 0; i-- {
		if last.Sub(snapshots[i-1].At) > length {
			break
		}
		w.Covered = last.Sub(snapshots[i-1].At)
		w.add(snapshots[i-1], snapshots[i], p)
	}
	return w
}

func (w *Window) add(from, to Snapshot, p pair) {
	before := map[Key]float64{}
	for _, c := range from.Counts {
		before[c.Key] = c.Value
	}
	for _, c := range to.Counts {
		if c.Group != p.group || c.Kind != p.kind {
			continue
		}
		came := c.Value - before[c.Key]
		if came < 0 {
			came = c.Value
		}
		w.count(c.Ending, came)
	}
}

func (w *Window) count(ending string, n float64) {
	switch ending {
	case "refused":
		w.Refused += n
		w.Total += n
	case "unknown":
		w.Unknown += n
		w.Total += n
	case EndingLate:
		w.Late += n
	default:
		w.Total += n
	}
}

// Text writes the report for a terminal.
func (r Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tKIND\tOBJECTIVE\tWINDOW\tCOVERED\tREQUESTS\tBURN\tREFUSED\tUNKNOWN\tLATE")
	for _, row := range r.Rows {
		for _, n := range row.Windows {
			fmt.Fprintln(w, strings.Join(n.cells(row), "\t"))
		}
	}
	for _, m := range r.Missing {
		fmt.Fprintf(w, "missing: %s\n", m)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (w Window) cells(row Row) []string {
	kind := row.Kind
	if kind == "" {
		kind = "(none)"
	}
	head := []string{row.Group, kind, fmt.Sprintf("%.4g%%", row.Objective*100), short(w.Length)}
	if w.Covered == 0 {
		return append(head, "missing", "-", "-", "-", "-", "-")
	}
	return append(head, short(w.Covered), fmt.Sprintf("%.0f", w.Total), fmt.Sprintf("%.2f", w.Burn(row.Objective)),
		fmt.Sprintf("%.0f", w.Refused), fmt.Sprintf("%.0f", w.Unknown), fmt.Sprintf("%.0f", w.Late))
}

// short writes a duration without its zero parts.
func short(d time.Duration) string {
	s := d.Round(time.Second).String()
	s = strings.TrimSuffix(s, "0s")
	if s == "" {
		return "0s"
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	if last := s[len(s)-1]; last >= '0' && last <= '9' {
		s += "0s"
	}
	return s
}
