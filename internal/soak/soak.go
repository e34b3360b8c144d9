// Package soak runs real processes of the system on loopback against the
// stand-in of the users' platform, disturbs them from outside by signals and
// relays, and checks the promises from what callers and hosts see. Schedules
// are drawn from a seed; the moments at which processes act are not.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// Options of a run.
type Options struct {
	// Program is the path of the currantladder binary.
	Program string
	Seed    int64
	// Length is the time in which faults begin.
	Length time.Duration
	Nodes  int
	// Dir receives settings and logs.
	Dir string
	// Progress receives a line for each fault; nil for none.
	Progress io.Writer
}

// Sizes and times of a run.
const (
	domains        = 2
	hostsPerDomain = 6
	plainHosts     = 3
	callersPerNode = 4
	// faultPause is the mean time between the beginnings of two faults; they
	// last up to maxFault and so overlap.
	faultPause = 900 * time.Millisecond
	// startLimit and recoverLimit are the times in which all nodes must serve
	// after the start and after the last fault.
	startLimit   = 20 * time.Second
	recoverLimit = 15 * time.Second
	// failurePause is how long a caller waits after a failure.
	failurePause = 100 * time.Millisecond
	// requestLimit is the time that callers wait.
	requestLimit = 4 * time.Second
	// minServed is the share of the requests after the recovery that must be
	// served: the platform's bound for it. calm is how long they are counted.
	minServed = 0.25
	calm      = 2 * time.Second
)

var timing = standin.Timing{
	Load: 800 * time.Millisecond, Staged: 150 * time.Millisecond, Rejoin: 50 * time.Millisecond, Form: 50 * time.Millisecond,
	Event: 25 * time.Millisecond, Stall: 2 * time.Second,
}

// models are the group sizes by model.
var models = map[string]int{"big": 3, "small": 2}

// soakHost is a host behind a relay of its own.
type soakHost struct {
	host *standin.Host
	link *relay
}

// Soak is one run.
type Soak struct {
	options Options
	store   *standin.Store
	ledger  *standin.Ledger
	fleet   *standin.Fleet
	nodes   []*node

	mu         sync.Mutex
	hosts      []*soakHost
	modelHosts int
	added      int
	revision   int64

	served, asked atomic.Int64
}

// Report is the result of a run.
type Report struct {
	Seed          int64
	Faults        int
	Asked, Served int64
	// Broken are the broken promises.
	Broken []string
}

// String returns the report on one line.
func (r Report) String() string {
	verdict := "ok"
	if len(r.Broken) > 0 {
		verdict = "BROKEN: " + strings.Join(r.Broken, "; ")
	}
	return fmt.Sprintf("seed %d: %d faults, %d of %d requests served, %s", r.Seed, r.Faults, r.Served, r.Asked, verdict)
}

// Run plays one seed. The error is one of the harness, not of the system.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &Soak{options: o, store: standin.NewStore(), ledger: standin.NewLedger(), revision: 1}
	server := httptest.NewServer(s.store)
	defer server.Close()
	s.fleet = standin.NewFleet(s.store, s.ledger, timing, models)
	s.store.Put("op", "config", standin.Configuration(1, models))
	if o.Nodes < 1 || o.Nodes > maxNodes {
		return Report{}, fmt.Errorf("%d nodes: choose 1 to %d", o.Nodes, maxNodes)
	}
	if err := s.build(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return Report{}, err
	}
	defer s.tearDown()
	if !s.serveWithin(ctx, startLimit) {
		s.ledger.Break("not all nodes served within %v of the start", startLimit)
		return s.report(0), nil
	}
	load, endLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range s.nodes {
		for c := range callersPerNode {
			callers.Go(func() { s.call(load, i, c) })
		}
	}
	played := s.playFaults(ctx)
	if served := s.serveWithin(ctx, recoverLimit); ctx.Err() != nil {
		endLoad()
		callers.Wait()
		return Report{}, fmt.Errorf("seed %d was interrupted: %w", s.options.Seed, ctx.Err())
	} else if !served {
		s.ledger.Break("not all nodes serve %v after the last fault", recoverLimit)
	}
	asked, served := s.asked.Load(), s.served.Load()
	time.Sleep(calm)
	asked, served = s.asked.Load()-asked, s.served.Load()-served
	endLoad()
	callers.Wait()
	if share := float64(served) / float64(max(asked, 1)); share < minServed {
		s.ledger.Break("%.0f%% of the requests were served after the recovery", 100*share)
	}
	return s.report(played), nil
}

func (s *Soak) report(played int) Report {
	return Report{Seed: s.options.Seed, Faults: played, Asked: s.asked.Load(), Served: s.served.Load(), Broken: s.ledger.Broken()}
}

