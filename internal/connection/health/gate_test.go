package health

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/version/object"
)

const (
	testInterval = 500 * time.Millisecond
	testTimeout  = 300 * time.Millisecond
	testMaxAge   = 5 * time.Second
	// maxDetectionTime is how long a missing member may stay undetected: one
	// probe interval and one probe timeout.
	maxDetectionTime = testInterval + testTimeout
	testMembers      = 4
)

// fakeMember is the real state of one host, which replies, refuses connections
// or does not reply.
type fakeMember struct {
	mu      sync.Mutex
	state   endpoint.State
	crashed bool
	silent  bool
	// missingSince is when the group became incomplete because of this member;
	// zero while the member is ready for the placement.
	missingSince time.Time
}

func (m *fakeMember) probe(ctx context.Context) (endpoint.State, error) {
	m.mu.Lock()
	state, crashed, silent := m.state, m.crashed, m.silent
	m.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return endpoint.State{}, ctx.Err()
	case crashed:
		return endpoint.State{}, errors.New("connection refused")
	default:
		return state, nil
	}
}

// change applies f and updates missingSince for the placement p.
func (m *fakeMember) change(p *object.Placement, f func(*fakeMember)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
	ready := !m.crashed && !m.silent && m.state.State == endpoint.EngineReady && m.state.Generation == p.Generation
	switch {
	case ready:
		m.missingSince = time.Time{}
	case m.missingSince.IsZero():
		m.missingSince = time.Now()
	}
}

func (m *fakeMember) missingFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.missingSince.IsZero() {
		return 0
	}
	return now.Sub(m.missingSince)
}

// groupFixture is a group with its fake members and the prober of its home
// node.
type groupFixture struct {
	placement *object.Placement
	members   map[string]*fakeMember
	names     []string
	prober    *Prober
	accepted  int
}

func newGroupFixture() *groupFixture {
	f := &groupFixture{
		placement: &object.Placement{Group: "g", Generation: 7, Model: "m", ModelVersion: "1", Phase: object.PhaseServing},
		members:   map[string]*fakeMember{},
	}
	var hosts []hostlist.Host
	for i := range testMembers {
		name := fmt.Sprintf("h%d", i)
		f.names = append(f.names, name)
		f.members[name] = &fakeMember{state: f.readyState(name)}
		hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleEngine})
	}
	f.placement.Members = f.names
	probe := func(ctx context.Context, host hostlist.Host) (endpoint.State, error) {
		return f.members[host.Name].probe(ctx)
	}
	f.prober = NewProber(Options{Interval: testInterval, Timeout: testTimeout, Workers: 8}, probe, tally.NoopScope)
	f.prober.SetHosts(hosts)
	return f
}

func (f *groupFixture) readyState(name string) endpoint.State {
	p := f.placement
	return endpoint.State{Host: name, State: endpoint.EngineReady, Group: p.Group, Generation: p.Generation, Model: p.Model, ModelVersion: p.ModelVersion}
}

// checkGate asks the gate whether the group is open for a request. It fails the
// test if the group is open although a member has been missing for too long.
func (f *groupFixture) checkGate(t *testing.T) {
	now := time.Now()
	open, _ := IsOpen(f.placement, f.prober.Observation, testMaxAge, now)
	if !open {
		return
	}
	f.accepted++
	for name, m := range f.members {
		if missing := m.missingFor(now); missing > maxDetectionTime {
			t.Fatalf("a request was accepted although member %s has been missing for %s, want at most maxDetectionTime", name, missing)
		}
	}
}

