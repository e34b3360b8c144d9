package main

import (
	"context"
	"fmt"
	"os"

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

func runServe(ctx context.Context, path string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		return fmt.Errorf("parse the log level: %w", err)
	}
	n, err := node.New(loaded, eventlog.New(os.Stderr, level, loaded.Node.Name))
	if err != nil {
		return err
	}
	addresses := n.Addresses()
	fmt.Printf("callers on %s, peers on %s, operators on %s\n", addresses.Callers, addresses.Peers, addresses.Operators)
	return n.Run(ctx)
}
