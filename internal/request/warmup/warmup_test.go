package warmup

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/version/fleet"
)

var start = time.Unix(1e9, 0)

// giftCards are the limits of one of the deployments: 14 x 1.5 + 5 = 26 requests a second.
var (
	giftCards      = Bounds{Over: 1.5, Slack: 5}
	coldService    = &fleet.Service{Name: "s", ColdPerSecond: 14}
	bound          = 26
	maxArrivalTime = 250 * time.Millisecond
)

// coldHost returns a host that is cold for a minute.
func coldHost(id string) *fleet.Host { return &fleet.Host{ID: id, WarmAt: start.Add(time.Minute)} }

// newFleet returns the guards of n nodes. knows tells whether node i has node j in its list.
func newFleet(n int, knows func(i, j int) bool) []*Guard {
	guards := make([]*Guard, n)
	for i := range guards {
		guards[i] = New(fmt.Sprint("node", i), giftCards, start)
		guards[i].Listed()
		guards[i].Heard(start)
		for j := range n {
			if i != j && knows(i, j) {
				guards[i].AddNode(fmt.Sprint("node", j))
			}
		}
	}
	return guards
}

// most returns the largest number of arrivals within one second.
func most(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	highest, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// send makes the node send to the host if it may, and returns the arrival.
func send(g *Guard, host *fleet.Host, now time.Time, delay time.Duration) []time.Time {
	room, limited := g.Room(coldService, host, now)
	if limited && room == 0 {
		return nil
	}
	g.Sent(coldService, host, now)
	return []time.Time{now.Add(delay)}
}

// TestBoundHoldsWhateverNodesKnow guards against more requests to a cold host than the bound
// in any second: while every node sends as much as it may, requests take up to a quarter of a
// second, lists of nodes differ, nodes restart and are cut off, nodes learn of the host at
// different times, and the host restarts under its ID or becomes cold without notice.
func TestBoundHoldsWhateverNodesKnow(t *testing.T) {
	for _, nodes := range []int{7, 63, 123, 300} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
				missing := 0.1 * rapid.Float64Range(0, 1).Draw(t, "missing")
				if nodes < 10 {
					missing = 0 // a list that lacks one of seven nodes differs by more than some
				}
				guards := newFleet(nodes, func(int, int) bool { return r.Float64() >= missing })
				id := fmt.Sprint("host", r.Int())
				opened := make([]time.Time, nodes)
				for i := range opened {
					opened[i] = start.Add(time.Duration(r.Int63n(int64(700 * time.Millisecond))))
				}
				isolated := map[int]bool{}
				var arrivals []time.Time
				for at := time.Duration(0); at < 4*time.Second; at += 25 * time.Millisecond {
					now := start.Add(at)
					first := r.Intn(nodes)
					for k := range nodes {
						i := (first + k) % nodes
						switch event := r.Intn(5000 * nodes / 7); {
						case event == 0:
							isolated[i] = !isolated[i]
						case event == 1: // the node restarts
							fresh := newFleet(1, nil)[0]
							fresh.self, fresh.others, fresh.from = guards[i].self, guards[i].others, now.Add(StartDelay)
							guards[i] = fresh
						}
						if !isolated[i] {
							guards[i].Heard(now)
						}
						if now.Before(opened[i]) {
							continue // the node does not know of the host yet
						}
						host := &fleet.Host{ID: id, ServingSince: opened[i]}
						if now.Sub(opened[i]) > openingTime/2 {
							host.WarmAt = start.Add(20 * time.Second) // the registration has come
						}
						host.Started = start.Add(at / time.Second * time.Second)
						arrivals = append(arrivals, send(guards[i], host, now, time.Duration(r.Int63n(int64(maxArrivalTime))))...)
					}
				}
				if got := most(arrivals); got > bound {
					t.Fatalf("got %d requests in a second, want at most %d", got, bound)
				}
			})
		})
	}
}

// TestTwoListsOfNodesKeepTheBound guards against senders that are chosen from two different
// lists and fill a host together: a part of the nodes does not know those that came last.
func TestTwoListsOfNodesKeepTheBound(t *testing.T) {
	for _, nodes := range []int{7, 63, 123, 300} {
		old := nodes * 6 / 7
		guards := newFleet(nodes, func(i, j int) bool { return j < old || i >= old || i%2 == 0 })
		for h := range 200 {
			senders := 0
			for _, g := range guards {
				room, _ := g.Room(coldService, coldHost(fmt.Sprint(h)), start)
				senders += room
			}
			if senders > bound {
				t.Errorf("%d nodes: all together may send %d requests to host %d at once, want at most %d", nodes, senders, h, bound)
			}
		}
	}
}

