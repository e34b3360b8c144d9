package operatorapi

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/version/object"
)

// watch answers as soon as this node has applied a revision above "after", or
// without records once the timeout has passed.
func (a *api) watch(ctx iris.Context) {
	after, failure := int64Query(ctx, "after", 0)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	timeout, failure := watchTimeout(ctx)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), timeout)
	defer cancel()
	a.await(waitCtx, after+1)
	records, kept := a.deps.Config.Records(after)
	if !kept {
		fail(ctx, newError(ErrorCompacted, http.StatusGone, fmt.Sprintf("the changes after revision %d are no longer kept at this node: list the objects and watch from the list's revision", after)))
		return
	}
	reply := WatchReply{Revision: after, Records: records}
	if len(records) > 0 {
		reply.Revision = records[len(records)-1].Revision
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, reply)
}

func watchTimeout(ctx iris.Context) (time.Duration, *Error) {
	text := ctx.URLParam("timeout")
	if text == "" {
		return defaultWatchTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout < 0 || timeout > maxWatchTimeout {
		return 0, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("query timeout=%s is not usable: use a duration from 0s to %s", text, maxWatchTimeout))
	}
	return timeout, nil
}

func (a *api) audit(ctx iris.Context) {
	after, failure := int64Query(ctx, "after", 0)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	readCtx, cancel := context.WithTimeout(ctx.Request().Context(), readTimeout)
	defer cancel()
	records, err := a.deps.Audit.Records(readCtx, after, maxAuditEntries)
	if err != nil {
		fail(ctx, readError(err))
		return
	}
	reply := AuditReply{Entries: []AuditEntry{}, Next: after, More: len(records) == maxAuditEntries}
	for _, record := range records {
		reply.Entries = append(reply.Entries, auditEntry(record))
		reply.Next = record.Revision
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, reply)
}

func auditEntry(record object.Record) AuditEntry {
	entry := AuditEntry{Revision: record.Revision, Author: record.Author, Time: record.Time}
	for _, change := range record.Changes {
		switch {
		case change.Object != nil:
			entry.Written = append(entry.Written, change.Object.Key().String())
		case change.Placement != nil:
			entry.Written = append(entry.Written, "placement/"+change.Placement.Group)
		case change.Deleted != nil:
			entry.Deleted = append(entry.Deleted, change.Deleted.String())
		default:
			entry.Deleted = append(entry.Deleted, "placement/"+change.DeletedPlacement)
		}
	}
	return entry
}

func (a *api) explainObject(ctx iris.Context) {
	kind, failure := readableKind(ctx)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	key := object.Key{Kind: kind, Name: ctx.Params().Get("name")}
	readCtx, cancel := context.WithTimeout(ctx.Request().Context(), readTimeout)
	defer cancel()
	steps, err := a.deps.Explain.ExplainObject(readCtx, key)
	a.writeSteps(ctx, key.String(), steps, err)
}

func (a *api) explainRequest(ctx iris.Context) {
	id := ctx.Params().Get("id")
	readCtx, cancel := context.WithTimeout(ctx.Request().Context(), readTimeout)
	defer cancel()
	steps, err := a.deps.Explain.ExplainRequest(readCtx, id)
	a.writeSteps(ctx, "request "+id, steps, err)
}

func (a *api) writeSteps(ctx iris.Context, subject string, steps []peer.Step, err error) {
	if err != nil {
		fail(ctx, readError(err))
		return
	}
	if len(steps) == 0 {
		fail(ctx, newError(ErrorNotFound, http.StatusNotFound, fmt.Sprintf("no decision about %s is recorded: check the name; old decisions are dropped", subject)))
		return
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, ExplainReply{Steps: steps})
}

// burnContentTypes maps the formats of the burn report to their content types.
var burnContentTypes = map[BurnFormat]string{
	BurnText: "text/plain; charset=utf-8",
	BurnJSON: "application/json",
	BurnHTML: "text/html; charset=utf-8",
}

func (a *api) burn(ctx iris.Context) {
	format := BurnFormat(ctx.URLParamDefault("format", string(BurnText)))
	contentType, ok := burnContentTypes[format]
	if !ok {
		fail(ctx, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("format %q does not exist: use text, json or html", format)))
		return
	}
	readCtx, cancel := context.WithTimeout(ctx.Request().Context(), readTimeout)
	defer cancel()
	var report bytes.Buffer
	if err := a.deps.Burn.WriteBurn(readCtx, &report, format); err != nil {
		fail(ctx, readError(err))
		return
	}
	ctx.ResponseWriter().Header().Set("Content-Type", contentType)
	// The write fails only if the caller has disconnected.
	_, _ = report.WriteTo(ctx.ResponseWriter())
}
