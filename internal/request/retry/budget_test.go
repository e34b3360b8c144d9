package retry

import (
	"testing"
	"time"
)

// maxAttemptRatio is the number that the attempts per request must stay below
// during the outage of a failure domain.
const maxAttemptRatio = 1.2

// TestDomainOutageCausesNoRetryStorm verifies that the retry budget keeps the
// attempts per request below maxAttemptRatio while two thirds of all attempts
// fail.
func TestDomainOutageCausesNoRetryStorm(t *testing.T) {
	b := NewBudget()
	policy := Policy{RetryShare: 0.1, MaxAttempts: 3}
	now := time.Unix(0, 0)
	requests, attempts := 0, 0
	for i := range 60_000 {
		now = now.Add(2 * time.Millisecond)
		outage := i > 10_000 && i < 40_000
		b.RecordFirstAttempt("urgent", now)
		if !outage {
			continue
		}
		requests++
		attempts++
		for made := 1; (i+made)%3 != 0; made++ {
			if !b.Allow(Attempt{"urgent", policy, made, true}, now) {
				break
			}
			attempts++
		}
	}
	ratio := float64(attempts) / float64(requests)
	t.Logf("attempts/requests = %.3f", ratio)
	if ratio >= maxAttemptRatio {
		t.Errorf("attempts/requests = %.3f, want below %v", ratio, maxAttemptRatio)
	}
}

func TestAllow(t *testing.T) {
	b := NewBudget()
	now := time.Unix(0, 0)
	policy := Policy{RetryShare: 0.1, MaxAttempts: 2}
	b.RecordFirstAttempt("r", now)
	if b.Allow(Attempt{"r", policy, 1, false}, now) {
		t.Error("a retry of a non-idempotent call is allowed")
	}
	if b.Allow(Attempt{"r", policy, 2, true}, now) {
		t.Error("a retry beyond MaxAttempts is allowed")
	}
	for range DefaultReserve {
		if !b.Allow(Attempt{"r", policy, 1, true}, now) {
			t.Error("a retry within the reserve is refused")
		}
	}
	if b.Allow(Attempt{"r", policy, 1, true}, now) {
		t.Error("a retry beyond the budget is allowed")
	}
	if !b.Allow(Attempt{"r", policy, 1, true}, now.Add(Window)) {
		t.Error("a retry within the reserve is refused after the window has passed")
	}
}
