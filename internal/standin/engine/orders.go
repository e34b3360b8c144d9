package engine

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// loadRetry is the pause after a failed read of weights.
const loadRetry = 200 * time.Millisecond

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if !jsonhttp.Read(w, r, &order) {
		return
	}
	if order.Action != endpoint.ActionLoad && order.Action != endpoint.ActionUnload {
		jsonhttp.Fail(w, http.StatusBadRequest, "action: use load or unload")
		return
	}
	state, stale := e.order(order)
	if stale != nil {
		jsonhttp.Write(w, http.StatusConflict, stale)
		return
	}
	jsonhttp.Write(w, http.StatusOK, state)
}

// order carries an order out, or refuses it with the highest epoch.
func (e *Engine) order(order endpoint.Order) (endpoint.State, *endpoint.StaleOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return e.state, nil
	}
	if e.options.ChecksFencing && order.Epoch < e.state.Epoch {
		return e.state, &endpoint.StaleOrder{HighestEpoch: e.state.Epoch}
	}
	e.state.Epoch = max(e.state.Epoch, order.Epoch)
	target := e.target(order)
	if !sameTarget(e.state, target) {
		e.replace(target)
	}
	return e.state, nil
}

// target returns the state that an order asks for.
func (e *Engine) target(order endpoint.Order) endpoint.State {
	target := endpoint.State{Host: e.state.Host, BootID: e.state.BootID, State: endpoint.EngineIdle, Epoch: e.state.Epoch, Slots: e.state.Slots}
	if order.Action == endpoint.ActionUnload {
		return target
	}
	target.State = endpoint.EngineLoading
	target.Group = order.Group
	target.Generation = order.Generation
	target.Model = order.Model
	target.ModelVersion = order.ModelVersion
	target.Adapters = slices.Clone(order.Adapters)
	target.Members = slices.Clone(order.Members)
	return target
}

// sameTarget reports whether the engine already is, or is about to be, in the
// target state.
func sameTarget(state, target endpoint.State) bool {
	return (state.State == endpoint.EngineIdle) == (target.State == endpoint.EngineIdle) &&
		state.Group == target.Group && state.Generation == target.Generation &&
		state.Model == target.Model && state.ModelVersion == target.ModelVersion &&
		slices.Equal(state.Adapters, target.Adapters) && slices.Equal(state.Members, target.Members)
}

// replace cuts what runs and goes for the target state. The caller holds mu.
func (e *Engine) replace(target endpoint.State) {
	e.unload()
	e.abortStreams()
	e.missing = nil
	e.state = target
	wanted := weightsKey{target.Model, target.ModelVersion}
	inMemory := e.weights == wanted
	if !inMemory {
		e.weights = weightsKey{}
		e.cache.clear(time.Now())
	}
	if target.State == endpoint.EngineIdle {
		e.unload = func() {}
		return
	}
	ctx, cancel := context.WithCancel(e.boot)
	e.unload = cancel
	e.watchMembers(ctx, target)
	if inMemory {
		e.state.State = endpoint.EngineReady
		return
	}
	e.wg.Go(func() { e.load(ctx, wanted) })
}

// load reads the weights and makes the engine ready. It blocks until then or
// until ctx ends.
func (e *Engine) load(ctx context.Context, wanted weightsKey) {
	if fault.Sleep(ctx, e.scaled(e.options.LoadDelay)) != nil {
		return
	}
	for e.options.PlatformURL != "" {
		retry, err := e.readWeights(ctx, wanted)
		if err == nil && retry == 0 {
			break
		}
		if fault.Sleep(ctx, max(retry, loadRetry)) != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.weights = wanted
	e.state.State = endpoint.EngineReady
}

// readWeights reads the weights once. It returns a pause when the weight store
// refused the read.
func (e *Engine) readWeights(ctx context.Context, wanted weightsKey) (time.Duration, error) {
	target, err := url.JoinPath(e.options.PlatformURL, "weights", url.PathEscape(wanted.model), url.PathEscape(wanted.version))
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, err
	}
	response, err := e.options.HTTPClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return 0, nil
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return max(loadRetry, time.Duration(seconds)*time.Second), nil
}