// TestColdHostsAreUsed guards against nodes that leave cold hosts idle: with equal lists they
// may send nearly as much as the host can take.
func TestColdHostsAreUsed(t *testing.T) {
	for _, nodes := range []int{1, 7, 63, 123, 300} {
		guards := newFleet(nodes, func(int, int) bool { return true })
		sent := 0
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			for _, g := range guards {
				g.Heard(start.Add(at))
				sent += len(send(g, coldHost("h"), start.Add(at), 0))
			}
		}
		if perSecond := float64(sent) / 10; perSecond < 0.8*coldService.ColdPerSecond {
			t.Errorf("%d nodes: got %.1f requests a second, want at least 0.8 of %g", nodes, perSecond, coldService.ColdPerSecond)
		}
	}
}

// TestShortListIsNoticed guards against a node that goes on with a list from before the fleet
// grew, and against reads of all nodes' rows where the lists differ by few or nothing is
// limited.
func TestShortListIsNoticed(t *testing.T) {
	g := newFleet(100, func(int, int) bool { return true })[0]
	if g.Lacks(100) || g.Lacks(110) || !g.Lacks(111) {
		t.Errorf("list of 100 nodes: got %t, %t and %t for lists of 100, 110 and 111, want only the last one", g.Lacks(100), g.Lacks(110), g.Lacks(111))
	}
	if New("n", Bounds{}, start).Lacks(50) {
		t.Error("nothing is limited: got a list that lacks nodes, want none")
	}
}

// TestOnlyColdHostsOfLimitedServicesHaveALimit guards against limits where the deployment
// has no bound, the service has no rate, or the host is warm.
func TestOnlyColdHostsOfLimitedServicesHaveALimit(t *testing.T) {
	for name, test := range map[string]struct {
		bounds  Bounds
		service fleet.Service
		host    fleet.Host
		want    bool
	}{
		"cold":                  {giftCards, *coldService, fleet.Host{WarmAt: start.Add(1)}, true},
		"warm":                  {giftCards, *coldService, fleet.Host{WarmAt: start}, false},
		"just opened":           {giftCards, *coldService, fleet.Host{ServingSince: start}, true},
		"open for some time":    {giftCards, *coldService, fleet.Host{ServingSince: start.Add(-openingTime)}, false},
		"service without limit": {giftCards, fleet.Service{}, fleet.Host{WarmAt: start.Add(1)}, false},
		"no bound":              {Bounds{}, *coldService, fleet.Host{WarmAt: start.Add(1)}, false},
	} {
		if _, got := New("n", test.bounds, start).Room(&test.service, &test.host, start); got != test.want {
			t.Errorf("%s: got limited %t, want %t", name, got, test.want)
		}
	}
	var none *Guard
	if _, limited := none.Room(coldService, coldHost("h"), start); limited {
		t.Error("no guard: got a limit, want none")
	}
}

// TestNodeThatKnowsTooLittleSendsNothing guards against senders that nobody counts on: nodes
// that have just started, have read no list of nodes, or hear from no other.
func TestNodeThatKnowsTooLittleSendsNothing(t *testing.T) {
	room := func(change func(g *Guard), at time.Duration) int {
		g := New("node0", giftCards, start.Add(StartDelay))
		g.AddNode("node1")
		change(g)
		room, _ := g.Room(coldService, coldHost("h"), start.Add(at))
		return room
	}
	listed := func(g *Guard) { g.Listed(); g.Heard(start.Add(StartDelay)) }
	for name, got := range map[string]int{
		"has just started":  room(listed, StartDelay-1),
		"has read no list":  room(func(g *Guard) { g.Heard(start.Add(StartDelay)) }, StartDelay),
		"hears no other":    room(listed, StartDelay+isolationTimeout+1),
		"has heard nothing": room(func(g *Guard) { g.Listed() }, StartDelay),
	} {
		if got != 0 {
			t.Errorf("node that %s: may send %d requests, want none", name, got)
		}
	}
	if got := room(listed, StartDelay); got == 0 {
		t.Error("node that knows the others may send nothing, want some")
	}
}
