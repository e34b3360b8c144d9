package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/node"
	"currantladder.example/currantladder/internal/process/settings"
)

// newServeCommand returns the command "serve", which runs one entry node.
func newServeCommand() command {
	sub := flaggy.NewSubcommand("serve")
	sub.Description = "Run an entry node."
	var path string
	sub.String(&path, "", "settings", "Path of the settings file (INI).")
	return command{sub: sub, run: func(ctx context.Context) error {
		if path == "" {
			return fmt.Errorf("%w: --settings is missing; name the settings file", errUsage)
		}
		return runServe(ctx, path)
	}}
}

// memoryLimitShare is the part of the memory named in the settings that is set as the soft
// limit of the Go runtime, which collects garbage more often near it.
const memoryLimitShare = 0.6

func runServe(ctx context.Context, path string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		return fmt.Errorf("parse the log level: %w", err)
	}
	if loaded.Node.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(loaded.Node.MemoryMB) * (1 << 20)))
	}
	n, err := node.New(loaded, eventlog.New(os.Stderr, level, loaded.Node.Name))
	if err != nil {
		return err
	}
	addresses := n.Addresses()
	fmt.Printf("callers on %s, peers on %s, operators on %s\n", addresses.Callers, addresses.Peers, addresses.Operators)
	return n.Run(ctx)
}
