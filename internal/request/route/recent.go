package route

import "sync"

// Recent counts the requests that an entry node has sent to each home since
// the home's last report. It is safe for concurrent use.
type Recent struct {
	mu   sync.Mutex
	sent map[recentKey]recentCount
}

type recentKey struct{ model, node string }

type recentCount struct {
	report   int64
	requests int
}

// Sent notes a request of the model that was sent to a home, chosen by this
// load. A home that has not reported is not counted.
func (r *Recent) Sent(model string, home HomeLoad) {
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

// Adjust adds to each home's queue what was sent there since its report,
// once for each of the entry nodes: the others choose by the same reports and
// are taken to send as much.
func (r *Recent) Adjust(model string, homes []HomeLoad, entryNodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, home := range homes {
		count := r.sent[recentKey{model, home.Node}]
		if home.Report != 0 && count.report == home.Report {
			homes[i].Queued += count.requests * max(entryNodes, 1)
		}
	}
}
