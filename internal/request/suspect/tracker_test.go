package suspect

import (
	"fmt"
	"testing"
	"time"
)

// fleet is a model of nodes with trackers that exchange digests.
type fleet struct {
	now           time.Time
	trackers      []*Tracker
	lostEndpoints int
	nextEndpoint  int
}

func newFleet(nodes int) *fleet {
	f := &fleet{now: time.Unix(0, 0)}
	for range nodes {
		f.trackers = append(f.trackers, New())
	}
	return f
}

// exchange advances the clock by delay and gives every node the digests of all
// others.
func (f *fleet) exchange(delay time.Duration) {
	f.now = f.now.Add(delay)
	for i, from := range f.trackers {
		for j, to := range f.trackers {
			if i != j {
				to.Merge(fmt.Sprint(i), from.Digest(f.now), f.now)
			}
		}
	}
}

// send runs the crashing request at a node, together with others unless it must
// be isolated, until it is refused or the attempts are used up. It returns the
// others that were in flight at the lost endpoints.
func (f *fleet) send(node int, crashing uint64, others []uint64, attempts int) []uint64 {
	t := f.trackers[node]
	var lost []uint64
	for range attempts {
		v := t.Verdict(crashing, f.now)
		if v.Refuse {
			return lost
		}
		running := []uint64{crashing}
		if !v.Isolate {
			running = append(running, others...)
			lost = append(lost, others...)
		}
		f.nextEndpoint++
		f.lostEndpoints++
		f.now = f.now.Add(time.Second)
		t.Lost(Loss{Endpoint: fmt.Sprint(f.nextEndpoint), FailureDomain: "hall", FabricDomain: "rack", InFlight: running}, f.now)
	}
	return lost
}

// TestCrashingRequestLosesAtMostTwoEndpoints verifies that a crashing request
// that is sent again at other nodes is refused everywhere after two losses, and
// that the requests lost with it are not.
func TestCrashingRequestLosesAtMostTwoEndpoints(t *testing.T) {
	for otherCount := range 12 {
		f := newFleet(7)
		var others []uint64
		for i := range otherCount {
			others = append(others, uint64(100+i))
		}
		for resend := range 20 {
			node := resend % len(f.trackers)
			lost := f.send(node, 1, others, 3)
			f.exchange(AnnounceDelay)
			for _, fingerprint := range lost {
				if v := f.trackers[node].Verdict(fingerprint, f.now); v.Refuse {
					t.Errorf("request %d of %d lost with the crashing one is refused with weight %v, want accepted", fingerprint, otherCount, v.Weight)
				}
				f.trackers[node].ClearSuspicion(fingerprint)
			}
		}
		if f.lostEndpoints > 2 {
			t.Errorf("crashing request with %d others: lost %d endpoints, want at most 2", otherCount, f.lostEndpoints)
		}
		for i, tracker := range f.trackers {
			if !tracker.Verdict(1, f.now).Refuse {
				t.Errorf("node %d accepts the crashing request, want refused", i)
			}
		}
	}
}

func TestCrashWithOneAttemptPerSend(t *testing.T) {
	f := newFleet(7)
	for resend := range 10 {
		f.send(resend%len(f.trackers), 1, []uint64{2, 3, 4}, 1)
		f.exchange(AnnounceDelay)
	}
	if f.lostEndpoints > 2 {
		t.Errorf("lost %d endpoints, want at most 2", f.lostEndpoints)
	}
}

func TestDomainOutageGivesNoWeight(t *testing.T) {
	for _, shared := range []string{"failure", "fabric"} {
		tracker, now := New(), time.Unix(0, 0)
		for e := range 6 {
			l := Loss{Endpoint: fmt.Sprint(e), FailureDomain: "hall", FabricDomain: fmt.Sprint(e), InFlight: []uint64{uint64(e), uint64(e + 1)}}
			if shared == "fabric" {
				l.FailureDomain, l.FabricDomain = fmt.Sprint(e), "rack"
			}
			tracker.Lost(l, now)
			now = now.Add(200 * time.Millisecond)
		}
		for fingerprint := range uint64(7) {
			if v := tracker.Verdict(fingerprint, now); v.Weight != 0 {
				t.Errorf("outage of a %s domain: request %d has weight %v, want 0", shared, fingerprint, v.Weight)
			}
		}
		if entries := tracker.Digest(now); len(entries) != 0 {
			t.Errorf("outage of a %s domain: got digest entries %v, want none", shared, entries)
		}
	}
}

func TestSuspicionExpires(t *testing.T) {
	tracker, now := New(), time.Unix(0, 0)
	if refused := tracker.Lost(Loss{Endpoint: "a", InFlight: []uint64{1}}, now); len(refused) != 0 {
		t.Fatalf("refused after one loss: got %v, want none", refused)
	}
	if refused := tracker.Lost(Loss{Endpoint: "b", InFlight: []uint64{1}}, now); len(refused) != 1 {
		t.Errorf("refused after two losses: got %v, want one request", refused)
	}
	if !tracker.Verdict(1, now).Refuse {
		t.Fatal("request is accepted after two losses while it ran alone, want refused")
	}
	if v := tracker.Verdict(1, now.Add(LossTTL)); v.Refuse || v.Isolate {
		t.Errorf("verdict after LossTTL: got %+v, want no suspicion", v)
	}
}
