// Package poison finds what crashes the endpoints that begin to run it: a part that
// many prompts share, or a request that is sent again and again. Whatever was in
// flight at a crashed endpoint and had not begun to be answered is suspected. A trait
// is convicted when it was at more crashed endpoints than chance explains, and no
// request with it has begun since; every node then refuses requests with it. Nodes
// exchange crashes, acquittals and verdicts in digests, which may be lost, repeated
// or forwarded in any order. Callers pass in the time; the package does no I/O and
// blocks only on a mutex.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// lossTTL is how long a crash is evidence.
	lossTTL = 10 * time.Minute
	// maxLosses limits the crashes that are kept; the oldest are dropped.
	maxLosses = 128
	// maxLossRequests limits the suspected requests of one crash.
	maxLossRequests = 16
	// maxVerdicts limits the verdicts that are kept; the oldest are dropped.
	maxVerdicts = 64
	// verdictTTL is how long a verdict is kept that nothing confirms or overturns.
	verdictTTL = time.Hour
	// firstTrialDelay is how long a convicted trait is refused before one request
	// with it is tried. Each crash of a trial multiplies it by trialBackoff, up to
	// maxTrialDelay.
	firstTrialDelay = 30 * time.Second
	trialBackoff    = 8
	maxTrialDelay   = 30 * time.Minute
	// trialTimeout is how long a trial may take until there is another one.
	trialTimeout = 10 * time.Second
	// reconsiderTime is how long after a crash the requests that are answered since
	// then may complete the evidence.
	reconsiderTime = 5 * time.Second
	// acquittalMargin is how much later than the first crash a request must have
	// begun to overturn a verdict. It covers the delays of digests.
	acquittalMargin = 100 * time.Millisecond
)

// Request is what the tracker knows of a request.
type Request struct {
	// Class is the service and model of the request; only requests of one class are
	// compared with each other.
	Class string
	// Parts are the traits of the shared parts of the prompt, and Whole that of the
	// whole request.
	Parts []Trait
	Whole Trait
}

// traits returns all traits of the request.
func (r Request) traits() []Trait { return append(slices.Clip(r.Parts), r.Whole) }

// Finding is a change of a verdict.
type Finding struct {
	Trait Trait
	// Refused is true if requests with the trait are refused from now on, and false
	// if they are accepted again.
	Refused bool
	// Losses is the number of crashed endpoints on which a new verdict is based, 0
	// if another node reached it.
	Losses int
	// FailedTrials is the number of trials that crashed an endpoint.
	FailedTrials int
}

// Decision is how to handle a request.
type Decision struct {
	// Refuse requires a refusal because of Trait.
	Refuse bool
	Trait  Trait
	// Trial is true if the request is the one that tries a convicted trait.
	Trial bool
}

// loss is the crash of an endpoint.
type loss struct {
	// host identifies the life of the host that crashed.
	host  string
	class string
	at    time.Time
	// learnedAt is when this node first heard of it or of another request of it.
	learnedAt time.Time
	// answeredBefore is the number of requests of the class that this node had
	// answered when it learned of the crash.
	answeredBefore int
	// requests holds the traits of each suspected request, and traits all of them.
	requests [][]Trait
	traits   map[Trait]bool
}

// acquittal is the latest time at which a request with a trait began well.
type acquittal struct{ began, learnedAt time.Time }

// verdict is the state of a trait that was convicted at least once. Of two verdicts
// on a trait, the one with the higher version holds.
type verdict struct {
	version int
	refused bool
	at      time.Time
	// firstLoss is the time of the first crash on which the verdict is based.
	firstLoss    time.Time
	failedTrials int
	// trialStarted is when this node last let a request try the trait.
	trialStarted time.Time
}

// trialDelay is how long after the verdict the next trial is due.
func (v *verdict) trialDelay() time.Duration {
	delay := firstTrialDelay
	for range v.failedTrials {
		delay = min(delay*trialBackoff, maxTrialDelay)
	}
	return delay
}

// Tracker is the knowledge of one node. It is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex
	losses     []*loss
	acquittals map[Trait]acquittal
	verdicts   map[Trait]*verdict
	frequency  *frequencies
	// answered counts the answered requests of each class.
	answered map[string]int
	// givenUp holds the attempts that this node gave up lately, the oldest first.
	givenUp []givenUp
}

// New returns a tracker without any knowledge.
func New() *Tracker {
	return &Tracker{acquittals: map[Trait]acquittal{}, verdicts: map[Trait]*verdict{}, frequency: newFrequencies(), answered: map[string]int{}}
}

