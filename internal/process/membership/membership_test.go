package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	testInterval = 500 * time.Millisecond
	testTimeout  = 6 * time.Second
	// maxDetectionTime is how soon every node must detect a failed node:
	// requests wait for a new home for 3 s.
	maxDetectionTime = 3 * time.Second
	// testStep is the time step of the simulation.
	testStep = 50 * time.Millisecond
)

// fleet simulates the tables of many nodes in one goroutine and in a fixed
// order.
type fleet struct {
	now    time.Time
	names  []string
	tables map[string]*Table
	// probeOffset is the time of a node's rounds inside the interval.
	probeOffset map[string]time.Duration
	digests     map[string]peer.Digest
	unreachable map[string]bool
	// bytes and messages count the encoded traffic while countTraffic is set.
	countTraffic bool
	bytes        int
	messages     int
}

// newFleet returns one node for each given region name. Every node has the
// addresses of all nodes, as from the session rows.
func newFleet(regions []string, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(0, 0), tables: make(map[string]*Table), probeOffset: make(map[string]time.Duration),
		digests: make(map[string]peer.Digest), unreachable: make(map[string]bool),
	}
	random := rand.New(rand.NewPCG(seed, seed))
	var roster []Peer
	for i, region := range regions {
		name := fmt.Sprintf("node-%03d", i)
		f.names = append(f.names, name)
		roster = append(roster, Peer{Node: name, Address: name, Region: region})
		f.probeOffset[name] = time.Duration(random.IntN(int(testInterval/testStep))) * testStep
		f.digests[name] = peer.Digest{
			Node: name, Address: name, Region: region, FailureDomain: region + "-1", Incarnation: 1_796_358_536_919,
			AppliedRevision: int64(i % 2), Ready: true,
			Load: []peer.PoolLoad{{Model: "model-70b", Slots: 56, Running: 50 + i%6, Queued: i % 13}},
		}
		f.tables[name] = NewTable(f.digests[name], testTimeout, seed<<16+uint64(i))
	}
	for _, table := range f.tables {
		table.SetPeers(roster)
	}
	return f
}

// run advances the simulated time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testStep) {
		for _, name := range f.names {
			if f.now.Sub(time.Unix(0, 0))%testInterval == f.probeOffset[name] {
				f.round(name)
			}
		}
	}
}

// round does what Prober.round does, without I/O.
func (f *fleet) round(name string) {
	table := f.tables[name]
	table.SetSelf(f.digests[name])
	for _, target := range table.Targets(fanout) {
		f.probe(name, target)
	}
}

func (f *fleet) probe(name, target string) {
	table := f.tables[name]
	if f.unreachable[name] || f.unreachable[target] {
		table.Suspect(target)
		return
	}
	request := table.Request(f.now)
	f.verifySuspects(target, f.tables[target].Merge(request, f.now))
	reply := f.tables[target].Reply(request, f.now)
	f.countMessage(request)
	f.countMessage(reply)
	f.verifySuspects(name, table.Merge(reply, f.now))
}

// verifySuspects does what Prober.verifySuspects does, without I/O.
func (f *fleet) verifySuspects(name string, verify bool) {
	if !verify {
		return
	}
	for _, target := range f.tables[name].VerificationTargets() {
		f.probe(name, target)
	}
}

func (f *fleet) countMessage(probe peer.Probe) {
	if !f.countTraffic {
		return
	}
	data, err := peer.EncodeProbe(probe)
	if err != nil {
		panic(err)
	}
	f.bytes += len(data)
	f.messages++
}

func (f *fleet) liveNodes(name string) []string {
	var names []string
	for _, digest := range f.tables[name].Live(f.now) {
		names = append(names, digest.Node)
	}
	return names
}

// TestMembersOfOneRegionStayLive verifies that all nodes of a region of the
// expected size stay live, that an unreachable node is detected within
// maxDetectionTime, and that it counts as live again once it is reachable.
func TestMembersOfOneRegionStayLive(t *testing.T) {
	const nodes, seeds = 47, 6
	for seed := range uint64(seeds) {
		f := newFleet(slices.Repeat([]string{"north"}, nodes), seed)
		f.run(10 * time.Second)
		for range 20 {
			f.run(time.Second)
			f.requireLive(t, seed, nodes)
		}
		f.unreachable["node-005"] = true
		f.run(maxDetectionTime)
		for _, name := range f.names {
			if name != "node-005" && slices.Contains(f.liveNodes(name), "node-005") {
				t.Errorf("seed %d: %s still counts the unreachable node as live after %v", seed, name, maxDetectionTime)
			}
		}
		f.unreachable["node-005"] = false
		f.run(testTimeout)
		f.requireLive(t, seed, nodes)
	}
}

func (f *fleet) requireLive(t *testing.T, seed uint64, want int) {
	t.Helper()
	for _, name := range f.names {
		if got := len(f.liveNodes(name)); got != want {
			t.Fatalf("seed %d, %v: %s counts %d live nodes, want %d", seed, f.now.Sub(time.Unix(0, 0)), name, got, want)
		}
	}
}

// TestRegionsExchangeSummaries verifies that digests stay inside a region and
// that summaries name the nodes whose configuration lags.
func TestRegionsExchangeSummaries(t *testing.T) {
	f := newFleet([]string{"north", "north", "south", "south", "south"}, 1)
	f.run(10 * time.Second)
	if got := f.liveNodes("node-001"); !slices.Equal(got, []string{"node-000", "node-001"}) {
		t.Errorf("live nodes of north: %v, want node-000 and node-001", got)
	}
	regions := f.tables["node-001"].Regions(f.now)
	if len(regions) != 1 || regions[0].Region != "south" {
		t.Fatalf("regions known in north: %+v, want south only", regions)
	}
	if regions[0].Nodes != 3 || regions[0].MinApplied != 0 || !slices.Equal(regions[0].Lagging, []string{"node-002", "node-004"}) {
		t.Errorf("summary of south: %+v, want 3 nodes, applied revision 0 and lagging node-002 and node-004", regions[0])
	}
}

// TestDigestsNeverGoBack verifies that no order of probes replaces a digest by
// an older one.
func TestDigestsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		table := NewTable(peer.Digest{Node: "self", Region: "north"}, testTimeout, 1)
		var newest peer.DigestVersion
		for range rapid.IntRange(1, 30).Draw(t, "probes") {
			digest := peer.Digest{
				Node:        "other",
				Region:      "north",
				Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				Seq:         rapid.Int64Range(1, 5).Draw(t, "seq"),
			}
			table.Merge(peer.Probe{Digests: []peer.Digest{digest}}, now)
			if digest.Version().Newer(newest) {
				newest = digest.Version()
			}
			if got := table.Live(now)[0].Version(); got != newest {
				t.Fatalf("table has version %v, want the newest, %v", got, newest)
			}
		}
	})
}
