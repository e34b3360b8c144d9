package node

import (
	"time"

	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/version/configlog"
)

// retryBudget implements relay.RetryBudget with the retry policies of the
// declared ranks.
type retryBudget struct {
	budget *retry.Budget
	view   configlog.View
}

// RecordFirstAttempt implements relay.RetryBudget.
func (b *retryBudget) RecordFirstAttempt(rank string, now time.Time) {
	b.budget.RecordFirstAttempt(rank, now)
}

// Retry implements relay.RetryBudget. The relay calls it only for idempotent
// requests.
func (b *retryBudget) Retry(rank string, attempts int, now time.Time) bool {
	declared := b.view.Current().Rank(rank)
	if declared == nil {
		return false
	}
	policy := retry.Policy{RetryShare: declared.RetryShare, MaxAttempts: declared.MaxAttempts}
	return b.budget.Allow(retry.Attempt{Rank: rank, Policy: policy, AttemptsMade: attempts, Idempotent: true}, now)
}

// suspects implements callerapi.Suspects, relay.Suspects and dispatch.Suspects
// with one tracker of requests suspected of crashing engines.
type suspects struct{ tracker *suspect.Tracker }

// Check implements callerapi.Suspects.
func (s suspects) Check(fingerprint uint64, now time.Time) (refuse, isolate bool) {
	verdict := s.tracker.Verdict(fingerprint, now)
	return verdict.Refuse, verdict.Isolate
}

// DelayErrorsUntil implements relay.Suspects.
func (s suspects) DelayErrorsUntil(fingerprint uint64) time.Time {
	return s.tracker.DelayErrorsUntil(fingerprint)
}

// ClearSuspicion implements relay.Suspects and dispatch.Suspects.
func (s suspects) ClearSuspicion(fingerprint uint64) { s.tracker.ClearSuspicion(fingerprint) }

// Fingerprint implements callerapi.Suspects.
func (suspects) Fingerprint(model, prompt string, maxTokens int) uint64 {
	return suspect.Fingerprint(model, prompt, maxTokens)
}
