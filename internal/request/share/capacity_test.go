package share

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// benchManager is the manager of one of n nodes that hold even shares of all
// accounts, with the stored rows.
type benchManager struct {
	*Manager
	store *capacity.CountingStore
	hosts hostlist.List
	// rowHeapBytes is the heap memory that the rows take once read.
	rowHeapBytes float64
}

func benchNodeName(i int) string { return fmt.Sprintf("node-%03d", i) }

// newBenchManager returns the manager of one of n nodes. The numbers of accounts
// and hosts grow in proportion to n.
func newBenchManager(b *testing.B, n int) *benchManager {
	accounts := capacity.Accounts * n / capacity.Nodes
	bm := &benchManager{store: &capacity.CountingStore{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}}
	for i := range capacity.Hosts * n / capacity.Nodes {
		bm.hosts.Hosts = append(bm.hosts.Hosts, hostlist.Host{Name: fmt.Sprintf("worker-%04d", i), Role: hostlist.RoleEngine})
	}
	var live []string
	for i := range n {
		bm.hosts.Hosts = append(bm.hosts.Hosts, hostlist.Host{Name: benchNodeName(i), Role: hostlist.RoleNode, Address: fmt.Sprintf("10.2.0.%d:7443", i)})
		live = append(live, benchNodeName(i))
	}
	var objects []*object.Object
	for a := range accounts {
		objects = append(objects, &object.Object{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: fmt.Sprintf("account-%03d", a)}, Spec: &object.ClientAccountSpec{TokensPerSecond: 9000, BurstTokens: 20_000, MaxInFlight: 2 * n}})
	}
	config := &configView{current: snapshot.New(1, objects, nil)}
	bm.Manager = NewManager(Options{
		Node: benchNodeName(0), Address: "10.2.0.0:7443", Store: bm.store, View: config,
		LiveNodes:       func() []string { return live },
		Session:         func() Session { return Session{Incarnation: 1, LastRenewalSent: time.Now()} },
		Hosts:           func() HostView { return HostView{List: bm.hosts, RequestedAt: time.Now()} },
		PresenceTimeout: time.Minute, ReclaimMargin: 2 * time.Second,
	})
	for a := range accounts {
		row := Row{Account: fmt.Sprintf("account-%03d", a)}
		for i := range n {
			holder := bm.holder
			if i > 0 {
				holder = fmt.Sprintf("HOLDERHOLDERHOLDERHOLDE%03d", i)
			}
			each := WholeCap / Fraction(n)
			row.Parts = append(row.Parts, Part{Node: benchNodeName(i), Holder: holder, Holding: Holding{Rate: each, Burst: each, InFlight: each}})
		}
		value, err := json.Marshal(row)
		if err != nil {
			b.Fatal(err)
		}
		if err := bm.store.Store.Commit(context.Background(), table.Txn{Nonce: row.Account, Writes: []table.Write{{Key: Key(row.Account), Value: value}}}); err != nil {
			b.Fatal(err)
		}
	}
	if !bm.mayReadShares() {
		b.Fatal("presence of the manager is not valid")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bm.readAll(context.Background())
	// The second collection also empties sync.Pools.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	bm.rowHeapBytes = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	return bm
}

// maxRowHeapBytes limits the memory of the share rows.
const maxRowHeapBytes = capacity.MemoryBytes * 3 / 8

// BenchmarkCapacityShareTick measures a tick, which decides the next move of every account.
func BenchmarkCapacityShareTick(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("accounts=%d", capacity.Accounts*n/capacity.Nodes), func(b *testing.B) {
			bm := newBenchManager(b, n)
			b.ReportAllocs()
			for b.Loop() {
				bm.tick()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tickInterval.Seconds(), "ns/node/s")
			b.ReportMetric(bm.rowHeapBytes, "heap-bytes")
			if bm.rowHeapBytes > maxRowHeapBytes {
				b.Fatalf("heap memory of the share rows: got %.0f bytes, want at most %d", bm.rowHeapBytes, maxRowHeapBytes)
			}
		})
	}
}

// BenchmarkCapacityShareAdmit measures admission and settlement of one request.
func BenchmarkCapacityShareAdmit(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bm := newBenchManager(b, n)
			for b.Loop() {
				if admission, refused := bm.Admit("account-001", 1, time.Now()); refused == nil {
					admission.Settle(1)
				}
			}
		})
	}
}

// BenchmarkCapacityShareWatch measures the search of the host list for absent
// holders of shares.
func BenchmarkCapacityShareWatch(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bm := newBenchManager(b, n)
			for b.Loop() {
				bm.updateAbsences()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/bm.setRates(0).Seconds(), "ns/node/s")
		})
	}
}

// BenchmarkCapacityShareRows measures the periodic reads of all share rows.
func BenchmarkCapacityShareRows(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bm := newBenchManager(b, n)
			bm.store.Reset()
			size := 0
			for b.Loop() {
				size = bm.readAll(context.Background())
			}
			interval := bm.setRates(size).Seconds()
			usage := bm.store.Usage()
			perNode := float64(usage.Bytes) / float64(b.N) / interval
			reads := float64(usage.Reads) / float64(b.N) / interval * float64(n)
			if n == capacity.Nodes && perNode > capacity.ShareBytesPerSecond {
				b.Errorf("share rows read by a node: got %.0f bytes a second, want at most %d", perNode, capacity.ShareBytesPerSecond)
			}
			if reads > capacity.TableReadsPerSecond/2 {
				b.Errorf("share row reads of the fleet: got %.0f a second, want at most half of the table service's limit", reads)
			}
			b.ReportMetric(perNode, "wire-bytes/node/s")
			b.ReportMetric(reads, "fleet-reads/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/interval, "ns/node/s")
		})
	}
}
