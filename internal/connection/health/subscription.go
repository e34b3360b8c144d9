package health

import "sync"

// Subscription collects the names of hosts whose observation changed. A host
// that changes several times before Take is reported once, so at most one entry
// for each host accumulates for a slow reader.
type Subscription struct {
	// C has capacity 1 and contains a token while changes wait for Take.
	C <-chan struct{}

	signal chan struct{}
	prober *Prober

	mu      sync.Mutex
	changed map[string]struct{}
}

// Subscribe returns a subscription to all later changes. Close it when done.
func (p *Prober) Subscribe() *Subscription {
	signal := make(chan struct{}, 1)
	s := &Subscription{C: signal, signal: signal, prober: p, changed: map[string]struct{}{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers[s] = struct{}{}
	return s
}

// Take returns and clears the changed hosts, in no particular order.
func (s *Subscription) Take() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := make([]string, 0, len(s.changed))
	for host := range s.changed {
		hosts = append(hosts, host)
	}
	clear(s.changed)
	return hosts
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.prober.mu.Lock()
	defer s.prober.mu.Unlock()
	delete(s.prober.subscribers, s)
}

func (s *Subscription) add(host string) {
	s.mu.Lock()
	s.changed[host] = struct{}{}
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}
