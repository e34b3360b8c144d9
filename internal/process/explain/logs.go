package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// aroundRequest is how long before a request's first and after its last line
// the lines about its hosts and groups are shown.
const aroundRequest = 2 * time.Second

// Line is one decision that a log tells.
type Line struct {
	Time    time.Time
	Node    string
	Event   int
	Message string
	// Fields are all other fields.
	Fields map[string]any
}

// header are the fields that every line has.
var header = []string{"time", "node", "event", "msg", "level"}

// String returns the line as `explain` prints it.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s  %s  %d %s", l.Time.Format(time.RFC3339Nano), l.Node, l.Event, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&text, "  %s=%v", name, l.Fields[name])
	}
	return text.String()
}

// ReadLog reads the lines of structured logs of one or more nodes. Text before
// the first brace of a line, which collectors add, and lines that are no
// events are skipped; their number is returned.
func ReadLog(r io.Reader) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read the log: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, nil
}

func parseLine(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[at:]))
	decoder.UseNumber() // epochs stay whole numbers
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	number, isNumber := fields["event"].(json.Number)
	event, eventErr := number.Int64()
	stamp, _ := fields["time"].(string)
	moment, err := time.Parse(time.RFC3339Nano, stamp)
	if !isNumber || eventErr != nil || err != nil {
		return Line{}, false
	}
	line := Line{Time: moment, Event: int(event), Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range header {
		delete(fields, name)
	}
	return line, true
}

// Request returns the story of a request: its own lines, and those of any node
// about the hosts and groups that it met, around its time.
func Request(lines []Line, id string) []Line {
	var own []Line
	subjects := map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		own = append(own, l)
		for _, name := range []string{"host", "group", "from", "to"} {
			if text, ok := l.Fields[name].(string); ok && text != "" {
				subjects[text] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := own[0].Time.Add(-aroundRequest), own[len(own)-1].Time.Add(aroundRequest)
	for _, l := range lines {
		if l.Fields["request"] != id && tellsOfAll(l) && !l.Time.Before(first) && !l.Time.After(last) && about(l, subjects) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return own
}

// tellsOfAll reports whether a line is about more than one request. A suspicion
// names the request that noticed it, and touches all others of the group.
func tellsOfAll(l Line) bool {
	return l.Fields["request"] == nil || l.Event == eventlog.GroupSuspected.Number
}

func about(l Line, subjects map[string]bool) bool {
	for _, name := range []string{"host", "group"} {
		if text, ok := l.Fields[name].(string); ok && subjects[text] {
			return true
		}
	}
	return false
}