// build starts hosts and nodes.
func (s *Soak) build(store string) error {
	for d := range domains {
		for range hostsPerDomain {
			s.added++
			host, err := s.addHost(fmt.Sprintf("m%d", s.added), "models", fmt.Sprintf("z%d", d), fmt.Sprintf("d%d", d))
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, host)
		}
	}
	s.modelHosts = len(s.hosts)
	for i := range plainHosts {
		host, err := s.addHost(fmt.Sprintf("p%d", i), "plain", fmt.Sprintf("z%d", i), "")
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, host)
	}
	for i := range s.options.Nodes {
		n, err := newNode(s.options.Program, s.options.Dir, s.options.Seed, i, store)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts a host whose registration names a relay.
func (s *Soak) addHost(id, service, zone, domain string) (*soakHost, error) {
	var link *relay
	host, err := s.fleet.AddBehind(id, service, zone, domain, func(address string) (string, error) {
		var err error
		if link, err = newRelay(address); err != nil {
			return "", err
		}
		return link.address(), nil
	})
	return &soakHost{host, link}, err
}

// playFaults begins faults until the length is over and waits for their ends.
func (s *Soak) playFaults(ctx context.Context) int {
	r := rand.New(rand.NewSource(s.options.Seed))
	var playing sync.WaitGroup
	// Two faults must not signal or restart one node at a time.
	var signals sync.Mutex
	played := 0
	for end := time.Now().Add(s.options.Length); time.Now().Before(end) && ctx.Err() == nil; played++ {
		f := faults[r.Intn(len(faults))]
		own := rand.New(rand.NewSource(r.Int63()))
		if s.options.Progress != nil {
			fmt.Fprintf(s.options.Progress, "seed %d: %s\n", s.options.Seed, f.name)
		}
		playing.Go(func() {
			if strings.Contains(f.name, "node") && !strings.Contains(f.name, "store") {
				signals.Lock()
				defer signals.Unlock()
			}
			f.play(s, own)
		})
		time.Sleep(time.Duration(r.Int63n(int64(2 * faultPause))))
	}
	playing.Wait()
	return played
}

// changeConfiguration writes a newer revision; the key stays valid.
func (s *Soak) changeConfiguration() {
	s.mu.Lock()
	s.revision++
	revision := s.revision
	s.mu.Unlock()
	s.store.Put("op", "config", standin.Configuration(revision, models))
}

// call sends requests of all kinds to one node until ctx ends. Connections are
// kept until the node closes them.
func (s *Soak) call(ctx context.Context, node, number int) {
	caller := &standin.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Ledger: s.ledger, Host: "a.example", Key: "key", Model: "big"}
	if number%2 == 1 {
		caller.Model = "small"
	}
	address := s.nodes[node].callers
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("s%d-n%d-c%d-%d", s.options.Seed, node, number, i)
		var o standin.Outcome
		switch i % 5 {
		case 0:
			o = caller.Call(ctx, http.MethodPost, address, "/unsafe/1", id, requestLimit)
		case 1:
			o = caller.Call(ctx, http.MethodGet, address, "/safe/1", id, requestLimit)
		default:
			o = caller.Stream(ctx, address, "/stream/1", id, 10+i%30, requestLimit)
		}
		s.asked.Add(1)
		if o.Whole {
			s.served.Add(1)
		} else {
			time.Sleep(failurePause)
		}
	}
}

// serveWithin waits until every node serves each kind of request.
func (s *Soak) serveWithin(ctx context.Context, limit time.Duration) bool {
	caller := &standin.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Ledger: s.ledger, Host: "a.example", Key: "key", Model: "big"}
	deadline := time.Now().Add(limit)
	for i := 0; ; i++ {
		all := true
		for n, node := range s.nodes {
			id := fmt.Sprintf("s%d-probe%d-%d", s.options.Seed, n, i)
			for m := range models {
				caller.Model = m
				all = all && caller.Stream(ctx, node.callers, "/stream/1", id+m+fmt.Sprint(time.Now().UnixNano()), 3, requestLimit).Whole
			}
			all = all && caller.Call(ctx, http.MethodPost, node.callers, "/unsafe/1", fmt.Sprint(id, "-u", time.Now().UnixNano()), requestLimit).Whole
		}
		if all {
			return true
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// tearDown ends the processes and listeners of the run.
func (s *Soak) tearDown() {
	for _, n := range s.nodes {
		n.end(syscall.SIGKILL, stopLimit)
		n.store.close()
		n.log.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		h.host.Close()
		h.link.close()
	}
}

// must records a fault of the harness as a broken run.
func (s *Soak) must(err error) {
	if err != nil {
		s.ledger.Break("the soak itself failed: %v", err)
	}
}

func replaceOnce(text, old, replacement string) string {
	return strings.Replace(text, old, replacement, 1)
}
