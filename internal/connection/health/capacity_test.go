package health

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
)

// benchProbeInterval is the default time between two probes of one host.
const benchProbeInterval = 500 * time.Millisecond

// serveStates starts a server that answers every request with the state of one
// engine host. The listener counts the bytes in both directions.
func serveStates(b *testing.B) *capacity.CountingListener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &capacity.CountingListener{Listener: inner}
	state := endpoint.State{Host: "worker-0001", BootID: "8f14e45f-ceea-467f-9a7c-6a1f2c3d4e5f", State: endpoint.EngineReady, Group: "advice-017", Generation: 12, Model: "advice-70b-1", ModelVersion: "2026-03", Members: []string{"10.1.0.1:8000", "10.1.0.2:8000", "10.1.0.3:8000", "10.1.0.4:8000"}, Epoch: 31, Slots: 8}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state)
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener
}

// BenchmarkCapacityProbes probes over loopback. It reports the network bytes per
// second for the hosts of a home node and of a controller at the default probe
// interval, and fails if they exceed capacity.ProbeBytesPerSecond.
func BenchmarkCapacityProbes(b *testing.B) {
	const probes = 400
	for _, role := range []struct {
		name  string
		hosts int
	}{
		{"home", 7 * capacity.GroupMembers},
		{"controller", (capacity.Hosts + capacity.FailureDomains - 1) / capacity.FailureDomains},
	} {
		b.Run(fmt.Sprintf("%s/hosts=%d", role.name, role.hosts), func(b *testing.B) {
			listener := serveStates(b)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			probe := HTTPProbe(&http.Client{Transport: transport})
			host := hostlist.Host{Name: "worker-0001", Address: listener.Addr().String(), Role: hostlist.RoleEngine}
			for b.Loop() {
				for range probes {
					if _, err := probe(context.Background(), host); err != nil {
						b.Fatal(err)
					}
				}
			}
			perSecond := float64(role.hosts) / benchProbeInterval.Seconds()
			bytesPerProbe := float64(listener.Bytes()) / float64(b.N*probes)
			if bytesPerProbe*perSecond > capacity.ProbeBytesPerSecond {
				b.Errorf("the probes of a %s take %.0f bytes per second (%.0f per probe), want at most %d", role.name, bytesPerProbe*perSecond, bytesPerProbe, capacity.ProbeBytesPerSecond)
			}
			b.ReportMetric(bytesPerProbe, "wire-bytes/probe")
			b.ReportMetric(bytesPerProbe*perSecond, "wire-bytes/node/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*probes), "ns/probe")
		})
	}
}

// maxProberBytes is the maximum heap size of a prober with the hosts of one
// node.
const maxProberBytes = 1 << 20

// BenchmarkCapacityProber enqueues all hosts of one prober, probes them without
// I/O and records the results. It reports the heap size of the prober.
func BenchmarkCapacityProber(b *testing.B) {
	for _, hosts := range []int{28, 83, capacity.Hosts / capacity.Regions, capacity.Hosts} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := NewProber(Options{Interval: benchProbeInterval, Timeout: benchProbeInterval}, func(_ context.Context, h hostlist.Host) (endpoint.State, error) {
				return endpoint.State{Host: h.Name, State: endpoint.EngineReady, Slots: 8}, nil
			}, tally.NoopScope)
			var list []hostlist.Host
			for i := range hosts {
				list = append(list, hostlist.Host{Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Role: hostlist.RoleEngine})
			}
			for b.Loop() {
				p.SetHosts(list)
				p.enqueue()
				for range hosts {
					p.probeHost(context.Background(), <-p.healthyQueue)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			runtime.KeepAlive(p)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*hosts), "ns/host")
			b.ReportMetric(heapBytes, "heap-bytes")
			if heapBytes > maxProberBytes {
				b.Fatalf("the prober uses %.0f bytes of heap, want at most %d", heapBytes, maxProberBytes)
			}
		})
	}
}
