package explain

import (
	"strings"
	"testing"
)

const exampleLog = `text that is not an event
  1.2 n2 {"event":1357,"from":"h1","level":"warning","msg":"stream continues at another group","node":"n2","request":"r1","silent_ms":420,"time":"2026-01-01T00:00:02Z","to":"h2"}
{"event":1351,"group":"m.1","host":"h1","level":"info","msg":"request was sent to an endpoint","node":"n2","request":"r1","time":"2026-01-01T00:00:01Z"}
{"event":1406,"group":"m.1","host":"h9","level":"warning","msg":"host does not answer probes and counts as lost","node":"n1","time":"2026-01-01T00:00:01.5Z"}
{"event":1406,"group":"m.7","host":"h8","level":"warning","msg":"host does not answer probes and counts as lost","node":"n1","time":"2026-01-01T00:00:01.5Z"}
{"event":1351,"host":"h1","level":"info","msg":"request was sent to an endpoint","node":"n2","request":"r2","time":"2026-01-01T00:00:01Z"}
{"event":1406,"group":"m.1","host":"h9","level":"warning","msg":"host does not answer probes and counts as lost","node":"n1","time":"2026-01-01T01:00:00Z"}
{"event":"no number","time":"2026-01-01T00:00:01Z"}
`

// TestRequestLinesReturnsRelatedLines verifies that RequestLines returns the lines
// of several nodes about a request and its groups in order of time, and no others.
func TestRequestLinesReturnsRelatedLines(t *testing.T) {
	lines, skipped, err := ReadLog(strings.NewReader(exampleLog))
	if err != nil || skipped != 2 {
		t.Fatalf("got %d skipped lines and error %v, want 2 skipped lines", skipped, err)
	}
	got := RequestLines(lines, "r1")
	var events []int
	for _, l := range got {
		events = append(events, l.Event)
	}
	if len(got) != 3 || got[0].Event != 1351 || got[1].Event != 1406 || got[2].Event != 1357 {
		t.Fatalf("got events %v, want 1351 1406 1357", events)
	}
	if text := got[2].String(); !strings.Contains(text, "n2  1357 stream continues at another group") || !strings.Contains(text, "silent_ms=420") {
		t.Errorf("got %q, want the node, the event, its message and silent_ms", text)
	}
	if got := RequestLines(lines, "unknown"); got != nil {
		t.Errorf("unknown request: got %v, want nil", got)
	}
}

// TestRequestLinesIncludesSuspicionByAnotherRequest verifies that the lines of a
// stream that moved include the suspicion of its group, although another request
// noticed it.
func TestRequestLinesIncludesSuspicionByAnotherRequest(t *testing.T) {
	const suspicion = `{"event":1360,"group":"m.1","host":"h1","level":"warning","msg":"all streams of a group are stalled; it takes no requests for now","node":"n2","request":"r2","time":"2026-01-01T00:00:01.8Z"}` + "\n"
	lines, _, err := ReadLog(strings.NewReader(exampleLog + suspicion))
	if err != nil {
		t.Fatal(err)
	}
	got := RequestLines(lines, "r1")
	if len(got) != 4 || got[2].Event != 1360 {
		t.Errorf("got %v, want four lines with the suspicion before the move", got)
	}
	if noticing := RequestLines(lines, "r2"); len(noticing) != 3 {
		t.Errorf("request that noticed the suspicion: got %v, want its two lines and the one of the lost member", noticing)
	}
}
