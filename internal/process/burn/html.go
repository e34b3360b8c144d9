package burn

import (
	_ "embed"
	"html/template"
	"io"
)

//go:embed page.html
var pageSource string

// Positions of the quantile bars, in SVG user units.
const (
	barLeft = 34.0
	// barSpacing is the distance between the tops of two bars.
	barSpacing = 18.0
)

// pageTemplate is parsed when the package is initialized, so that an error in it
// fails every test of the package.
var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"nodes":   nodeCount,
	"causes":  causesText,
	"burn":    burnText,
	"share":   shareText,
	"budget":  budgetText,
	"offset":  func(i int) float64 { return float64(i) * barSpacing },
	"target":  func() float64 { return barLeft + barLengthAtTarget },
}).Parse(pageSource))

// page is the data of the template.
type page struct {
	Report Report
	Ranks  []rankSection
}

// rankSection is the section of one rank.
type rankSection struct {
	Name      string
	Objective float64
	Alert     Alert
	Plot      plot
	Lines     []lineSection
	// Long is LongWindow over all account classes. The page lists its causes.
	Long Window
}

// lineSection is the part of a section about one account class, or about all.
type lineSection struct {
	Line                   Line
	Short, Hour, Long      Window
	FirstToken, InterToken []bar
}

// WriteHTML writes the report as one page that loads no other resource.
func (r Report) WriteHTML(w io.Writer) error {
	p := page{Report: r}
	for start := 0; start < len(r.Lines); {
		end := start
		for end < len(r.Lines) && r.Lines[end].Rank == r.Lines[start].Rank {
			end++
		}
		p.Ranks = append(p.Ranks, r.rankSection(r.Lines[start:end]))
		start = end
	}
	return pageTemplate.Execute(w, p)
}

func (r Report) rankSection(lines []Line) rankSection {
	all := lines[0]
	s := rankSection{
		Name:      all.Rank,
		Objective: all.Objective,
		Alert:     all.Alert,
		Plot:      newPlot(lines, r.Time),
		Long:      all.Windows[len(all.Windows)-1],
	}
	for _, line := range lines {
		hour := line.Windows[1]
		s.Lines = append(s.Lines, lineSection{
			Line:       line,
			Short:      line.Windows[0],
			Hour:       hour,
			Long:       line.Windows[len(line.Windows)-1],
			FirstToken: newBars(hour.FirstToken, line.FirstTokenTargetMillis),
			InterToken: newBars(hour.InterToken, line.InterTokenTargetMillis),
		})
	}
	return s
}
