package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	benchPeriod  = 500 * time.Millisecond
	benchTimeout = 3 * time.Second
	benchSeed    = 11
)

// homesPerRegion is the number of nodes of a region that are homes.
const homesPerRegion = 10

// benchDigest describes the i-th of n nodes.
func benchDigest(i, n int) peer.Digest {
	region := capacity.Region(i, n)
	digest := peer.Digest{
		Node:            fmt.Sprintf("node-%03d", i),
		Region:          fmt.Sprintf("region-%d", region),
		FailureDomain:   fmt.Sprintf("region-%d-domain-%d", region, i%3),
		Address:         fmt.Sprintf("10.20.%d.%d:7443", region, i%250),
		Incarnation:     1_780_000_000_000 + int64(i),
		AppliedRevision: 1_234_567,
		Ready:           true,
	}
	if i/capacity.Regions < homesPerRegion {
		digest.Load = []peer.PoolLoad{{Model: fmt.Sprintf("advice-70b-%d", i/capacity.Regions%capacity.Models), Slots: 40, Running: 31 + i%9, Queued: i % 4}}
	}
	return digest
}

// fleet is n tables that exchange probes in virtual time.
type fleet struct {
	tables    []*Table
	digests   []peer.Digest
	byAddress map[string]int
	dead      map[int]bool
	now       time.Time
	messages  int
	bytes     int64
	falseDead int
	checks    int
}

func newFleet(n int) *fleet {
	f := &fleet{byAddress: make(map[string]int), dead: make(map[int]bool), now: time.Unix(1_780_000_000, 0)}
	roster := make(map[string]Peer)
	for i := range n {
		digest := benchDigest(i, n)
		f.digests = append(f.digests, digest)
		f.byAddress[digest.Address] = i
		roster[digest.Node] = Peer{Address: digest.Address, Region: digest.Region}
	}
	for i := range n {
		table := NewTable(f.digests[i], benchTimeout, benchSeed+uint64(i))
		table.SetRoster(roster)
		f.tables = append(f.tables, table)
	}
	return f
}

// round lets every node probe once.
func (f *fleet) round(count bool) {
	for i, table := range f.tables {
		if f.dead[i] {
			continue
		}
		f.vary(i)
		table.SetSelf(f.digests[i])
		table.Forget(f.now)
		targets := table.Targets(f.now)
		for _, address := range targets.Local {
			f.exchange(table, address, table.Outgoing(f.now), count)
		}
		for _, address := range targets.Remote {
			f.exchange(table, address, table.OutgoingRemote(f.now), count)
		}
		f.now = f.now.Add(benchPeriod / time.Duration(len(f.tables)))
	}
}

// vary changes the load that a home tells of.
func (f *fleet) vary(i int) {
	if load := f.digests[i].Load; len(load) > 0 {
		f.digests[i].Load = []peer.PoolLoad{{Model: load[0].Model, Slots: load[0].Slots, Running: (load[0].Running + 7) % load[0].Slots, Queued: load[0].Queued}}
	}
}

// exchange sends a probe and merges the reply; a dead peer does not answer.
func (f *fleet) exchange(from *Table, address string, probe peer.Probe, count bool) {
	i := f.byAddress[address]
	if f.dead[i] {
		return
	}
	f.tables[i].Merge(probe, f.now)
	reply := f.tables[i].Answer(probe, f.now)
	from.Merge(reply, f.now)
	if count {
		f.count(probe)
		f.count(reply)
	}
}

func (f *fleet) count(probe peer.Probe) {
	data, err := json.Marshal(probe)
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += int64(len(data))
}

// checkLive counts live nodes that a node of their region takes for dead.
func (f *fleet) checkLive() {
	inRegion := make(map[string]int)
	for i, digest := range f.digests {
		if !f.dead[i] {
			inRegion[digest.Region]++
		}
	}
	for i, table := range f.tables {
		if f.dead[i] {
			continue
		}
		f.checks += inRegion[table.self.Region]
		f.falseDead += inRegion[table.self.Region] - len(table.Live(f.now))
	}
}

// headerBytes is the size of the HTTP headers of one message.
const headerBytes = 120

