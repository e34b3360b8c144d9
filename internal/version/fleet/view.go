package fleet

import (
	"slices"
	"sync/atomic"
	"time"
)

// View is a node's snapshot of the fleet. It is immutable.
type View struct {
	// Configuration is nil until the first one is read.
	Configuration *Configuration
	// Hosts are sorted by ID.
	Hosts []*Host
	// HostsVersion is the feed's version of the host list. HostsRead is when the
	// list was last confirmed.
	HostsVersion int64
	HostsRead    time.Time
	// HostsKnown is true once the complete host list was read.
	HostsKnown bool

	byID      map[string]*Host
	byService map[string][]*Host
	ready     map[string][]*Host
	openHeads map[servedModel][]*Host
}

// servedModel is a model of a service.
type servedModel struct{ service, model string }

// NewView returns a view with its lookup tables. It sorts hosts in place.
func NewView(configuration *Configuration, hosts []*Host, version int64, read time.Time, known bool) *View {
	v := &View{
		Configuration: configuration, Hosts: hosts, HostsVersion: version, HostsRead: read, HostsKnown: known,
		byID: make(map[string]*Host, len(hosts)), byService: make(map[string][]*Host),
		ready: make(map[string][]*Host), openHeads: make(map[servedModel][]*Host),
	}
	slices.SortFunc(v.Hosts, func(a, b *Host) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	for _, h := range v.Hosts {
		v.byID[h.ID] = h
		v.byService[h.Service] = append(v.byService[h.Service], h)
		if h.TakesRequests() {
			v.ready[h.Service] = append(v.ready[h.Service], h)
		}
		if h.IsOpenHead() {
			served := servedModel{h.Service, h.LoadedModel}
			v.openHeads[served] = append(v.openHeads[served], h)
		}
	}
	return v
}

// Host returns the host with the ID, or nil.
func (v *View) Host(id string) *Host { return v.byID[id] }

// ServiceHosts returns the hosts of a service, sorted by ID.
func (v *View) ServiceHosts(service string) []*Host { return v.byService[service] }

// ReadyHosts returns the hosts of a service that take work, sorted by ID.
func (v *View) ReadyHosts(service string) []*Host { return v.ready[service] }

// OpenHeads returns the heads of the open groups of a service that serve the model,
// sorted by ID.
func (v *View) OpenHeads(service, model string) []*Host {
	return v.openHeads[servedModel{service, model}]
}

// ViewHolder shares the current view between goroutines without locks.
type ViewHolder struct{ current atomic.Pointer[View] }

// Load returns the current view. It is never nil.
func (h *ViewHolder) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return NewView(nil, nil, 0, time.Time{}, false)
}

// Store replaces the current view.
func (h *ViewHolder) Store(v *View) { h.current.Store(v) }