// Check decides on a request before it is sent to an endpoint. mayTry is true at the
// one node of the fleet that tries convicted traits again.
func (t *Tracker) Check(r Request, mayTry bool, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var toTry []*verdict
	for _, trait := range r.traits() {
		v := t.verdicts[trait]
		if v == nil || !v.refused {
			continue
		}
		if !mayTry || now.Sub(v.at) < v.trialDelay() || now.Sub(v.trialStarted) < trialTimeout {
			return Decision{Refuse: true, Trait: trait}
		}
		toTry = append(toTry, v)
	}
	for _, v := range toTry {
		v.trialStarted = now
	}
	return Decision{Trial: len(toTry) > 0}
}

// Refused reports whether a trait of the request is convicted.
func (t *Tracker) Refused(r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.verdicts) > 0 && slices.ContainsFunc(r.traits(), t.isRefused)
}

// isRefused reports whether the trait is convicted. The caller holds mu.
func (t *Tracker) isRefused(trait Trait) bool {
	v := t.verdicts[trait]
	return v != nil && v.refused
}

// Suspected reports whether a trait of the request is convicted, or was at crashed
// endpoints more often than is likely by chance. Such a request is not retried.
func (t *Tracker) Suspected(r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.losses) == 0 {
		return false
	}
	if t.weighRepeat(r.Whole, now).suspicious() {
		return true
	}
	unexplained, _ := t.splitByExplanation(now)
	return slices.ContainsFunc(r.traits(), func(trait Trait) bool {
		return t.isRefused(trait) || t.weigh(trait, unexplained, now).suspicious()
	})
}

// Evidence returns at how many crashed endpoints the whole request was since it last
// began well, and the probability that it was there by chance. It is for log lines.
func (t *Tracker) Evidence(r Request, now time.Time) (crashedHosts int, chance float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.losses) == 0 {
		return 0, 1
	}
	e := t.weigh(r.Whole, t.losses, now)
	return e.losses, e.chance
}

// Began records that an endpoint began to answer a request at the given time and
// went on well. It returns the verdicts that this overturns.
func (t *Tracker) Began(r Request, at, now time.Time) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered[r.Class]++
	t.frequency.add(r.Class, r, now)
	if len(t.losses) == 0 && len(t.verdicts) == 0 {
		return nil
	}
	var findings []Finding
	for _, trait := range r.traits() {
		t.acquit(trait, at, now)
		if v := t.verdicts[trait]; v != nil && v.refused && at.After(v.firstLoss.Add(acquittalMargin)) {
			*v = verdict{version: v.version + 1, at: now}
			t.acquittals[trait] = acquittal{now, now}
			findings = append(findings, Finding{Trait: trait})
		}
	}
	return findings
}

// acquit voids the crashes before a time as evidence against a trait. The caller
// holds mu.
func (t *Tracker) acquit(trait Trait, began, now time.Time) {
	former := t.acquittals[trait].began
	if slices.ContainsFunc(t.losses, func(l *loss) bool { return l.at.After(former) && l.at.Before(began) && l.traits[trait] }) {
		t.acquittals[trait] = acquittal{began, now}
	}
}

// Lost records that a request was in flight, without having begun, at an endpoint
// that crashed. host identifies the life of the host. It returns the traits that are
// refused from now on.
func (t *Tracker) Lost(r Request, host string, now time.Time) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	findings := t.lost(r, host, now, now)
	alsoGivenUp, _ := t.blameGivenUp(host, now, now)
	return append(findings, alsoGivenUp...)
}

// lost adds a request to those that a crash is held against. The caller holds mu.
func (t *Tracker) lost(r Request, host string, crashedAt, now time.Time) []Finding {
	var findings []Finding
	for _, trait := range r.traits() {
		if v := t.verdicts[trait]; v != nil && v.refused && now.Sub(v.trialStarted) < trialTimeout {
			v.version, v.at, v.trialStarted = v.version+1, now, time.Time{}
			v.failedTrials++
			findings = append(findings, Finding{Trait: trait, Refused: true, Losses: 1, FailedTrials: v.failedTrials})
		}
	}
	t.addLoss(host, r.Class, crashedAt, [][]Trait{r.traits()}, now)
	return append(findings, t.convict(r.traits(), now)...)
}

// Reconsider passes the verdicts that the requests answered since a recent crash have
// made possible. The node calls it periodically.
func (t *Tracker) Reconsider(now time.Time) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.ContainsFunc(t.losses, func(l *loss) bool { return now.Sub(l.at) < reconsiderTime }) {
		return nil
	}
	t.dropExpired(now)
	unexplained, _ := t.splitByExplanation(now)
	return t.convict(recurringTraits(unexplained), now)
}

