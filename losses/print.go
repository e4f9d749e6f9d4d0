package losses

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"amaranthsill/logline"
)

// Print writes the report to w as tables: the totals, each second, and the statements
// that waited longest.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := &printer{to: t}
	p.line("count\tmean wait\tgroup\toutcome\treason")
	for _, n := range r.Totals() {
		p.line("%d\t%s\t%s\t%s\t%s", n.Count, n.meanWait(), n.Group, n.Outcome, n.Reason)
	}
	p.line("")
	p.line("second\tcount\tmean wait\troute\tgroup\toutcome\treason")
	for _, n := range r.Rows() {
		p.line("%s\t%d\t%s\t%s\t%s\t%s\t%s", n.Second.Format(time.TimeOnly), n.Count, n.meanWait(), n.Route, n.Group, n.Outcome, n.Reason)
	}
	p.line("")
	p.line("longest waits\twaited\tlog\treason")
	for _, s := range r.Stories() {
		p.line("%s\t%s\t%s\t%s", s.Request, s.Waited.Round(time.Millisecond), s.VM, s.Reason)
	}
	if r.LeftOut() > 0 {
		p.line("%d log lines were left out by the VMs to bound their logs", r.LeftOut())
	}
	for _, name := range slices.Sorted(maps.Keys(r.malformed)) {
		p.line("%d lines of %s are no log lines", r.malformed[name], name)
	}
	if p.err != nil {
		return fmt.Errorf("write report: %w", p.err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// meanWait returns how long the statements of a row were held on average.
func (n Row) meanWait() time.Duration {
	return (n.Waited / time.Duration(max(n.Count, 1))).Round(time.Millisecond)
}

// printer writes lines until one fails. Their values do not end them.
type printer struct {
	to  io.Writer
	err error
}

func (p *printer) line(format string, values ...any) {
	for i, v := range values {
		if text, ok := v.(string); ok {
			values[i] = logline.Printable(text)
		}
	}
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format+"\n", values...)
	}
}

// WriteJSON writes the report to w as one JSON object. Durations are in nanoseconds.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	err := e.Encode(struct {
		Totals    []Row          `json:"totals"`
		Rows      []Row          `json:"rows"`
		Stories   []Story        `json:"stories"`
		LeftOut   int            `json:"leftout"`
		Malformed map[string]int `json:"malformed"`
	}{r.Totals(), r.Rows(), r.Stories(), r.LeftOut(), r.Malformed()})
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	return nil
}
