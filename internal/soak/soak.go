// Package soak runs nodes as processes on loopback against the stand-in of the
// users' platform, injects faults through signals and relays, and checks the
// guarantees of the system by what callers and hosts see. The soak command and
// TestSoak call it. A seed determines the schedule of faults, but not the
// timing inside the processes.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// Options of a run.
type Options struct {
	// ProgramPath is the path of the currantladder binary.
	ProgramPath string
	Seed        int64
	// InjectionDuration is how long new faults are started.
	InjectionDuration time.Duration
	// Nodes is the number of nodes, 1 to maxNodes.
	Nodes int
	// Dir is the folder for settings and logs.
	Dir string
	// Faults are the names of the faults to choose from; nil for all.
	Faults []string
	// Progress receives a line for each fault; nil for none.
	Progress io.Writer
}

const (
	domainCount         = 2
	modelHostsPerDomain = 6
	plainHostCount      = 3
	spareHostCount      = 2
	callersPerNode      = 8
	// meanFaultInterval is the mean time between the starts of two faults. A
	// fault lasts up to maxFaultDuration, so faults overlap.
	meanFaultInterval = 900 * time.Millisecond
	// startTimeout and recoveryTimeout are how long the nodes may take until
	// all of them serve, after the start and after the last fault.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	// callerBackoff is the delay of a caller after a failed request.
	callerBackoff = 100 * time.Millisecond
	// requestTimeout is how long callers wait for the end of a request.
	requestTimeout = 4 * time.Second
	// minServedShare is the platform's lower bound for the share of requests
	// that are served after recovery. servedWindow is the time over which they
	// are counted.
	minServedShare = 0.25
	servedWindow   = 2 * time.Second
)

var hostTiming = standin.Timing{
	Load: 800 * time.Millisecond, StagedLoad: 150 * time.Millisecond, ReloadPrevious: 50 * time.Millisecond, Form: 50 * time.Millisecond,
	EventInterval: 25 * time.Millisecond, StallTimeout: 2 * time.Second, Lapse: hostRegistrationTTL,
}

// groupSizes maps each model to the number of hosts in its groups.
var groupSizes = map[string]int{"big": 3, "small": 2}

// soakHost is a host that is reached through its own relay.
type soakHost struct {
	host  *standin.Host
	relay *relay
}

// Soak is one run.
type Soak struct {
	options Options
	store   *standin.Store
	ledger  *standin.Ledger
	fleet   *standin.Fleet
	nodes   []*node

	started      time.Time
	disturbances disturbances
	rotation     *rotation

	// replacements counts the starts of hosts in place of crashed ones.
	replacements sync.WaitGroup

	mu sync.Mutex
	// hosts starts with the model hosts; plain hosts follow.
	hosts          []*soakHost
	modelHostCount int
	// modelHostsAdded is the number of model hosts started so far. The IDs of
	// new ones continue from it.
	modelHostsAdded int
	// evacuating holds the failure domains that a fault evacuates, and storeFaults is true
	// if faults of the store are played beside it. cold is true if hosts are cold after their
	// start and the nodes limit what they send to them.
	evacuating  evacuationLock
	storeFaults bool
	cold        bool
	// speaking holds the hosts that a fault makes say something of themselves.
	speaking map[*standin.Host]bool
	// revision is the last revision of the configuration in the store.
	revision int64
	// variation is what the last revision says.
	variation variation
	// timeouts are the route timeouts of all revisions.
	timeouts []writtenTimeout

	// progressMu orders the lines of progress.
	progressMu sync.Mutex

	// sent holds the requests of the callers.
	sent sentRequests

	requestsServed, requestsSent atomic.Int64
}

// Report is the result of a run.
type Report struct {
	Seed                         int64
	Faults                       int
	RequestsSent, RequestsServed int64
	// Violations describes each violation of a guarantee.
	Violations []string
}

// maxViolationsInReport is the number of violations that String spells out.
const maxViolationsInReport = 5

