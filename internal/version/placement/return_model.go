package placement

import (
	"math"
	"time"
)

// Never is the delay of an action that never becomes worth its cost.
const Never = time.Duration(math.MaxInt64)

// ProbabilityAfter returns the probability that a host still returns after it
// has been silent for the given time, by Bayes' rule.
func (m ReturnModel) ProbabilityAfter(silent time.Duration) float64 {
	if m.Probability <= 0 || m.Mean <= 0 {
		return 0
	}
	stillReturns := m.Probability * math.Exp(-silent.Seconds()/m.Mean.Seconds())
	return stillReturns / (stillReturns + 1 - m.Probability)
}

// PrepareAfter returns how long a host must be silent before loading a spare is
// worth its cost. waste is the cost of a load that becomes needless because the
// host returns first. If the host never returns, each hour of delay adds an hour
// of downtime; if it returns just after the load has started, the load costs
// waste.
func (m ReturnModel) PrepareAfter(waste time.Duration) time.Duration {
	if m.Probability <= 0 || m.Mean <= 0 || waste <= 0 {
		return 0
	}
	if m.Probability >= 1 {
		return Never
	}
	odds := m.Probability / (1 - m.Probability)
	return scaled(m.Mean, math.Log(odds*waste.Seconds()/m.Mean.Seconds()))
}

// GiveUpAfter returns how long a host must be silent before the group should stop
// waiting for it. load is the time until the group serves without the host if it
// stops waiting. Waiting is worth it while the probability of a return within the
// next short interval, times load, exceeds that interval.
func (m ReturnModel) GiveUpAfter(load time.Duration) time.Duration {
	if m.Probability <= 0 || m.Mean <= 0 {
		return 0
	}
	threshold := m.Mean.Seconds() / load.Seconds()
	if threshold >= 1 {
		return 0
	}
	if m.Probability >= 1 {
		return Never
	}
	odds := m.Probability / (1 - m.Probability)
	return scaled(m.Mean, math.Log(odds*(1-threshold)/threshold))
}

// scaled returns mean times factor, at least 0.
func scaled(mean time.Duration, factor float64) time.Duration {
	return time.Duration(max(0, factor) * float64(mean))
}
