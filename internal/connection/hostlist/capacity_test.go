package hostlist_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/standin/platform"
)

// pollInterval is the default interval between reads of the list.
const pollInterval = time.Second

// servePlatform serves the host list of a fleet of n nodes from the stand-in of
// the platform. The listener counts the bytes.
func servePlatform(b *testing.B, n int) (*platform.Platform, *capacity.CountingListener) {
	p := platform.New(platform.Options{})
	for i := range capacity.Hosts * n / capacity.Nodes {
		region := capacity.Region(i/capacity.GroupMembers, n)
		p.ChangeHost(platform.HostChange{Host: &hostlist.Host{Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Role: hostlist.RoleEngine, Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-domain-1", region), FabricDomain: fmt.Sprintf("region-%d-domain-1-fabric-%d", region, i/40), State: hostlist.StateLive}})
	}
	for i := range n {
		region := capacity.Region(i, n)
		p.ChangeHost(platform.HostChange{Host: &hostlist.Host{Name: fmt.Sprintf("node-%03d", i), Address: fmt.Sprintf("10.2.%d.%d:7443", i/250, i%250), Role: hostlist.RoleNode, Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-domain-1", region), State: hostlist.StateLive}})
	}
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &capacity.CountingListener{Listener: tcpListener}
	server := &http.Server{Handler: p.Handler()}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return p, listener
}

// BenchmarkCapacityHostList polls the list over loopback while hosts change at the
// planned daily rate. It reports the bytes and the time a node spends, and fails
// if a node reads more than capacity.HostListBytesPerSecond.
func BenchmarkCapacityHostList(b *testing.B) {
	const polls = 600
	const day = 24 * time.Hour
	pollsPerChange := int(day / pollInterval / capacity.HostChangesPerDay)
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			p, listener := servePlatform(b, n)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := hostlist.NewClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
			if _, err := client.List(context.Background()); err != nil {
				b.Fatal(err)
			}
			firstListBytes := listener.Bytes()
			for b.Loop() {
				for i := range polls {
					if i%pollsPerChange == 0 {
						p.ChangeHost(platform.HostChange{Host: &hostlist.Host{Name: "node-000", Role: hostlist.RoleNode, Address: fmt.Sprintf("10.3.0.1:%d", i+1), State: hostlist.StateLive}})
					}
					if _, err := client.List(context.Background()); err != nil {
						b.Fatal(err)
					}
				}
			}
			seconds := float64(b.N) * polls * pollInterval.Seconds()
			perSecond := float64(listener.Bytes()-firstListBytes) / seconds
			if perSecond > capacity.HostListBytesPerSecond {
				b.Errorf("host list read by a node: got %.0f bytes a second, want at most %d", perSecond, capacity.HostListBytesPerSecond)
			}
			b.ReportMetric(float64(firstListBytes), "bytes/list")
			b.ReportMetric(perSecond, "wire-bytes/node/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/node/s")
			b.ReportMetric(float64(n)/pollInterval.Seconds(), "reads/s")
		})
	}
}

// TestListAfterChange verifies that each read returns every change and a later
// time of the list, whether or not the service sends the hosts again.
func TestListAfterChange(t *testing.T) {
	p := platform.New(platform.Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := hostlist.NewClient(server.URL, server.Client())
	read := func() hostlist.List {
		t.Helper()
		list, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	last := read()
	for _, change := range []platform.HostChange{
		{Host: &hostlist.Host{Name: "a", State: hostlist.StateLive}},
		{Host: &hostlist.Host{Name: "b", State: hostlist.StateLive}},
		{Host: &hostlist.Host{Name: "a", State: hostlist.StateLeaving}},
		{Drop: "a"},
	} {
		p.ChangeHost(change)
		for range 2 {
			list := read()
			if !slices.Equal(list.Hosts, p.Hosts().Hosts) {
				t.Errorf("after change %+v: got hosts %+v, want those of the platform", change, list.Hosts)
			}
			if !list.AsOf.After(last.AsOf) {
				t.Errorf("got lists of %s and then %s, want a later time", last.AsOf, list.AsOf)
			}
			last = list
		}
	}
}

// BenchmarkCapacityHostListUnchanged polls an unchanged list from a server that
// does nothing else, and reports the heap that the list occupies.
func BenchmarkCapacityHostListUnchanged(b *testing.B) {
	p, _ := servePlatform(b, capacity.Nodes)
	body, err := json.Marshal(p.Hosts())
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1"`)
		if r.Header.Get("If-None-Match") != "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(body)
	}))
	defer server.Close()
	client := hostlist.NewClient(server.URL, server.Client())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	list, err := client.List(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		if _, err := client.List(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	runtime.KeepAlive(list)
	b.ReportMetric(float64(len(list.Hosts)), "hosts")
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
}
