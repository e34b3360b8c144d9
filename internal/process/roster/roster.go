// Package roster keeps the platform's list of hosts at a node. The last list
// stays in force while the platform does not answer.
package roster

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

// Lister reads the platform's list.
type Lister interface {
	List(ctx context.Context) (hostlist.List, error)
}

// Roster follows the host list. It is safe for concurrent use.
type Roster struct {
	lister Lister
	period time.Duration

	mu       sync.Mutex
	hosts    map[string]hostlist.Host
	version  int64
	list     hostlist.List
	sent     time.Time
	lastRead time.Time
	changed  chan struct{}
}

// New returns a roster that reads the list once a period.
func New(lister Lister, period time.Duration) *Roster {
	return &Roster{lister: lister, period: period, hosts: map[string]hostlist.Host{}, changed: make(chan struct{})}
}

// Run reads the list until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(r.period)
	defer ticker.Stop()
	for {
		r.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Roster) read(ctx context.Context) {
	const minTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, max(r.period, minTimeout))
	defer cancel()
	sent := time.Now()
	list, err := r.lister.List(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = time.Now()
	r.sent = sent
	if r.version == 0 || !slices.Equal(list.Hosts, r.list.Hosts) {
		r.hosts = index(list)
		r.version++
	}
	r.list = list
	close(r.changed)
	r.changed = make(chan struct{})
}

func index(list hostlist.List) map[string]hostlist.Host {
	hosts := make(map[string]hostlist.Host, len(list.Hosts))
	for _, host := range list.Hosts {
		hosts[host.Name] = host
	}
	return hosts
}

// Hosts returns the last list by host name. The map must not be changed.
func (r *Roster) Hosts() map[string]hostlist.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// Versioned returns the last list by host name with a number that grows
// whenever the list's content changes. The map must not be changed.
func (r *Roster) Versioned() (hosts map[string]hostlist.Host, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts, r.version
}

// Host returns one host of the last list.
func (r *Roster) Host(name string) (hostlist.Host, bool) {
	host, ok := r.Hosts()[name]
	return host, ok
}

// List returns the last list and the moment before it was asked for, zero
// before the first.
func (r *Roster) List() (list hostlist.List, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.sent
}

// LastRead returns when the list was last read; zero for never.
func (r *Roster) LastRead() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// Changed returns a channel that is closed at the next reading.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
