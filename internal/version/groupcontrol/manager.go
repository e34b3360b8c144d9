package groupcontrol

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/peer"
)

// Manager runs one controller for each failure domain that a group or an engine
// host names. It is safe for concurrent use.
type Manager struct {
	options Options

	mu          sync.Mutex
	controllers map[string]*Controller
}

// NewManager returns a manager. It does nothing until Run.
func NewManager(options Options) *Manager {
	return &Manager{options: options, controllers: map[string]*Controller{}}
}

// Run starts controllers as failure domains appear. It blocks until ctx ends
// and every controller has stopped.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(m.options.ReconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, c := range m.createMissing() {
			running.Go(func() { c.Run(ctx) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// createMissing creates controllers for failure domains that have none and
// returns them.
func (m *Manager) createMissing() []*Controller {
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
