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

// groupAlias is the short form of the kind ReplicaGroup.
const groupAlias = "group"

// newExplainCommand returns the command that prints recorded decisions.
func newExplainCommand() command {
	sub := newOperatorSubcommand("explain", "Print the decisions about an object or a request.")
	c := &client{}
	c.attach(sub)
	var target string
	sub.AddPositionalValue(&target, "KIND/NAME", 1, true, "An object, group/NAME for a replica group, or request/ID for a request.")
	var log string
	sub.String(&log, "", "log", "Read a request's story from this file of log lines, - for standard input, instead of asking a node.")
	return command{sub: sub, run: func(ctx context.Context) error {
		kind, name, err := splitKey(target)
		if err != nil {
			return err
		}
		if log != "" {
			return explainFromLog(log, kind, name)
		}
		if kind == groupAlias {
			kind = string(object.KindReplicaGroup)
		}
		var reply operatorapi.ExplainReply
		path := "/api/explain/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
		if err := c.read(ctx, path, nil, &reply); err != nil {
			return err
		}
		for _, step := range reply.Steps {
			fmt.Fprintf(stdout, "%s  %s  %s: %s\n", step.Time.Format(time.RFC3339Nano), step.Node, step.Reason, step.Message)
		}
		return nil
	}}
}

// requestAlias is the kind under which requests are explained.
const requestAlias = "request"

// explainFromLog prints the story of a request out of the logs of one or more
// nodes.
func explainFromLog(path, kind, id string) error {
	if kind != requestAlias {
		return fmt.Errorf("%w: logs explain request/ID only, not %s/%s", errUsage, kind, id)
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
	story := explain.Request(lines, id)
	if len(story) == 0 {
		return fmt.Errorf("no line of %d is about request %s (%d others were no events); ask for the logs of all nodes", len(lines), id, skipped)
	}
	for _, line := range story {
		fmt.Fprintln(stdout, line)
	}
	return nil
}
