// Package roster keeps a node's copy of the platform's host list. The last list
// stays in use while the platform does not answer. Only Run does I/O.
package roster

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

// Lister reads the platform's host list.
type Lister interface {
	List(ctx context.Context) (hostlist.List, error)
}

// Roster polls the host list and serves its last copy. It is safe for concurrent use.
type Roster struct {
	lister   Lister
	interval time.Duration

	mu       sync.Mutex
	hosts    map[string]hostlist.Host
	version  int64
	list     hostlist.List
	sent     time.Time
	lastRead time.Time
	changed  chan struct{}
}

// New returns a roster whose Run reads the list once every interval.
func New(lister Lister, interval time.Duration) *Roster {
	return &Roster{lister: lister, interval: interval, hosts: map[string]hostlist.Host{}, changed: make(chan struct{})}
}

// Run reads the list periodically until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
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
	ctx, cancel := context.WithTimeout(ctx, max(r.interval, minTimeout))
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

// HostsWithVersion returns the last list by host name with a number that grows
// whenever the list's content changes. The map must not be changed.
func (r *Roster) HostsWithVersion() (hosts map[string]hostlist.Host, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts, r.version
}

// Host returns one host of the last list.
func (r *Roster) Host(name string) (hostlist.Host, bool) {
	host, ok := r.Hosts()[name]
	return host, ok
}

// List returns the last list and the time just before it was requested. The
// time is zero until a list has been read.
func (r *Roster) List() (list hostlist.List, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.sent
}

// LastRead returns when a list was last received, or zero before the first.
func (r *Roster) LastRead() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRead
}

// Changed returns a channel that is closed once the next list has been read,
// whether or not its content changed.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
