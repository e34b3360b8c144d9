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

// used returns the command that the arguments named, or nil.
func used(commands []command) *command {
	for i := range commands {
		if commands[i].sub.Used {
			return &commands[i]
		}
	}
	return nil
}
