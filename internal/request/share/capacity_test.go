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

// benchManager is the manager of one of n nodes that hold even shares of the
// accounts, with the rows as they are stored.
type benchManager struct {
	*Manager
	store *capacity.Store
	hosts hostlist.List
	// held is the heap that the rows as read take, in bytes.
	held float64
}

func benchNode(i int) string { return fmt.Sprintf("node-%03d", i) }

// newBenchManager scales the accounts with the nodes.
func newBenchManager(b *testing.B, n int) *benchManager {
	accounts := capacity.Accounts * n / capacity.Nodes
	bm := &benchManager{store: &capacity.Store{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}}
	for i := range capacity.Hosts * n / capacity.Nodes {
		bm.hosts.Hosts = append(bm.hosts.Hosts, hostlist.Host{Name: fmt.Sprintf("worker-%04d", i), Role: hostlist.RoleEngine})
	}
	var live []string
	for i := range n {
		bm.hosts.Hosts = append(bm.hosts.Hosts, hostlist.Host{Name: benchNode(i), Role: hostlist.RoleNode, Address: fmt.Sprintf("10.2.0.%d:7443", i)})
		live = append(live, benchNode(i))
	}
	var objects []*object.Object
	for a := range accounts {
		objects = append(objects, &object.Object{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: fmt.Sprintf("account-%03d", a)}, Spec: &object.ClientAccountSpec{TokensPerSecond: 9000, BurstTokens: 20_000, MaxInFlight: 2 * n}})
	}
	configuration := &view{current: snapshot.New(1, objects, nil)}
	bm.Manager = NewManager(Options{
		Node: benchNode(0), Address: "10.2.0.0:7443", Store: bm.store, View: configuration,
		Live:    func() []string { return live },
		Session: func() Session { return Session{Incarnation: 1, Proven: time.Now()} },
		Hosts:   func() HostView { return HostView{List: bm.hosts, Sent: time.Now()} },
		Void:    time.Minute, Margin: 2 * time.Second,
	})
	for a := range accounts {
		row := Row{Account: fmt.Sprintf("account-%03d", a)}
		for i := range n {
			holder := bm.holder
			if i > 0 {
				holder = fmt.Sprintf("HOLDERHOLDERHOLDERHOLDE%03d", i)
			}
			each := Whole / Units(n)
			row.Parts = append(row.Parts, Part{Node: benchNode(i), Holder: holder, Holding: Holding{Rate: each, Burst: each, InFlight: each}})
		}
		value, err := json.Marshal(row)
		if err != nil {
			b.Fatal(err)
		}
		if err := bm.store.Store.Commit(context.Background(), table.Txn{Nonce: row.Account, Writes: []table.Write{{Key: Key(row.Account), Value: value}}}); err != nil {
			b.Fatal(err)
		}
	}
	if !bm.mayRead() {
		b.Fatal("the manager has no presence")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bm.readAll(context.Background())
	// Twice, so that pools are emptied too.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	bm.held = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	return bm
}

// maxShareBytes bounds the share rows in memory.
const maxShareBytes = capacity.MemoryBytes * 3 / 8

// BenchmarkCapacityShareTick decides the next move of every account.
func BenchmarkCapacityShareTick(b *testing.B) {
	for _, n := range capacity.Sizes {
		b.Run(fmt.Sprintf("accounts=%d", capacity.Accounts*n/capacity.Nodes), func(b *testing.B) {
			bm := newBenchManager(b, n)
			b.ReportAllocs()
			for b.Loop() {
				bm.tick()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tickPeriod.Seconds(), "ns/node/s")
			b.ReportMetric(bm.held, "heap-bytes")
			if bm.held > maxShareBytes {
				b.Fatalf("the share rows take %.0f bytes, over %d", bm.held, maxShareBytes)
			}
		})
	}
}

// BenchmarkCapacityShareAdmit admits and settles one request.
func BenchmarkCapacityShareAdmit(b *testing.B) {
	for _, n := range capacity.Sizes {
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

// BenchmarkCapacityShareWatch looks for dead holders of shares.
func BenchmarkCapacityShareWatch(b *testing.B) {
	for _, n := range capacity.Sizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bm := newBenchManager(b, n)
			for b.Loop() {
				bm.watchList()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/bm.pace(0).Seconds(), "ns/node/s")
		})
	}
}

// BenchmarkCapacityShareRows reads all share rows.
func BenchmarkCapacityShareRows(b *testing.B) {
	for _, n := range capacity.Sizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			bm := newBenchManager(b, n)
			bm.store.Reset()
			size := 0
			for b.Loop() {
				size = bm.readAll(context.Background())
			}
			period := bm.pace(size).Seconds()
			usage := bm.store.Usage()
			perNode := float64(usage.Bytes) / float64(b.N) / period
			reads := float64(usage.Reads) / float64(b.N) / period * float64(n)
			if n == capacity.Nodes && perNode > capacity.ShareBytesPerSecond {
				b.Errorf("a node reads %.0f bytes of share rows a second, over %d", perNode, capacity.ShareBytesPerSecond)
			}
			if reads > capacity.TableReadsPerSecond/2 {
				b.Errorf("the fleet reads share rows %.0f times a second", reads)
			}
			b.ReportMetric(perNode, "wire-bytes/node/s")
			b.ReportMetric(reads, "fleet-reads/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/period, "ns/node/s")
		})
	}
}
