package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/gateway"
	"currantladder.example/currantladder/platform"
)

// newGatewayCommand returns the command "gateway", which runs a node of a
// managed deployment.
func newGatewayCommand() command {
	sub := flaggy.NewSubcommand("gateway")
	sub.Description = "Run a node of a managed deployment on the users' platform."
	var path string
	sub.String(&path, "", "settings", "Path of the settings file (INI); by default the one that the platform names.")
	return command{sub: sub, run: func(ctx context.Context) error {
		if path == "" {
			given, err := platform.SettingsPath()
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			path = given
		}
		return runGateway(ctx, path)
	}}
}

func runGateway(ctx context.Context, path string) error {
	loaded, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(loaded.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	writer := eventlog.NewAsyncWriter(os.Stdout)
	defer writer.Close()
	log := eventlog.New(writer, level, loaded.Node).Limited(writer)
	return platform.NewNode(loaded, log).Run(ctx)
}
