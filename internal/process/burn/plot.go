package burn

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Size and margins of a plot, in SVG user units.
const (
	plotWidth        = 980.0
	plotHeight       = 210.0
	plotMarginLeft   = 46.0
	plotMarginRight  = 118.0
	plotMarginTop    = 12.0
	plotMarginBottom = 26.0
)

// minBurnAxisMax is the smallest upper end of the burn axis, before headroom is
// added.
const minBurnAxisMax = 2.0

// plot shows the burn rate of one rank over LongWindow. The page template reads
// it.
type plot struct {
	Width, Height            float64
	Left, Right, Top, Bottom float64
	Grid                     []gridLine
	Times                    []timeMark
	Thresholds               []thresholdLine
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

// thresholdLine is a horizontal line at the burn rate that uses up the budget
// exactly or at the threshold of an alert.
type thresholdLine struct {
	Y           float64
	Class, Text string
}

// curve is the line of one account class. It is split into pieces where there is
// no data.
type curve struct {
	Class  string
	Pieces []string
	// Dots are points without data on either side.
	Dots []dot
}

type dot struct{ X, Y float64 }

// axes converts times and burn rates to positions. Burn rates above maxBurn are
// shown at maxBurn.
type axes struct {
	from, to time.Time
	maxBurn  float64
}

func (a axes) x(t time.Time) float64 {
	share := float64(t.Sub(a.from)) / float64(a.to.Sub(a.from))
	return plotMarginLeft + share*(plotWidth-plotMarginLeft-plotMarginRight)
}

func (a axes) y(burn float64) float64 {
	innerHeight := plotHeight - plotMarginTop - plotMarginBottom
	return plotMarginTop + innerHeight*(1-min(burn, a.maxBurn)/a.maxBurn)
}

// newPlot plots the lines of one rank.
func newPlot(lines []Line, now time.Time) plot {
	a := axes{from: now.Add(-LongWindow), to: now, maxBurn: burnAxisMax(lines)}
	p := plot{Width: plotWidth, Height: plotHeight, Left: plotMarginLeft, Right: plotWidth - plotMarginRight, Top: plotMarginTop, Bottom: plotHeight - plotMarginBottom}
	p.Grid = gridLines(a)
	p.Times = timeMarks(a)
	p.Thresholds = thresholdLines(a, lines[0].Objective)
	// The line over all classes comes first and is drawn on top.
	for _, line := range slices.Backward(lines) {
		p.Curves = append(p.Curves, newCurve(a, line))
	}
	return p
}

// burnAxisMax returns the upper end of the burn axis.
func burnAxisMax(lines []Line) float64 {
	highest := minBurnAxisMax
	for _, line := range lines {
		for _, p := range line.Points {
			highest = max(highest, burnRate(p.Good, p.Total, line.Objective))
		}
	}
	const headroomFactor = 1.08
	return highest * headroomFactor
}

func gridLines(a axes) []gridLine {
	const wantedLines = 4
	step := math.Pow(10, math.Floor(math.Log10(a.maxBurn/wantedLines)))
	for _, factor := range []float64{1, 2, 5, 10} {
		if a.maxBurn/(step*factor) <= wantedLines+1 {
			step *= factor
			break
		}
	}
	var lines []gridLine
	for burn := 0.0; burn <= a.maxBurn; burn += step {
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

// thresholdLines returns the lines at burn rate 1 and at the alert thresholds, as
// far as they lie within the axis.
func thresholdLines(a axes, objective float64) []thresholdLine {
	fast, slow := alertThresholds(objective)
	var lines []thresholdLine
	for _, threshold := range []struct {
		burn        float64
		class, text string
	}{{1, "budget", "budget rate 1"}, {slow, "slow", fmt.Sprintf("slow alert %.4g", slow)}, {fast, "fast", fmt.Sprintf("fast alert %.4g", fast)}} {
		if threshold.burn <= a.maxBurn {
			lines = append(lines, thresholdLine{Y: a.y(threshold.burn), Class: threshold.class, Text: threshold.text})
		}
	}
	return lines
}

func newCurve(a axes, line Line) curve {
	c := curve{Class: string(line.Class)}
	bucketWidth := LongWindow / pointsPerLongWindow
	var piece []dot
	previous := time.Time{}
	for _, p := range line.Points {
		at := time.Unix(p.Start, 0).Add(bucketWidth / 2)
		if p.Total == 0 || at.Before(a.from) || at.After(a.to) {
			continue
		}
		if at.Sub(previous) > bucketWidth {
			c.addPiece(piece)
			piece = nil
		}
		piece = append(piece, newDot(a, at, p, line.Objective))
		previous = at
	}
	c.addPiece(piece)
	return c
}

func newDot(a axes, at time.Time, p peer.BurnPoint, objective float64) dot {
	return dot{X: a.x(at), Y: a.y(burnRate(p.Good, p.Total, objective))}
}

func (c *curve) addPiece(piece []dot) {
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

// Lengths of a quantile bar, in SVG user units.
const (
	maxBarLength = 220.0
	// barLengthAtTarget is the length of a bar whose latency equals the target.
	barLengthAtTarget = 110.0
)

// bar shows a latency quantile against its target. Late reports whether it exceeds
// the target.
type bar struct {
	Name, Text string
	Length     float64
	Late       bool
}

func newBars(q Quantiles, targetMillis int64) []bar {
	if q.Count == 0 {
		return nil
	}
	var bars []bar
	for _, quantile := range []struct {
		name  string
		value float64
	}{{"p50", q.P50}, {"p95", q.P95}, {"p99", q.P99}} {
		length := min(quantile.value/float64(targetMillis)*barLengthAtTarget, maxBarLength)
		bars = append(bars, bar{Name: quantile.name, Text: millis(quantile.value), Length: length, Late: quantile.value > float64(targetMillis)})
	}
	return bars
}
