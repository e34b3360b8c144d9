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

// newExperimentCommand returns the command that runs a load sheet on a
// simulation of the served system.
func newExperimentCommand() command {
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "Run a load sheet under one or more policies on a simulation of the served system, in virtual time."
	var sheetPath, policyNames, pagePath = "", "", ""
	var seed int64
	quiet := false
	sub.AddPositionalValue(&sheetPath, "LOADSHEET", 1, true, "Load sheet, such as deploy/loads/bursts.ini.")
	sub.String(&policyNames, "", "policies", "Names of policies, separated by commas; by default all.")
	sub.String(&pagePath, "", "page", "Write an HTML page with plots to this file.")
	sub.Int64(&seed, "", "seed", "Seed that replaces the one of the load sheet.")
	sub.Bool(&quiet, "", "quiet", "Do not print progress.")
	return command{sub: sub, run: func(ctx context.Context) error {
		sheet, err := experiment.ReadSheet(sheetPath)
		if err != nil {
			return err
		}
		if seed > 0 {
			sheet.Run.Seed = uint64(seed)
		}
		selected, err := selectPolicies(policyNames)
		if err != nil {
			return err
		}
		results, err := runPolicies(ctx, sheet, selected, quiet)
		if err != nil {
			return err
		}
		if err := experiment.WriteTable(os.Stdout, results); err != nil {
			return err
		}
		if pagePath == "" {
			return nil
		}
		return writePage(pagePath, sheet, results)
	}}
}

// selectPolicies returns the policies of a list of names separated by commas, or
// all policies if the list is empty.
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

// runPolicies runs the policies concurrently and prints a line of progress for
// each tenth of a run.
func runPolicies(ctx context.Context, sheet *experiment.Sheet, policies []experiment.Policy, quiet bool) ([]*experiment.Result, error) {
	results, errs := make([]*experiment.Result, len(policies)), make([]error, len(policies))
	var runs sync.WaitGroup
	for i, policy := range policies {
		runs.Go(func() {
			printedTenths := 0
			results[i], errs[i] = experiment.Run(ctx, sheet, policy, func(progress float64) {
				if tenths := int(progress * 10); !quiet && tenths > printedTenths {
					printedTenths = tenths
					fmt.Fprintf(os.Stderr, "%s: %d%%\n", policy.Name, tenths*10)
				}
			})
		})
	}
	runs.Wait()
	return results, errors.Join(errs...)
}

func writePage(path string, sheet *experiment.Sheet, results []*experiment.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the HTML page: %w", err)
	}
	if err := experiment.WritePage(file, sheet, results); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write the HTML page: %w", err)
	}
	return nil
}
