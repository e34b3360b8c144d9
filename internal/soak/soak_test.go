package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that once broke a promise, each with its cause.
var regressions = []struct {
	seed  int64
	cause string
}{}

// TestSoak runs nodes as processes under one fixed schedule of faults, and
// every seed that ever failed. More seeds run by hand: see docs/MEASURES.md.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes in real time")
	}
	program := filepath.Join(t.TempDir(), "currantladder")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/currantladder").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	run := func(t *testing.T, seed int64) {
		report, err := Run(context.Background(), Options{Program: program, Seed: seed, Length: 8 * time.Second, Nodes: 3, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report)
		for _, broken := range report.Broken {
			t.Error(broken)
		}
		if report.Faults == 0 || report.Served == 0 {
			t.Errorf("%d faults, %d requests served: the run shows nothing", report.Faults, report.Served)
		}
	}
	t.Run("fixed", func(t *testing.T) { run(t, 1) })
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { run(t, r.seed) })
	}
}
