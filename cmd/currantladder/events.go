package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// newEventsCommand returns the command that prints the event catalogue.
func newEventsCommand() command {
	sub := newOperatorSubcommand("events", "Print the catalogue of log events.")
	return command{sub: sub, run: func(context.Context) error {
		table := tabwriter.NewWriter(stdout, tableMinWidth, tableTabWidth, tablePadding, ' ', 0)
		fmt.Fprintln(table, "EVENT\tLEVEL\tMESSAGE")
		for _, event := range eventlog.Catalogue {
			fmt.Fprintf(table, "%d\t%s\t%s\n", event.Number, event.Level, event.Message)
		}
		return table.Flush()
	}}
}
