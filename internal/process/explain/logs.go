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

// maxLogLineBytes is the maximum length of one line of a log.
const maxLogLineBytes = 1 << 20

// contextMargin is how long before the first and after the last line of a request
// the lines about its hosts and groups are included.
const contextMargin = 2 * time.Second

// Line is one event in a log.
type Line struct {
	Time    time.Time
	Node    string
	Event   int
	Message string
	// Fields contains all fields except headerFields.
	Fields map[string]any
}

// headerFields are the fields that every line has.
var headerFields = []string{"time", "node", "event", "msg", "level"}

// String returns the line as the command explain prints it.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s  %s  %d %s", l.Time.Format(time.RFC3339Nano), l.Node, l.Event, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&text, "  %s=%v", name, l.Fields[name])
	}
	return text.String()
}

// ReadLog reads the structured logs of one or more nodes and returns their events
// in order of time. Text before the first brace of a line, as log collectors add
// it, is ignored. Lines that are not events are skipped; their number is
// returned.
func ReadLog(r io.Reader) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLineBytes)
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
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[start:]))
	decoder.UseNumber() // keeps epochs as whole numbers
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	number, isNumber := fields["event"].(json.Number)
	event, eventErr := number.Int64()
	timestamp, _ := fields["time"].(string)
	eventTime, err := time.Parse(time.RFC3339Nano, timestamp)
	if !isNumber || eventErr != nil || err != nil {
		return Line{}, false
	}
	line := Line{Time: eventTime, Event: int(event), Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range headerFields {
		delete(fields, name)
	}
	return line, true
}

// RequestLines returns the lines of a request in order of time, together with
// the lines of any node about the hosts and groups in them, from contextMargin
// before its first line to contextMargin after its last one. It returns nil if
// the request has no line.
func RequestLines(lines []Line, id string) []Line {
	var found []Line
	hostsAndGroups := map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		found = append(found, l)
		for _, name := range []string{"host", "group", "from", "to"} {
			if text, ok := l.Fields[name].(string); ok && text != "" {
				hostsAndGroups[text] = true
			}
		}
	}
	if len(found) == 0 {
		return nil
	}
	first, last := found[0].Time.Add(-contextMargin), found[len(found)-1].Time.Add(contextMargin)
	for _, l := range lines {
		if l.Fields["request"] != id && concernsSeveralRequests(l) && !l.Time.Before(first) && !l.Time.After(last) && isAbout(l, hostsAndGroups) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return found
}

// concernsSeveralRequests reports whether a line concerns more than one request.
// The event GroupSuspected names the request that noticed the stall, but concerns
// all requests of the group.
func concernsSeveralRequests(l Line) bool {
	return l.Fields["request"] == nil || l.Event == eventlog.GroupSuspected.Number
}

// isAbout reports whether a line names one of the hosts or groups.
func isAbout(l Line, hostsAndGroups map[string]bool) bool {
	for _, name := range []string{"host", "group"} {
		if text, ok := l.Fields[name].(string); ok && hostsAndGroups[text] {
			return true
		}
	}
	return false
}
