package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/request/poison"
)

func poisonRequest(parts ...string) poison.Request {
	r := poison.Request{Class: "s/m", Whole: poison.RequestTrait("s", "", "", fmt.Sprint(parts, time.Now().UnixNano()), "", "", nil)}
	for _, p := range parts {
		r.Parts = append(r.Parts, poison.PartTrait("s", p))
	}
	return r
}

// crashHosts lets hosts crash with a request that has the part, each seen by another
// node, and sound requests be answered.
func (f *testFleet) crashHosts(part string, hosts int) {
	names := make([]string, 0, len(f.nodes))
	for name := range f.nodes {
		names = append(names, name)
	}
	for _, node := range f.nodes {
		for i := range 100 {
			node.poison.Began(poisonRequest("common", fmt.Sprint("part", i%5)), time.Now(), time.Now())
		}
	}
	for i := range hosts {
		f.nodes[names[i*len(names)/hosts]].poison.Lost(poisonRequest("common", part), fmt.Sprint("host", i), time.Now())
		f.round()
		for _, node := range f.nodes {
			node.poison.Began(poisonRequest("common", "part0"), time.Now(), time.Now())
		}
		f.round()
	}
}

// knowing counts the working nodes that refuse the part.
func (f *testFleet) knowing(part string) (count, working int) {
	for name, node := range f.nodes {
		if f.failed[name] {
			continue
		}
		working++
		if node.poison.Refused(poisonRequest(part)) {
			count++
		}
	}
	return count, working
}

// TestEveryNodeLearnsOfCrashingPart verifies that crashes which five nodes saw lead
// to a refusal at every node within the time that the platform allows, in every size
// of fleet, and that a restarted node learns of it.
func TestEveryNodeLearnsOfCrashingPart(t *testing.T) {
	for _, size := range []int{2, 6, 73, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(size)
				for range 30 {
					f.round()
				}
				f.crashHosts("bad", 5)
				started := time.Now()
				for {
					if count, working := f.knowing("bad"); count == working {
						break
					}
					if time.Since(started) > 3*time.Second {
						count, working := f.knowing("bad")
						t.Fatalf("%d of %d nodes know the part 3 s after the fifth crash", count, working)
					}
					f.round()
				}
				t.Logf("all %d nodes knew %v after the fifth crash", size, time.Since(started))
				restarted := f.nodes["n001"]
				restarted.poison = poison.New()
				for range 10 {
					f.round()
				}
				if !restarted.poison.Refused(poisonRequest("bad")) {
					t.Error("a restarted node does not know the part a second after its start")
				}
				if count, _ := f.knowing("common"); count > 0 {
					t.Errorf("%d nodes refuse the part that all requests share", count)
				}
			})
		})
	}
}

// TestPoisonFitsDigest guards against digests that grow beyond a datagram and are not
// sent, when callers fill the nodes with parts.
func TestPoisonFitsDigest(t *testing.T) {
	tracker := poison.New()
	now := time.Now()
	for host := range 200 {
		for i := range 30 {
			parts := make([]string, 32)
			for k := range parts {
				parts[k] = fmt.Sprint(host, i, k)
			}
			tracker.Lost(poisonRequest(parts...), fmt.Sprint("host", host), now)
		}
		for i := range 50 {
			tracker.Began(poisonRequest(fmt.Sprint(host, i, 0)), now, now)
		}
		now = now.Add(20 * time.Millisecond)
	}
	encoded, err := json.Marshal(tracker.Digest(now))
	if err != nil || len(encoded) > maxDigestBytes*2/3 {
		t.Errorf("the digest has %d bytes, error %v; want room for the counts in %d", len(encoded), err, maxDigestBytes)
	}
}

// TestStartingNodeAwaitsDigest verifies that a node that starts again is not ready
// before another one has told it what it knows, and does not wait for ever.
func TestStartingNodeAwaitsDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(3)
		node := f.nodes["n000"]
		if !node.awaitsFirstDigest(time.Now()) {
			t.Error("a node without a digest is ready, want it to wait")
		}
		if late := time.Now().Add(firstDigestTimeout); node.awaitsFirstDigest(late) {
			t.Errorf("the node waits after %v", firstDigestTimeout)
		}
		f.round()
		if node.awaitsFirstDigest(time.Now()) {
			t.Error("a node with a digest waits, want it ready")
		}
	})
}
