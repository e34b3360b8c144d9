package poison

import (
	"slices"
	"time"
)

// answeredEpisodeLength is episodeLength for a request that was answered before. A
// popular request is in flight at most hosts of a small service that crash one after
// the other, and is not answered until the first of them is back.
const answeredEpisodeLength = time.Second

// repeatEvidence is the evidence against a whole request that was sent again, whatever
// its share of the answered requests: a sound request is answered in between.
type repeatEvidence struct {
	// losses counts the crashed endpoints at which the request was since it last
	// began well; episodes counts those that are apart in time.
	losses, episodes int
	first            time.Time
	// answeredBefore is true if the request began well before the first of them.
	answeredBefore bool
	// unexplained is true if no convicted trait was at one of the crashes.
	unexplained bool
}

func (r repeatEvidence) convincing() bool {
	return r.losses >= minLosses && r.episodes >= minEpisodes && r.unexplained
}

func (r repeatEvidence) suspicious() bool {
	return r.losses >= minSuspiciousLosses && (!r.answeredBefore || r.episodes >= minSuspiciousLosses)
}

// wholeOf returns the whole-request trait of a suspected request.
func wholeOf(traits []Trait) Trait { return traits[len(traits)-1] }

// weighRepeat returns the evidence against a whole request. The caller holds mu.
func (t *Tracker) weighRepeat(whole Trait, now time.Time) repeatEvidence {
	acquitted := t.acquittals[whole].began
	var with []*loss
	r := repeatEvidence{answeredBefore: !acquitted.IsZero()}
	for _, l := range t.losses {
		if l.traits[whole] && l.at.After(acquitted) && now.Sub(l.at) < lossTTL {
			with = append(with, l)
			r.unexplained = r.unexplained || !t.isExplained(l)
		}
	}
	if len(with) == 0 {
		return r
	}
	slices.SortFunc(with, func(a, b *loss) int { return a.at.Compare(b.at) })
	length := episodeLength
	if r.answeredBefore {
		length = answeredEpisodeLength
	}
	r.losses, r.episodes, r.first = len(with), countEpisodes(with, length), with[0].at
	return r
}

// convictRepeats convicts those whole requests among the candidates that were at the
// most crashes. It convicts none while several were at the same minLosses crashes: the
// next crash distinguishes them. The caller holds mu.
func (t *Tracker) convictRepeats(candidates []Trait, now time.Time) []Finding {
	wholes := t.wholesAtCrashes()
	var worst []Trait
	var strongest repeatEvidence
	for _, trait := range candidates {
		if !wholes[trait] || t.isRefused(trait) {
			continue
		}
		r := t.weighRepeat(trait, now)
		if !r.convincing() || r.losses < strongest.losses {
			continue
		}
		if r.losses > strongest.losses {
			worst, strongest = nil, r
		}
		worst = append(worst, trait)
	}
	if len(worst) > 1 && strongest.losses == minLosses {
		return nil
	}
	var findings []Finding
	for _, trait := range worst {
		findings = append(findings, t.refuse(trait, strongest.first, strongest.losses, now))
	}
	return findings
}

// withOwnRequests adds to the unexplained crashes those that are explained only by
// convicted whole requests with the trait: the trait may be their cause. The caller
// holds mu.
func (t *Tracker) withOwnRequests(trait Trait, unexplained, explained []*loss) []*loss {
	out := slices.Clip(unexplained)
	for _, l := range explained {
		if l.traits[trait] && t.explainedByRequestsWith(trait, l) {
			out = append(out, l)
		}
	}
	return out
}

// explainedByRequestsWith reports whether each convicted trait at a crash is that of a
// whole request with the given part. The caller holds mu.
func (t *Tracker) explainedByRequestsWith(part Trait, l *loss) bool {
	for convicted, v := range t.verdicts {
		if !v.refused || !l.traits[convicted] {
			continue
		}
		if convicted == part || !slices.ContainsFunc(l.requests, func(traits []Trait) bool {
			return wholeOf(traits) == convicted && slices.Contains(traits, part)
		}) {
			return false
		}
	}
	return true
}

// wholesAtCrashes returns the traits of whole requests that were at minLosses crashes
// or more. The caller holds mu.
func (t *Tracker) wholesAtCrashes() map[Trait]bool {
	counts := map[Trait]int{}
	for _, l := range t.losses {
		for _, traits := range l.requests {
			counts[wholeOf(traits)]++
		}
	}
	wholes := map[Trait]bool{}
	for whole, n := range counts {
		if n >= minLosses {
			wholes[whole] = true
		}
	}
	return wholes
}
