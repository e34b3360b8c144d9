package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var model = Model{Service: "s", Name: "m"}

func request(rank, load int) Request {
	return Request{Model: model, Rank: rank, Load: load, Limit: 100, Account: "a", FailureDomain: "d"}
}

// TestNothingIsRefusedWhileThereIsRoom verifies for any history of ends and reports that
// no request is refused at a load at which no rank needs to be shed, and that the admitted
// share never grows with the load.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(rand.New(rand.NewPCG(1, 1)).Float64), start
		rank := rapid.IntRange(-1, maxRank+3)
		c.Decide(request(0, 0), now)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(-5, 300).Draw(t, "ended")
			c.Merge(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), []Sum{
				{"s", "m", rank.Draw(t, "rank"), n, rapid.IntRange(-5, 300).Draw(t, "on time")}, {"s", "m", 0, 50, rapid.IntRange(0, 50).Draw(t, "urgent")},
			}, now)
			c.Ended(model, rank.Draw(t, "own"), rapid.Bool().Draw(t, "good"), now)
			r := rank.Draw(t, "asking")
			room := int(math.Floor(100 * minThreshold * sheddingStartUtilization))
			if d := c.Decide(request(r, rapid.IntRange(0, room).Draw(t, "load")), now); !d.Admitted || d.Share != 1 {
				t.Fatalf("rank %d: got %+v with room, want it admitted", r, d)
			}
			low, high := rapid.IntRange(0, 150).Draw(t, "low"), rapid.IntRange(0, 150).Draw(t, "high")
			if low > high {
				low, high = high, low
			}
			if a, b := c.Decide(request(r, low), now), c.Decide(request(r, high), now); a.Share < b.Share || b.Share < 0 || a.Share > 1 {
				t.Fatalf("rank %d: got shares %v at load %d and %v at %d, want no growth within 0 to 1", r, a.Share, low, b.Share, high)
			}
		}
	})
}

// TestOnlyRankIsShedAtUsualLoads guards against a fleet with one rank that is served
// differently: its threshold stays 1 however few of its requests are on time.
func TestOnlyRankIsShedAtUsualLoads(t *testing.T) {
	c, now := New(rand.Float64), start
	for range 100 {
		now = now.Add(updateInterval)
		c.Merge("x", []Sum{{"s", "m", 1, 500, 10}}, now)
		if d := c.Decide(request(1, 77), now); !d.Admitted || d.Share != 1 {
			t.Fatalf("got %+v, want it admitted", d)
		}
	}
	if d := c.Decide(request(1, 89), now); d.Share < 0.49 || d.Share > 0.51 {
		t.Errorf("got a share of %v at the middle of the ramp, want 0.5", d.Share)
	}
}

// TestFloodingRankYields verifies that a rank that asks for most and is served better than
// a more urgent one is shed at lower loads, that the urgent one is not, and that this ends
// with the flood.
func TestFloodingRankYields(t *testing.T) {
	c, now := New(rand.Float64), start
	run := func(d time.Duration, urgentOnTime int) {
		for end := now.Add(d); now.Before(end); now = now.Add(updateInterval) {
			c.Merge("x", []Sum{{"s", "m", 0, 100, urgentOnTime}, {"s", "m", 2, 300, 200}}, now)
			c.Decide(request(0, 60), now)
		}
	}
	run(2*lowerTime, 40)
	if low, urgent := c.Decide(request(2, 60), now), c.Decide(request(0, 60), now); low.Share > 0 || urgent.Share != 1 {
		t.Errorf("got shares %v of rank 2 and %v of rank 0 at six tenths of the limit, want 0 and 1", low.Share, urgent.Share)
	}
	run(raiseTime, 100)
	if d := c.Decide(request(2, 60), now); d.Share != 1 {
		t.Errorf("got a share of %v after the flood, want 1", d.Share)
	}
}

