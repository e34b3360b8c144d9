package main

import (
	"context"

	"github.com/integrii/flaggy"
)

// command is one subcommand of the program. run blocks until the command has
// ended or ctx ends.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

// selectedCommand returns the command that the parsed arguments select, or nil.
func selectedCommand(commands []command) *command {
	for i := range commands {
		if commands[i].sub.Used {
			return &commands[i]
		}
	}
	return nil
}
