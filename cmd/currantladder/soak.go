package main

import (
	"context"
	"fmt"
	"os"
	"strings"
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
	var faults []string
	sub.Int64(&seed, "", "seed", "First seed.")
	sub.Int(&count, "", "count", "Number of seeds, one after the other.")
	sub.Int(&nodes, "", "nodes", "Number of nodes.")
	sub.Int(&seconds, "", "seconds", "Seconds during which new faults are started, for each seed.")
	sub.String(&dir, "", "dir", "Folder that keeps settings and logs of failed seeds; by default the system's temporary folder.")
	sub.StringSlice(&faults, "", "fault", "Name of a fault to inject, several times for more; by default all: "+strings.Join(soak.FaultNames(), ", ")+"; and only by name: "+strings.Join(soak.FaultNamesOnRequest(), ", ")+".")
	sub.Bool(&quiet, "", "quiet", "Print results only.")
	return command{sub: sub, run: func(ctx context.Context) error {
		options := soak.Options{Seed: seed, InjectionDuration: time.Duration(seconds) * time.Second, Nodes: nodes, Faults: faults}
		if !quiet {
			options.Progress = os.Stderr
		}
		return runSoak(ctx, options, count, dir)
	}}
}

// runSoak runs count seeds, beginning with the one in options. Logs of failed seeds are in dir.
func runSoak(ctx context.Context, options soak.Options, count int, dir string) error {
	programPath, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of the running program: %w", err)
	}
	options.ProgramPath = programPath
	failed := 0
	for i := 0; i < count; i, options.Seed = i+1, options.Seed+1 {
		folder, err := os.MkdirTemp(dir, fmt.Sprintf("currantladder-soak-%d-", options.Seed))
		if err != nil {
			return fmt.Errorf("create a folder for settings and logs: %w", err)
		}
		options.Dir = folder
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
