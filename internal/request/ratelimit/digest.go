package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

// maxDigestReports limits the statements in one digest, of about 70 bytes each.
const maxDigestReports = 100

// Report is a host's statement about its limit, as nodes tell it to each other.
type Report struct {
	Host string `json:"host"`
	// StartedMillis is the start of the host's process in Unix milliseconds.
	StartedMillis int64   `json:"started"`
	Named         bool    `json:"named,omitempty"`
	PerSecond     float64 `json:"rate,omitempty"`
	// AgeMillis is the age of the answer with the statement.
	AgeMillis int64 `json:"age"`
}

// Reports returns the statements that this node learned lately, the newest first, or
// nil. Only a node that forwards reports what other nodes told it.
func (l *Limiter) Reports(forwards bool, now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for host, s := range l.limits {
		if now.Sub(s.learnedAt) < repeatTime && (forwards || !s.fromOther) {
			reports = append(reports, Report{host, s.started.UnixMilli(), s.Named, s.PerSecond, now.Sub(s.at).Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Host, b.Host))
	})
	return reports[:min(len(reports), maxDigestReports)]
}

// clockTolerance is how much newer a statement of another node must be than the known
// one. It covers the delay of digests, which makes ages too small.
const clockTolerance = 50 * time.Millisecond

// Merge adds the statements that another node has learned.
func (l *Limiter) Merge(reports []Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		s := statement{Limit: Limit{r.Named, r.PerSecond}, started: time.UnixMilli(r.StartedMillis), at: now.Add(-time.Duration(r.AgeMillis) * time.Millisecond), fromOther: true}
		if known := l.limits[r.Host]; known == nil || s.at.After(known.at.Add(clockTolerance)) {
			l.record(r.Host, s, now)
		}
	}
}
