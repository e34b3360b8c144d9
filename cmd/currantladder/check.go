package main

import (
	"context"
	"fmt"

	"currantladder.example/currantladder/internal/process/gateway"
	"currantladder.example/currantladder/internal/process/settings"
)

// newCheckCommand returns the command that checks a settings file.
func newCheckCommand() command {
	sub := newOperatorSubcommand("check", "Check a settings file and print every error in it.")
	var file string
	sub.AddPositionalValue(&file, "FILE", 1, true, "The settings file.")
	return command{sub: sub, run: func(context.Context) error {
		if err := checkSettings(file); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "%s has no faults\n", file)
		return nil
	}}
}

// checkSettings checks the settings file of a managed node or of a node with
// declared groups.
func checkSettings(file string) error {
	if gateway.IsManagedSettings(file) {
		_, err := gateway.LoadSettings(file)
		return err
	}
	_, err := settings.Load(file)
	return err
}
