package snapshot

import (
	"fmt"
	"runtime"
	"testing"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/version/object"
)

// maxSnapshotBytes bounds the heap size of the configuration: an eighth of a
// node's memory budget.
const maxSnapshotBytes = capacity.MemoryBytes / 8

// maxApplyBytes bounds the bytes allocated by one change.
const maxApplyBytes = 1 << 20

// benchObjects returns the configuration of a fleet of n nodes.
func benchObjects(n int) (objects []*object.Object, placements []*object.Placement) {
	add := func(kind object.Kind, name string, spec object.Spec) {
		objects = append(objects, &object.Object{Kind: kind, Metadata: object.Metadata{Name: name, ResourceVersion: 1, Generation: 1}, Spec: spec})
	}
	for g := range capacity.Groups * n / capacity.Nodes {
		name := fmt.Sprintf("advice-%03d", g)
		add(object.KindReplicaGroup, name, &object.ReplicaGroupSpec{Model: "advice-70b", ModelVersion: "1", FailureDomain: fmt.Sprintf("domain-%d", g%capacity.FailureDomains), Members: capacity.GroupMembers})
		p := &object.Placement{Group: name, Generation: 2, FailureDomain: fmt.Sprintf("domain-%d", g%capacity.FailureDomains), FabricDomain: "fabric", Model: "advice-70b", ModelVersion: "1", Phase: object.PhaseServing, Reason: "Opened", Message: fmt.Sprintf("every member of %s was read back ready", name)}
		for m := range capacity.GroupMembers {
			host := fmt.Sprintf("worker-%04d", g*capacity.GroupMembers+m)
			p.Members = append(p.Members, host)
			add(object.KindHost, host, &object.HostSpec{ChecksFencing: true})
		}
		placements = append(placements, p)
	}
	for a := range capacity.Accounts * n / capacity.Nodes {
		add(object.KindClientAccount, fmt.Sprintf("account-%03d", a), &object.ClientAccountSpec{KeyHashes: []string{fmt.Sprintf("%064x", a)}, Ranks: []string{"urgent", "standard", "batch"}, TokensPerSecond: 1000, BurstTokens: 5000, MaxInFlight: 20, Class: object.AccountSmall})
	}
	return objects, placements
}

// BenchmarkCapacitySnapshot measures applying one change to the configuration, and
// reports the heap size of the configuration.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			objects, placements := benchObjects(n)
			s := New(1, objects, placements)
			objects, placements = nil, nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			record := object.Record{Revision: 2, Changes: []object.Change{{Placement: s.Placements["advice-000"]}}}
			b.ReportAllocs()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				s.Apply(record)
			}
			runtime.ReadMemStats(&after)
			allocatedBytes := float64(after.TotalAlloc-before.TotalAlloc) / float64(b.N)
			runtime.KeepAlive(s)
			b.ReportMetric(heapBytes, "heap-bytes")
			if heapBytes > maxSnapshotBytes || allocatedBytes > maxApplyBytes {
				b.Fatalf("got %.0f heap bytes, want at most %d; a change allocates %.0f bytes, want at most %d", heapBytes, maxSnapshotBytes, allocatedBytes, maxApplyBytes)
			}
		})
	}
}

// BenchmarkCapacityAccountLookup measures finding an account by the hash of its
// key, as every request does.
func BenchmarkCapacityAccountLookup(b *testing.B) {
	objects, placements := benchObjects(capacity.Nodes)
	s := New(1, objects, placements)
	hash := fmt.Sprintf("%064x", capacity.Accounts/2)
	for b.Loop() {
		if s.AccountByKeyHash(hash) == nil {
			b.Fatal("got no account for the key hash")
		}
	}
}
