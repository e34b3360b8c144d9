package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"currantladder.example/currantladder/internal/process/operatorapi"
)

// reportFileMode is the mode of the file that --html writes.
const reportFileMode = 0o644

// newBurnCommand returns the command that prints the burn report of the
// service-level objectives.
func newBurnCommand() command {
	sub := newOperatorSubcommand("burn", "Print the burn of the service-level error budgets by rank and account class.")
	c := &client{}
	c.addFlags(sub)
	var asJSON bool
	var htmlFile string
	sub.Bool(&asJSON, "", "json", "Print JSON.")
	sub.String(&htmlFile, "", "html", "Write an HTML page to this file.")
	return command{sub: sub, run: func(ctx context.Context) error {
		if asJSON && htmlFile != "" {
			return fmt.Errorf("%w: use either --json or --html", errUsage)
		}
		format := operatorapi.BurnText
		if asJSON {
			format = operatorapi.BurnJSON
		}
		if htmlFile != "" {
			format = operatorapi.BurnHTML
		}
		report, err := c.call(ctx, http.MethodGet, "/burn", url.Values{"format": {string(format)}}, nil)
		if err != nil {
			return err
		}
		if htmlFile != "" {
			return os.WriteFile(htmlFile, report, reportFileMode)
		}
		_, err = stdout.Write(report)
		return err
	}}
}
