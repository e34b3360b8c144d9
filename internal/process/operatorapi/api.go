package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/object"
)

const (
	// writeTimeout limits one change, including all its retries.
	writeTimeout = 15 * time.Second
	// readTimeout limits reads from the table service and from other nodes.
	readTimeout = 5 * time.Second
	// applyTimeout limits how long an accepted write waits until this node has
	// applied it, so that the operator's next read at this node shows it.
	applyTimeout = 3 * time.Second
	// defaultWatchTimeout and maxWatchTimeout limit one watch.
	defaultWatchTimeout = 30 * time.Second
	maxWatchTimeout     = 2 * time.Minute
	// maxAuditEntries limits one answer of the audit log.
	maxAuditEntries = 500
)

// operatorKey is the key of the operator's name in an iris context.
const operatorKey = "operator"

// api implements the handlers.
type api struct {
	deps        Deps
	auth        authenticator
	transitions *transitionTracker
}

// New returns the handler of the operator listener.
func New(deps Deps) (http.Handler, error) {
	a := &api{deps: deps, auth: authenticator{users: deps.Users}, transitions: newTransitionTracker()}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithFireMethodNotAllowed)
	a.register(app)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the routes of the operator API: %w", err)
	}
	return app, nil
}

func (a *api) register(app *iris.Application) {
	app.UseRouter(a.authenticate)
	app.OnErrorCode(http.StatusNotFound, a.noRoute)
	app.OnErrorCode(http.StatusMethodNotAllowed, a.noMethod)
	app.Get("/api/watch", a.watch)
	app.Get("/api/audit", a.audit)
	app.Post("/api/apply", a.apply)
	app.Get("/api/explain/request/{id:string}", a.explainRequest)
	app.Get("/api/explain/{kind:string}/{name:string}", a.explainObject)
	app.Get("/burn", a.burn)
	app.Get("/api/{kind:string}", a.list)
	app.Get("/api/{kind:string}/{name:string}", a.get)
	app.Put("/api/{kind:string}/{name:string}", a.put)
	app.Delete("/api/{kind:string}/{name:string}", a.delete)
}

// authenticate rejects requests without a valid token. It stores the
// operator's name in the context and limits the size of the body.
func (a *api) authenticate(ctx iris.Context) {
	operator := a.auth.operator(ctx.Request())
	if operator == "" {
		fail(ctx, newError(ErrorUnauthorized, http.StatusUnauthorized, "the token belongs to no operator: send Authorization: Bearer TOKEN with the token of a user of section [operators]"))
		a.deps.Events.Log(eventlog.OperatorRefused, eventlog.Fields{"path": ctx.Path(), "remote": ctx.Request().RemoteAddr})
		return
	}
	ctx.Values().Set(operatorKey, operator)
	if ctx.Request().Body != nil {
		ctx.Request().Body = http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, a.deps.MaxBodyBytes)
	}
	ctx.Next()
}

func (a *api) noRoute(ctx iris.Context) {
	fail(ctx, newError(ErrorNotFound, http.StatusNotFound, fmt.Sprintf("%s is not a path of the API: see docs/API.md", ctx.Path())))
}

func (a *api) noMethod(ctx iris.Context) {
	fail(ctx, newError(ErrorMethodNotAllowed, http.StatusMethodNotAllowed, fmt.Sprintf("%s does not allow %s: see docs/API.md", ctx.Path(), ctx.Method())))
}

// fail answers with the error and ends the request.
func fail(ctx iris.Context, failure *Error) {
	writeError(ctx.ResponseWriter(), failure)
	ctx.StopExecution()
}

func (a *api) list(ctx iris.Context) {
	kind, failure := readableKind(ctx)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	if failure := a.awaitRevision(ctx); failure != nil {
		fail(ctx, failure)
		return
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, a.listKind(kind))
}

// listKind returns all objects of a kind with their status.
func (a *api) listKind(kind object.Kind) ObjectList {
	current := a.deps.Config.Current()
	nodes := a.deps.Nodes.Nodes()
	if kind == object.KindNode {
		return ObjectList{Revision: current.Revision, Items: nodeObjects(nodes)}
	}
	now := time.Now()
	items := []*object.Object{}
	for _, o := range objectsOfKind(current, kind) {
		items = append(items, withStatus(o, placementOf(current.Placements, o), nodes, a.transitions, now))
	}
	return ObjectList{Revision: current.Revision, Items: items}
}

func placementOf(placements map[string]*object.Placement, o *object.Object) *object.Placement {
	if o.Kind != object.KindReplicaGroup {
		return nil
	}
	return placements[o.Metadata.Name]
}

func (a *api) get(ctx iris.Context) {
	kind, failure := readableKind(ctx)
	if failure != nil {
		fail(ctx, failure)
		return
	}
	if failure := a.awaitRevision(ctx); failure != nil {
		fail(ctx, failure)
		return
	}
	found := a.find(object.Key{Kind: kind, Name: ctx.Params().Get("name")})
	if found == nil {
		fail(ctx, notFound(kind, ctx.Params().Get("name")))
		return
	}
	writeJSON(ctx.ResponseWriter(), http.StatusOK, found)
}

func (a *api) find(key object.Key) *object.Object {
	if key.Kind == object.KindNode {
		for _, node := range nodeObjects(a.deps.Nodes.Nodes()) {
			if node.Metadata.Name == key.Name {
				return node
			}
		}
		return nil
	}
	current := a.deps.Config.Current()
	o := current.Objects[key]
	if o == nil {
		return nil
	}
	return withStatus(o, placementOf(current.Placements, o), a.deps.Nodes.Nodes(), a.transitions, time.Now())
}

func notFound(kind object.Kind, name string) *Error {
	return newError(ErrorNotFound, http.StatusNotFound, fmt.Sprintf("%s/%s does not exist at this node: list the objects of the kind with GET /api/%s", kind, name, kind))
}

// readableKind returns the kind in the path of the request.
func readableKind(ctx iris.Context) (object.Kind, *Error) {
	kind := object.Kind(ctx.Params().Get("kind"))
	if kind == object.KindNode || slices.Contains(object.Kinds, kind) {
		return kind, nil
	}
	return "", newError(ErrorNotFound, http.StatusNotFound, fmt.Sprintf("kind %q does not exist: use one of %v or %s", kind, object.Kinds, object.KindNode))
}

// awaitRevision waits until this node has applied the revision in the query, if
// there is one, so that operators can read their own changes at any node.
func (a *api) awaitRevision(ctx iris.Context) *Error {
	revision, failure := int64Query(ctx, "revision", 0)
	if failure != nil {
		return failure
	}
	if !a.deps.Config.Ready() {
		return newError(ErrorNotReady, http.StatusServiceUnavailable, "this node has not loaded the configuration yet: ask another node or wait")
	}
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), readTimeout)
	defer cancel()
	if !a.await(waitCtx, revision) {
		return newError(ErrorNotReady, http.StatusServiceUnavailable, fmt.Sprintf("this node has applied revision %d, not %d yet: ask again later", a.deps.Config.Current().Revision, revision))
	}
	return nil
}

// await blocks until this node has applied the revision or ctx ends.
func (a *api) await(ctx context.Context, revision int64) bool {
	for {
		changed := a.deps.Config.Changed()
		if a.deps.Config.Current().Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func int64Query(ctx iris.Context, name string, defaultValue int64) (int64, *Error) {
	text := ctx.URLParam(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, newError(ErrorBadRequest, http.StatusBadRequest, fmt.Sprintf("query %s=%s is not a revision: use a whole number from 0", name, text))
	}
	return value, nil
}