// TestPromisedReturnIsAdmittedEverywhere verifies that a caller that returns as it was told
// is admitted at a node which made no promise, whose clock differs by 10 ms and which sees
// another load, and that returning callers take no more than their share.
func TestPromisedReturnIsAdmittedEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told, other := New(rand.New(rand.NewPCG(1, 2)).Float64), New(rand.New(rand.NewPCG(1, 3)).Float64)
		now := start.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
		r := request(1, rapid.IntRange(0, 130).Draw(t, "load"))
		r.Account = rapid.StringMatching(`[a-z]{0,3}`).Draw(t, "account")
		r.TimeLeft = time.Duration(rapid.IntRange(1, 8000).Draw(t, "left")) * time.Millisecond
		d := told.Decide(r, now)
		after := told.RetryAfter(r, d.Share, now)
		if d.Admitted || after == 0 {
			return
		}
		if after > r.TimeLeft/3 {
			t.Fatalf("got a retry after %v with %v left, want at most a third of that", after, r.TimeLeft)
		}
		skew := time.Duration(rapid.IntRange(-10, 10).Draw(t, "skew")) * time.Millisecond
		r.Load += rapid.IntRange(-5, 5).Draw(t, "drift")
		if again := other.Decide(r, now.Add(after+skew)); !again.Admitted {
			t.Fatalf("got %+v on return after %v, want it admitted", again, after)
		}
	})
}

// TestReturningCallersAreSpread counts the promises under a steady overload: no more than
// returnShare of what is admitted, spread over the return slot, and the same share of small
// and large accounts is admitted.
func TestReturningCallersAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	c := New(random.Float64)
	admitted, asked, promised, delays := map[string]int{}, map[string]int{}, 0, map[time.Duration]int{}
	for i := range 60_000 {
		now := start.Add(time.Duration(i) * 500 * time.Microsecond)
		r := request(1, 82)
		if r.Account = "large"; random.IntN(20) == 0 {
			r.Account = "small"
		}
		asked[r.Account]++
		d := c.Decide(r, now)
		if d.Admitted {
			admitted[r.Account]++
		} else if after := c.RetryAfter(r, d.Share, now); after > 0 {
			promised++
			delays[after]++
		}
	}
	total := admitted["large"] + admitted["small"]
	if share := float64(promised) / float64(total); share > returnShare*1.05 || share < returnShare/2 {
		t.Errorf("got %.3f promises for each admitted request, want up to %v", share, returnShare)
	}
	if len(delays) < promised/2 {
		t.Errorf("got %d different delays for %d callers, want them spread", len(delays), promised)
	}
	for account, n := range asked {
		if got, want := float64(admitted[account])/float64(n), admittedShare(82, 100, 1); got < want*0.9 || got > want*1.1 {
			t.Errorf("account %s: got a share of %.3f, want %.3f", account, got, want)
		}
	}
}

// TestSumsOfSeveralNodesAdd verifies what hubs do with reports.
func TestSumsOfSeveralNodesAdd(t *testing.T) {
	got := Add([]Sum{{"s", "m", 1, 2, 1}}, []Sum{{"s", "m", 1, 3, 3}, {"s", "n", 1, 1, 0}})
	if len(got) != 2 || got[0] != (Sum{"s", "m", 1, 5, 4}) || got[1] != (Sum{"s", "n", 1, 1, 0}) {
		t.Errorf("got %+v", got)
	}
}

// TestSubtractLeavesOtherNodes verifies that a node takes its own sums off those of all
// nodes, and that sums that are older than its own do not become negative.
func TestSubtractLeavesOtherNodes(t *testing.T) {
	own := []Sum{{"s", "m", 0, 3, 2}, {"s", "m", 1, 5, 5}}
	all := Add(Add(nil, own), []Sum{{"s", "m", 0, 10, 1}, {"s", "n", 0, 4, 4}})
	want := []Sum{{"s", "m", 0, 10, 1}, {"s", "m", 1, 0, 0}, {"s", "n", 0, 4, 4}}
	if got := Subtract(all, own); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := Subtract([]Sum{{"s", "m", 0, 1, 1}}, own); got[0].Ended != 0 || got[0].OnTime != 0 {
		t.Errorf("older sums: got %v, want zeros", got)
	}
}
