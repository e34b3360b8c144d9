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

// First implements relay.RetryBudget.
func (b *retryBudget) First(rank string, now time.Time) { b.budget.First(rank, now) }

// Retry implements relay.RetryBudget. The relay calls it only for idempotent
// requests.
func (b *retryBudget) Retry(rank string, attempts int, now time.Time) bool {
	declared := b.view.Current().Rank(rank)
	if declared == nil {
		return false
	}
	policy := retry.Policy{Share: declared.RetryShare, MaxAttempts: declared.MaxAttempts}
	return b.budget.Allow(retry.Attempt{Rank: rank, Policy: policy, Made: attempts, Idempotent: true}, now)
}

// suspects implements callerapi.Suspects, relay.Suspects and dispatch.Suspects
// with one tracker of requests suspected of crashing engines.
type suspects struct{ tracker *suspect.Tracker }

// Judge implements callerapi.Suspects.
func (s suspects) Judge(fingerprint uint64, now time.Time) (refuse, isolate bool) {
	verdict := s.tracker.Verdict(fingerprint, now)
	return verdict.Refuse, verdict.Isolate
}

// HoldUntil implements relay.Suspects.
func (s suspects) HoldUntil(fingerprint uint64) time.Time { return s.tracker.HoldUntil(fingerprint) }

// Finished implements relay.Suspects and dispatch.Suspects.
func (s suspects) Finished(fingerprint uint64) { s.tracker.Finished(fingerprint) }

// Fingerprint implements callerapi.Suspects.
func (suspects) Fingerprint(model, prompt string, maxTokens int) uint64 {
	return suspect.Fingerprint(model, prompt, maxTokens)
}
