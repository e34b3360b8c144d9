package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/refusal"
)

// Times of a graceful stop.
const (
	// admissionCutoff is the time after SIGTERM from which requests are refused. It
	// covers the 2.5 s that the platform's load balancer needs to detect that a node is
	// not ready: two checks one second apart, plus one that is under way.
	admissionCutoff = 2900 * time.Millisecond
	// maxAdmissionShare limits the cutoff where the stop time is short, so that requests
	// admitted last have time left.
	maxAdmissionShare = 0.4
	// refusalPeriod is how long a node without requests in flight stays after the
	// cutoff, to refuse requests on connections that were opened just before.
	refusalPeriod = 500 * time.Millisecond
	// stoppingRetryAfter is the retry delay sent to callers that are refused after the
	// cutoff. It is short because other nodes accept them at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// stopMargin is the part of the stop time that is reserved for the last answers and
	// for closing connections; of a short stop time it is maxStopMarginShare.
	stopMargin         = 700 * time.Millisecond
	maxStopMarginShare = 0.25
	// closeTimeoutShare is the share of the margin for which connections that still
	// carry a request are waited for. The rest is for the end of the process.
	closeTimeoutShare = 0.75
	// drainPollInterval is the time between two looks at the requests in flight, and
	// closePollInterval between two looks at the connections to close.
	drainPollInterval = 50 * time.Millisecond
	closePollInterval = 10 * time.Millisecond
	// releaseTimeout limits the release of the leadership.
	releaseTimeout = time.Second
)

// phase is a phase in the life of a node. Phases follow each other in this order.
type phase int

const (
	// phaseServing lasts until SIGTERM.
	phaseServing phase = iota
	// phaseAdmitting: the node is not ready, but admits requests, since load balancers
	// have not noticed yet.
	phaseAdmitting
	// phaseRefusing: requests are refused as not run, those in flight go on.
	phaseRefusing
	// phaseEnding: requests in flight get their last answer, connections are closed.
	phaseEnding
)

// stopSchedule holds the times of a stop, from its begin.
type stopSchedule struct {
	// refuse is when the node begins to refuse requests.
	refuse time.Duration
	// earliestEnd is when a node without requests in flight ends, and end when each
	// node does.
	earliestEnd, end time.Duration
	// closeTimeout limits the end.
	closeTimeout time.Duration
}

func newStopSchedule(stopTime time.Duration) stopSchedule {
	margin := min(stopMargin, time.Duration(maxStopMarginShare*float64(stopTime)))
	end := stopTime - margin
	refuse := min(admissionCutoff, time.Duration(maxAdmissionShare*float64(end)))
	return stopSchedule{
		refuse: refuse, earliestEnd: min(refuse+refusalPeriod, end), end: end,
		closeTimeout: time.Duration(closeTimeoutShare * float64(margin)),
	}
}

// phase returns the phase of a node that has been stopping for the given time and has
// admitted requests in flight.
func (s stopSchedule) phase(elapsed time.Duration, inFlight int64) phase {
	switch {
	case elapsed >= s.end, elapsed >= s.earliestEnd && inFlight == 0:
		return phaseEnding
	case elapsed >= s.refuse:
		return phaseRefusing
	default:
		return phaseAdmitting
	}
}

// stopClock tells the phase of a node. It is safe for concurrent use.
type stopClock struct {
	schedule stopSchedule
	begun    atomic.Pointer[time.Time]
}

func (c *stopClock) begin(now time.Time) { c.begun.Store(&now) }

func (c *stopClock) stopping() bool { return c.begun.Load() != nil }

func (c *stopClock) phase(now time.Time, inFlight int64) phase {
	begun := c.begun.Load()
	if begun == nil {
		return phaseServing
	}
	return c.schedule.phase(now.Sub(*begun), inFlight)
}

// requestsEnd returns when requests in flight end at the latest, or zero if the node
// is not stopping.
func (c *stopClock) requestsEnd() time.Time {
	if begun := c.begun.Load(); begun != nil {
		return begun.Add(c.schedule.end)
	}
	return time.Time{}
}

