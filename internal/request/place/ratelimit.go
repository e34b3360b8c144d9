package place

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/request/ratelimit"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Ages of the counts of other nodes, exchanged directly and over hubs.
const (
	directReportAge = 100 * time.Millisecond
	hubReportAge    = 400 * time.Millisecond
)

// ObserveRateLimit records what an answer of a host says about its limit, and reports
// whether that is new.
func (b *Board) ObserveRateLimit(host *fleet.Host, limit ratelimit.Limit, now time.Time) (changed bool) {
	return b.limiter.Observe(host.ID, host.Started, limit, now)
}

// RateLimits returns the limits that this node learned lately, and SentToLimited the
// requests that it sent lately to hosts that name one. Both are for the other nodes. A
// node that forwards includes the limits that others told it.
func (b *Board) RateLimits(forwards bool, now time.Time) []ratelimit.Report {
	return b.limiter.Reports(forwards, now)
}

// SentToLimited returns the requests that this node sent within ratelimit.Window to
// each host that names a limit.
func (b *Board) SentToLimited(now time.Time) map[string]int { return b.limiter.SentToLimited(now) }

// MergeRateLimits adds limits that another node learned, and its counts of requests to
// limited hosts to the report that was received under the same name.
func (b *Board) MergeRateLimits(name string, limits []ratelimit.Report, sent map[string]int, now time.Time) {
	b.limiter.Merge(limits, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.reports[name]
	report.sent = sent
	b.reports[name] = report
}

// rateLimitRoom returns how many more requests a host may get from all nodes until their
// next reports, and the limit of requests a second that it names. Without a limit the
// room is infinite. The caller holds mu.
func (b *Board) rateLimitRoom(host *fleet.Host, reportAge time.Duration, now time.Time) (room, perSecond float64) {
	limit := b.limiter.Limit(host.ID, host.Started, now)
	if !limit.Named {
		return math.Inf(1), 0
	}
	sentElsewhere := 0
	for _, r := range b.reports {
		if now.Sub(r.receivedAt) <= ReportTTL {
			sentElsewhere += r.sent[host.ID]
		}
	}
	room, _ = b.limiter.Room(host.ID, host.Started, sentElsewhere, reportAge, now)
	return room, limit.PerSecond
}

// placedTogether estimates how many requests all nodes place until their next reports,
// from the rate at which this node was asked for places. The caller holds mu.
func (b *Board) placedTogether(askedPerSecond float64, now time.Time) float64 {
	return askedPerSecond * float64(b.liveNodes(now)) * b.reportAge(now).Seconds()
}

// reportAge is how old the counts of other nodes are. The caller holds mu.
func (b *Board) reportAge(now time.Time) time.Duration {
	if b.liveNodes(now) <= MaxDirectNodes {
		return directReportAge
	}
	return hubReportAge
}

// rateLimitedRetryAfter returns when a caller should return that was refused because
// of the limits of hosts, which take perSecond requests from all nodes. Callers get
// places one after the other, at this node's part of the rate.
func (b *Board) rateLimitedRetryAfter(q Query, perSecond float64, now time.Time) time.Duration {
	share := rate.Limit(max(perSecond, 1/maxRetryAfter.Seconds()) / float64(b.liveNodes(now)))
	key := q.Service.Name + "/" + q.Model
	places := b.returns[key]
	if places == nil {
		places = rate.NewLimiter(share, 1)
		b.returns[key] = places
	}
	places.SetLimitAt(now, share)
	reservation := places.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > maxRetryAfter {
		reservation.CancelAt(now)
	}
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
