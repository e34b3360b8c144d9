package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"currantladder.example/currantladder/internal/process/operatorapi"
)

// newApplyCommand returns the command that applies the objects of a file.
func newApplyCommand() command {
	sub := newOperatorSubcommand("apply", "Apply the objects of a JSON file; all are accepted or none.")
	c := &client{}
	c.addFlags(sub)
	var file string
	var dryRun bool
	sub.String(&file, "f", "file", "One object, an array or a stream of objects in JSON; - reads standard input.")
	sub.Bool(&dryRun, "", "dry-run", "Check the objects without accepting them.")
	return command{sub: sub, run: func(ctx context.Context) error {
		if file == "" {
			return fmt.Errorf("%w: name the file with -f FILE", errUsage)
		}
		body, err := readInput(file)
		if err != nil {
			return err
		}
		return applyObjects(ctx, c, body, dryRun)
	}}
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read -f: %w", err)
	}
	return body, nil
}

func applyObjects(ctx context.Context, c *client, body []byte, dryRun bool) error {
	query := url.Values{}
	if dryRun {
		query.Set("dryRun", "true")
	}
	content, err := c.call(ctx, http.MethodPost, "/api/apply", query, bytes.NewReader(body))
	if err != nil {
		return err
	}
	var reply operatorapi.ApplyReply
	if err := json.Unmarshal(content, &reply); err != nil {
		return fmt.Errorf("decode the response of apply: %w", err)
	}
	outcome := "accepted"
	if reply.DryRun {
		outcome = "valid"
	}
	for _, o := range reply.Changed {
		fmt.Fprintf(stdout, "%s %s at revision %d\n", o.Key(), outcome, reply.Revision)
	}
	for _, key := range reply.Unchanged {
		fmt.Fprintf(stdout, "%s unchanged\n", key)
	}
	return nil
}
