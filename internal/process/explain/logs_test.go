package explain

import (
	"strings"
	"testing"
)

const exampleLog = `noise that is no event
  1.2 n2 {"event":1357,"from":"h1","level":"warning","msg":"stream goes on at another group","node":"n2","request":"r1","silent_ms":420,"time":"2026-01-01T00:00:02Z","to":"h2"}
{"event":1351,"group":"m.1","host":"h1","level":"info","msg":"request was given to an endpoint","node":"n2","request":"r1","time":"2026-01-01T00:00:01Z"}
{"event":1406,"group":"m.1","host":"h9","level":"warning","msg":"host does not answer probes and counts as lost","node":"n1","time":"2026-01-01T00:00:01.5Z"}
{"event":1406,"group":"m.7","host":"h8","level":"warning","msg":"host does not answer probes and counts as lost","node":"n1","time":"2026-01-01T00:00:01.5Z"}
{"event":1351,"host":"h1","level":"info","msg":"request was given to an endpoint","node":"n2","request":"r2","time":"2026-01-01T00:00:01Z"}
{"event":1406,"group":"m.1","host":"h9","level":"warning","msg":"host does not answer probes and counts as lost","node":"n1","time":"2026-01-01T01:00:00Z"}
{"event":"no number","time":"2026-01-01T00:00:01Z"}
`

// TestRequestStoryFromLogs holds that the lines of several nodes about a
// request and the groups that it met come in the order of time, and no others.
func TestRequestStoryFromLogs(t *testing.T) {
	lines, skipped, err := ReadLog(strings.NewReader(exampleLog))
	if err != nil || skipped != 2 {
		t.Fatalf("skipped %d, %v; want 2", skipped, err)
	}
	story := Request(lines, "r1")
	var events []int
	for _, l := range story {
		events = append(events, l.Event)
	}
	if len(story) != 3 || story[0].Event != 1351 || story[1].Event != 1406 || story[2].Event != 1357 {
		t.Fatalf("story %v, want 1351 1406 1357", events)
	}
	if text := story[2].String(); !strings.Contains(text, "n2  1357 stream goes on at another group") || !strings.Contains(text, "silent_ms=420") {
		t.Errorf("printed as %q", text)
	}
	if got := Request(lines, "unknown"); got != nil {
		t.Errorf("an unknown request has the story %v", got)
	}
}

// TestSuspicionOfAnotherRequestIsTold holds that the story of a stream that
// moved names the suspicion of its group, although another request noticed it.
func TestSuspicionOfAnotherRequestIsTold(t *testing.T) {
	const suspicion = `{"event":1360,"group":"m.1","host":"h1","level":"warning","msg":"all streams of a group stand still; it takes no request for now","node":"n2","request":"r2","time":"2026-01-01T00:00:01.8Z"}` + "\n"
	lines, _, err := ReadLog(strings.NewReader(exampleLog + suspicion))
	if err != nil {
		t.Fatal(err)
	}
	story := Request(lines, "r1")
	if len(story) != 4 || story[2].Event != 1360 {
		t.Errorf("story %v, want the suspicion before the move", story)
	}
	if own := Request(lines, "r2"); len(own) != 3 {
		t.Errorf("story of the request that noticed it: %v, want its two lines and the dead member's", own)
	}
}
