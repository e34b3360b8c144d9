package suspect

import (
	"fmt"
	"testing"
	"time"
)

// fleet is a model of nodes with trackers that exchange digests.
type fleet struct {
	now      time.Time
	trackers []*Tracker
	killed   int
	serial   int
}

func newFleet(nodes int) *fleet {
	f := &fleet{now: time.Unix(0, 0)}
	for range nodes {
		f.trackers = append(f.trackers, New())
	}
	return f
}

// exchange spreads all digests after a delay that nodes take to do so.
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

// send runs the crashing request at a node beside others until it is refused
// or the attempts end, and returns the innocents that were lost with it.
func (f *fleet) send(node int, crasher uint64, innocents []uint64, attempts int) []uint64 {
	t := f.trackers[node]
	var lost []uint64
	for range attempts {
		v := t.Verdict(crasher, f.now)
		if v.Refuse {
			return lost
		}
		running := []uint64{crasher}
		if !v.Isolate {
			running = append(running, innocents...)
			lost = append(lost, innocents...)
		}
		f.serial++
		f.killed++
		f.now = f.now.Add(time.Second)
		t.Lost(Loss{Endpoint: fmt.Sprint(f.serial), FailureDomain: "hall", FabricDomain: "rack", InFlight: running}, f.now)
	}
	return lost
}

func TestCrashingRequestKillsAtMostTwoEndpoints(t *testing.T) {
	for beside := range 12 {
		f := newFleet(7)
		var innocents []uint64
		for i := range beside {
			innocents = append(innocents, uint64(100+i))
		}
		for resend := range 20 {
			node := resend % len(f.trackers)
			lost := f.send(node, 1, innocents, 3)
			f.exchange(AnnounceDelay)
			for _, fingerprint := range lost {
				if v := f.trackers[node].Verdict(fingerprint, f.now); v.Refuse {
					t.Errorf("innocent %d beside %d others is refused with weight %v", fingerprint, beside, v.Weight)
				}
				f.trackers[node].Finished(fingerprint)
			}
		}
		if f.killed > 2 {
			t.Errorf("crasher beside %d others killed %d endpoints, want at most 2", beside, f.killed)
		}
		for i, tracker := range f.trackers {
			if !tracker.Verdict(1, f.now).Refuse {
				t.Errorf("node %d still runs the crasher", i)
			}
		}
	}
}

func TestCrashAfterOneTryPerSend(t *testing.T) {
	f := newFleet(7)
	for resend := range 10 {
		f.send(resend%len(f.trackers), 1, []uint64{2, 3, 4}, 1)
		f.exchange(AnnounceDelay)
	}
	if f.killed > 2 {
		t.Errorf("killed %d endpoints, want at most 2", f.killed)
	}
}

func TestDarkDomainBrandsNobody(t *testing.T) {
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
				t.Errorf("%s domain dark: request %d has weight %v", shared, fingerprint, v.Weight)
			}
		}
		if lines := tracker.Digest(now); len(lines) != 0 {
			t.Errorf("%s domain dark: digest tells %v", shared, lines)
		}
	}
}

func TestSuspicionExpires(t *testing.T) {
	tracker, now := New(), time.Unix(0, 0)
	if refused := tracker.Lost(Loss{Endpoint: "a", InFlight: []uint64{1}}, now); len(refused) != 0 {
		t.Fatalf("refused after one loss: %v", refused)
	}
	if refused := tracker.Lost(Loss{Endpoint: "b", InFlight: []uint64{1}}, now); len(refused) != 1 {
		t.Errorf("the loss that reached the limit reported %v", refused)
	}
	if !tracker.Verdict(1, now).Refuse {
		t.Fatal("not refused after two losses alone")
	}
	if v := tracker.Verdict(1, now.Add(Expiry)); v.Refuse || v.Isolate {
		t.Errorf("still suspect after expiry: %+v", v)
	}
}
