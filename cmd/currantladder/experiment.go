package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"currantladder.example/currantladder/internal/experiment"
)

// newExperimentCommand returns the command that plays a load sheet on the model
// of the served system.
func newExperimentCommand() command {
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "Play a load sheet against policies on a model of the served system, in virtual time."
	var path, policies, page = "", "", ""
	var seed int64
	quiet := false
	sub.AddPositionalValue(&path, "LOADSHEET", 1, true, "Load sheet, such as deploy/loads/bursts.ini.")
	sub.String(&policies, "", "policies", "Names of policies, separated by commas; all by default.")
	sub.String(&page, "", "page", "File for an HTML page with plots.")
	sub.Int64(&seed, "", "seed", "Seed in place of the sheet's.")
	sub.Bool(&quiet, "", "quiet", "Show no progress.")
	return command{sub: sub, run: func(ctx context.Context) error {
		sheet, err := experiment.ReadSheet(path)
		if err != nil {
			return err
		}
		if seed > 0 {
			sheet.Run.Seed = uint64(seed)
		}
		selected, err := selectPolicies(policies)
		if err != nil {
			return err
		}
		results, err := playAll(ctx, sheet, selected, quiet)
		if err != nil {
			return err
		}
		if err := experiment.WriteTable(os.Stdout, results); err != nil {
			return err
		}
		if page == "" {
			return nil
		}
		return writePage(page, sheet, results)
	}}
}

func selectPolicies(names string) ([]experiment.Policy, error) {
	all := experiment.Policies()
	if names == "" {
		return all, nil
	}
	var selected []experiment.Policy
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(all, func(p experiment.Policy) bool { return p.Name == strings.TrimSpace(name) })
		if i < 0 {
			known := make([]string, len(all))
			for j, p := range all {
				known[j] = p.Name
			}
			return nil, fmt.Errorf("%w: unknown policy %q; use one of %s", errUsage, name, strings.Join(known, ", "))
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// playAll plays the policies beside each other and shows a line for each tenth
// of a play.
func playAll(ctx context.Context, sheet *experiment.Sheet, policies []experiment.Policy, quiet bool) ([]*experiment.Result, error) {
	results, faults := make([]*experiment.Result, len(policies)), make([]error, len(policies))
	var plays sync.WaitGroup
	for i, policy := range policies {
		plays.Go(func() {
			shown := 0
			results[i], faults[i] = experiment.Run(ctx, sheet, policy, func(part float64) {
				if tenths := int(part * 10); !quiet && tenths > shown {
					shown = tenths
					fmt.Fprintf(os.Stderr, "%s: %d%%\n", policy.Name, tenths*10)
				}
			})
		})
	}
	plays.Wait()
	return results, errors.Join(faults...)
}

func writePage(path string, sheet *experiment.Sheet, results []*experiment.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the page: %w", err)
	}
	if err := experiment.WritePage(file, sheet, results); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}
