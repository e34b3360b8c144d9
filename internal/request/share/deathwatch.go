package share

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
)

// absence is what this process has watched of another one.
type absence struct {
	// unlisted is when the host list was first seen without the node.
	unlisted time.Time
	// listed is when the last list without it was asked for.
	listed time.Time
	// version and nonce are of the session row, unchanged since seen.
	version table.Version
	nonce   string
	seen    time.Time
	last    time.Time
}

// deathWatch decides when the shares of other nodes may be reclaimed: when the
// node's session row has not changed and the host list has not named it, both
// for the whole wait, by this process's own monotonic clock. It is a state
// machine without I/O.
type deathWatch struct {
	wait time.Duration
	// gap is the longest time between two lists that count as continuous.
	gap   time.Duration
	nodes map[string]*absence
}

func newDeathWatch(wait, gap time.Duration) *deathWatch {
	return &deathWatch{wait: wait, gap: gap, nodes: map[string]*absence{}}
}

// observeList takes a host list that was asked for at sent and is known at
// now. Only the candidates, which hold shares, are watched.
func (d *deathWatch) observeList(list hostlist.List, sent time.Time, candidates []string, now time.Time) {
	watched := map[string]*absence{}
	listed := nodeNames(list)
	for _, node := range candidates {
		if listed[node] {
			continue
		}
		a := d.nodes[node]
		if a == nil {
			a = &absence{}
		}
		if a.listed.IsZero() || sent.Sub(a.listed) > d.gap {
			a.unlisted = now
		}
		a.listed = sent
		watched[node] = a
	}
	d.nodes = watched
}

// nodeNames returns the entry nodes that the list names.
func nodeNames(list hostlist.List) map[string]bool {
	listed := make(map[string]bool)
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleNode {
			listed[h.Name] = true
		}
	}
	return listed
}

// unlisted returns the nodes whose session rows must be watched.
func (d *deathWatch) unlisted() []string {
	var nodes []string
	for node := range d.nodes {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// observeSession takes a session row that was asked for at sent and received
// at now.
func (d *deathWatch) observeSession(node string, row table.Row, sent, now time.Time) {
	a := d.nodes[node]
	if a == nil {
		return
	}
	if a.seen.IsZero() || a.version != row.Version || a.nonce != row.Nonce {
		a.version, a.nonce, a.seen = row.Version, row.Nonce, now
	}
	a.last = sent
}

// dead returns the version of the node's session row to assert, once the node
// has been absent for the wait and the extra time.
func (d *deathWatch) dead(node string, extra time.Duration) (table.Version, bool) {
	a := d.nodes[node]
	if a == nil || a.seen.IsZero() {
		return 0, false
	}
	wait := d.wait + extra
	if a.listed.Sub(a.unlisted) < wait || a.last.Sub(a.seen) < wait {
		return 0, false
	}
	return a.version, true
}
