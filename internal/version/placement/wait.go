package placement

import (
	"math"
	"time"
)

// Never is the delay of something that does not become worth while.
const Never = time.Duration(math.MaxInt64)

// ChanceAfter returns the chance that a host still returns after it has been
// silent for the given time, by Bayes' rule.
func (m ReturnModel) ChanceAfter(silent time.Duration) float64 {
	if m.Chance <= 0 || m.Mean <= 0 {
		return 0
	}
	alive := m.Chance * math.Exp(-silent.Seconds()/m.Mean.Seconds())
	return alive / (alive + 1 - m.Chance)
}

// PrepareAfter returns the silence after which loading a spare is worth its
// cost: waste is what the load costs if the host returns before it ends. An
// hour of delay costs an hour of downtime where the host never returns, while
// a load that starts just before the return costs waste.
func (m ReturnModel) PrepareAfter(waste time.Duration) time.Duration {
	if m.Chance <= 0 || m.Mean <= 0 || waste <= 0 {
		return 0
	}
	if m.Chance >= 1 {
		return Never
	}
	odds := m.Chance / (1 - m.Chance)
	return scaled(m.Mean, math.Log(odds*waste.Seconds()/m.Mean.Seconds()))
}

// GiveUpAfter returns the silence after which the group is better off without
// the host when that takes load: waiting pays while the chance of a return
// within the next moment, times load, exceeds that moment.
func (m ReturnModel) GiveUpAfter(load time.Duration) time.Duration {
	if m.Chance <= 0 || m.Mean <= 0 {
		return 0
	}
	threshold := m.Mean.Seconds() / load.Seconds()
	if threshold >= 1 {
		return 0
	}
	if m.Chance >= 1 {
		return Never
	}
	odds := m.Chance / (1 - m.Chance)
	return scaled(m.Mean, math.Log(odds*(1-threshold)/threshold))
}

func scaled(mean time.Duration, factor float64) time.Duration {
	return time.Duration(max(0, factor) * float64(mean))
}
