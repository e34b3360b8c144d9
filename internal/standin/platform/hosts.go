package platform

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// HostChange is the body of POST /hosts, which stands in for the platform's
// own knowledge of its hosts. Exactly one of Host and Drop is set.
type HostChange struct {
	// Host is added to the list, or replaces the entry of the same name.
	Host *hostlist.Host `json:"host,omitempty"`
	// TTLMillis drops the host unless it is added again within this time; 0
	// keeps it until it is dropped.
	TTLMillis int64 `json:"ttlMillis,omitempty"`
	// KeepState keeps the state of a host that is already listed. Renewals by
	// the host itself set it.
	KeepState bool `json:"keepState,omitempty"`
	// Drop removes the host of this name.
	Drop string `json:"drop,omitempty"`
}

// hosts is the lagging host list.
type hosts struct {
	lag    time.Duration
	faults *faultSwitch

	mu      sync.Mutex
	entries map[string]hostEntry
	pending []hostEvent // not yet visible, in order of time
}

type hostEntry struct {
	host    hostlist.Host
	expires time.Time // zero means never
}

type hostEvent struct {
	at     time.Time
	change HostChange
}

// ChangeHost adds, replaces or drops a host of the list.
func (p *Platform) ChangeHost(change HostChange) { p.hosts.change(change) }

// Hosts returns the list as GET /hosts shows it.
func (p *Platform) Hosts() hostlist.List { return p.hosts.list() }

func (h *hosts) change(change HostChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.settle(now)
	h.pending = append(h.pending, hostEvent{at: now, change: change})
}

func (h *hosts) list() hostlist.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.settle(now)
	list := hostlist.List{Hosts: []hostlist.Host{}, AsOf: now.Add(-h.lag)}
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		list.Hosts = append(list.Hosts, h.entries[name].host)
	}
	return list
}

// settle applies the changes that are old enough to be visible and drops
// expired hosts. The caller holds mu.
func (h *hosts) settle(now time.Time) {
	visible := now.Add(-h.lag)
	if h.entries == nil {
		h.entries = map[string]hostEntry{}
	}
	for len(h.pending) > 0 && !h.pending[0].at.After(visible) {
		h.apply(h.pending[0])
		h.pending = h.pending[1:]
	}
	maps.DeleteFunc(h.entries, func(_ string, e hostEntry) bool {
		return !e.expires.IsZero() && e.expires.Before(visible)
	})
}

func (h *hosts) apply(event hostEvent) {
	change := event.change
	if change.Host == nil {
		delete(h.entries, change.Drop)
		return
	}
	entry := hostEntry{host: *change.Host}
	if change.TTLMillis > 0 {
		entry.expires = event.at.Add(time.Duration(change.TTLMillis) * time.Millisecond)
	}
	if listed, ok := h.entries[change.Host.Name]; ok && change.KeepState {
		entry.host.State = listed.host.State
	}
	h.entries[change.Host.Name] = entry
}

func (h *hosts) handleList(w http.ResponseWriter, r *http.Request) {
	if h.faults.get().HostsOutage {
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	list := h.list()
	tag := tagOf(list.Hosts)
	w.Header().Set("ETag", tag)
	w.Header().Set(hostlist.HeaderAsOf, list.AsOf.Format(time.RFC3339Nano))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		jsonhttp.Write(w, http.StatusOK, list)
		return
	}
	writeCompressed(w, list)
}

// tagOf identifies the content of a list.
func tagOf(hosts []hostlist.Host) string {
	digest := xxhash.New()
	for _, host := range hosts {
		_, _ = fmt.Fprintf(digest, "%q\n", host)
	}
	return fmt.Sprintf("\"%x\"", digest.Sum64())
}

// writeCompressed answers with a compressed list.
func writeCompressed(w http.ResponseWriter, list hostlist.List) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	// A caller that has gone away is the only cause of a failure here.
	_ = json.NewEncoder(compressor).Encode(list)
	_ = compressor.Close()
}

func (h *hosts) handleChange(w http.ResponseWriter, r *http.Request) {
	var change HostChange
	if !jsonhttp.Read(w, r, &change) {
		return
	}
	if (change.Host == nil) == (change.Drop == "") {
		jsonhttp.Fail(w, http.StatusBadRequest, "set exactly one of host and drop")
		return
	}
	h.change(change)
	w.WriteHeader(http.StatusNoContent)
}