// String returns the report on one line, with the first violations.
func (r Report) String() string {
	verdict := "ok"
	if n := len(r.Violations); n > 0 {
		verdict = fmt.Sprintf("BROKEN %d times: %s", n, strings.Join(r.Violations[:min(n, maxViolationsInReport)], "; "))
	}
	return fmt.Sprintf("seed %d: %d faults, %d of %d requests served, %s", r.Seed, r.Faults, r.RequestsServed, r.RequestsSent, verdict)
}

// Run runs one seed and blocks until the run has ended. Violations are in the
// report; an error means that the harness failed or was interrupted, not that
// the system failed.
func Run(ctx context.Context, o Options) (Report, error) {
	chosen, err := chooseFaults(o.Faults)
	if err != nil {
		return Report{}, err
	}
	s := &Soak{options: o, store: standin.NewStore(), ledger: standin.NewLedger(), speaking: map[*standin.Host]bool{}, started: time.Now()}
	server := httptest.NewServer(s.store)
	defer server.Close()
	s.fleet = standin.NewFleet(s.store, s.ledger, hostTiming, groupSizes)
	s.fleet.Crashing.OnCrash = s.replaceCrashed
	s.storeFaults = slices.ContainsFunc(chosen, func(f fault) bool { return strings.Contains(f.name, "store") })
	if s.cold = slices.ContainsFunc(chosen, func(f fault) bool { return slices.Contains(faultNames(coldFaults), f.name) }); s.cold {
		s.fleet.ColdTime = coldTime
	}
	s.changeConfiguration(defaultVariation)
	if o.Nodes < 1 || o.Nodes > maxNodes {
		return Report{}, fmt.Errorf("invalid number of nodes %d: choose 1 to %d", o.Nodes, maxNodes)
	}
	if err := s.startFleet(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return Report{}, err
	}
	defer s.tearDown()
	if !s.waitUntilServing(ctx, startTimeout) {
		s.ledger.RecordViolation("not all nodes served within %v of the start", startTimeout)
		return s.report(0), nil
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	s.rotation = newRotation(loadCtx, s.nodes)
	for i := range s.nodes {
		for c := range callersPerNode {
			callers.Go(func() { s.runCaller(loadCtx, i, c) })
		}
	}
	injected := s.injectFaults(ctx, chosen)
	odd := slices.ContainsFunc(chosen, func(f fault) bool { return f.name == oddRegistrations })
	if odd {
		s.registerOddEntries(rand.New(rand.NewSource(o.Seed)))
	}
	if served := s.waitUntilServing(ctx, recoveryTimeout); ctx.Err() != nil {
		stopLoad()
		callers.Wait()
		return Report{}, fmt.Errorf("seed %d was interrupted: %w", s.options.Seed, ctx.Err())
	} else if !served {
		s.ledger.RecordViolation("not all nodes serve %v after the last fault", recoveryTimeout)
	}
	sent, served := s.requestsSent.Load(), s.requestsServed.Load()
	time.Sleep(servedWindow)
	sent, served = s.requestsSent.Load()-sent, s.requestsServed.Load()-served
	s.verifyFollowing(ctx)
	stopLoad()
	callers.Wait()
	if share := float64(served) / float64(max(sent, 1)); share < minServedShare {
		s.ledger.RecordViolation("%.0f%% of the requests were served after recovery", 100*share)
	}
	return s.report(injected), nil
}

func (s *Soak) report(faults int) Report {
	if violations := s.ledger.Violations(); len(violations) > 0 {
		content := []byte(strings.Join(violations, "\n") + "\n")
		s.recordHarnessError(os.WriteFile(filepath.Join(s.options.Dir, "violations.txt"), content, 0o600))
	}
	return Report{Seed: s.options.Seed, Faults: faults, RequestsSent: s.requestsSent.Load(), RequestsServed: s.requestsServed.Load(), Violations: s.ledger.Violations()}
}

// startFleet starts the hosts and the nodes. storeAddress is the address of the
// store.
func (s *Soak) startFleet(storeAddress string) error {
	for d := range domainCount {
		for range modelHostsPerDomain {
			s.modelHostsAdded++
			host, err := s.addHost(fmt.Sprintf("m%d", s.modelHostsAdded), "models", fmt.Sprintf("z%d", d), fmt.Sprintf("d%d", d))
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, host)
		}
	}
	s.modelHostCount = len(s.hosts)
	for i := range plainHostCount {
		host, err := s.addHost(fmt.Sprintf("p%d", i), "plain", fmt.Sprintf("z%d", i), "")
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, host)
	}
	for i := range spareHostCount {
		host, err := s.addHost(fmt.Sprintf("q%d", i), spareService, fmt.Sprintf("z%d", i), "")
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, host)
	}
	for i := range s.options.Nodes {
		n, err := newNode(s.options, i, storeAddress, s.cold)
		if err != nil {
			return err
		}
		n.onOwnEnd = func(state *os.ProcessState) { s.ledger.RecordViolation("%s ended by itself: %v", n.name, state) }
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts a host that is registered under the address of a new relay.
func (s *Soak) addHost(id, service, zone, domain string) (*soakHost, error) {
	var hostRelay *relay
	host, err := s.fleet.AddWithProxy(id, service, zone, domain, func(address string) (string, error) {
		var err error
		if hostRelay, err = newRelay(address); err != nil {
			return "", err
		}
		return hostRelay.address(), nil
	})
	return &soakHost{host, hostRelay}, err
}

// injectFaults starts faults for InjectionDuration, waits until all have ended
// and returns their number.
func (s *Soak) injectFaults(ctx context.Context, chosen []fault) int {
	r := rand.New(rand.NewSource(s.options.Seed))
	var active sync.WaitGroup
	// nodeFaults serializes the faults that signal or restart nodes, so that no
	// two of them act on the same node at the same time.
	var nodeFaults sync.Mutex
	var injected atomic.Int64
	for end := time.Now().Add(s.options.InjectionDuration); time.Now().Before(end) && ctx.Err() == nil; {
		f := chosen[r.Intn(len(chosen))]
		faultRand := rand.New(rand.NewSource(r.Int63()))
		s.progress("%s", f.name)
		active.Go(func() {
			if strings.Contains(f.name, "node") && !strings.Contains(f.name, "store") {
				nodeFaults.Lock()
				defer nodeFaults.Unlock()
				if time.Now().After(end) {
					return
				}
			}
			injected.Add(1)
			f.inject(s, faultRand)
		})
		time.Sleep(time.Duration(r.Int63n(int64(2 * meanFaultInterval))))
	}
	active.Wait()
	return int(injected.Load())
}

// chooseFaults returns the faults with the given names, or all for no names.
func chooseFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var chosen []fault
	for _, name := range names {
		all := slices.Concat(faults, faultsByName)
		i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown fault %q: choose from %q and %q", name, FaultNames(), FaultNamesOnRequest())
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// FaultNames returns the names of the kinds of fault that a run chooses from by default.
func FaultNames() []string { return faultNames(faults) }

// FaultNamesOnRequest returns the names of the kinds of fault that are played only by name.
func FaultNamesOnRequest() []string { return faultNames(faultsByName) }

func faultNames(faults []fault) []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

// openDelays are the times between the opening of a connection and its request, by the number
// of the request.
var openDelays = []time.Duration{0, 0, 100 * time.Millisecond, 700 * time.Millisecond}

// runCaller sends requests of all kinds to one node until ctx ends. The first half of the
// callers reuses connections until the node closes them, the others open one for each request.
// On odd seeds, connections are opened only to nodes in rotation.
func (s *Soak) runCaller(ctx context.Context, node, callerIndex int) {
	channel := &standin.Channel{Keep: callerIndex < callersPerNode/2}
	defer channel.Close()
	caller := &standin.Caller{HTTP: &http.Client{Transport: channel}, Ledger: s.ledger, Host: "a.example", Key: "key", Model: "big"}
	if callerIndex%2 == 1 {
		caller.Model = "small"
	}
	address := s.nodes[node].callerAddress
	models := func(h *standin.Host) bool { return h.Domain != "" }
	plain := func(h *standin.Host) bool { return h.Domain == "" }
	for i := 0; ctx.Err() == nil; i++ {
		if s.options.Seed%2 == 1 && !channel.Open() && !s.rotation.gets(node) {
			time.Sleep(callerBackoff)
			continue
		}
		id := fmt.Sprintf("s%d-n%d-c%d-%d", s.options.Seed, node, callerIndex, i)
		var outcome standin.Outcome
		request := sentRequest{node: s.nodes[node], id: id, mayRunAt: plain}
		if !channel.Keep {
			channel.OpenDelay = openDelays[i%len(openDelays)]
		}
		request.sentAt = time.Now().Add(channel.OpenDelay)
		s.sent.add(id, s.nodes[node], request.sentAt)
		switch i % 5 {
		case 0:
			outcome = caller.Call(ctx, http.MethodPost, address, "/unsafe/1", id, requestTimeout)
		case 1:
			outcome = caller.Call(ctx, http.MethodGet, address, "/safe/1", id, requestTimeout)
		default:
			request.mayRunAt = models
			outcome = caller.Stream(ctx, address, "/stream/1", id, 10+i%30, requestTimeout)
		}
		if outcome.Complete {
			s.sent.passedOn(id, time.Now())
		}
		s.judge(request, outcome)
		s.requestsSent.Add(1)
		if outcome.Complete {
			s.requestsServed.Add(1)
		} else {
			time.Sleep(callerBackoff)
		}
	}
}

// waitUntilServing waits until every node serves streams of each model and plain
// calls. It returns false if the timeout passes or ctx ends before.
func (s *Soak) waitUntilServing(ctx context.Context, timeout time.Duration) bool {
	caller := &standin.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Ledger: s.ledger, Host: "a.example", Key: "key", Model: "big"}
	deadline := time.Now().Add(timeout)
	for i := 0; ; i++ {
		allServed := true
		for n, node := range s.nodes {
			id := fmt.Sprintf("s%d-probe%d-%d", s.options.Seed, n, i)
			for m := range groupSizes {
				caller.Model = m
				allServed = allServed && caller.Stream(ctx, node.callerAddress, "/stream/1", id+m+fmt.Sprint(time.Now().UnixNano()), 3, requestTimeout).Complete
			}
			allServed = allServed && caller.Call(ctx, http.MethodPost, node.callerAddress, "/unsafe/1", fmt.Sprint(id, "-u", time.Now().UnixNano()), requestTimeout).Complete
		}
		if allServed {
			return true
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// tearDown terminates the processes and closes the listeners of the run.
func (s *Soak) tearDown() {
	for _, n := range s.nodes {
		n.terminate(syscall.SIGKILL, stopTimeout)
		n.storeRelay.close()
		n.log.Close()
	}
	s.replacements.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		h.host.Close()
		h.relay.close()
	}
}

// progress writes a line about the run if the options ask for it.
func (s *Soak) progress(format string, args ...any) {
	if s.options.Progress == nil {
		return
	}
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	fmt.Fprintf(s.options.Progress, "seed %d: %v: %s\n", s.options.Seed, time.Since(s.started).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

// recordHarnessError records an error of the harness as a violation, so that
// the run fails.
func (s *Soak) recordHarnessError(err error) {
	if err != nil {
		s.ledger.RecordViolation("soak harness failed: %v", err)
	}
}

func replaceOnce(text, old, replacement string) string {
	return strings.Replace(text, old, replacement, 1)
}
