package place

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/warmup"
	"currantladder.example/currantladder/internal/version/fleet"
)

// coldNode returns the board of a node that knows the given number of others.
func coldNode(name string, bounds warmup.Bounds, others ...string) (*Board, *warmup.Guard) {
	guard, b := warmup.New(name, bounds, start), NewBoard()
	guard.Listed()
	for _, other := range others {
		guard.AddNode(other)
	}
	b.LimitColdHosts(guard)
	return b, guard
}

// coldHead returns an open head that is cold for a minute.
func coldHead(id string) *fleet.Host {
	host := openHead(id)
	host.WarmAt = start.Add(time.Minute)
	return host
}

// TestColdHostTakesTheRest guards against refusals while warm hosts have room, against
// requests to cold hosts beyond what they may get, and against cold hosts that stay idle.
func TestColdHostTakesTheRest(t *testing.T) {
	service := engineService()
	service.ColdPerSecond = 4
	b, _ := coldNode("n", warmup.Bounds{Over: 1}) // 2 requests in a window
	v, query := view(openHead("warm"), coldHead("cold")), Query{Service: service, Model: "m"}
	chosen := map[string]int{}
	for range 12 {
		chosen[mustPlace(t, b, v, query, start)]++
	}
	if chosen["warm"] != 10 || chosen["cold"] != 2 {
		t.Errorf("got requests at %v, want the warm host full and 2 at the cold one", chosen)
	}
	if _, refused := b.Choose(v, query, start); refused == nil || refused.Candidates == 0 || refused.Cold != 1 {
		t.Errorf("got refusal %+v, want one that counts the cold host", refused)
	}
	query.Exclude = []string{"warm"}
	if _, refused := b.Choose(v, query, start); refused == nil || refused.Candidates != 1 || refused.RetryAfter < minRetryAfter {
		t.Errorf("without a warm host: got refusal %+v, want a candidate and a time to return", refused)
	}
	if got := mustPlace(t, b, v, query, start.Add(2*time.Second)); got != "cold" {
		t.Errorf("after the window: got host %s, want the cold one", got)
	}
}

// TestNodesTogetherFillColdHostsWithinTheBound guards against herds at hosts that have just
// become free: 63 nodes with reports from a hub that are up to 0.4 s old, under more load
// than the warm hosts can take, must keep the bound and still use the cold hosts.
func TestNodesTogetherFillColdHostsWithinTheBound(t *testing.T) {
	const nodes, warm, cold, lasts = 63, 14, 6, time.Second
	r := rand.New(rand.NewSource(7))
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("node", i))
	}
	boards, guards := make([]*Board, nodes), make([]*warmup.Guard, nodes)
	for i := range boards {
		boards[i], guards[i] = coldNode(names[i], warmup.Bounds{Over: 1.5, Slack: 5}, slices.Delete(slices.Clone(names), i, i+1)...)
		boards[i].random = r.Float64
	}
	var hosts []*fleet.Host
	for i := range warm {
		hosts = append(hosts, openHead(fmt.Sprint("warm", i)))
	}
	for i := range cold {
		hosts = append(hosts, coldHead(fmt.Sprint("cold", i)))
	}
	service := engineService()
	service.ColdPerSecond, service.Engine.Slots = 14, 30
	v, query := view(hosts...), Query{Service: service, Model: "m"}
	type running struct {
		node int
		host string
		ends time.Time
	}
	var inFlight []running
	arrivals := map[string][]time.Time{}
	for at := time.Duration(0); at < 6*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		inFlight = slices.DeleteFunc(inFlight, func(q running) bool {
			if now.Before(q.ends) {
				return false
			}
			boards[q.node].Ended(q.host, OutcomeAnswered, lasts, now)
			return true
		})
		if at%(400*time.Millisecond) == 0 {
			for i, b := range boards {
				sum := map[string]int{}
				for j, other := range boards {
					for id, n := range other.InFlight() {
						if i != j {
							sum[id] += n
						}
					}
				}
				b.Merge("hub", sum, nodes-1, nil, now)
				guards[i].Heard(now)
			}
		}
		for range 6 { // 600 a second
			node := r.Intn(nodes)
			if choice, refused := boards[node].Choose(v, query, now); refused == nil {
				inFlight = append(inFlight, running{node, choice.Host.ID, now.Add(lasts)})
				arrivals[choice.Host.ID] = append(arrivals[choice.Host.ID], now)
			}
		}
	}
	for i := range cold {
		times := arrivals[fmt.Sprint("cold", i)]
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) >= time.Second {
				first++
			}
			if got := last - first + 1; got > 26 {
				t.Fatalf("cold host %d got %d requests in a second, want at most 26", i, got)
			}
		}
		if perSecond := float64(len(times)) / 6; perSecond < 7 {
			t.Errorf("cold host %d got %.1f requests a second, want at least half of the 14 that it can take", i, perSecond)
		}
	}
}

// TestColdHostsStayOutOfTheSample guards against a large fleet whose sample of hosts, or whose
// sums, contain cold ones, and against hosts that stay out after they have become warm.
func TestColdHostsStayOutOfTheSample(t *testing.T) {
	const heads, cold = 200, 60
	var others []string
	for i := range 5000 { // so many nodes that this one may send to few hosts
		others = append(others, fmt.Sprint("node", i))
	}
	b, guard := coldNode("n", warmup.Bounds{Over: 1.5, Slack: 5}, others...)
	service := engineService()
	service.ColdPerSecond = 14
	var hosts []*fleet.Host
	for i := range heads {
		host := openHead(fmt.Sprint("h", i))
		if i < cold {
			host.WarmAt = start.Add(2 * time.Second)
		}
		hosts = append(hosts, host)
	}
	v, query := view(hosts...), Query{Service: service, Model: "m"}
	place := func(now time.Time) (atCold int) {
		guard.Heard(now)
		for range 1000 {
			choice, refused := b.Choose(v, query, now)
			if refused != nil {
				t.Fatalf("got refusal %+v, want the request placed", refused)
			}
			if choice.Host.WarmAt.After(start) {
				atCold++
			}
		}
		return atCold
	}
	if got := place(start); got > 2 {
		t.Errorf("got %d of 1000 requests at 60 cold hosts, want hardly any of one node among 5001", got)
	}
	s := b.survey(query.hosts(v), query, start)
	if s.count != heads-cold || s.limit != (heads-cold)*10 || s.coldFound != cold {
		t.Errorf("got %d hosts with a limit of %d and %d cold ones, want 140, 1400 and 60", s.count, s.limit, s.coldFound)
	}
	if got := place(start.Add(2 * time.Second)); got < 300 {
		t.Errorf("got %d of 1000 requests at the 60 hosts after they had become warm, want them filled first", got)
	}
}
