package health

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
)

// maxStateBytes is the maximum size of the response to a probe.
const maxStateBytes = 1 << 20

// ProbeFunc reads the state of a host once. It blocks until the host responds
// or ctx ends.
type ProbeFunc func(ctx context.Context, host hostlist.Host) (endpoint.State, error)

// HTTPProbe returns a probe that reads GET /v1/state from engines and GET
// /health from services. A service whose status is 200 is reported as ready.
func HTTPProbe(client *http.Client) ProbeFunc {
	return func(ctx context.Context, host hostlist.Host) (endpoint.State, error) {
		if host.Role == hostlist.RoleService {
			_, leaving, err := get(ctx, client, "http://"+host.Address+"/health")
			return endpoint.State{Host: host.Name, State: endpoint.EngineReady, Leaving: leaving}, err
		}
		body, leaving, err := get(ctx, client, "http://"+host.Address+"/v1/state")
		if err != nil {
			return endpoint.State{}, err
		}
		var state endpoint.State
		if err := json.Unmarshal(body, &state); err != nil {
			return endpoint.State{}, fmt.Errorf("host %s: decode state: %w", host.Name, err)
		}
		if state.Host != host.Name {
			return endpoint.State{}, fmt.Errorf("host %s: %s answers as host %q; correct the host list", host.Name, host.Address, state.Host)
		}
		state.Leaving = leaving
		return state, nil
	}
}

// get returns the body of an answer, and whether its host says that it leaves.
func get(ctx context.Context, client *http.Client, url string) (body []byte, leaving bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, false, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("GET %s: status %d", url, response.StatusCode)
	}
	return body, endpoint.SaysLeaving(response.Header), nil
}
