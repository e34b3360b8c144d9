package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"currantladder.example/currantladder/internal/process/operatorapi"
)

// newDeleteCommand returns the command that deletes one object.
func newDeleteCommand() command {
	sub := newOperatorSubcommand("delete", "Delete one object.")
	c := &client{}
	c.addFlags(sub)
	var target string
	var version int64
	sub.AddPositionalValue(&target, "KIND/NAME", 1, true, "The object.")
	sub.Int64(&version, "", "resource-version", "Delete only if this is the current resource version.")
	return command{sub: sub, run: func(ctx context.Context) error {
		kind, name, err := parseKey(target)
		if err != nil {
			return err
		}
		query := url.Values{}
		if version != 0 {
			query.Set("resourceVersion", strconv.FormatInt(version, 10))
		}
		content, err := c.call(ctx, http.MethodDelete, objectPath(kind, name), query, nil)
		if err != nil {
			return err
		}
		var reply operatorapi.ApplyReply
		if err := json.Unmarshal(content, &reply); err != nil {
			return fmt.Errorf("decode the response of delete: %w", err)
		}
		fmt.Fprintf(stdout, "%s deleted at revision %d\n", target, reply.Revision)
		return nil
	}}
}
