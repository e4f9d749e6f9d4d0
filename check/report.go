package check

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"amaranthsill/logline"
)

// Report is the result of a check of one file.
type Report struct {
	File string `json:"file"`
	// Groups, Routes and Customers are the numbers of entries that were checked.
	Groups    int       `json:"groups"`
	Routes    int       `json:"routes"`
	Customers int       `json:"customers"`
	Findings  []Finding `json:"findings,omitempty"`
	Changes   []Change  `json:"changes,omitempty"`
}

// NewReport returns the report on a document without findings or changes.
func NewReport(file string, d *Document) Report {
	return Report{File: file, Groups: len(d.Groups), Routes: len(d.Routes), Customers: len(d.Customers)}
}

// Refuses reports whether the file should not be sent: because of an error, or, if
// strict, also because of a warning or a dangerous change.
func (r Report) Refuses(strict bool) bool {
	dangerous := slices.ContainsFunc(r.Changes, func(c Change) bool { return c.Risk == RiskDanger })
	return Errors(r.Findings) > 0 || strict && (len(r.Findings) > 0 || dangerous)
}

// WriteText writes the report as lines of text.
func (r Report) WriteText(w io.Writer) error {
	text := ""
	for _, f := range r.Findings {
		text += fmt.Sprintf("%s:%s: %s: %s: %s\n", r.File, f.Place, f.Severity, logline.Printable(f.Entry), logline.Printable(f.Problem))
	}
	for _, c := range r.Changes {
		text += fmt.Sprintf("%s: change (risk: %s): %s\n", r.File, c.Risk, logline.Printable(c.Text))
	}
	text += fmt.Sprintf("%s: %s, %s, %s: %s, %s\n", r.File, plural(r.Groups, "group"), plural(r.Routes, "route"), plural(r.Customers, "customer"),
		plural(len(r.Findings), "finding"), plural(len(r.Changes), "change"))
	if _, err := io.WriteString(w, text); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
