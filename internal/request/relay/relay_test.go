package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/refusal"
)

const (
	testRequest = "request-1"
	testTokens  = 12
	testGroups  = 4
)

func tokenText(i int) string { return fmt.Sprintf("t%d ", i) }

func expectedText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

// attemptEnd is how a scripted attempt ends.
type attemptEnd int

const (
	endComplete attemptEnd = iota
	endTruncated
	endFailed
	endPreempted
	endRefused
	endDialFailed
	endLinkFailed
)

// attemptScript is how one home answers the request.
type attemptScript struct {
	End   attemptEnd
	Kind  refusal.Kind // kind of the refusal if End is endRefused
	Fault string
	// At and Other are the positions of the frames that the fault affects, and
	// Cut is the number of frames of an answer that ends early.
	At, Other, Cut int
}

// maxScripts is the number of scripts. After the last one they start over.
const maxScripts = 24

func drawScripts(t *rapid.T) []attemptScript {
	position := rapid.IntRange(0, testTokens)
	script := rapid.Custom(func(t *rapid.T) attemptScript {
		return attemptScript{
			End:   rapid.SampledFrom([]attemptEnd{endComplete, endTruncated, endFailed, endPreempted, endRefused, endDialFailed, endLinkFailed}).Draw(t, "end"),
			Kind:  rapid.SampledFrom([]refusal.Kind{refusal.KindNoEndpoint, refusal.KindOverloaded}).Draw(t, "kind"),
			Fault: rapid.SampledFrom([]string{"", "repeat", "drop", "swap", "foreign", "early", "text after"}).Draw(t, "fault"),
			At:    position.Draw(t, "at"),
			Other: position.Draw(t, "other"),
			Cut:   position.Draw(t, "cut"),
		}
	})
	return rapid.SliceOfN(script, maxScripts, maxScripts).Draw(t, "scripts")
}

// scriptedHomes is a fake of Homes that answers each attempt by its script.
type scriptedHomes struct {
	scripts  []attemptScript
	attempts int
	// maybeSent is true once a home may have run the request.
	maybeSent bool
	// assigned is true once a home has assigned the request.
	assigned bool
	// violation describes the last attempt that violated the protocol, or is
	// empty.
	violation string
}

// frames returns the correct frames of an attempt, changed by the script's
// fault.
func (s attemptScript) frames(r peer.HomeRequest) []peer.Frame {
	var frames []peer.Frame
	for i := r.ResumeIndex; i < testTokens; i++ {
		frames = append(frames, chunkFrame(endpoint.Chunk{RequestID: r.RequestID, Index: i, Text: tokenText(i)}))
	}
	frames = append(frames, chunkFrame(endpoint.Chunk{RequestID: r.RequestID, Index: testTokens, Finish: endpoint.FinishLength}))
	at, other := s.At%len(frames), s.Other%len(frames)
	switch s.Fault {
	case "repeat":
		frames = slices.Insert(frames, at, frames[at])
	case "drop":
		frames = slices.Delete(frames, at, at+1)
	case "swap":
		frames[at], frames[other] = frames[other], frames[at]
	case "foreign":
		foreign := *frames[at].Chunk
		foreign.RequestID = "request-2"
		foreign.Text = "foreign "
		frames[at] = chunkFrame(foreign)
	case "early":
		frames = slices.Insert(frames, at, frames[len(frames)-1])
	case "text after":
		frames = append(frames, chunkFrame(endpoint.Chunk{RequestID: r.RequestID, Index: testTokens, Text: "more "}))
	}
	if s.End != endComplete {
		frames = frames[:min(s.Cut, max(len(frames)-1, 0))]
	}
	return frames
}

func chunkFrame(chunk endpoint.Chunk) peer.Frame { return peer.Frame{Chunk: &chunk} }

