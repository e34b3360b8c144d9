package main

import (
	"context"
	"fmt"

	"currantladder.example/currantladder/internal/process/settings"
)

// newCheckCommand returns the command that checks a settings file.
func newCheckCommand() command {
	sub := newOperatorSubcommand("check", "Check a settings file and print every fault.")
	var file string
	sub.AddPositionalValue(&file, "FILE", 1, true, "The settings file.")
	return command{sub: sub, run: func(context.Context) error {
		if _, err := settings.Load(file); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "%s has no faults\n", file)
		return nil
	}}
}
