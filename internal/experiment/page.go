package experiment

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("experiment").Parse(pageText))

// Size of a plot on the page.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// WritePage writes the results as a self-contained HTML page.
func WritePage(w io.Writer, sheet *Sheet, results []*Result) error {
	table := &bytes.Buffer{}
	if err := WriteTable(table, results); err != nil {
		return err
	}
	type figure struct {
		Title string
		Plot  template.HTML
	}
	var figures []figure
	add := func(title, unit string, lines map[string]plotter.XYs, policies []string) error {
		svg, err := renderPlot(unit, lines, policies)
		if err != nil {
			return fmt.Errorf("plot %q: %w", title, err)
		}
		figures = append(figures, figure{title, template.HTML(svg)}) // rendered by this program alone
		return nil
	}
	byPolicy := func(value func(*Result) plotter.XYs) (map[string]plotter.XYs, []string) {
		lines, policies := map[string]plotter.XYs{}, []string(nil)
		for _, r := range results {
			lines[r.Policy.Name] = value(r)
			policies = append(policies, r.Policy.Name)
		}
		return lines, policies
	}
	for i, k := range sheet.Kinds {
		lines, policies := byPolicy(func(r *Result) plotter.XYs { return earnedShares(r.Kinds[i]) })
		if err := add("Earned part of the worth, "+k.Name, "part", lines, policies); err != nil {
			return err
		}
	}
	lines, policies := byPolicy(refusalsPerSecond)
	if err := add("Refusals a second", "refusals", lines, policies); err != nil {
		return err
	}
	for i, k := range sheet.Kinds {
		lines, policies := byPolicy(func(r *Result) plotter.XYs { return firstEventQuantiles(r.Kinds[i]) })
		if err := add("Time to the first event by quantile, "+k.Name, "ms", lines, policies); err != nil {
			return err
		}
	}
	for _, m := range sheet.Models {
		lines, policies := byPolicy(func(r *Result) plotter.XYs { return groupsInService(r, m.Name) })
		if err := add("Groups in service, "+m.Name, "groups", lines, policies); err != nil {
			return err
		}
	}
	err := pageTemplate.Execute(w, map[string]any{"Sheet": sheet, "Table": table.String(), "Results": results, "Figures": figures})
	if err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

func earnedShares(k *KindResult) plotter.XYs {
	var points plotter.XYs
	for second, s := range k.Seconds {
		if s.OfferedWorth > 0 {
			points = append(points, plotter.XY{X: float64(second), Y: s.EarnedWorth / s.OfferedWorth})
		}
	}
	return points
}

func refusalsPerSecond(r *Result) plotter.XYs {
	points := make(plotter.XYs, len(r.Kinds[0].Seconds))
	for second := range points {
		points[second].X = float64(second)
		for _, k := range r.Kinds {
			points[second].Y += float64(k.Seconds[second].Refusals)
		}
	}
	return points
}

func firstEventQuantiles(k *KindResult) plotter.XYs {
	var points plotter.XYs
	for percent := 1.0; percent < 100; percent++ {
		points = append(points, plotter.XY{X: percent, Y: float64(k.FirstEventMicros.ValueAtQuantile(percent)) / 1000})
	}
	return points
}

func groupsInService(r *Result, model string) plotter.XYs {
	points := make(plotter.XYs, len(r.Groups))
	for second, counts := range r.Groups {
		points[second] = plotter.XY{X: float64(second), Y: float64(counts[model])}
	}
	return points
}

// renderPlot returns a line plot as an SVG element. policies sets the order of the
// lines and of the legend.
func renderPlot(unit string, lines map[string]plotter.XYs, policies []string) (string, error) {
	p := plot.New()
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range policies {
		if len(lines[name]) == 0 {
			continue
		}
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return "", err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgdraw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// An SVG element in HTML has no XML declaration and no document type.
	text := out.String()
	return text[strings.Index(text, "<svg"):], nil
}
