package burn

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Geometry of a plot, in SVG user units.
const (
	plotWidth  = 980.0
	plotHeight = 210.0
	plotLeft   = 46.0
	plotRight  = 118.0
	plotTop    = 12.0
	plotBottom = 26.0
)

// minBurnScale is the smallest upper end of the burn axis.
const minBurnScale = 2.0

// plot is the burn of one rank over LongWindow, ready for the page's template.
type plot struct {
	Width, Height            float64
	Left, Right, Top, Bottom float64
	Grid                     []gridLine
	Times                    []timeMark
	Rules                    []rule
	Curves                   []curve
}

type gridLine struct {
	Y    float64
	Text string
}

type timeMark struct {
	X    float64
	Text string
}

// rule is a horizontal line at an alert's burn rate.
type rule struct {
	Y           float64
	Class, Text string
}

// curve is the polyline of one account class, in pieces where it has no data.
type curve struct {
	Class  string
	Pieces []string
	// Dots are points without neighbours.
	Dots []dot
}

type dot struct{ X, Y float64 }

// axes converts times and burn rates to positions.
type axes struct {
	from, to time.Time
	top      float64
}

func (a axes) x(t time.Time) float64 {
	share := float64(t.Sub(a.from)) / float64(a.to.Sub(a.from))
	return plotLeft + share*(plotWidth-plotLeft-plotRight)
}

func (a axes) y(burn float64) float64 {
	inner := plotHeight - plotTop - plotBottom
	return plotTop + inner*(1-min(burn, a.top)/a.top)
}

// newPlot draws the lines of one rank.
func newPlot(lines []Line, now time.Time) plot {
	a := axes{from: now.Add(-LongWindow), to: now, top: burnScale(lines)}
	p := plot{Width: plotWidth, Height: plotHeight, Left: plotLeft, Right: plotWidth - plotRight, Top: plotTop, Bottom: plotHeight - plotBottom}
	p.Grid = gridLines(a)
	p.Times = timeMarks(a)
	p.Rules = alertRules(a, lines[0].Objective)
	// The line over all classes comes first and is drawn on top.
	for _, line := range slices.Backward(lines) {
		p.Curves = append(p.Curves, newCurve(a, line))
	}
	return p
}

// burnScale returns the upper end of the burn axis.
func burnScale(lines []Line) float64 {
	top := minBurnScale
	for _, line := range lines {
		for _, p := range line.Points {
			top = max(top, burnRate(p.Good, p.Total, line.Objective))
		}
	}
	const headroom = 1.08
	return top * headroom
}

func gridLines(a axes) []gridLine {
	const wanted = 4
	step := math.Pow(10, math.Floor(math.Log10(a.top/wanted)))
	for _, factor := range []float64{1, 2, 5, 10} {
		if a.top/(step*factor) <= wanted+1 {
			step *= factor
			break
		}
	}
	var lines []gridLine
	for burn := 0.0; burn <= a.top; burn += step {
		lines = append(lines, gridLine{Y: a.y(burn), Text: fmt.Sprintf("%.4g", burn)})
	}
	return lines
}

func timeMarks(a axes) []timeMark {
	var marks []timeMark
	for t := a.from.Truncate(time.Hour).Add(time.Hour); !t.After(a.to); t = t.Add(time.Hour) {
		marks = append(marks, timeMark{X: a.x(t), Text: t.UTC().Format("15:04")})
	}
	return marks
}

// alertRules returns the lines at the budget rate and the alerts' rates, those
// that fit on the axis.
func alertRules(a axes, objective float64) []rule {
	fast, slow := alertRates(objective)
	var rules []rule
	for _, r := range []struct {
		burn        float64
		class, text string
	}{{1, "budget", "budget rate 1"}, {slow, "slow", fmt.Sprintf("slow alert %.4g", slow)}, {fast, "fast", fmt.Sprintf("fast alert %.4g", fast)}} {
		if r.burn <= a.top {
			rules = append(rules, rule{Y: a.y(r.burn), Class: r.class, Text: r.text})
		}
	}
	return rules
}

func newCurve(a axes, line Line) curve {
	c := curve{Class: string(line.Class)}
	width := LongWindow / pointsPerLongWindow
	var piece []dot
	last := time.Time{}
	for _, p := range line.Points {
		at := time.Unix(p.Start, 0).Add(width / 2)
		if p.Total == 0 || at.Before(a.from) || at.After(a.to) {
			continue
		}
		if at.Sub(last) > width {
			c.add(piece)
			piece = nil
		}
		piece = append(piece, dotOf(a, at, p, line.Objective))
		last = at
	}
	c.add(piece)
	return c
}

func dotOf(a axes, at time.Time, p peer.BurnPoint, objective float64) dot {
	return dot{X: a.x(at), Y: a.y(burnRate(p.Good, p.Total, objective))}
}

func (c *curve) add(piece []dot) {
	switch len(piece) {
	case 0:
	case 1:
		c.Dots = append(c.Dots, piece[0])
	default:
		coordinates := make([]string, 0, len(piece))
		for _, d := range piece {
			coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", d.X, d.Y))
		}
		c.Pieces = append(c.Pieces, strings.Join(coordinates, " "))
	}
}

// Geometry of a quantile bar, in SVG user units.
const (
	barWidth = 220.0
	// barTarget is the position of the target on the bar.
	barTarget = 110.0
)

// bar shows a time against its target.
type bar struct {
	Name, Text string
	Length     float64
	Late       bool
}

func newBars(q Quantiles, target int64) []bar {
	if q.Count == 0 {
		return nil
	}
	var bars []bar
	for _, one := range []struct {
		name  string
		value float64
	}{{"p50", q.P50}, {"p95", q.P95}, {"p99", q.P99}} {
		length := min(one.value/float64(target)*barTarget, barWidth)
		bars = append(bars, bar{Name: one.name, Text: millis(one.value), Length: length, Late: one.value > float64(target)})
	}
	return bars
}
