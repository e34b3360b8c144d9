package share

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
)

// absence is what this process has observed of a node that is not listed.
type absence struct {
	// unlistedSince is when the host list was first seen without the node.
	unlistedSince time.Time
	// lastListAt is when the last list without the node was requested.
	lastListAt time.Time
	// version and nonce identify the content of the session row, which has not
	// changed since unchangedSince.
	version        table.Version
	nonce          string
	unchangedSince time.Time
	// lastReadAt is when the last read of the session row was sent.
	lastReadAt time.Time
}

// absenceDetector decides when the shares of other nodes may be reclaimed: once
// a node's session row has not changed and the host list has not named it, both
// for the whole timeout by this process's monotonic clock. It is a state machine
// without I/O.
type absenceDetector struct {
	timeout time.Duration
	// maxListGap is the longest time between two lists for which the absence
	// counts as unbroken.
	maxListGap time.Duration
	absences   map[string]*absence
}

func newAbsenceDetector(timeout, maxListGap time.Duration) *absenceDetector {
	return &absenceDetector{timeout: timeout, maxListGap: maxListGap, absences: map[string]*absence{}}
}

// observeList records a host list that was requested at sent and processed at
// now. Only the candidates, which hold shares, are tracked.
func (d *absenceDetector) observeList(hosts hostlist.List, sent time.Time, candidates []string, now time.Time) {
	tracked := map[string]*absence{}
	listed := nodeNames(hosts)
	for _, node := range candidates {
		if listed[node] {
			continue
		}
		a := d.absences[node]
		if a == nil {
			a = &absence{}
		}
		if a.lastListAt.IsZero() || sent.Sub(a.lastListAt) > d.maxListGap {
			a.unlistedSince = now
		}
		a.lastListAt = sent
		tracked[node] = a
	}
	d.absences = tracked
}

// nodeNames returns the names of the listed entry nodes.
func nodeNames(list hostlist.List) map[string]bool {
	listed := make(map[string]bool)
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleNode {
			listed[h.Name] = true
		}
	}
	return listed
}

// unlistedNodes returns the nodes whose session rows must be read.
func (d *absenceDetector) unlistedNodes() []string {
	var nodes []string
	for node := range d.absences {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// observeSession records a session row whose read was sent at sent and
// answered at now.
func (d *absenceDetector) observeSession(node string, row table.Row, sent, now time.Time) {
	a := d.absences[node]
	if a == nil {
		return
	}
	if a.unchangedSince.IsZero() || a.version != row.Version || a.nonce != row.Nonce {
		a.version, a.nonce, a.unchangedSince = row.Version, row.Nonce, now
	}
	a.lastReadAt = sent
}

// reclaimable reports whether the node has been absent for the timeout plus
// extraTime. It returns the version of the node's session row, which the reclaim
// must assert.
func (d *absenceDetector) reclaimable(node string, extraTime time.Duration) (table.Version, bool) {
	a := d.absences[node]
	if a == nil || a.unchangedSince.IsZero() {
		return 0, false
	}
	timeout := d.timeout + extraTime
	if a.lastListAt.Sub(a.unlistedSince) < timeout || a.lastReadAt.Sub(a.unchangedSince) < timeout {
		return 0, false
	}
	return a.version, true
}
