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

// HostChange is the body of POST /hosts, which takes the place of the
// platform's own information about its hosts. Exactly one of Host and Drop is set.
type HostChange struct {
	// Host is added to the list, or replaces the entry of the same name.
	Host *hostlist.Host `json:"host,omitempty"`
	// TTLMillis is the time after which Host expires unless it is added again;
	// 0 means that it does not expire.
	TTLMillis int64 `json:"ttlMillis,omitempty"`
	// KeepState keeps the state of a host that is already listed. A host sets
	// it when it renews its own entry.
	KeepState bool `json:"keepState,omitempty"`
	// Drop removes the host of this name.
	Drop string `json:"drop,omitempty"`
}

// hostList is the host list. Changes become visible after lag.
type hostList struct {
	lag    time.Duration
	faults *faultState

	mu      sync.Mutex
	entries map[string]hostEntry
	pending []timedChange // not yet visible, oldest first
}

// hostEntry is one host of the list.
type hostEntry struct {
	host    hostlist.Host
	expires time.Time // zero means never
}

// timedChange is a change and the time at which it was made.
type timedChange struct {
	at     time.Time
	change HostChange
}

// ChangeHost adds, replaces or drops a host of the list.
func (p *Platform) ChangeHost(change HostChange) { p.hosts.change(change) }

// Hosts returns the list as GET /hosts shows it.
func (p *Platform) Hosts() hostlist.List { return p.hosts.list() }

func (h *hostList) change(change HostChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.applyVisible(now)
	h.pending = append(h.pending, timedChange{at: now, change: change})
}

func (h *hostList) list() hostlist.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.applyVisible(now)
	list := hostlist.List{Hosts: []hostlist.Host{}, AsOf: now.Add(-h.lag)}
	for _, name := range slices.Sorted(maps.Keys(h.entries)) {
		list.Hosts = append(list.Hosts, h.entries[name].host)
	}
	return list
}

// applyVisible applies the pending changes that are at least lag old and drops
// expired hosts. The caller holds mu.
func (h *hostList) applyVisible(now time.Time) {
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

// apply executes one change. The caller holds mu.
func (h *hostList) apply(timed timedChange) {
	change := timed.change
	if change.Host == nil {
		delete(h.entries, change.Drop)
		return
	}
	entry := hostEntry{host: *change.Host}
	if change.TTLMillis > 0 {
		entry.expires = timed.at.Add(time.Duration(change.TTLMillis) * time.Millisecond)
	}
	if listed, ok := h.entries[change.Host.Name]; ok && change.KeepState {
		entry.host.State = listed.host.State
	}
	h.entries[change.Host.Name] = entry
}

func (h *hostList) handleList(w http.ResponseWriter, r *http.Request) {
	if h.faults.get().HostsOutage {
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	list := h.list()
	tag := contentTag(list.Hosts)
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

// contentTag returns an ETag for the content of a list.
func contentTag(hosts []hostlist.Host) string {
	digest := xxhash.New()
	for _, host := range hosts {
		_, _ = fmt.Fprintf(digest, "%q\n", host)
	}
	return fmt.Sprintf("\"%x\"", digest.Sum64())
}

// writeCompressed sends the list as gzipped JSON.
func writeCompressed(w http.ResponseWriter, list hostlist.List) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	// Encoding fails only if the caller has disconnected.
	_ = json.NewEncoder(compressor).Encode(list)
	_ = compressor.Close()
}

func (h *hostList) handleChange(w http.ResponseWriter, r *http.Request) {
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
