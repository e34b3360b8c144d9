package retry

import (
	"testing"
	"time"
)

// maxTries bounds tries per request when a domain goes dark.
const maxTries = 1.2

func TestDarkDomainCausesNoStorm(t *testing.T) {
	b := NewBudget()
	policy := Policy{Share: 0.1, MaxAttempts: 3}
	now := time.Unix(0, 0)
	requests, tries := 0, 0
	for i := range 60_000 {
		now = now.Add(2 * time.Millisecond)
		dark := i > 10_000 && i < 40_000
		b.First("urgent", now)
		if !dark {
			continue
		}
		requests++
		tries++
		for made := 1; (i+made)%3 != 0; made++ {
			if !b.Allow(Attempt{"urgent", policy, made, true}, now) {
				break
			}
			tries++
		}
	}
	ratio := float64(tries) / float64(requests)
	t.Logf("tries/requests = %.3f", ratio)
	if ratio >= maxTries {
		t.Errorf("tries/requests = %.3f, want below %v", ratio, maxTries)
	}
}

func TestAllow(t *testing.T) {
	b := NewBudget()
	now := time.Unix(0, 0)
	policy := Policy{Share: 0.1, MaxAttempts: 2}
	b.First("r", now)
	if b.Allow(Attempt{"r", policy, 1, false}, now) {
		t.Error("a non-idempotent call may be retried")
	}
	if b.Allow(Attempt{"r", policy, 2, true}, now) {
		t.Error("a retry beyond MaxAttempts is allowed")
	}
	for range Reserve {
		if !b.Allow(Attempt{"r", policy, 1, true}, now) {
			t.Error("a retry within the reserve is refused")
		}
	}
	if b.Allow(Attempt{"r", policy, 1, true}, now) {
		t.Error("a retry beyond the budget is allowed")
	}
	if !b.Allow(Attempt{"r", policy, 1, true}, now.Add(Window)) {
		t.Error("the reserve does not come back after the window")
	}
}
