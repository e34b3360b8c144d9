package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/fault"
)

// Intervals of the leader's view of its members.
const (
	memberPollInterval = 100 * time.Millisecond
	memberPollTimeout  = 500 * time.Millisecond
)

// leads reports whether the engine leads the group. The caller holds mu.
func (e *Engine) leads() bool {
	members := e.state.Members
	return len(members) == 0 || members[0] == e.address
}

// watchMembers starts a goroutine for each other member when the engine leads
// the group. The caller holds mu.
func (e *Engine) watchMembers(ctx context.Context, target endpoint.State) {
	if !e.leads() {
		return
	}
	e.missing = map[string]bool{}
	for _, address := range target.Members {
		if address == e.address {
			continue
		}
		e.missing[address] = true
		e.wg.Go(func() { e.watchMember(ctx, address, target.Group, target.Generation) })
	}
}

// watchMember polls one member until ctx ends, and cuts all streams when it is
// lost.
func (e *Engine) watchMember(ctx context.Context, address, group string, generation int64) {
	for ctx.Err() == nil {
		if e.gate.Hold(ctx) != nil {
			return
		}
		state, err := e.readMember(ctx, address)
		present := err == nil && state.State == endpoint.EngineReady && state.Group == group && state.Generation == generation
		e.noteMember(ctx, address, present)
		_ = fault.Sleep(ctx, memberPollInterval)
	}
}

// noteMember keeps the last observation of a member.
func (e *Engine) noteMember(ctx context.Context, address string, present bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.missing[address] = !present
	if !present {
		e.abortStreams()
	}
}

// memberMissing reports whether any member is missing. The caller holds mu.
func (e *Engine) memberMissing() bool {
	for _, missing := range e.missing {
		if missing {
			return true
		}
	}
	return false
}

// readMember reads the state of a member once.
func (e *Engine) readMember(ctx context.Context, address string) (endpoint.State, error) {
	ctx, cancel := context.WithTimeout(ctx, memberPollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return endpoint.State{}, err
	}
	response, err := e.options.HTTPClient.Do(request)
	if err != nil {
		return endpoint.State{}, err
	}
	defer response.Body.Close()
	var state endpoint.State
	err = json.NewDecoder(response.Body).Decode(&state)
	return state, err
}
