package place

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/ratelimit"
	"currantladder.example/currantladder/internal/request/warmup"
	"currantladder.example/currantladder/internal/version/fleet"
)

// TestPreferredHost verifies that the choice of a node with newer counts stands against
// old reports and suspicion, and that it falls back to the own choice where the host
// must get nothing: after a failure, while it asks for no requests, beyond the limit that
// it names, while it is cold and others may send to it, when it was tried, and when it is
// not open.
func TestPreferredHost(t *testing.T) {
	now := start
	for _, c := range []struct {
		name    string
		prepare func(b *Board, h *fleet.Host, q *Query)
		want    string
	}{
		{"full by old reports", func(b *Board, h *fleet.Host, _ *Query) { b.Merge("hub", map[string]int{h.ID: 20}, 60, nil, now) }, "h1"},
		{"suspected", func(b *Board, h *fleet.Host, _ *Query) { b.Suspect(h.ID, now) }, "h1"},
		{"failed", func(b *Board, h *fleet.Host, _ *Query) { b.Ended(h.ID, OutcomeFailed, 0, now) }, "h0"},
		{"asks for no requests", func(b *Board, h *fleet.Host, _ *Query) { b.ObserveWait(h, time.Second, now) }, "h0"},
		{"at its limit", func(b *Board, h *fleet.Host, _ *Query) {
			b.ObserveRateLimit(h, ratelimit.Limit{Named: true, PerSecond: 1}, now)
			for range 50 {
				b.limiter.Sent(h.ID, now)
			}
		}, "h0"},
		{"cold", func(b *Board, h *fleet.Host, q *Query) {
			h.WarmAt, q.Service.ColdPerSecond = now.Add(5*time.Second), 14
			b.LimitColdHosts(warmup.New("n", warmup.Bounds{Over: 1.5, Slack: 5}, now.Add(time.Second)))
		}, "h0"},
		{"tried before", func(_ *Board, h *fleet.Host, q *Query) { q.Exclude = []string{h.ID} }, "h0"},
		{"closing", func(_ *Board, h *fleet.Host, _ *Query) { h.Group.State = fleet.MemberClosing }, "h0"},
	} {
		hosts := []*fleet.Host{openHead("h0"), openHead("h1")}
		b, q := NewBoardFrom(func() float64 { return 0 }), Query{Service: engineService(), Model: "m", Rank: 1, Preferred: "h1"}
		c.prepare(b, hosts[1], &q)
		choice, refused := b.Choose(view(hosts...), q, now)
		if refused != nil || choice.Host.ID != c.want {
			t.Errorf("%s: got choice %+v and refusal %+v, want %s", c.name, choice, refused, c.want)
		}
	}
}
