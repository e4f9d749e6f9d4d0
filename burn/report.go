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

	"amaranthsill/logline"
	"amaranthsill/manifest"
)

// windowLengths are the lengths of the windows of a report. Each window ends
// with the newest snapshot.
var windowLengths = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Report holds the burn rates of all groups and kinds.
type Report struct {
	// At is the time of the newest snapshot.
	At time.Time
	// Rows are sorted by group and kind.
	Rows []Row
	// Missing has a line for each VM that did not answer: its address and the
	// reason.
	Missing []string
}

// Row holds the burn rates of one group and kind.
type Row struct {
	Group string
	// Kind is empty for requests without a kind.
	Kind string
	// Objective is the fraction of requests that have to succeed in time.
	Objective float64
	// Windows are sorted by length, shortest first.
	Windows []Window
}

// Window counts the requests of one group and kind over a period of time.
type Window struct {
	// Length is the nominal length of the window.
	Length time.Duration
	// Covered is the time between the oldest and the newest snapshot within the
	// window; zero means that there is only one, so the counts are not known.
	Covered time.Duration
	// Total is the number of all requests.
	Total float64
	// Refused is the number of requests that were refused as not run.
	Refused float64
	// Unknown is the number of requests whose outcome is not known.
	Unknown float64
	// Late is the number of requests that took more than half of their kind's
	// timeout, whatever their outcome.
	Late float64
}

// Bad returns the number of requests that count against the error budget. A
// request that is late and also refused or unknown is counted twice, so the
// number is an upper bound.
func (w Window) Bad() float64 { return w.Refused + w.Unknown + w.Late }

// BurnRate returns the rate at which the error budget is spent, as a multiple
// of the rate that the objective allows: at 1 the budget is used up exactly, at
// 10 ten times too fast. It is zero if there were no requests.
func (w Window) BurnRate(objective float64) float64 {
	if w.Total == 0 {
		return 0
	}
	return w.Bad() / w.Total / (1 - objective)
}

// Compare builds the report from the increases of the counters up to the newest
// snapshot, in windows of several lengths. Snapshots are sorted oldest first.
// Objectives come from the manifest, which may be nil; missing has the error of
// each VM that did not answer, by address.
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
	for _, p := range last.groupsAndKinds() {
		row := Row{Group: p.group, Kind: p.kind, Objective: objectiveOf(m, p.kind)}
		for _, length := range windowLengths {
			row.Windows = append(row.Windows, sumWindow(snapshots, p, length))
		}
		r.Rows = append(r.Rows, row)
	}
	return r
}

// objectiveOf returns the objective of a kind in the manifest, or the default
// one if there is no manifest or the manifest does not have the kind.
func objectiveOf(m *manifest.Manifest, kind string) float64 {
	if m == nil {
		return manifest.DefaultSuccessObjective
	}
	k, ok := m.Kind(kind)
	if !ok {
		return manifest.DefaultSuccessObjective
	}
	return k.SuccessObjective()
}

// groupAndKind is the name of a group and a kind of request. The pair
// identifies a row of the report.
type groupAndKind struct{ group, kind string }

// groupsAndKinds returns the pairs of group and kind that the snapshot has
// counts of, sorted by group and then by kind.
func (s Snapshot) groupsAndKinds() []groupAndKind {
	seen := map[groupAndKind]bool{}
	for _, c := range s.Counts {
		seen[groupAndKind{group: c.Group, kind: c.Kind}] = true
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b groupAndKind) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.kind, b.kind))
	})
}

// sumWindow sums the increases of a pair's counters between successive
// snapshots, over all snapshots that are at most length older than the newest.
func sumWindow(snapshots []Snapshot, pair groupAndKind, length time.Duration) Window {
	w := Window{Length: length}
	last := snapshots[len(snapshots)-1].At
	for i := len(snapshots) - 1; i > 0; i-- {
		if last.Sub(snapshots[i-1].At) > length {
			break
		}
		w.Covered = last.Sub(snapshots[i-1].At)
		w.addIncreases(snapshots[i-1], snapshots[i], pair)
	}
	return w
}

// addIncreases adds the increase of each counter of a group and kind between
// two successive snapshots. A counter that decreased was reset by a restart of
// its VM, so all of its new value is an increase.
func (w *Window) addIncreases(from, to Snapshot, pair groupAndKind) {
	previous := map[Key]float64{}
	for _, c := range from.Counts {
		previous[c.Key] = c.Value
	}
	for _, c := range to.Counts {
		if c.Group != pair.group || c.Kind != pair.kind {
			continue
		}
		increase := c.Value - previous[c.Key]
		if increase < 0 {
			increase = c.Value
		}
		w.addRequests(c.Ending, increase)
	}
}

// addRequests adds n requests with the given ending. Late requests are not
// added to the total, since they are also counted under their own ending.
func (w *Window) addRequests(ending string, n float64) {
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

// Text writes the report to out as a table for a terminal.
func (r Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tKIND\tOBJECTIVE\tWINDOW\tCOVERED\tREQUESTS\tBURN\tREFUSED\tUNKNOWN\tLATE")
	for _, row := range r.Rows {
		for _, n := range row.Windows {
			fmt.Fprintln(w, strings.Join(n.cells(row), "\t"))
		}
	}
	for _, m := range r.Missing {
		fmt.Fprintf(w, "missing: %s\n", logline.Printable(m))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// cells returns the window as cells of a table row, after the cells of the row
// it belongs to.
func (w Window) cells(row Row) []string {
	kind := row.Kind
	if kind == "" {
		kind = "(none)"
	}
	head := []string{logline.Printable(row.Group), logline.Printable(kind), fmt.Sprintf("%.4g%%", row.Objective*100), formatDuration(w.Length)}
	if w.Covered == 0 {
		return append(head, "missing", "-", "-", "-", "-", "-")
	}
	return append(head, formatDuration(w.Covered), fmt.Sprintf("%.0f", w.Total), fmt.Sprintf("%.2f", w.BurnRate(row.Objective)),
		fmt.Sprintf("%.0f", w.Refused), fmt.Sprintf("%.0f", w.Unknown), fmt.Sprintf("%.0f", w.Late))
}

// formatDuration formats a duration, rounded to seconds, without trailing zero
// units: "5m" instead of "5m0s".
func formatDuration(d time.Duration) string {
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
