package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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
	sub.String(&path, "", "settings", "Path of the settings file (INI); by default the path that the platform provides.")
	return command{sub: sub, run: func(ctx context.Context) error {
		if path == "" {
			platformPath, err := platform.SettingsPath()
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			path = platformPath
		}
		return runGateway(ctx, path)
	}}
}

func runGateway(ctx context.Context, path string) error {
	// By default SIGHUP terminates a process. This holds it off before logReloads and
	// during the end of the process; signals that do not fit into the channel are dropped.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	loaded, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(loaded.LogLevel)
	if err != nil {
		return fmt.Errorf("parse the log level: %w", err)
	}
	writer := eventlog.NewAsyncWriter(os.Stdout)
	defer writer.Close()
	log := eventlog.New(writer, level, loaded.Node).WithRateLimit(writer)
	stop := logReloads(path, log)
	defer stop()
	return platform.NewNode(loaded, log).Run(ctx)
}

// logReloads checks the settings file again at each SIGHUP and logs the result,
// until the returned function is called. Listeners and addresses are fixed for
// the life of the process: changed ones apply at the next start.
func logReloads(path string, log *eventlog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-hangups:
				fields := eventlog.Fields{"path": path}
				if _, err := gateway.LoadSettings(path); err != nil {
					fields["error"] = err.Error()
				}
				log.Log(eventlog.SettingsReloaded, fields)
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}
