package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

// watchBackoff is the delay before a failed watch request is sent again.
const watchBackoff = 2 * time.Second

// newWatchCommand returns the command that prints changes as the node applies
// them.
func newWatchCommand() command {
	sub := newOperatorSubcommand("watch", "Print accepted changes as the node applies them.")
	c := &client{}
	c.addFlags(sub)
	after := int64(-1)
	var asJSON bool
	sub.Int64(&after, "", "after", "Start after this revision (default: the current one).")
	sub.Bool(&asJSON, "", "json", "Print each record as JSON.")
	return command{sub: sub, run: func(ctx context.Context) error {
		w := &watcher{client: c, asJSON: asJSON}
		return w.run(ctx, after)
	}}
}

// watcher prints the change records of one node.
type watcher struct {
	client *client
	asJSON bool
}

// run prints the records after a revision, or after the current one if it is
// negative, until ctx ends. It retries after errors that are not final.
func (w *watcher) run(ctx context.Context, after int64) error {
	var err error
	if after < 0 {
		if after, err = w.currentRevision(ctx); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		next, err := w.next(ctx, after)
		if err == nil {
			after = next
			continue
		}
		if isFinal(err) {
			return err
		}
		if ctx.Err() != nil {
			break
		}
		fmt.Fprintln(os.Stderr, "currantladder:", err)
		select {
		case <-time.After(watchBackoff):
		case <-ctx.Done():
		}
	}
	return nil
}

// currentRevision returns the revision that the node has applied.
func (w *watcher) currentRevision(ctx context.Context) (int64, error) {
	var list operatorapi.ObjectList
	err := w.client.get(ctx, "/api/"+string(object.KindNode), nil, &list)
	return list.Revision, err
}

// next prints the records after a revision and returns the revision to continue
// from. If the node no longer has those records, it continues from the current
// revision of the node.
func (w *watcher) next(ctx context.Context, after int64) (int64, error) {
	var reply operatorapi.WatchReply
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	err := w.client.get(ctx, "/api/watch", query, &reply)
	if isAPIError(err, operatorapi.ErrorCompacted) {
		fmt.Fprintln(os.Stderr, "currantladder:", err)
		return w.currentRevision(ctx)
	}
	if err != nil {
		return after, err
	}
	for _, record := range reply.Records {
		if err := w.print(record); err != nil {
			return after, err
		}
	}
	return reply.Revision, nil
}

func (w *watcher) print(record object.Record) error {
	if w.asJSON {
		return printJSON(stdout, record)
	}
	for _, change := range record.Changes {
		fmt.Fprintf(stdout, "%d  %s  %s  %s\n", record.Revision, record.Time.Format(time.RFC3339), record.Author, describeChange(change))
	}
	return nil
}

// describeChange returns a change as text on one line.
func describeChange(change object.Change) string {
	switch {
	case change.Object != nil:
		return fmt.Sprintf("%s generation %d", change.Object.Key(), change.Object.Metadata.Generation)
	case change.Placement != nil:
		return fmt.Sprintf("placement/%s %s: %s", change.Placement.Group, change.Placement.Phase, change.Placement.Message)
	case change.Deleted != nil:
		return change.Deleted.String() + " deleted"
	default:
		return "placement/" + change.DeletedPlacement + " deleted"
	}
}