// addLoss adds suspected requests to the crash of a host, and reports whether any was
// new. The caller holds mu.
func (t *Tracker) addLoss(host, class string, at time.Time, requests [][]Trait, now time.Time) (learned bool) {
	i := slices.IndexFunc(t.losses, func(l *loss) bool { return l.host == host && l.class == class })
	if i < 0 {
		if len(t.losses) >= maxLosses {
			t.losses = slices.Delete(t.losses, 0, 1)
		}
		t.losses = append(t.losses, &loss{host: host, class: class, at: at, learnedAt: now, answeredBefore: t.answered[class], traits: map[Trait]bool{}})
		i = len(t.losses) - 1
	}
	l := t.losses[i]
	if at.Before(l.at) {
		l.at = at
	}
	for _, traits := range requests {
		known := slices.ContainsFunc(l.requests, func(other []Trait) bool { return slices.Equal(other, traits) })
		if !known && len(l.requests) < maxLossRequests {
			l.requests = append(l.requests, slices.Clone(traits))
			for _, trait := range traits {
				l.traits[trait] = true
			}
			l.learnedAt = now
			learned = true
			t.recordAnsweredBefore(wholeOf(traits), l.at, now)
		}
	}
	return learned
}

// recordAnsweredBefore records, for other nodes too, when this node last had an answer
// to a request that was now at a crash. The caller holds mu.
func (t *Tracker) recordAnsweredBefore(whole Trait, crashedAt, now time.Time) {
	at, known := t.frequency.lastAnswered(whole)
	if known && at.Before(crashedAt) && now.Sub(at) < lossTTL && at.After(t.acquittals[whole].began) {
		t.acquittals[whole] = acquittal{at, now}
	}
}

// convict passes a verdict on each candidate against which there is enough evidence,
// the strongest first. Crashes that a convicted trait explains are no evidence
// against the other traits that were there. The caller holds mu.
func (t *Tracker) convict(candidates []Trait, now time.Time) []Finding {
	var findings []Finding
	for {
		unexplained, explained := t.splitByExplanation(now)
		var worst Trait
		var strongest evidence
		for _, trait := range candidates {
			e := t.weigh(trait, t.withOwnRequests(trait, unexplained, explained), now)
			if e.convincing() && (strongest.losses == 0 || e.strongerThan(strongest)) {
				worst, strongest = trait, e
			}
		}
		if strongest.losses == 0 {
			return append(findings, t.convictRepeats(candidates, now)...)
		}
		findings = append(findings, t.refuse(worst, strongest.first, strongest.losses, now))
	}
}

// refuse convicts a trait. The caller holds mu.
func (t *Tracker) refuse(trait Trait, firstLoss time.Time, losses int, now time.Time) Finding {
	version := 1
	if former := t.verdicts[trait]; former != nil {
		version = former.version + 1
	}
	t.verdicts[trait] = &verdict{version: version, refused: true, at: now, firstLoss: firstLoss}
	return Finding{Trait: trait, Refused: true, Losses: losses}
}

// splitByExplanation returns the crashes at which no convicted trait was, and those at
// which one was. The caller holds mu.
func (t *Tracker) splitByExplanation(now time.Time) (unexplained, explained []*loss) {
	for _, l := range t.losses {
		switch {
		case now.Sub(l.at) >= lossTTL:
		case t.isExplained(l):
			explained = append(explained, l)
		default:
			unexplained = append(unexplained, l)
		}
	}
	return unexplained, explained
}

// isExplained reports whether a convicted trait was at a crash. The caller holds mu.
func (t *Tracker) isExplained(l *loss) bool {
	for trait, v := range t.verdicts {
		if v.refused && l.traits[trait] {
			return true
		}
	}
	return false
}

// recurringTraits returns the traits that were at minLosses of the crashes or more,
// in ascending order.
func recurringTraits(losses []*loss) []Trait {
	counts := map[Trait]int{}
	for _, l := range losses {
		for trait := range l.traits {
			counts[trait]++
		}
	}
	maps.DeleteFunc(counts, func(_ Trait, n int) bool { return n < minLosses })
	return slices.Sorted(maps.Keys(counts))
}

// dropExpired drops what is too old, and the oldest verdicts beyond the limit. The
// caller holds mu.
func (t *Tracker) dropExpired(now time.Time) {
	t.losses = slices.DeleteFunc(t.losses, func(l *loss) bool { return now.Sub(l.at) >= lossTTL })
	for trait, a := range t.acquittals {
		if now.Sub(a.learnedAt) >= lossTTL {
			delete(t.acquittals, trait)
		}
	}
	var byAge []Trait
	for trait, v := range t.verdicts {
		if now.Sub(v.at) >= verdictTTL {
			delete(t.verdicts, trait)
			continue
		}
		byAge = append(byAge, trait)
	}
	if len(byAge) <= maxVerdicts {
		return
	}
	slices.SortFunc(byAge, func(a, b Trait) int {
		return cmp.Or(t.verdicts[a].at.Compare(t.verdicts[b].at), cmp.Compare(a, b))
	})
	for _, trait := range byAge[:len(byAge)-maxVerdicts] {
		delete(t.verdicts, trait)
	}
}
