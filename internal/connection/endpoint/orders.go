package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// statePath is the path of the state of an engine.
const statePath = "/v1/state"

// maxStateBytes is the maximum size of a response to an order or a state read.
const maxStateBytes = 1 << 20

// StaleOrderError reports that a host refused an order with an old fencing
// token.
type StaleOrderError struct {
	Address string
	// Epoch is the fencing token of the refused order.
	Epoch int64
	// HighestEpoch is the highest fencing token that the host has accepted.
	HighestEpoch int64
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("endpoint %s has accepted epoch %d and refuses an order of epoch %d; another controller owns the group", e.Address, e.HighestEpoch, e.Epoch)
}

// OrderClient sends orders to engines and reads their state. It is safe for
// concurrent use. Every call blocks until the response or the end of its
// context.
type OrderClient struct{ http *http.Client }

// NewOrderClient returns a client that sends through the given HTTP client,
// without following redirects: an order goes to the named host only.
func NewOrderClient(client *http.Client) *OrderClient {
	noRedirect := *client
	noRedirect.CheckRedirect = refuseRedirect
	return &OrderClient{http: &noRedirect}
}

// State reads the state of the engine at the address.
func (c *OrderClient) State(ctx context.Context, address string) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath, nil)
	if err != nil {
		return State{}, fmt.Errorf("state of endpoint %s: %w", address, err)
	}
	return c.do(request, address, 0)
}

// Send sends the order to the engine at the address and returns the engine's
// state after it. A *StaleOrderError means that the order had no effect; after
// any other error it may have had one.
func (c *OrderClient) Send(ctx context.Context, address string, order Order) (State, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return State{}, fmt.Errorf("order to endpoint %s: %w", address, err)
	}
	// The struct hides the concrete reader type from net/http, which therefore
	// cannot rewind the body and send the order again after a broken connection.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return State{}, fmt.Errorf("order to endpoint %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.ContentLength = int64(len(body))
	return c.do(request, address, order.Epoch)
}

func (c *OrderClient) do(request *http.Request, address string, epoch int64) (State, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return State{}, fmt.Errorf("endpoint %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return State{}, fmt.Errorf("endpoint %s: %w", address, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return decodeState(address, body)
	case http.StatusConflict:
		var stale StaleOrder
		if err := json.Unmarshal(body, &stale); err != nil {
			return State{}, fmt.Errorf("endpoint %s: decode refusal: %w", address, err)
		}
		return State{}, &StaleOrderError{Address: address, Epoch: epoch, HighestEpoch: stale.HighestEpoch}
	default:
		return State{}, fmt.Errorf("endpoint %s: status %d", address, response.StatusCode)
	}
}

func decodeState(address string, body []byte) (State, error) {
	var state State
	if err := json.Unmarshal(body, &state); err != nil {
		return State{}, fmt.Errorf("endpoint %s: decode state: %w", address, err)
	}
	return state, nil
}
