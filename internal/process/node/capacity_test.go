package node

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/dispatch"
	"currantladder.example/currantladder/internal/request/route"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// benchPlanInput returns the plan input of the first node in a fleet of n nodes.
func benchPlanInput(n int) planInput {
	groups := capacity.Groups * n / capacity.Nodes
	in := planInput{hosts: make(map[string]hostlist.Host)}
	var objects []*object.Object
	var placements []*object.Placement
	for g := range groups {
		region := fmt.Sprintf("region-%d", capacity.Region(g, n))
		name := fmt.Sprintf("advice-%03d", g)
		spec := &object.ReplicaGroupSpec{Model: fmt.Sprintf("advice-70b-%d", g/capacity.Regions%capacity.Models), ModelVersion: "1", FailureDomain: region + "-1", Members: capacity.GroupMembers}
		placement := &object.Placement{Group: name, Generation: 3, FailureDomain: spec.FailureDomain, Model: spec.Model, ModelVersion: "1", Phase: object.PhaseServing}
		for m := range capacity.GroupMembers {
			host := hostlist.Host{Name: fmt.Sprintf("worker-%04d", g*capacity.GroupMembers+m), Address: fmt.Sprintf("10.1.%d.%d:8000", g, m), Role: hostlist.RoleEngine, Region: region, FailureDomain: spec.FailureDomain, State: hostlist.StateLive}
			in.hosts[host.Name] = host
			placement.Members = append(placement.Members, host.Name)
			objects = append(objects, &object.Object{Kind: object.KindHost, Metadata: object.Metadata{Name: host.Name}, Spec: &object.HostSpec{ChecksFencing: true}})
		}
		objects = append(objects, &object.Object{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: name}, Spec: spec})
		placements = append(placements, placement)
	}
	in.snapshot = snapshot.New(7, objects, placements)
	for i := range n {
		digest := peer.Digest{Node: fmt.Sprintf("node-%03d", i), Region: fmt.Sprintf("region-%d", capacity.Region(i, n)), Ready: true}
		in.sessionNodes = append(in.sessionNodes, route.Node{Name: digest.Node, Region: digest.Region})
		if digest.Region == "region-0" {
			in.nodes = append(in.nodes, digest)
		}
	}
	in.self = in.nodes[0]
	for r := 1; r < capacity.Regions && n > capacity.NodesPerRegion; r++ {
		summary := peer.RegionSummary{Region: fmt.Sprintf("region-%d", r), Nodes: capacity.NodesPerRegion}
		for m := range capacity.Models {
			summary.Load = append(summary.Load, peer.PoolLoad{Model: fmt.Sprintf("advice-70b-%d", m), Slots: 80, Running: 60})
		}
		in.regions = append(in.regions, summary)
	}
	return in
}

// BenchmarkCapacityPlan computes the homes of all groups without a cache.
func BenchmarkCapacityPlan(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			in := benchPlanInput(n)
			b.ReportAllocs()
			for b.Loop() {
				new(planner).plan(in)
			}
		})
	}
}

// maxReplanBytes is the largest allocation of a plan after a change of load. At
// ten plans a second this keeps garbage collection far below 0.1% of a core.
const maxReplanBytes = 64 << 10

// BenchmarkCapacityReplan computes a plan after a change of load, which happens
// with every probe.
func BenchmarkCapacityReplan(b *testing.B) {
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			in := benchPlanInput(n)
			var p planner
			p.plan(in)
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				in.nodes[0].Load = []peer.PoolLoad{{Model: "advice-70b-0", Slots: 56, Running: b.N % 56}}
				p.plan(in)
			}
			runtime.ReadMemStats(&after)
			bytes := float64(after.TotalAlloc-before.TotalAlloc) / float64(b.N)
			if bytes > maxReplanBytes {
				b.Fatalf("plan after a change of load: got %.0f bytes allocated, want at most %d", bytes, maxReplanBytes)
			}
		})
	}
}

// TestPlannerRecomputesOnEveryInputChange verifies that after each kind of change
// a planner with cached homes makes the same plan as a new planner.
func TestPlannerRecomputesOnEveryInputChange(t *testing.T) {
	in := benchPlanInput(capacity.Nodes)
	var cached planner
	check := func(change string) {
		t.Helper()
		want, got := new(planner).plan(in), cached.plan(in)
		if !reflect.DeepEqual(want, got) {
			t.Errorf("after %s: got a plan of the cached planner that differs from a new planner's, want them equal", change)
		}
	}
	check("no change")
	in.nodes = slices.Clone(in.nodes)
	in.nodes[0].Load = []peer.PoolLoad{{Model: "advice-70b-0", Slots: 56, Running: 9}}
	check("a change of load")
	in.nodes[1].Leaving = true
	check("a node starting to leave")
	in.nodes = in.nodes[:len(in.nodes)-2]
	check("the failure of two nodes")
	in.sessionNodes = in.sessionNodes[:len(in.sessionNodes)-9]
	check("a change of the session rows")
	in.regions = in.regions[1:]
	check("the loss of a region")
	in.snapshot = in.snapshot.Apply(object.Record{Revision: 8, Changes: []object.Change{{DeletedPlacement: "advice-000"}}})
	check("a change of configuration")
	in.hosts = maps.Clone(in.hosts)
	moved := in.hosts["worker-0004"]
	moved.Region = "region-0"
	in.hosts["worker-0004"] = moved
	in.hostsVersion++
	check("a change of the host list")
}

// benchObservation returns an observe function that reports every member ready
// for its placement at now.
func benchObservation(in planInput, now time.Time) func(string) health.Observation {
	seen := make(map[string]health.Observation)
	for _, p := range in.snapshot.Placements {
		for _, member := range p.Members {
			seen[member] = health.Observation{SeenAt: now, State: endpoint.State{Host: member, State: endpoint.EngineReady, Group: p.Group, Generation: p.Generation, Model: p.Model, ModelVersion: p.ModelVersion, Slots: 8}}
		}
	}
	return func(host string) health.Observation { return seen[host] }
}

// BenchmarkCapacityHomeConfigure computes and sets the dispatch targets of a home.
func BenchmarkCapacityHomeConfigure(b *testing.B) {
	in := benchPlanInput(capacity.Nodes)
	now := time.Now()
	observe := benchObservation(in, now)
	var groups []string
	for _, g := range in.snapshot.Groups() {
		groups = append(groups, g.Name)
	}
	for _, owned := range []int{groupsPerHome, 2 * groupsPerHome, len(groups) / capacity.Regions} {
		b.Run(fmt.Sprintf("groups=%d", owned), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			home := dispatch.NewHome(ctx, endpoint.NewClient(), suspects{suspect.New()}, nil)
			defer home.Wait()
			defer cancel()
			plan := &routePlan{owned: map[string][]string{"advice-70b-0": groups[:owned]}}
			b.ReportAllocs()
			for b.Loop() {
				home.Configure(queueRanks(in.snapshot.Ranks()), targetsOf(plan, in.snapshot, in.hosts, observe, time.Hour, now))
			}
		})
	}
}
