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

// weightsReadBackoff is the minimum delay before a failed read of weights is
// tried again.
const weightsReadBackoff = 200 * time.Millisecond

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if !jsonhttp.Read(w, r, &order) {
		return
	}
	if order.Action != endpoint.ActionLoad && order.Action != endpoint.ActionUnload {
		jsonhttp.Fail(w, http.StatusBadRequest, "action: use load or unload")
		return
	}
	state, stale := e.applyOrder(order)
	if stale != nil {
		jsonhttp.Write(w, http.StatusConflict, stale)
		return
	}
	jsonhttp.Write(w, http.StatusOK, state)
}

// applyOrder applies an order and returns the new state. If the engine checks
// fencing and the epoch of the order is below the highest accepted one, it
// refuses the order and returns a StaleOrder with the highest accepted epoch.
func (e *Engine) applyOrder(order endpoint.Order) (endpoint.State, *endpoint.StaleOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return e.state, nil
	}
	refused := e.options.ChecksFencing && order.Epoch < e.state.Epoch
	if e.options.OnOrder != nil {
		e.options.OnOrder(e.state.BootID, order, refused)
	}
	if refused {
		return e.state, &endpoint.StaleOrder{HighestEpoch: e.state.Epoch}
	}
	e.state.Epoch = max(e.state.Epoch, order.Epoch)
	target := e.targetState(order)
	if !hasTarget(e.state, target) {
		e.switchTo(target)
	}
	return e.state, nil
}

// targetState returns the state that the engine enters for an order.
func (e *Engine) targetState(order endpoint.Order) endpoint.State {
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

// hasTarget reports whether the engine already is in the target state or is
// loading for it.
func hasTarget(state, target endpoint.State) bool {
	return (state.State == endpoint.EngineIdle) == (target.State == endpoint.EngineIdle) &&
		state.Group == target.Group && state.Generation == target.Generation &&
		state.Model == target.Model && state.ModelVersion == target.ModelVersion &&
		slices.Equal(state.Adapters, target.Adapters) && slices.Equal(state.Members, target.Members)
}

// switchTo aborts the load and the streams in progress and starts the
// transition to the target state. Weights that are already in memory are not
// read again. The caller holds mu.
func (e *Engine) switchTo(target endpoint.State) {
	e.cancelLoad()
	e.abortStreams()
	e.missingMembers = nil
	e.state = target
	wanted := weightsKey{target.Model, target.ModelVersion}
	inMemory := e.loadedWeights == wanted
	if !inMemory {
		e.loadedWeights = weightsKey{}
		e.cache.clear(time.Now())
	}
	if target.State == endpoint.EngineIdle {
		e.cancelLoad = func() {}
		return
	}
	ctx, cancel := context.WithCancel(e.processCtx)
	e.cancelLoad = cancel
	e.watchMembers(ctx, target)
	if inMemory {
		e.state.State = endpoint.EngineReady
		return
	}
	e.wg.Go(func() { e.load(ctx, wanted) })
}

// load reads the weights and then marks the engine as ready. It blocks until
// that is done or ctx ends.
func (e *Engine) load(ctx context.Context, wanted weightsKey) {
	if fault.Sleep(ctx, e.scaled(e.options.LoadDelay)) != nil {
		return
	}
	for e.options.PlatformURL != "" {
		retryAfter, err := e.readWeights(ctx, wanted)
		if err == nil && retryAfter == 0 {
			break
		}
		if fault.Sleep(ctx, max(retryAfter, weightsReadBackoff)) != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.loadedWeights = wanted
	e.state.State = endpoint.EngineReady
}

// readWeights reads the weights once. If the weight store refuses the read, it
// returns the delay before the next attempt and no error.
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
	return max(weightsReadBackoff, time.Duration(seconds)*time.Second), nil
}
