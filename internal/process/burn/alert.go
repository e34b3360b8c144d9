package burn

// Alert is the alert state of a line. Each alert rule compares the burn rates of
// two windows with a threshold.
type Alert string

// The alert states.
const (
	// AlertFast: the error budget is used up within hours. Act now.
	AlertFast Alert = "fast"
	// AlertSlow: the error budget is used up within days. Act today.
	AlertSlow Alert = "slow"
	// AlertNone: neither rule applies.
	AlertNone Alert = "none"
)

// Thresholds of the alert rules. A rule applies when the burn rates of both its
// windows exceed its threshold.
const (
	// FastBurnThreshold applies to ShortWindow and HourWindow.
	FastBurnThreshold = 14.4
	// SlowBurnThreshold applies to HourWindow and LongWindow.
	SlowBurnThreshold = 6.0
	// alwaysAlertBadShare is the share of bad requests that raises an alert
	// under any objective. Without it an objective below 1-1/FastBurnThreshold
	// could never reach that threshold, not even while every request is bad.
	alwaysAlertBadShare = 0.9
)

func goodShare(good, total int64) float64 {
	if total == 0 {
		return 1
	}
	return float64(good) / float64(total)
}

// burnRate returns the ratio of the observed error rate to the error rate that
// the objective allows.
func burnRate(good, total int64, objective float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(total-good) / float64(total) / (1 - objective)
}

// evaluateAlert applies the rules to the windows, which are in the order short,
// hour, long. A rule needs both windows, so that it neither fires on a short
// burst nor stays active after the fault has ended.
func evaluateAlert(w []Window, objective float64) Alert {
	fast, slow := alertThresholds(objective)
	switch {
	case w[0].Burn > fast && w[1].Burn > fast:
		return AlertFast
	case w[1].Burn > slow && w[2].Burn > slow:
		return AlertSlow
	default:
		return AlertNone
	}
}

// alertThresholds returns the thresholds of both rules under the objective.
func alertThresholds(objective float64) (fast, slow float64) {
	alwaysAlertBurn := alwaysAlertBadShare / (1 - objective)
	return min(FastBurnThreshold, alwaysAlertBurn), min(SlowBurnThreshold, alwaysAlertBurn)
}
