package share

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Bounds of waiting admissions.
const (
	// pollPeriod is the time between two looks of a waiting request.
	pollPeriod = 20 * time.Millisecond
	// maxWaiting bounds the waiting requests of one account at this node;
	// more are refused at once.
	maxWaiting = 64
)

// WaitingLimiter implements Limiter over a Manager. A request that this node's
// share cannot admit waits for a bounded time where other nodes hold a part of
// the cap that may move here. It waits without I/O.
type WaitingLimiter struct {
	manager *Manager
	wait    time.Duration

	mu      sync.Mutex
	waiting map[string]int
}

// NewWaitingLimiter returns a limiter whose admissions wait up to wait.
func NewWaitingLimiter(manager *Manager, wait time.Duration) *WaitingLimiter {
	return &WaitingLimiter{manager: manager, wait: wait, waiting: make(map[string]int)}
}

// Admit implements Limiter. It blocks up to the limiter's wait.
func (w *WaitingLimiter) Admit(account string, costTokens int64, now time.Time) (Admission, *refusal.Error) {
	admitted, refused := w.manager.Admit(account, costTokens, now)
	if refused == nil || !w.manager.heldElsewhere(account) || !w.enter(account) {
		return admitted, refused
	}
	defer w.leave(account)
	for deadline := time.Now().Add(w.wait); time.Now().Before(deadline); {
		time.Sleep(pollPeriod)
		if again, ok := w.manager.readmit(account, costTokens); ok {
			return again, nil
		}
	}
	return nil, refused
}

func (w *WaitingLimiter) enter(account string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[account] >= maxWaiting {
		return false
	}
	w.waiting[account]++
	return true
}

func (w *WaitingLimiter) leave(account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[account]--
	if w.waiting[account] == 0 {
		delete(w.waiting, account)
	}
}

// heldElsewhere reports whether another holder, or nobody, has part of the
// account's cap.
func (m *Manager) heldElsewhere(account string) bool {
	_, unlock := m.enter()
	defer unlock()
	l := m.ledgers[account]
	if l == nil {
		return false
	}
	held := l.inForce()
	return held.Rate < Whole || held.Burst < Whole || held.InFlight < Whole
}

// readmit tries a request again without counting its demand twice.
func (m *Manager) readmit(account string, costTokens int64) (Admission, bool) {
	now, unlock := m.enter()
	defer unlock()
	l := m.ledgers[account]
	if l == nil || !l.take(float64(costTokens), now).admitted {
		return nil, false
	}
	return &admission{manager: m, account: account, cost: float64(costTokens)}, true
}
