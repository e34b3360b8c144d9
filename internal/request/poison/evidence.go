package poison

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// minLosses is the least number of crashed endpoints for a conviction, and
	// maxChance the largest probability that a trait was there by chance.
	minLosses = 3
	maxChance = 1e-6
	// minSuspiciousLosses and maxSuspiciousChance are the same for a suspicion.
	minSuspiciousLosses = 2
	maxSuspiciousChance = 0.05
	// episodeLength is the time within which crashes may have one common cause, such
	// as the loss of a rack. minEpisodes is the least number of such times for a
	// conviction.
	episodeLength = 100 * time.Millisecond
	minEpisodes   = 2
)

// evidence is what speaks against a trait.
type evidence struct {
	// losses counts the crashed endpoints at which the trait was, since a request
	// with it last began well; episodes counts those that are apart in time.
	losses, episodes int
	first            time.Time
	// chance is the probability of this for a trait that crashes nothing.
	chance float64
}

func (e evidence) convincing() bool {
	return e.losses >= minLosses && e.episodes >= minEpisodes && e.chance < maxChance
}

func (e evidence) suspicious() bool {
	return e.losses >= minSuspiciousLosses && e.chance < maxSuspiciousChance
}

// strongerThan reports whether e explains more crashes than other, or as many with
// a smaller probability of chance.
func (e evidence) strongerThan(other evidence) bool {
	if e.losses != other.losses {
		return e.losses > other.losses
	}
	return e.chance < other.chance
}

// weigh returns the evidence against a trait in the given crashes. Two probabilities
// are computed for a trait that crashes nothing, and the smaller one counts. In the
// first, the suspected requests are drawn at random from those that are answered at
// other times. In the second, each request with the trait was lost as often as those
// without it were since the first crash; crashes close in time count once, so that a
// lost rack is one event. The caller holds mu.
func (t *Tracker) weigh(trait Trait, losses []*loss, now time.Time) evidence {
	var with []*loss
	acquitted := t.acquittals[trait].began
	for _, l := range losses {
		if l.at.After(acquitted) && l.traits[trait] {
			with = append(with, l)
		}
	}
	if len(with) == 0 {
		return evidence{chance: 1}
	}
	slices.SortFunc(with, func(a, b *loss) int { return a.at.Compare(b.at) })
	first := with[0]
	e := evidence{losses: len(with), episodes: countEpisodes(with, episodeLength), first: first.at}
	if e.losses < minSuspiciousLosses {
		e.chance = 1
		return e
	}
	firstByClass := map[string]*loss{}
	for _, l := range slices.Backward(with) {
		firstByClass[l.class] = l
	}
	total, lostWithout, served, meanChance := 0, 0, 0, 0.0
	for _, l := range losses {
		if firstByClass[l.class] == nil || l.at.Before(firstByClass[l.class].at) {
			continue
		}
		total++
		meanChance += 1 - math.Pow(1-t.frequency.share(l.class, trait, now), float64(len(l.requests)))
		if !l.traits[trait] {
			lostWithout += len(l.requests)
		}
	}
	meanChance /= float64(total)
	for class, l := range firstByClass {
		served += t.answered[class] - l.answeredBefore
	}
	byDraw := distuv.Binomial{N: float64(total), P: meanChance}.Survival(float64(e.losses) - 1)
	lostShare := float64(lostWithout+1) / float64(lostWithout+served+1)
	e.chance = min(byDraw, math.Pow(lostShare, float64(e.episodes)))
	return e
}

// countEpisodes counts the crashes that are apart by more than the given length from
// the first one of their episode. The crashes are in order of time.
func countEpisodes(losses []*loss, length time.Duration) int {
	count := 0
	var start time.Time
	for _, l := range losses {
		if count == 0 || l.at.Sub(start) > length {
			count++
			start = l.at
		}
	}
	return count
}
