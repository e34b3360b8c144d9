package route

import "sync"

// RecentRequests counts the requests that an entry node has sent to each home
// since the home's last report. It is safe for concurrent use.
type RecentRequests struct {
	mu   sync.Mutex
	sent map[recentKey]recentCount
}

type recentKey struct{ model, node string }

type recentCount struct {
	report   int64
	requests int
}

// CountSent counts a request for the model that was sent to a home. home is the
// reported load by which the home was chosen. Requests to a home without a report
// are not counted.
func (r *RecentRequests) CountSent(model string, home HomeLoad) {
	if home.Report == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent = make(map[recentKey]recentCount)
	}
	key := recentKey{model, home.Node}
	count := r.sent[key]
	if count.report != home.Report {
		count = recentCount{report: home.Report}
	}
	count.requests++
	r.sent[key] = count
}

// Adjust adds to each home's queue the requests sent there since its report,
// multiplied by the number of entry nodes: the other entry nodes choose by the
// same reports and are assumed to send as many.
func (r *RecentRequests) Adjust(model string, homes []HomeLoad, entryNodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, home := range homes {
		count := r.sent[recentKey{model, home.Node}]
		if home.Report != 0 && count.report == home.Report {
			homes[i].Queued += count.requests * max(entryNodes, 1)
		}
	}
}
