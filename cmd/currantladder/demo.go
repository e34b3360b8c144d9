package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"currantladder.example/currantladder/internal/demo"
)

// newDemoCommand returns the command "demo", which runs a whole fleet in this
// process.
func newDemoCommand() command {
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Run a platform, engines, a service and three nodes in one process, with load and failures."
	return command{sub: sub, run: func(ctx context.Context) error {
		return demo.Run(ctx, os.Stdout)
	}}
}
