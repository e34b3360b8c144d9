package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions lists seeds that once violated a guarantee, each with the cause.
var regressions = []struct {
	seed  int64
	cause string
}{}

// TestSoak runs nodes as processes with the fault schedule of one fixed seed and
// of every seed that ever failed. Runs with more seeds are started manually, see
// docs/MEASURES.md.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes in real time")
	}
	programPath := filepath.Join(t.TempDir(), "currantladder")
	if out, err := exec.Command("go", "build", "-o", programPath, "../../cmd/currantladder").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	run := func(t *testing.T, seed int64) {
		report, err := Run(context.Background(), Options{ProgramPath: programPath, Seed: seed, InjectionDuration: 8 * time.Second, Nodes: 3, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report)
		for _, violation := range report.Violations {
			t.Error(violation)
		}
		if report.Faults == 0 || report.RequestsServed == 0 {
			t.Errorf("got %d faults and %d served requests, want at least one of each", report.Faults, report.RequestsServed)
		}
	}
	t.Run("fixed", func(t *testing.T) { run(t, 1) })
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { run(t, r.seed) })
	}
}
