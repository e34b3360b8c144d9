package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Bounds of connections to endpoints.
const (
	dialTimeout         = 1 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 256
	// MaxAnswerBytes bounds the answer of a plain service.
	MaxAnswerBytes = 4 << 20
	maxErrorBytes  = 4 << 10
)

// CallError is a failed call of an endpoint.
type CallError struct {
	Address string
	// Handed is false only where no byte of the request was handed to a
	// connection, so that it certainly did not run.
	Handed bool
	// Status is the HTTP status of a refusal, or 0.
	Status int
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("endpoint %s: handed=%t status=%d: %v", e.Address, e.Handed, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// WasHanded reports whether the failed call may have reached the endpoint.
func WasHanded(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.Handed
	}
	return true
}

// Client calls engines and services. It is safe for concurrent use.
type Client struct{ http *http.Client }

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with a transport of its own over TCP.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientOver(dialer.DialContext)
}

// NewClientOver returns a client whose connections dial opens.
func NewClientOver(dial DialFunc) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// refuseRedirect hands a redirect to the caller instead of sending the request
// to a second place.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// singleUseBody hides the concrete reader type, so that net/http can neither
// rewind the body nor treat the request as replayable on a broken connection.
type singleUseBody struct{ reader io.Reader }

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }

// newSingleUseRequest builds a request that the transport never sends twice:
// its body is set even if empty, and GetBody is nil.
func newSingleUseRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, &singleUseBody{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	return request, nil
}

// traced returns a context that records whether a connection was obtained.
func traced(ctx context.Context, handed *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { handed.Store(true) },
	})
}

// Generate starts a stream at the leading engine of a group. It blocks until
// the engine answers its headers. Errors are *CallError.
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest) (*Stream, error) {
	var handed atomic.Bool
	body, err := json.Marshal(r)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	request, err := newSingleUseRequest(traced(ctx, &handed), http.MethodPost, "http://"+address+"/v1/generate", body)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &CallError{Address: address, Handed: handed.Load(), Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusedCall(address, response)
	}
	return NewStream(response.Body), nil
}

func refusedCall(address string, response *http.Response) error {
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &CallError{Address: address, Handed: true, Status: response.StatusCode, Err: fmt.Errorf("refused: %s", bytes.TrimSpace(text))}
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one call to a service endpoint and reads the whole answer. The
// request is handed to at most one connection. Errors are *CallError.
func (c *Client) Call(ctx context.Context, address string, r ServiceRequest) (ServiceAnswer, error) {
	var handed atomic.Bool
	request, err := newSingleUseRequest(traced(ctx, &handed), r.Method, "http://"+address+r.Path, r.Body)
	if err != nil {
		return ServiceAnswer{}, &CallError{Address: address, Err: err}
	}
	request.Header = r.Header.Clone()
	response, err := c.http.Do(request)
	if err != nil {
		return ServiceAnswer{}, &CallError{Address: address, Handed: handed.Load(), Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return ServiceAnswer{}, &CallError{Address: address, Handed: true, Err: fmt.Errorf("answer was cut: %w", err)}
	}
	if len(body) > MaxAnswerBytes {
		return ServiceAnswer{}, &CallError{Address: address, Handed: true, Err: fmt.Errorf("answer is larger than %d bytes", MaxAnswerBytes)}
	}
	return ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
