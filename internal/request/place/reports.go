package place

import "time"

// ReportTTL is how long another node's counts are used. It covers several
// exchange intervals.
const ReportTTL = 1500 * time.Millisecond

// remoteReport is the load reported by another node, for itself or as the sum
// over several nodes.
type remoteReport struct {
	receivedAt time.Time
	inFlight   map[string]int
	nodes      int
	// sent is the number of requests sent within ratelimit.Window to each host that
	// names a limit.
	sent map[string]int
}

// Merge stores the report received under a name: the requests in flight by host,
// summed over the given number of nodes. It replaces the former report of that
// name. The map must not change afterwards.
func (b *Board) Merge(name string, inFlight map[string]int, nodes int, suspects []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	former := b.reports[name]
	b.reports[name] = remoteReport{receivedAt: now, inFlight: inFlight, nodes: nodes}
	b.nodesElsewhere += nodes - former.nodes
	b.replaceCounts(former.inFlight, inFlight)
	if expiry := now.Add(ReportTTL); b.nextExpiry.IsZero() || expiry.Before(b.nextExpiry) {
		b.nextExpiry = expiry
	}
	for _, id := range suspects {
		r := b.ensureHost(id)
		// A host that sent something to this node lately is not stalled.
		if now.Sub(r.lastProgress) > suspicionTTL && !now.Before(r.suspectedUntil) {
			r.suspectedUntil = now.Add(suspicionTTL / 2)
			b.impaired[id] = struct{}{}
		}
	}
}

// replaceCounts replaces the counts of one report in the sums by host. The caller holds mu.
func (b *Board) replaceCounts(former, counts map[string]int) {
	for id, n := range counts {
		if change := n - former[id]; change != 0 {
			b.ensureHost(id).addElsewhere(change)
		}
	}
	for id, n := range former {
		if _, kept := counts[id]; !kept && n != 0 {
			b.ensureHost(id).addElsewhere(-n)
		}
	}
}

// expireReports drops the reports that have expired from the sums. The caller holds mu.
func (b *Board) expireReports(now time.Time) {
	if b.nextExpiry.IsZero() || !now.After(b.nextExpiry) {
		return
	}
	b.nextExpiry = time.Time{}
	for name, r := range b.reports {
		if now.Sub(r.receivedAt) > ReportTTL {
			b.replaceCounts(r.inFlight, nil)
			b.nodesElsewhere -= r.nodes
			delete(b.reports, name)
			continue
		}
		if expiry := r.receivedAt.Add(ReportTTL); b.nextExpiry.IsZero() || expiry.Before(b.nextExpiry) {
			b.nextExpiry = expiry
		}
	}
}

// LiveNodes returns the number of nodes whose reports have not expired, including
// this one.
func (b *Board) LiveNodes(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.liveNodes(now)
}

// liveNodes implements LiveNodes. The caller holds mu.
func (b *Board) liveNodes(now time.Time) int {
	b.expireReports(now)
	return 1 + b.nodesElsewhere
}

// Report is a load report received under one name.
type Report struct {
	// InFlight is the number of requests in flight by host, summed over Nodes
	// nodes.
	InFlight map[string]int
	Nodes    int
	// Sent is the number of requests sent within ratelimit.Window to each host that
	// names a limit.
	Sent map[string]int
}

// Reported returns the reports that have not expired, by name.
func (b *Board) Reported(now time.Time) map[string]Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	reported := make(map[string]Report, len(b.reports))
	for name, r := range b.reports {
		if now.Sub(r.receivedAt) <= ReportTTL {
			reported[name] = Report{r.inFlight, r.nodes, r.sent}
		}
	}
	return reported
}

// Load returns the number of requests in flight at a host over all nodes, as far as
// reported.
func (b *Board) Load(id string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReports(now)
	if r := b.hosts[id]; r != nil {
		return r.load()
	}
	return 0
}
