package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"currantladder.example/currantladder/internal/soak"
)

// newSoakCommand returns the command that runs nodes as processes and injects
// faults.
func newSoakCommand() command {
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "Run nodes as processes on loopback under random faults and check the guarantees of the system."
	var seed, count, nodes, seconds, dir = int64(1), 1, 3, 20, ""
	quiet := false
	sub.Int64(&seed, "", "seed", "First seed.")
	sub.Int(&count, "", "count", "Number of seeds, one after the other.")
	sub.Int(&nodes, "", "nodes", "Number of nodes.")
	sub.Int(&seconds, "", "seconds", "Seconds during which new faults are started, for each seed.")
	sub.String(&dir, "", "dir", "Folder that keeps settings and logs of failed seeds; by default the system's temporary folder.")
	sub.Bool(&quiet, "", "quiet", "Print results only.")
	return command{sub: sub, run: func(ctx context.Context) error {
		return runSoak(ctx, seed, count, nodes, time.Duration(seconds)*time.Second, dir, quiet)
	}}
}

func runSoak(ctx context.Context, seed int64, count, nodes int, injectionDuration time.Duration, dir string, quiet bool) error {
	programPath, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of the running program: %w", err)
	}
	failed := 0
	for i := range int64(count) {
		folder, err := os.MkdirTemp(dir, fmt.Sprintf("currantladder-soak-%d-", seed+i))
		if err != nil {
			return fmt.Errorf("create a folder for settings and logs: %w", err)
		}
		options := soak.Options{ProgramPath: programPath, Seed: seed + i, InjectionDuration: injectionDuration, Nodes: nodes, Dir: folder}
		if !quiet {
			options.Progress = os.Stderr
		}
		report, err := soak.Run(ctx, options)
		if err != nil {
			return err
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			failed++
			fmt.Printf("seed %d: logs are in %s\n", report.Seed, folder)
		} else if err := os.RemoveAll(folder); err != nil {
			return fmt.Errorf("remove logs: %w", err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", failed, count)
	}
	return nil
}
