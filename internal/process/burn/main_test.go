package burn

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixedView implements configlog.View.
type fixedView struct{ current *snapshot.Snapshot }

func (v fixedView) Current() *snapshot.Snapshot { return v.current }
func (fixedView) Changed() <-chan struct{}      { return nil }

// testRanks declares the ranks urgent, standard and batch with the objectives
// 0.95, 0.9 and 0.8.
func testRanks() fixedView {
	rank := func(name string, priority int, first int64, objective float64) *object.Object {
		return &object.Object{Kind: object.KindRank, Metadata: object.Metadata{Name: name}, Spec: &object.RankSpec{
			Priority: priority, FirstTokenTargetMillis: first, InterTokenTargetMillis: 27, QueueBound: 1, MaxAttempts: 1, Objective: objective,
		}}
	}
	return fixedView{snapshot.New(3, []*object.Object{
		rank("urgent", 0, 670, 0.95),
		rank("standard", 1, 5_000, 0.9),
		rank("batch", 2, 30_000, 0.8),
	}, nil)}
}

// testStart is not the start of a bucket of any width.
var testStart = time.Date(2026, 3, 1, 9, 13, 29, 0, time.UTC)
