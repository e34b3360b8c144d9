// Command currantladder serves models that span several hosts.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks errors of the command line. The program then exits with
// exitUsage.
var errUsage = errors.New("usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := runMain(ctx, os.Args[1:])
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "currantladder:", err)
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// runMain parses the arguments and runs the command that they select. It blocks
// until the command has ended.
func runMain(ctx context.Context, args []string) error {
	commands := append(operatorCommands(), newServeCommand(), newGatewayCommand(), newSoakCommand(), newExperimentCommand(), newDemoCommand(), newStandinCommand())
	parser := flaggy.NewParser("currantladder")
	parser.Description = "Serve models that span several hosts."
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	selected := selectedCommand(commands)
	if selected == nil {
		return fmt.Errorf("%w: no command given; see currantladder --help", errUsage)
	}
	return selected.run(ctx)
}
