package main

import (
	"context"
	"fmt"
	"net/url"
	"time"

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
	return command{sub: sub, run: func(ctx context.Context) error {
		kind, name, err := splitKey(target)
		if err != nil {
			return err
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