// memberEvents are the changes of a member that the test applies at random.
var memberEvents = []func(f *groupFixture, m *fakeMember, name string){
	func(f *groupFixture, m *fakeMember, _ string) {
		m.change(f.placement, func(m *fakeMember) { m.crashed = true })
	},
	func(f *groupFixture, m *fakeMember, _ string) {
		m.change(f.placement, func(m *fakeMember) { m.silent = true })
	},
	func(f *groupFixture, m *fakeMember, _ string) {
		m.change(f.placement, func(m *fakeMember) { m.silent = false })
	},
	func(f *groupFixture, m *fakeMember, name string) { // restarts without weights
		m.change(f.placement, func(m *fakeMember) {
			m.crashed, m.state = false, endpoint.State{Host: name, State: endpoint.EngineIdle}
		})
	},
	func(f *groupFixture, m *fakeMember, name string) { // reloads the placement
		m.change(f.placement, func(m *fakeMember) {
			m.crashed, m.silent, m.state = false, false, f.readyState(name)
			m.state.State = endpoint.EngineLoading
		})
	},
	func(f *groupFixture, m *fakeMember, name string) { // returns with an old generation
		m.change(f.placement, func(m *fakeMember) {
			m.crashed, m.silent, m.state = false, false, f.readyState(name)
			m.state.Generation--
		})
	},
	func(f *groupFixture, m *fakeMember, name string) { // returns ready
		m.change(f.placement, func(m *fakeMember) { m.crashed, m.silent, m.state = false, false, f.readyState(name) })
	},
}

// TestInvariantGroupWhole verifies that no request is accepted once a member
// has been missing for longer than maxDetectionTime. Members crash, become
// silent, reload and return at random while the gate is checked every 20 ms.
func TestInvariantGroupWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rounds, seed = 2000, 5
		random := rand.New(rand.NewPCG(seed, seed))
		f := newGroupFixture()
		stop := f.startProber(t)
		defer stop()
		for range rounds {
			name := f.names[random.IntN(len(f.names))]
			event := random.IntN(len(memberEvents) * 2)
			if event >= len(memberEvents) {
				event = len(memberEvents) - 1
			}
			memberEvents[event](f, f.members[name], name)
			f.checkGateFor(t, time.Duration(random.Int64N(int64(3*time.Second))))
		}
		const minAccepted = 1000
		if f.accepted < minAccepted {
			t.Errorf("%d requests were accepted, want at least %d for the test to be meaningful", f.accepted, minAccepted)
		}
	})
}

// TestGateClosesWithoutProbes verifies that the gate closes when the home node
// sends no probes, as during a pause of its process.
func TestGateClosesWithoutProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFixture()
		stop := f.startProber(t)
		time.Sleep(testInterval)
		stop()
		if open, reason := IsOpen(f.placement, f.prober.Observation, testMaxAge, time.Now()); !open {
			t.Fatalf("the gate is closed after the first probes, want open: %s", reason)
		}
		time.Sleep(testMaxAge + time.Millisecond)
		if open, _ := IsOpen(f.placement, f.prober.Observation, testMaxAge, time.Now()); open {
			t.Error("the gate is open on observations older than the maximum age, want closed")
		}
	})
}

// TestSilentHostsDoNotDelayOthers verifies that a ready group stays open while
// far more hosts than there are workers do not reply, and that no changes are
// reported until a member crashes.
func TestSilentHostsDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newGroupFixture()
		var hosts []hostlist.Host
		for _, name := range f.names {
			hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleEngine})
		}
		for i := range 200 {
			name := fmt.Sprintf("silent%d", i)
			f.members[name] = &fakeMember{silent: true}
			hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleEngine})
		}
		f.prober.SetHosts(hosts)
		defer f.startProber(t)()
		time.Sleep(time.Minute)
		changes := f.prober.Subscribe()
		defer changes.Close()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if open, reason := IsOpen(f.placement, f.prober.Observation, 3*testInterval, time.Now()); !open {
				t.Fatalf("the gate is closed, want open: %s", reason)
			}
		}
		if changed := changes.Take(); len(changed) != 0 {
			t.Errorf("changed hosts %v, want none", changed)
		}
		f.members["h0"].change(f.placement, func(m *fakeMember) { m.crashed = true })
		<-changes.C
		if changed := changes.Take(); len(changed) != 1 || changed[0] != "h0" {
			t.Errorf("changed hosts %v, want only h0", changed)
		}
	})
}

func (f *groupFixture) startProber(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.prober.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// checkGateFor calls checkGate every 20 ms for the time d.
func (f *groupFixture) checkGateFor(t *testing.T, d time.Duration) {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		f.checkGate(t)
	}
}
