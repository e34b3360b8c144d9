package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// repeatTime is how long a crash or an acquittal is repeated in digests after a
	// node has learned of it. It covers several digests, of which some are lost.
	repeatTime = time.Second
	// Limits of one digest. A trait takes about 20 bytes.
	maxDigestTraits     = 300
	maxDigestAcquittals = 32
	maxDigestVerdicts   = 32
)

// Digest is what a node tells others. Ages are in milliseconds.
type Digest struct {
	Losses     []LossReport      `json:"losses,omitempty"`
	Acquittals []AcquittalReport `json:"began,omitempty"`
	Verdicts   []VerdictReport   `json:"verdicts,omitempty"`
}

// LossReport describes a crash and the suspected requests.
type LossReport struct {
	Host      string    `json:"host"`
	Class     string    `json:"class"`
	AgeMillis int64     `json:"age"`
	Requests  [][]Trait `json:"requests"`
}

// AcquittalReport says how long ago a request with the trait last began well.
type AcquittalReport struct {
	Trait     Trait `json:"trait"`
	AgeMillis int64 `json:"age"`
}

// VerdictReport describes a verdict.
type VerdictReport struct {
	Trait              Trait `json:"trait"`
	Version            int   `json:"version"`
	Refused            bool  `json:"refused,omitempty"`
	AgeMillis          int64 `json:"age"`
	FirstLossAgeMillis int64 `json:"first,omitempty"`
	FailedTrials       int   `json:"trials,omitempty"`
}

// Digest returns what this node knows: all verdicts, and the crashes and acquittals
// that it learned lately. It returns nil if there is nothing.
func (t *Tracker) Digest(now time.Time) *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &Digest{}
	traits := 0
	for _, l := range slices.Backward(t.losses) {
		if now.Sub(l.learnedAt) >= repeatTime {
			continue
		}
		for _, request := range l.requests {
			traits += len(request)
		}
		if traits > maxDigestTraits && len(d.Losses) > 0 {
			break
		}
		d.Losses = append(d.Losses, LossReport{l.host, l.class, millis(l.at, now), l.requests[:len(l.requests):len(l.requests)]})
	}
	for trait, a := range t.acquittals {
		if now.Sub(a.learnedAt) < repeatTime {
			d.Acquittals = append(d.Acquittals, AcquittalReport{trait, millis(a.began, now)})
		}
	}
	slices.SortFunc(d.Acquittals, func(a, b AcquittalReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Trait, b.Trait))
	})
	d.Acquittals = d.Acquittals[:min(len(d.Acquittals), maxDigestAcquittals)]
	for trait, v := range t.verdicts {
		d.Verdicts = append(d.Verdicts, VerdictReport{trait, v.version, v.refused, millis(v.at, now), millis(v.firstLoss, now), v.failedTrials})
	}
	slices.SortFunc(d.Verdicts, func(a, b VerdictReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Trait, b.Trait))
	})
	d.Verdicts = d.Verdicts[:min(len(d.Verdicts), maxDigestVerdicts)]
	if len(d.Losses)+len(d.Acquittals)+len(d.Verdicts) == 0 {
		return nil
	}
	return d
}

func millis(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t).Milliseconds()
}

// Merge adds what another node knows. It returns the verdicts that are new to this
// node, and whether anything was.
func (t *Tracker) Merge(d *Digest, now time.Time) (findings []Finding, learned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, report := range d.Verdicts {
		v := t.verdicts[report.Trait]
		if v != nil && v.version >= report.Version {
			continue
		}
		learned = true
		wasRefused := v != nil && v.refused
		t.verdicts[report.Trait] = &verdict{
			version: report.Version, refused: report.Refused, at: ago(report.AgeMillis), firstLoss: ago(report.FirstLossAgeMillis), failedTrials: report.FailedTrials,
		}
		if !report.Refused {
			t.acquittals[report.Trait] = acquittal{ago(report.AgeMillis), now}
		}
		if wasRefused != report.Refused {
			findings = append(findings, Finding{Trait: report.Trait, Refused: report.Refused, FailedTrials: report.FailedTrials})
		}
	}
	for _, a := range d.Acquittals {
		if began := ago(a.AgeMillis); began.After(t.acquittals[a.Trait].began.Add(acquittalMargin)) {
			t.acquittals[a.Trait] = acquittal{began, now}
			learned = true
		}
	}
	for _, l := range d.Losses {
		learned = t.addLoss(l.Host, l.Class, ago(l.AgeMillis), l.Requests, now) || learned
		alsoGivenUp, suspected := t.blameGivenUp(l.Host, ago(l.AgeMillis), now)
		findings, learned = append(findings, alsoGivenUp...), learned || suspected
	}
	var candidates []Trait
	for _, l := range d.Losses {
		candidates = append(candidates, slices.Concat(l.Requests...)...)
	}
	slices.Sort(candidates)
	findings = append(findings, t.convict(slices.Compact(candidates), now)...)
	return findings, learned
}
