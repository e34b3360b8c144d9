package share

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Interval and limit of waiting admissions.
const (
	// retryInterval is the time between two attempts to admit a waiting request.
	retryInterval = 20 * time.Millisecond
	// maxWaitingPerAccount limits the waiting requests of one account at this
	// node. Further ones are refused at once.
	maxWaitingPerAccount = 64
)

// WaitingLimiter implements Limiter on top of a Manager. A request that this
// node's share cannot admit waits up to a timeout if this node holds less than the
// whole cap, since the rest of the cap may move here. It waits without I/O.
type WaitingLimiter struct {
	manager *Manager
	timeout time.Duration

	mu      sync.Mutex
	waiting map[string]int
}

// NewWaitingLimiter returns a limiter whose admissions wait up to timeout.
func NewWaitingLimiter(manager *Manager, timeout time.Duration) *WaitingLimiter {
	return &WaitingLimiter{manager: manager, timeout: timeout, waiting: make(map[string]int)}
}

// Admit implements Limiter. It blocks up to the limiter's timeout.
func (w *WaitingLimiter) Admit(account string, costTokens int64, now time.Time) (Admission, *refusal.Error) {
	admitted, refused := w.manager.Admit(account, costTokens, now)
	if refused == nil || !w.manager.holdsLessThanCap(account) || !w.startWaiting(account) {
		return admitted, refused
	}
	defer w.stopWaiting(account)
	for deadline := time.Now().Add(w.timeout); time.Now().Before(deadline); {
		time.Sleep(retryInterval)
		if retried, ok := w.manager.retryAdmit(account, costTokens); ok {
			return retried, nil
		}
	}
	return nil, refused
}

func (w *WaitingLimiter) startWaiting(account string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[account] >= maxWaitingPerAccount {
		return false
	}
	w.waiting[account]++
	return true
}

func (w *WaitingLimiter) stopWaiting(account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[account]--
	if w.waiting[account] == 0 {
		delete(w.waiting, account)
	}
}

// holdsLessThanCap reports whether part of the account's cap is free or held by
// another process.
func (m *Manager) holdsLessThanCap(account string) bool {
	_, unlock := m.lockAndRefresh()
	defer unlock()
	l := m.ledgers[account]
	if l == nil {
		return false
	}
	held := l.inForce()
	return held.Rate < WholeCap || held.Burst < WholeCap || held.InFlight < WholeCap
}

// retryAdmit tries a request again without recording its demand twice.
func (m *Manager) retryAdmit(account string, costTokens int64) (Admission, bool) {
	now, unlock := m.lockAndRefresh()
	defer unlock()
	l := m.ledgers[account]
	if l == nil || !l.tryAdmit(float64(costTokens), now).admitted {
		return nil, false
	}
	return &admission{manager: m, account: account, cost: float64(costTokens)}, true
}
