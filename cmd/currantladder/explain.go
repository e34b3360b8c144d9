package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"time"

	"currantladder.example/currantladder/internal/process/explain"
	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

// groupKindAlias is the short form of the kind ReplicaGroup.
const groupKindAlias = "group"

// newExplainCommand returns the command that prints recorded decisions.
func newExplainCommand() command {
	sub := newOperatorSubcommand("explain", "Print the decisions about an object or a request.")
	c := &client{}
	c.addFlags(sub)
	var target string
	sub.AddPositionalValue(&target, "KIND/NAME", 1, true, "An object, group/NAME for a replica group, or request/ID for a request.")
	var logPath string
	sub.String(&logPath, "", "log", "Read the log lines about a request from this file (- for standard input) instead of asking a node.")
	return command{sub: sub, run: func(ctx context.Context) error {
		kind, name, err := parseKey(target)
		if err != nil {
			return err
		}
		if logPath != "" {
			return explainFromLog(logPath, kind, name)
		}
		if kind == groupKindAlias {
			kind = string(object.KindReplicaGroup)
		}
		var reply operatorapi.ExplainReply
		path := "/api/explain/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
		if err := c.get(ctx, path, nil, &reply); err != nil {
			return err
		}
		for _, step := range reply.Steps {
			fmt.Fprintf(stdout, "%s  %s  %s: %s\n", step.Time.Format(time.RFC3339Nano), step.Node, step.Reason, step.Message)
		}
		return nil
	}}
}

// requestKind is the KIND of requests in KIND/NAME.
const requestKind = "request"

// explainFromLog prints the lines about a request from the logs of one or more
// nodes.
func explainFromLog(path, kind, id string) error {
	if kind != requestKind {
		return fmt.Errorf("%w: --log explains only request/ID, not %s/%s", errUsage, kind, id)
	}
	source := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open the log: %w", err)
		}
		defer file.Close()
		source = file
	}
	lines, skipped, err := explain.ReadLog(source)
	if err != nil {
		return err
	}
	related := explain.RequestLines(lines, id)
	if len(related) == 0 {
		return fmt.Errorf("none of %d log events is about request %s (%d other lines are not events); read the logs of all nodes", len(lines), id, skipped)
	}
	for _, line := range related {
		fmt.Fprintln(stdout, line)
	}
	return nil
}
