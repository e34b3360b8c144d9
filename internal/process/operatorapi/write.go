package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
)

func (a *api) apply(ctx iris.Context) {
	objects, failure := decodeObjects(ctx.Request().Body)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	a.propose(ctx, objectChanges(objects))
}

func (a *api) put(ctx iris.Context) {
	objects, failure := decodeObjects(ctx.Request().Body)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	path := object.Key{Kind: object.Kind(ctx.Params().Get("kind")), Name: ctx.Params().Get("name")}
	if len(objects) != 1 || objects[0].Key() != path {
		fail(ctx, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("the path names %s: send that one object, or several to POST /api/apply", path)))
		return
	}
	a.propose(ctx, objectChanges(objects))
}

func objectChanges(objects []*object.Object) []object.Change {
	changes := make([]object.Change, 0, len(objects))
	for _, o := range objects {
		changes = append(changes, object.Change{Object: o})
	}
	return changes
}

func (a *api) delete(ctx iris.Context) {
	kind, failure := readableKind(ctx)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	if kind == object.KindNode {
		fail(ctx, newError(ErrorMethodNotAllowed, http.StatusMethodNotAllowed, "Node is read-only: stop the node's process instead"))
		return
	}
	version, failure := int64Query(ctx, "resourceVersion", 0)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	key := object.Key{Kind: kind, Name: ctx.Params().Get("name")}
	a.propose(ctx, []object.Change{{Deleted: &key, ResourceVersion: version}})
}

// propose proposes the changes as the operator, all or none, and answers with the
// accepted ones.
func (a *api) propose(ctx iris.Context, changes []object.Change) {
	dryRun, failure := boolQuery(ctx, "dryRun")
	if failure != nil {
		fail(ctx, failure)
		return
	}
	p := configlog.Proposal{Author: ctx.Values().GetString(operatorKey), Changes: changes, DryRun: dryRun}
	writeCtx, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	record, err := a.deps.Log.Propose(writeCtx, p)
	if err != nil {
		fail(ctx, proposeError(err))
		return
	}
	if len(record.Changes) == 0 && changes[0].Deleted != nil {
		fail(ctx, notFound(changes[0].Deleted.Kind, changes[0].Deleted.Name))
		return
	}
	if !dryRun {
		a.awaitAccepted(ctx.Request().Context(), record)
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, applyReply(changes, record, dryRun))
}

// awaitAccepted waits until this node has applied the accepted revision. The
// write succeeds even if the node has not applied it within applyTimeout.
func (a *api) awaitAccepted(ctx context.Context, record object.Record) {
	a.deps.Config.ObserveRevision(record.Revision)
	waitCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	a.await(waitCtx, record.Revision)
	for _, change := range record.Changes {
		if change.Deleted != nil {
			a.transitions.remove(*change.Deleted)
		}
	}
}

func applyReply(proposed []object.Change, record object.Record, dryRun bool) ApplyReply {
	reply := ApplyReply{Revision: record.Revision, DryRun: dryRun, Changed: []*object.Object{}}
	accepted := make(map[object.Key]bool, len(record.Changes))
	for _, change := range record.Changes {
		if change.Object != nil {
			reply.Changed = append(reply.Changed, change.Object)
			accepted[change.Object.Key()] = true
		}
		if change.Deleted != nil {
			reply.Deleted = append(reply.Deleted, *change.Deleted)
		}
	}
	for _, change := range proposed {
		if change.Object != nil && !accepted[change.Object.Key()] {
			reply.Unchanged = append(reply.Unchanged, change.Object.Key())
		}
	}
	return reply
}

func boolQuery(ctx iris.Context, name string) (bool, *Error) {
	text := ctx.URLParam(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("query %s=%s is not a boolean: use true or false", name, text))
	}
	return value, nil
}
