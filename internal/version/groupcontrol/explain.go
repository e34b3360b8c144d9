package groupcontrol

import (
	"slices"
	"sync"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	// stepsPerGroup bounds the decisions kept for one group; the oldest is
	// dropped.
	stepsPerGroup = 64
	// maxExplained bounds the groups with kept decisions; a group beyond it
	// keeps none.
	maxExplained = 4096
)

// recorder keeps the last decisions of each group. It is safe for concurrent
// use.
type recorder struct {
	mu    sync.Mutex
	steps map[string][]peer.Step
}

func newRecorder() *recorder { return &recorder{steps: map[string][]peer.Step{}} }

// add records a decision. One that repeats the last reason replaces it, so
// that a long wait fills one place.
func (r *recorder) add(group string, step peer.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	steps, known := r.steps[group]
	if !known && len(r.steps) >= maxExplained {
		return
	}
	if n := len(steps); n > 0 && steps[n-1].Reason == step.Reason {
		steps = steps[:n-1]
	}
	if len(steps) >= stepsPerGroup {
		steps = slices.Delete(steps, 0, 1)
	}
	r.steps[group] = append(steps, step)
}

func (r *recorder) get(group string) []peer.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.steps[group])
}
