package fleet

import (
	"testing"
	"time"
)

func TestRouteHasTheLongestMatchingPrefix(t *testing.T) {
	c := &Configuration{Routes: []Route{
		{Name: "short", Host: "a", Prefix: "/x/"}, {Name: "long", Host: "a", Prefix: "/x/y/"}, {Name: "other", Host: "b", Prefix: "/x/"},
	}}
	c.Index()
	for _, test := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"}, {"a", "/x/y/1", "long"}, {"a", "/x/y", "short"}, {"b", "/x/y/1", "other"}, {"a", "/z/", ""}, {"c", "/x/1", ""},
	} {
		got := ""
		if r := c.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestOnlyResumableStreamsAndIdempotentRequestsRepeat(t *testing.T) {
	for _, test := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindIdempotent}, true},
		{Route{Kind: KindNonIdempotent}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
	} {
		if got := test.route.Repeatable(); got != test.want {
			t.Errorf("%v resumable %t: got repeatable %t, want %t", test.route.Kind, test.route.Resumable, got, test.want)
		}
	}
}

// TestEngineTimes compares the engine's times with values calculated by hand: five
// steps of 6 + 10*0.2 ms with time factor 0.5 take 20 ms, and a chunk of 2000
// tokens at 40,000 tokens per second and time factor 0.5 takes 25 ms.
func TestEngineTimes(t *testing.T) {
	engine := &Engine{
		Slots: 10, StepsPerPass: 5, ChunkTokens: 2000, StepTime: 6 * time.Millisecond, StepTimePerRequest: 200 * time.Microsecond,
		PrefillTokensPerSecond: 40000, MeanPromptTokens: 400, MeanAnswerTokens: 100,
	}
	model := &Model{TimeFactor: 0.5}
	if got, want := engine.PassTime(model, 1), 45*time.Millisecond; got != want {
		t.Errorf("got pass time %v, want %v", got, want)
	}
	// 100 generated tokens of 0.4 ms each and 400 prompt tokens of 0.0125 ms each
	// take 45 ms of the group's time.
	if got, want := engine.GroupRate(model), 1000.0/45; got < want*0.999 || got > want*1.001 {
		t.Errorf("got %.2f requests per second, want %.2f", got, want)
	}
}
