package groupcontrol

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/peer"
)

// Manager runs one controller for each failure domain that a group names. It
// is safe for concurrent use.
type Manager struct {
	options Options

	mu          sync.Mutex
	controllers map[string]*Controller
}

// NewManager returns a manager that does nothing until Run.
func NewManager(options Options) *Manager {
	return &Manager{options: options, controllers: map[string]*Controller{}}
}

// Run starts controllers as failure domains appear, and returns after all of
// them ended with ctx.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(m.options.Period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, c := range m.missing() {
			running.Go(func() { c.Run(ctx) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// missing creates controllers for failure domains that have none.
func (m *Manager) missing() []*Controller {
	domains := map[string]bool{}
	for _, g := range m.options.View.Current().Groups() {
		domains[g.Spec.FailureDomain] = true
	}
	for _, h := range m.options.Hosts.Hosts() {
		if h.Role == hostlist.RoleEngine {
			domains[h.FailureDomain] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var created []*Controller
	for domain := range domains {
		if domain != "" && m.controllers[domain] == nil {
			c := New(domain, m.options)
			m.controllers[domain] = c
			created = append(created, c)
		}
	}
	return created
}

// Explain returns the decisions that this node's controllers recorded about a
// group, the oldest first.
func (m *Manager) Explain(group string) []peer.Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	var steps []peer.Step
	for _, c := range m.controllers {
		steps = append(steps, c.Explain(group)...)
	}
	return steps
}
