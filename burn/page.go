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

// page is the template of the HTML report. It refers to no other files.
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

// pageData is the data of the page template.
type pageData struct {
	At      string
	Missing []string
	Plots   []template.HTML
	Rows    []pageRow
}

// pageRow is one table row of the page.
type pageRow struct {
	Cells []string
	// Over highlights the row, since its burn rate is above 1.
	Over bool
}

// Page writes the report to out as one HTML page with embedded SVG plots. Of
// windows that cover the same time, only the shortest is plotted.
func (r Report) Page(out io.Writer) error {
	d := pageData{At: r.At.Format("2006-01-02 15:04:05 MST"), Missing: r.Missing}
	for _, row := range r.Rows {
		for _, w := range row.Windows {
			d.Rows = append(d.Rows, pageRow{Cells: w.cells(row), Over: w.BurnRate(row.Objective) > 1})
		}
	}
	for i, length := range windowLengths {
		if i > 0 && r.sameCoverage(i, i-1) {
			continue
		}
		svg, err := r.plot(i, fmt.Sprintf("Burn by group and kind, last %s", formatDuration(length)))
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

// sameCoverage reports whether the windows with indexes a and b cover the same
// time in every row. This is so if no snapshots are old enough for the longer
// one.
func (r Report) sameCoverage(a, b int) bool {
	for _, row := range r.Rows {
		if row.Windows[a].Covered != row.Windows[b].Covered {
			return false
		}
	}
	return true
}

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 14 // points
)

// barSeries is one layer of the stacked bars: the requests of one ending.
type barSeries struct {
	name  string
	color color.Color
	count func(Window) float64
}

// series are the layers of the stacked bars, from bottom to top.
var series = []barSeries{
	{name: "refused", color: color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff}, count: func(w Window) float64 { return w.Refused }},
	{name: "unknown", color: color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}, count: func(w Window) float64 { return w.Unknown }},
	{name: "late", color: color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff}, count: func(w Window) float64 { return w.Late }},
}

// plot returns an SVG plot of the burn rates in the window with the given
// index. It returns an empty string if the window has no requests in any row.
func (r Report) plot(window int, title string) (template.HTML, error) {
	names := []string{}
	values := make([]plotter.Values, len(series))
	for _, row := range r.Rows {
		w := row.Windows[window]
		if w.Covered == 0 || w.Total == 0 {
			continue
		}
		names = append(names, strings.TrimSuffix(row.Group+" "+row.Kind, " "))
		for i, s := range series {
			values[i] = append(values[i], s.count(w)/w.Total/(1-row.Objective))
		}
	}
	if len(names) == 0 {
		return "", nil
	}
	return renderPlot(title, names, values)
}

// renderPlot returns an SVG plot with one stacked bar for each name. The values
// are indexed by series, then by name.
func renderPlot(title string, names []string, values []plotter.Values) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.Legend.Top = true
	var previous *plotter.BarChart
	for i, s := range series {
		bars, err := plotter.NewBarChart(values[i], vg.Points(barWidth))
		if err != nil {
			return "", fmt.Errorf("draw %s: %w", s.name, err)
		}
		bars.Color = s.color
		bars.LineStyle.Width = 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(s.name+"   ", bars)
	}
	budgetLine := plotter.NewFunction(func(float64) float64 { return 1 })
	budgetLine.XMin, budgetLine.XMax = -1, float64(len(names))
	budgetLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(budgetLine)
	p.Legend.Add("budget   ", budgetLine)
	p.NominalX(names...)
	p.X.Min = -0.6
	p.X.Max = float64(len(names)) - 0.4
	// Leaves room for the legend above the bars.
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
	// The SVG is safe to embed: the plotting library writes it from numbers and
	// from names that it escapes.
	return template.HTML(svg), nil
}