// admit returns the refusal of a request that is complete now, or nil if the node
// accepts it.
func (g *Gateway) admit() *refusal.Error {
	if g.stops.phase(time.Now(), g.inFlight.Load()) < phaseRefusing {
		return nil
	}
	return refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "the node is stopping; send the request again").WithRetryAfter(stoppingRetryAfter)
}

// refuse answers a refused request. A stopping node asks the caller to close the
// connection.
func (g *Gateway) refuse(w http.ResponseWriter, e *refusal.Error) {
	if g.stops.stopping() {
		w.Header().Set("Connection", "close")
	}
	g.platform.Refuse(w, e)
}

// trackRequests counts admitted requests in flight and refuses others. Once the node is
// stopping, it asks callers to close their connections.
func (g *Gateway) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.hadTraffic.Store(true)
		if refused := g.admit(); refused != nil {
			g.log.LogLimited(eventlog.RequestRefused, eventlog.Fields{"kind": refused.Kind, "status": refused.Status, "ran": refused.Ran})
			g.refuse(w, refused)
			return
		}
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		if g.stops.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop fails the readiness check, releases the leadership, drains the callers'
// connections and closes the listeners. Every request that was read gets an answer
// before its connection is closed; only streams that have begun may be cut.
func (g *Gateway) stop(servers []server, cancelBackground context.CancelFunc) {
	started := time.Now()
	g.stops.begin(started)
	g.log.Log(eventlog.NodeStopping, eventlog.Fields{"in_flight": g.inFlight.Load()})
	var released sync.WaitGroup
	released.Go(g.releaseLeadership)
	g.drain(servers[0].listener)
	unfinished := g.inFlight.Load()
	g.endRequests(refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "the node stopped before an endpoint took the request; send it again").WithRetryAfter(stoppingRetryAfter))
	closing, cancel := context.WithTimeout(context.Background(), g.stops.schedule.closeTimeout)
	defer cancel()
	cut := g.closeCallers(closing, servers[0])
	cancelBackground()
	for _, s := range servers[1:] {
		if err := s.http.Shutdown(closing); err != nil {
			s.http.Close()
		}
	}
	released.Wait()
	g.log.Log(eventlog.NodeStopped, eventlog.Fields{"unfinished": unfinished, "cut": cut, "took_ms": time.Since(started).Milliseconds()})
	if err := g.metrics.Close(); err != nil {
		g.log.Log(eventlog.NodeStopped, eventlog.Fields{"error": err.Error()})
	}
}

func (g *Gateway) releaseLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), min(releaseTimeout, g.stops.schedule.end))
	defer cancel()
	if err := g.candidate.Release(ctx); err != nil {
		g.log.Log(eventlog.LeaderUnknown, eventlog.Fields{"error": err.Error()})
	}
}

// drain returns when the phase of ending has come. At the cutoff it closes the callers'
// listener: a refused connection costs a caller less than a refused request. From then
// on it closes idle connections, so that their callers go to other nodes, too.
func (g *Gateway) drain(callers net.Listener) {
	refusing := false
	for {
		inFlight := g.inFlight.Load()
		switch g.stops.phase(time.Now(), inFlight) {
		case phaseEnding:
			return
		case phaseRefusing:
			if !refusing {
				refusing = true
				callers.Close()
				g.log.Log(eventlog.NodeRefusing, eventlog.Fields{"in_flight": inFlight, "connections": g.conns.Open()})
			}
			g.conns.CloseIdle(false)
		}
		time.Sleep(drainPollInterval)
	}
}

// closeCallers closes the callers' connections that carry no request, and waits until
// the others have ended or ctx is done. It returns the number of those that it closed
// then.
func (g *Gateway) closeCallers(ctx context.Context, callers server) (cut int) {
	callers.listener.Close() // again, if the stop time left no phase of refusing
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		g.conns.CloseIdle(true)
		if g.conns.Open() == 0 {
			break
		}
		select {
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	cut = g.conns.Open()
	callers.http.Close()
	return cut
}
