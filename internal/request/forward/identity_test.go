package forward

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/version/fleet"
)

// TestPromptThatCrashesHostsBlamesNoOtherPrompt guards against a verdict on all requests of a caller with one target.
func TestPromptThatCrashesHostsBlamesNoOtherPrompt(t *testing.T) {
	identify := func(shared, own string) poison.Request {
		s := &requestState{service: &fleet.Service{Name: "models"}, account: "account"}
		s.request = &Request{Method: "POST", Host: "example", Target: "/stream", Prompt: shared + ":40," + own + ":5", SharedParts: []string{shared}}
		return s.identify()
	}
	tracker, now := poison.New(), time.Unix(1e9, 0)
	for i := range 4 {
		now = now.Add(time.Second)
		tracker.Lost(identify("crash", fmt.Sprint("own", i)), fmt.Sprint("host", i), now)
	}
	if sound := identify("topic", "own9"); tracker.Refused(sound) || tracker.Suspected(sound, now) {
		t.Error("a request with another prompt is refused or suspected, want it accepted")
	}
}
