package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// page is the self-contained page of a report.
var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: .2em .6em; border-bottom: 1px solid #ddd; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
svg { max-width: 100%; height: auto; }
.over { color: #a00; font-weight: bold; }
.missing { color: #777; font-style: italic; }
@media print { body { margin: 0; max-width: none; } figure, tr { break-inside: avoid; } }
</style>
<h1>Service-level burn</h1>
<p>Up to {{.At}}. A burn of 1 spends exactly the budget that the objective leaves; above 1 it will not last.</p>
{{range .Missing}}<p class="missing">Missing: {{.}}</p>{{end}}
{{range .Plots}}<figure>{{.}}</figure>{{end}}
<table>
<tr><th>Group</th><th>Kind</th><th>Objective</th><th>Window</th><th>Covered</th><th>Requests</th><th>Burn</th><th>Refused</th><th>Unknown</th><th>Late</th></tr>
{{range .Rows}}<tr{{if .Over}} class="over"{{end}}>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
</html>
`))

type pageData struct {
	At      string
	Missing []string
	Plots   []template.HTML
	Rows    []pageRow
}

type pageRow struct {
	Cells []string
	Over  bool
}

// Page writes the report as one HTML page with its plots inside.
func (r Report) Page(out io.Writer) error {
	d := pageData{At: r.At.Format("2006-01-02 15:04:05 MST"), Missing: r.Missing}
	for _, row := range r.Rows {
		for _, w := range row.Windows {
			d.Rows = append(d.Rows, pageRow{Cells: w.cells(row), Over: w.Burn(row.Objective) > 1})
		}
	}
	for i, length := range windows {
		if i > 0 && r.sameAs(i, i-1) {
			continue
		}
		svg, err := r.plot(i, fmt.Sprintf("Burn by group and kind, last %s", short(length)))
		if err != nil {
			return err
		}
		if svg != "" {
			d.Plots = append(d.Plots, svg)
		}
	}
	if err := page.Execute(out, d); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// sameAs reports whether two windows cover the same time, since there are no
// older snapshots.
func (r Report) sameAs(a, b int) bool {
	for _, row := range r.Rows {
		if row.Windows[a].Covered != row.Windows[b].Covered {
			return false
		}
	}
	return true
}

// The sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 14
)

// shade is one ending and its colour.
type shade struct {
	name  string
	color color.Color
	of    func(Window) float64
}

var shades = []shade{
	{name: "refused", color: color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff}, of: func(w Window) float64 { return w.Refused }},
	{name: "unknown", color: color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}, of: func(w Window) float64 { return w.Unknown }},
	{name: "late", color: color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff}, of: func(w Window) float64 { return w.Late }},
}

// plot draws the burn of one window as stacked bars; it returns nothing if
// no row is covered.
func (r Report) plot(window int, title string) (template.HTML, error) {
	names := []string{}
	values := make([]plotter.Values, len(shades))
	for _, row := range r.Rows {
		w := row.Windows[window]
		if w.Covered == 0 || w.Total == 0 {
			continue
		}
		names = append(names, strings.TrimSuffix(row.Group+" "+row.Kind, " "))
		for i, s := range shades {
			values[i] = append(values[i], s.of(w)/w.Total/(1-row.Objective))
		}
	}
	if len(names) == 0 {
		return "", nil
	}
	return draw(title, names, values)
}

func draw(title string, names []string, values []plotter.Values) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, s := range shades {
		bars, err := plotter.NewBarChart(values[i], vg.Points(barWidth))
		if err != nil {
			return "", fmt.Errorf("draw %s: %w", s.name, err)
		}
		bars.Color = s.color
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(s.name+"   ", bars)
	}
	budget := plotter.NewFunction(func(float64) float64 { return 1 })
	budget.XMin, budget.XMax = -1, float64(len(names))
	budget.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(budget)
	p.Legend.Add("budget   ", budget)
	p.NominalX(names...)
	p.X.Min = -0.6
	p.X.Max = float64(len(names)) - 0.4
	// Room for the legend above the bars.
	const headroom = 1.6
	p.Y.Max = headroom * max(1, p.Y.Max)
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("draw plot: %w", err)
	}
	b := &bytes.Buffer{}
	if _, err := w.WriteTo(b); err != nil {
		return "", fmt.Errorf("write plot: %w", err)
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:]
	}
	// The drawing is made here, from numbers and escaped names.
	return template.HTML(svg), nil
}
