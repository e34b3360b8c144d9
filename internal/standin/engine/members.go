package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/fault"
)

// Timing of the polls by which the leader watches the other members.
const (
	memberPollInterval = 100 * time.Millisecond
	memberPollTimeout  = 500 * time.Millisecond
)

// isLeader reports whether the engine is the leader of its group, which is the
// first member. The caller holds mu.
func (e *Engine) isLeader() bool {
	members := e.state.Members
	return len(members) == 0 || members[0] == e.address
}

// watchMembers starts a goroutine that polls each other member if the engine is
// the leader of the group. The caller holds mu.
func (e *Engine) watchMembers(ctx context.Context, target endpoint.State) {
	if !e.isLeader() {
		return
	}
	e.missingMembers = map[string]bool{}
	for _, address := range target.Members {
		if address == e.address {
			continue
		}
		e.missingMembers[address] = true
		e.wg.Go(func() { e.watchMember(ctx, address, target.Group, target.Generation) })
	}
}

// watchMember polls one member until ctx ends, and aborts all streams while the
// member is not ready in this generation of the group.
func (e *Engine) watchMember(ctx context.Context, address, group string, generation int64) {
	for ctx.Err() == nil {
		if e.gate.WaitOpen(ctx) != nil {
			return
		}
		state, err := e.fetchMemberState(ctx, address)
		present := err == nil && state.State == endpoint.EngineReady && state.Group == group && state.Generation == generation
		e.recordMember(ctx, address, present)
		_ = fault.Sleep(ctx, memberPollInterval)
	}
}

// recordMember stores the result of a poll, and aborts all streams if the member
// is missing.
func (e *Engine) recordMember(ctx context.Context, address string, present bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.missingMembers[address] = !present
	if !present {
		e.abortStreams()
	}
}

// anyMemberMissing reports whether any member was missing at its last poll, or
// has not been polled yet. The caller holds mu.
func (e *Engine) anyMemberMissing() bool {
	for _, missing := range e.missingMembers {
		if missing {
			return true
		}
	}
	return false
}

// fetchMemberState reads the state of a member once.
func (e *Engine) fetchMemberState(ctx context.Context, address string) (endpoint.State, error) {
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
