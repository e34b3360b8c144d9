package burn

// Alert is the state of a line under the two-window rules.
type Alert string

// The alert states.
const (
	// AlertFast: the error budget is used up within hours. Act now.
	AlertFast Alert = "fast"
	// AlertSlow: the error budget is used up within days. Act today.
	AlertSlow Alert = "slow"
	// AlertNone: neither rule holds.
	AlertNone Alert = "none"
)

// Burn rates above which both windows of a rule must be.
const (
	// FastBurn is judged over ShortWindow and HourWindow.
	FastBurn = 14.4
	// SlowBurn is judged over HourWindow and LongWindow.
	SlowBurn = 6.0
	// alwaysBadShare is the share of bad requests that raises an alert under
	// any objective. Without it an objective below 1-1/FastBurn could never
	// reach the rates above, not even while every request is bad.
	alwaysBadShare = 0.9
)

func goodShare(good, total int64) float64 {
	if total == 0 {
		return 1
	}
	return float64(good) / float64(total)
}

// burnRate returns how many times faster than allowed errors come.
func burnRate(good, total int64, objective float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(total-good) / float64(total) / (1 - objective)
}

// alertOf applies the rules to the windows, which are in the order short,
// hour, long. A rule needs both windows, so that it neither fires on a short
// burst nor stays on after the fault has ended.
func alertOf(w []Window, objective float64) Alert {
	fast, slow := alertRates(objective)
	switch {
	case w[0].Burn > fast && w[1].Burn > fast:
		return AlertFast
	case w[1].Burn > slow && w[2].Burn > slow:
		return AlertSlow
	default:
		return AlertNone
	}
}

// alertRates returns the burn rates of both rules under the objective.
func alertRates(objective float64) (fast, slow float64) {
	limit := alwaysBadShare / (1 - objective)
	return min(FastBurn, limit), min(SlowBurn, limit)
}
