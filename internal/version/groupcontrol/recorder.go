package groupcontrol

import (
	"slices"
	"sync"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	// maxDecisionsPerGroup limits the decisions kept for one group. The oldest
	// one is dropped.
	maxDecisionsPerGroup = 64
	// maxRecordedGroups limits the groups whose decisions are kept. Those of
	// further groups are not recorded.
	maxRecordedGroups = 4096
)

// decisionRecorder keeps the last decisions of each group. It is safe for
// concurrent use.
type decisionRecorder struct {
	mu    sync.Mutex
	steps map[string][]peer.Step
}

func newDecisionRecorder() *decisionRecorder {
	return &decisionRecorder{steps: map[string][]peer.Step{}}
}

// add records a decision. It replaces the last decision if the reason is the
// same, so that a long wait takes up one entry.
func (r *decisionRecorder) add(group string, step peer.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	steps, found := r.steps[group]
	if !found && len(r.steps) >= maxRecordedGroups {
		return
	}
	if n := len(steps); n > 0 && steps[n-1].Reason == step.Reason {
		steps = steps[:n-1]
	}
	if len(steps) >= maxDecisionsPerGroup {
		steps = slices.Delete(steps, 0, 1)
	}
	r.steps[group] = append(steps, step)
}

func (r *decisionRecorder) get(group string) []peer.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.steps[group])
}