// BenchmarkCapacityMembership runs a fleet for 20 rounds and reports the bytes
// of a node, sent and received, and the live peers that are taken for dead.
func BenchmarkCapacityMembership(b *testing.B) {
	const warmUp, rounds = 40, 20
	for _, n := range capacity.Sizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newFleet(n)
			for range warmUp {
				f.round(false)
			}
			for b.Loop() {
				for range rounds {
					f.round(true)
					f.checkLive()
				}
			}
			seconds := float64(b.N) * rounds * benchPeriod.Seconds()
			// A message is sent by one node and received by another.
			perNode := 2 * float64(f.bytes+headerBytes*int64(f.messages)) / float64(n) / seconds
			b.ReportMetric(float64(f.bytes)/float64(f.messages), "json-bytes/message")
			b.ReportMetric(perNode, "wire-bytes/node/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rounds*n), "ns/node/round")
			b.ReportMetric(float64(f.falseDead)/float64(f.checks), "false-dead-share")
			if f.falseDead > 0 {
				b.Fatalf("%d of %d live members are taken for dead", f.falseDead, f.checks)
			}
			if perNode > capacity.MembershipBytesPerSecond {
				b.Fatalf("a node sends and receives %.0f bytes a second, over %d", perNode, capacity.MembershipBytesPerSecond)
			}
		})
	}
}

// TestLargeRegions checks, with 100 nodes in three regions, that within 11 s
// of a revision every node knows that it is in force in its region, that a
// leaving node is known as such, and that a dead node is noticed and a live
// one is not taken for dead.
func TestLargeRegions(t *testing.T) {
	const n, killed, rounds = 100, 7, 11 * int(time.Second/benchPeriod)
	f := newFleet(n)
	for range 2 * rounds {
		f.round(false)
	}
	for i := range f.digests {
		f.digests[i].AppliedRevision++
	}
	f.digests[0].Leaving = true
	f.dead[killed] = true
	for range rounds {
		f.round(false)
	}
	for i, table := range f.tables {
		if i == killed {
			continue
		}
		for _, digest := range table.Live(f.now) {
			if digest.Node == f.digests[killed].Node {
				t.Errorf("%s takes the dead node for live", table.self.Node)
			}
			if digest.AppliedRevision != f.digests[i].AppliedRevision {
				t.Errorf("%s has not heard of the revision at %s", table.self.Node, digest.Node)
			}
			if digest.Node == f.digests[0].Node && !digest.Leaving {
				t.Errorf("%s has not heard that %s leaves", table.self.Node, digest.Node)
			}
		}
		if regions := table.Regions(f.now); len(regions) != 2 {
			t.Errorf("%s knows %d other regions, want 2", table.self.Node, len(regions))
		}
	}
	if f.checkLive(); f.falseDead > 0 {
		t.Errorf("%d of %d live members are taken for dead", f.falseDead, f.checks)
	}
}

// fixedHandlers answers probes from a table.
type fixedHandlers struct {
	peer.Handlers
	table *Table
	now   time.Time
}

func (h fixedHandlers) Probe(probe peer.Probe) peer.Probe { return h.table.Answer(probe, h.now) }

// BenchmarkCapacityProbeHTTP exchanges probes over loopback and reports the
// bytes with the HTTP headers.
func BenchmarkCapacityProbeHTTP(b *testing.B) {
	f := newFleet(capacity.Nodes)
	for range 40 {
		f.round(false)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &capacity.Listener{Listener: inner}
	const key = "0123456789abcdef0123456789abcdef"
	server := &http.Server{Handler: peer.NewServer(key, fixedHandlers{table: f.tables[1], now: f.now})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := peer.NewClient(key, nil)
	defer client.Close()
	probe := f.tables[0].Outgoing(f.now)
	data, err := json.Marshal(probe)
	if err != nil {
		b.Fatal(err)
	}
	const exchanges = 100
	for b.Loop() {
		for range exchanges {
			if _, err := client.Probe(context.Background(), inner.Addr().String(), probe); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(listener.Bytes())/float64(b.N*exchanges), "wire-bytes/exchange")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*exchanges), "ns/exchange")
	b.ReportMetric(float64(len(data)), "json-bytes/message")
}