// Run implements Homes.
func (h *scriptedHomes) Run(_ context.Context, node string, r peer.HomeRequest, sink func(peer.Frame) error) error {
	script := h.scripts[h.attempts%maxScripts]
	h.attempts++
	if h.assigned && !r.Resumed {
		h.violation = fmt.Sprintf("attempt %d is offered as new work after the request was assigned, want it resumed", h.attempts)
	}
	switch script.End {
	case endDialFailed:
		return &peer.LinkError{Address: node, Err: errors.New("connection refused")}
	case endRefused:
		return sink(peer.Frame{End: &peer.End{Cause: peer.EndRefused, Refusal: refusal.New(script.Kind, http.StatusServiceUnavailable, "refused")}})
	}
	h.maybeSent, h.assigned = true, true
	group := fmt.Sprintf("g%d@1", h.attempts%testGroups)
	if err := sink(peer.Frame{Assigned: &peer.Assigned{Group: group}}); err != nil {
		return err
	}
	for _, frame := range script.frames(r) {
		if err := sink(frame); err != nil {
			return err
		}
	}
	switch script.End {
	case endFailed:
		return sink(endFrame(peer.EndFailed, group))
	case endPreempted:
		return sink(endFrame(peer.EndPreempted, group))
	case endLinkFailed, endTruncated:
		return &peer.LinkError{Address: node, MaybeSent: true, Err: endpoint.ErrTruncated}
	}
	return nil
}

func endFrame(cause peer.EndCause, group string) peer.Frame {
	refused := refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, "ended early")
	return peer.Frame{End: &peer.End{Cause: cause, Group: group, Refusal: refused}}
}

// fixedRouter is a fake of Router with three homes.
type fixedRouter struct{}

// ChooseHome implements Router.
func (fixedRouter) ChooseHome(_ string, _ []uint64, avoid map[string]bool) (string, bool) {
	for _, node := range []string{"n1", "n2", "n3"} {
		if !avoid[node] {
			return node, true
		}
	}
	return "", false
}

// maxAttempts is a fake of RetryBudget that only limits the attempts of a
// request.
type maxAttempts int

// RecordFirstAttempt implements RetryBudget.
func (maxAttempts) RecordFirstAttempt(string, time.Time) {}

// Retry implements RetryBudget.
func (m maxAttempts) Retry(_ string, attempts int, _ time.Time) bool { return attempts < int(m) }

// noSuspects is a fake of Suspects without any suspect.
type noSuspects struct{}

// Check implements Suspects.
func (noSuspects) Check(uint64, time.Time) (refuse, isolate bool) { return false, false }

// DelayErrorsUntil implements Suspects.
func (noSuspects) DelayErrorsUntil(uint64) time.Time { return time.Time{} }

// ClearSuspicion implements Suspects.
func (noSuspects) ClearSuspicion(uint64) {}

// noRecorder is a fake of Recorder that records nothing.
type noRecorder struct{}

// Record implements Recorder.
func (noRecorder) Record(string, string, string) {}

// run relays one request to homes that follow the scripts. It returns a
// description of the violated invariant, or "".
func run(ctx context.Context, scripts []attemptScript) string {
	homes := &scriptedHomes{scripts: scripts}
	r := &Relay{Homes: homes, Router: fixedRouter{}, Budget: maxAttempts(4), Suspects: noSuspects{}, Recorder: noRecorder{}}
	var delivered strings.Builder
	result, refused := r.Run(ctx, Request{ID: testRequest, Rank: "r", Model: "m", MaxTokens: testTokens}, func(token string) error {
		delivered.WriteString(token)
		return nil
	})
	text := delivered.String()
	switch {
	case homes.violation != "":
		return homes.violation
	case refused == nil && text != expectedText(testTokens):
		return "complete answer differs from the expected text: got " + text
	case refused == nil && result.Finish != endpoint.FinishLength:
		return "complete answer has no finish reason"
	case !strings.HasPrefix(expectedText(testTokens), text):
		return "incomplete answer is no prefix of the expected one: got " + text
	case refused != nil && (refused.Ran == refusal.RanNo) == homes.maybeSent:
		return fmt.Sprintf("a home may have run the request: %t, but the refusal is %v", homes.maybeSent, refused)
	}
	return ""
}

// TestInvariantAnswerWhole verifies that the caller gets a correct answer or a
// refusal if a home or its connection loses, repeats or swaps frames or sends
// those of another request, and that the refusal says correctly whether the
// request may have run.
func TestInvariantAnswerWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		scripts := drawScripts(r)
		broken := ""
		synctest.Test(t, func(t *testing.T) { broken = run(t.Context(), scripts) })
		if broken != "" {
			r.Fatal(broken)
		}
	})
}
