package admission

import "time"

const (
	// The admitted share falls from all to none between these utilizations of a rank's
	// limit. Reports are some hundred milliseconds old; without shedding, requests beyond
	// the engines' batches queue until nearly all answers are late.
	sheddingStartUtilization = 0.78
	sheddingEndUtilization   = 1.0
	// minThreshold is the least part of its limit at which a rank is shed. At loads below
	// it groups run a small part of their batch, and shedding gains the more urgent ranks little.
	minThreshold = 0.4
	// A threshold falls from 1 to 0 within lowerTime while a more urgent rank is served
	// less, which is a few times as long as the counts are old, and rises within raiseTime.
	lowerTime = 2 * time.Second
	raiseTime = 8 * time.Second
	// maxStep limits the time for which one update counts.
	maxStep = 500 * time.Millisecond
	// minEnded is the number of ends from which the share of a rank that is on time means
	// something. servedTolerance is how much smaller the share of a more urgent rank may be.
	minEnded        = 20
	servedTolerance = 0.02
	// floodShare is the share of the requests from which a rank and the less urgent ones
	// together count as the cause. A more urgent rank of which less than overloadedShare is
	// on time needs the groups for itself.
	floodShare      = 0.6
	overloadedShare = 0.5
)

// thresholds are factors, by rank, on the utilizations at which requests are shed.
type thresholds struct {
	of        [maxRank + 1]float64
	updatedAt time.Time
}

func newThresholds(now time.Time) thresholds {
	t := thresholds{updatedAt: now}
	for rank := range t.of {
		t.of[rank] = 1
	}
	return t
}

// update lowers the threshold of each rank that is served more than a more urgent rank of
// the same model, and raises the others. It lowers those only that can be the cause: this
// rank and the less urgent ones ask for much of what is asked for, or the more urgent rank
// is itself far beyond what groups can do. Where one rank asks, its threshold stays 1.
func (t *thresholds) update(totals [maxRank + 1]counts, now time.Time) {
	step := min(max(now.Sub(t.updatedAt), 0), maxStep)
	t.updatedAt = now
	asked, rest := 0, 0
	for _, n := range totals {
		asked += n.ended
	}
	rest = asked
	least := 2.0 // served share of the more urgent ranks
	for rank, n := range totals {
		served := 0.0
		if n.ended > 0 {
			served = float64(n.onTime) / float64(n.ended)
		}
		isCause := float64(rest) >= floodShare*float64(asked) || least < overloadedShare
		if n.ended >= minEnded && least+servedTolerance < served && isCause {
			t.of[rank] = max(t.of[rank]-float64(step)/float64(lowerTime), minThreshold)
		} else {
			t.of[rank] = min(t.of[rank]+float64(step)/float64(raiseTime), 1)
		}
		if n.ended >= minEnded {
			least = min(least, served)
		}
		rest -= n.ended
	}
}

// admittedShare is the share of the requests of a rank that is admitted at a load.
func admittedShare(load, limit int, threshold float64) float64 {
	if limit <= 0 {
		return 1
	}
	utilization := float64(load) / float64(limit) / threshold
	return 1 - min(max((utilization-sheddingStartUtilization)/(sheddingEndUtilization-sheddingStartUtilization), 0), 1)
}
