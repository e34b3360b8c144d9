package main

import (
	"os"

	"github.com/integrii/flaggy"
)

// operatorCommands returns the commands that operators use.
func operatorCommands() []command {
	return []command{
		newApplyCommand(),
		newDeleteCommand(),
		newGetCommand(),
		newWaitCommand(),
		newWatchCommand(),
		newExplainCommand(),
		newBurnCommand(),
		newCheckCommand(),
		newEventsCommand(),
	}
}

// stdout is the output of operator commands.
var stdout = os.Stdout

func newOperatorSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}
