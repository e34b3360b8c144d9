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
	testPeriod  = 500 * time.Millisecond
	testTimeout = 300 * time.Millisecond
	testBound   = 5 * time.Second
	// testDetection is how long a missing member may go unnoticed: until the
	// next probe, and that probe's timeout.
	testDetection = testPeriod + testTimeout
	testMembers   = 4
)

// member is the truth about one host: it answers, refuses or says nothing.
type member struct {
	mu      sync.Mutex
	state   endpoint.State
	crashed bool
	silent  bool
	// missing is since when the group is not whole because of this member.
	missing time.Time
}

func (m *member) probe(ctx context.Context) (endpoint.State, error) {
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

// change applies f and notes whether the member now is missing from p.
func (m *member) change(p *object.Placement, f func(*member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
	whole := !m.crashed && !m.silent && m.state.State == endpoint.EngineReady && m.state.Generation == p.Generation
	switch {
	case whole:
		m.missing = time.Time{}
	case m.missing.IsZero():
		m.missing = time.Now()
	}
}

func (m *member) missingFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.missing.IsZero() {
		return 0
	}
	return now.Sub(m.missing)
}

// fleet is a group with its members and the prober of its home node.
type fleet struct {
	placement *object.Placement
	members   map[string]*member
	names     []string
	prober    *Prober
	accepted  int
}

func newFleet() *fleet {
	f := &fleet{
		placement: &object.Placement{Group: "g", Generation: 7, Model: "m", ModelVersion: "1", Phase: object.PhaseServing},
		members:   map[string]*member{},
	}
	var hosts []hostlist.Host
	for i := range testMembers {
		name := fmt.Sprintf("h%d", i)
		f.names = append(f.names, name)
		f.members[name] = &member{state: f.ready(name)}
		hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleEngine})
	}
	f.placement.Members = f.names
	probe := func(ctx context.Context, host hostlist.Host) (endpoint.State, error) {
		return f.members[host.Name].probe(ctx)
	}
	f.prober = NewProber(Options{Period: testPeriod, Timeout: testTimeout, Workers: 8}, probe, tally.NoopScope)
	f.prober.SetHosts(hosts)
	return f
}

func (f *fleet) ready(name string) endpoint.State {
	p := f.placement
	return endpoint.State{Host: name, State: endpoint.EngineReady, Group: p.Group, Generation: p.Generation, Model: p.Model, ModelVersion: p.ModelVersion}
}

// offer sends one request to the gate and checks its verdict against the truth.
func (f *fleet) offer(t *testing.T) {
	now := time.Now()
	open, _ := Open(f.placement, f.prober.Observation, testBound, now)
	if !open {
		return
	}
	f.accepted++
	for name, m := range f.members {
		if missing := m.missingFor(now); missing > testDetection {
			t.Fatalf("a request was accepted although member %s has been missing for %s", name, missing)
		}
	}
}

// events change one member at random.
var events = []func(f *fleet, m *member, name string){
	func(f *fleet, m *member, _ string) { m.change(f.placement, func(m *member) { m.crashed = true }) },
	func(f *fleet, m *member, _ string) { m.change(f.placement, func(m *member) { m.silent = true }) },
	func(f *fleet, m *member, _ string) { m.change(f.placement, func(m *member) { m.silent = false }) },
	func(f *fleet, m *member, name string) { // restarts without weights
		m.change(f.placement, func(m *member) {
			m.crashed, m.state = false, endpoint.State{Host: name, State: endpoint.EngineIdle}
		})
	},
	func(f *fleet, m *member, name string) { // loads the placement again
		m.change(f.placement, func(m *member) {
			m.crashed, m.silent, m.state = false, false, f.ready(name)
			m.state.State = endpoint.EngineLoading
		})
	},
	func(f *fleet, m *member, name string) { // returns with an old generation
		m.change(f.placement, func(m *member) {
			m.crashed, m.silent, m.state = false, false, f.ready(name)
			m.state.Generation--
		})
	},
	func(f *fleet, m *member, name string) { // returns whole
		m.change(f.placement, func(m *member) { m.crashed, m.silent, m.state = false, false, f.ready(name) })
	},
}

// TestInvariantGroupWhole kills, freezes, cuts off and returns members of a
// group at random while requests come every 20 ms: none is accepted once a
// member has been missing for longer than one probe takes to notice.
func TestInvariantGroupWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rounds, seed = 2000, 5
		random := rand.New(rand.NewPCG(seed, seed))
		f := newFleet()
		stop := f.start(t)
		defer stop()
		for range rounds {
			name := f.names[random.IntN(len(f.names))]
			event := random.IntN(len(events) * 2)
			if event >= len(events) {
				event = len(events) - 1
			}
			events[event](f, f.members[name], name)
			f.play(t, time.Duration(random.Int64N(int64(3*time.Second))))
		}
		const leastAccepted = 1000
		if f.accepted < leastAccepted {
			t.Errorf("only %d requests were accepted, want at least %d for the test to mean something", f.accepted, leastAccepted)
		}
	})
}

// TestGateClosesWithoutProbes stops the probes of the home node itself, as a
// paused process does.
func TestGateClosesWithoutProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		stop := f.start(t)
		time.Sleep(testPeriod)
		stop()
		if open, why := Open(f.placement, f.prober.Observation, testBound, time.Now()); !open {
			t.Fatalf("closed at first: %s", why)
		}
		time.Sleep(testBound + time.Millisecond)
		if open, _ := Open(f.placement, f.prober.Observation, testBound, time.Now()); open {
			t.Error("open on observations older than the bound")
		}
	})
}

// TestSilentHostsDoNotDelayOthers lets far more hosts fall silent than there
// are workers; a whole group among them must stay open.
func TestSilentHostsDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var hosts []hostlist.Host
		for _, name := range f.names {
			hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleEngine})
		}
		for i := range 200 {
			name := fmt.Sprintf("dark%d", i)
			f.members[name] = &member{silent: true}
			hosts = append(hosts, hostlist.Host{Name: name, Role: hostlist.RoleEngine})
		}
		f.prober.SetHosts(hosts)
		defer f.start(t)()
		time.Sleep(time.Minute)
		changes := f.prober.Subscribe()
		defer changes.Close()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if open, why := Open(f.placement, f.prober.Observation, 3*testPeriod, time.Now()); !open {
				t.Fatalf("the gate closed: %s", why)
			}
		}
		if changed := changes.Take(); len(changed) != 0 {
			t.Errorf("changes reported without a change: %v", changed)
		}
		f.members["h0"].change(f.placement, func(m *member) { m.crashed = true })
		<-changes.C
		if changed := changes.Take(); len(changed) != 1 || changed[0] != "h0" {
			t.Errorf("changed hosts %v, want h0", changed)
		}
	})
}

func (f *fleet) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.prober.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// play offers requests for the given time.
func (f *fleet) play(t *testing.T, d time.Duration) {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		f.offer(t)
	}
}
