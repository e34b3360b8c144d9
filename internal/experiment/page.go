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

// WritePage writes the results as one HTML page that loads nothing else.
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
	add := func(title, unit string, lines map[string]plotter.XYs, order []string) error {
		svg, err := draw(unit, lines, order)
		if err != nil {
			return fmt.Errorf("plot %q: %w", title, err)
		}
		figures = append(figures, figure{title, template.HTML(svg)}) // drawn by this program alone
		return nil
	}
	byPolicy := func(value func(*Result) plotter.XYs) (map[string]plotter.XYs, []string) {
		lines, order := map[string]plotter.XYs{}, []string(nil)
		for _, r := range results {
			lines[r.Policy.Name] = value(r)
			order = append(order, r.Policy.Name)
		}
		return lines, order
	}
	for i, k := range sheet.Kinds {
		lines, order := byPolicy(func(r *Result) plotter.XYs { return servedWorth(r.Kinds[i]) })
		if err := add("Earned part of the worth, "+k.Name, "part", lines, order); err != nil {
			return err
		}
	}
	lines, order := byPolicy(refusals)
	if err := add("Refusals a second", "refusals", lines, order); err != nil {
		return err
	}
	for i, k := range sheet.Kinds {
		lines, order := byPolicy(func(r *Result) plotter.XYs { return waits(r.Kinds[i]) })
		if err := add("Time to the first event by quantile, "+k.Name, "ms", lines, order); err != nil {
			return err
		}
	}
	for _, m := range sheet.Models {
		lines, order := byPolicy(func(r *Result) plotter.XYs { return groupsInService(r, m.Name) })
		if err := add("Groups in service, "+m.Name, "groups", lines, order); err != nil {
			return err
		}
	}
	err := pageTemplate.Execute(w, map[string]any{"Sheet": sheet, "Table": table.String(), "Results": results, "Figures": figures})
	if err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

func servedWorth(k *KindResult) plotter.XYs {
	var points plotter.XYs
	for at, s := range k.Seconds {
		if s.Owed > 0 {
			points = append(points, plotter.XY{X: float64(at), Y: s.Earned / s.Owed})
		}
	}
	return points
}

func refusals(r *Result) plotter.XYs {
	points := make(plotter.XYs, len(r.Kinds[0].Seconds))
	for at := range points {
		points[at].X = float64(at)
		for _, k := range r.Kinds {
			points[at].Y += float64(k.Seconds[at].Refusals)
		}
	}
	return points
}

func waits(k *KindResult) plotter.XYs {
	var points plotter.XYs
	for q := 1.0; q < 100; q++ {
		points = append(points, plotter.XY{X: q, Y: float64(k.First.ValueAtQuantile(q)) / 1000})
	}
	return points
}

func groupsInService(r *Result, model string) plotter.XYs {
	points := make(plotter.XYs, len(r.Groups))
	for at, counts := range r.Groups {
		points[at] = plotter.XY{X: float64(at), Y: float64(counts[model])}
	}
	return points
}

// draw returns a line plot as an SVG element.
func draw(unit string, lines map[string]plotter.XYs, order []string) (string, error) {
	p := plot.New()
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range order {
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
	// The page is HTML: the XML declaration and the document type go.
	text := out.String()
	return text[strings.Index(text, "<svg"):], nil
}
