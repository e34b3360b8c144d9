package poison

import (
	"slices"
	"time"
)

const (
	// giveUpWindow is how long after an attempt was given up a crash of its endpoint
	// is still held against the request: the endpoint may have begun to run it.
	giveUpWindow = time.Second
	// maxGivenUp limits the remembered attempts; the oldest are dropped.
	maxGivenUp = 512
)

// givenUp is an attempt that this node ended before the endpoint began to answer.
type givenUp struct {
	host    string
	request Request
	at      time.Time
}

// GaveUp records that this node ended an attempt before the endpoint began to answer.
// host identifies the life of the host.
func (t *Tracker) GaveUp(r Request, host string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.givenUp = slices.DeleteFunc(t.givenUp, func(g givenUp) bool { return now.Sub(g.at) >= giveUpWindow })
	if len(t.givenUp) >= maxGivenUp {
		t.givenUp = slices.Delete(t.givenUp, 0, 1)
	}
	t.givenUp = append(t.givenUp, givenUp{host, r, now})
}

// Crashed records that a host crashed under none of the requests in flight; those that
// were given up shortly before are suspected. It returns the traits that are refused
// from now on, and whether any request was suspected.
func (t *Tracker) Crashed(host string, now time.Time) (findings []Finding, suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	return t.blameGivenUp(host, now, now)
}

// blameGivenUp adds the attempts that this node gave up shortly before a host crashed
// to the suspected requests of the crash, once for each crash. The caller holds mu.
func (t *Tracker) blameGivenUp(host string, crashedAt, now time.Time) (findings []Finding, suspected bool) {
	t.givenUp = slices.DeleteFunc(t.givenUp, func(g givenUp) bool {
		if g.host != host || crashedAt.Sub(g.at) >= giveUpWindow {
			return false
		}
		suspected = true
		findings = append(findings, t.lost(g.request, host, crashedAt, now)...)
		return true
	})
	return findings, suspected
}
