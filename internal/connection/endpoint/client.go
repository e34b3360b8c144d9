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
	"syscall"
	"time"

	"currantladder.example/currantladder/internal/connection/wellformed"
)

// Limits of connections to endpoints and of their answers.
const (
	dialTimeout         = 1 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 256
	// MaxAnswerBytes is the maximum size of the answer of a plain service.
	MaxAnswerBytes = 4 << 20
	// maxErrorBytes is the maximum length of the response text that a CallError
	// includes.
	maxErrorBytes = 4 << 10
)

// CallError is a failed call of an endpoint.
type CallError struct {
	Address string
	// MaybeSent is false only if no byte of the request was written to a
	// connection, so that the request certainly did not run.
	MaybeSent bool
	// Status is the HTTP status of the endpoint's refusal, or 0 if the call
	// failed in another way.
	Status int
	// Facts are what the endpoint said of itself in its refusal.
	Facts Facts
	Err   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("endpoint %s: handed=%t status=%d: %v", e.Address, e.MaybeSent, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// MayHaveBeenSent reports whether the failed call may have reached the endpoint. It
// is true for an err that is not a *CallError.
func MayHaveBeenSent(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.MaybeSent
	}
	return true
}

// Client calls engines and services. It is safe for concurrent use.
type Client struct {
	// http keeps connections to engines, whose chunks name their request. The answers
	// of services name none: single opens a connection for each call, so that an
	// answer that an endpoint writes again reaches no other call.
	http, single *http.Client
}

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own transport over TCP.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientOver(dialer.DialContext)
}

// NewClientOver returns a client that opens its connections with dial.
func NewClientOver(dial DialFunc) *Client {
	pooled := wellformed.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
	unpooled := wellformed.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true})
	return &Client{
		http:   &http.Client{Transport: pooled, CheckRedirect: refuseRedirect},
		single: &http.Client{Transport: unpooled, CheckRedirect: refuseRedirect},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// refuseRedirect makes a client return a redirect as the response instead of
// sending the request to a second address.
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

// withConnTrace returns a context that sets maybeSent once the request has a
// connection.
func withConnTrace(ctx context.Context, maybeSent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
	})
}

// Generate starts a stream at the leading engine of a group. It blocks until
// the response headers arrive. Errors are *CallError.
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest) (*Stream, error) {
	var maybeSent atomic.Bool
	body, err := json.Marshal(r)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	request, err := newSingleUseRequest(withConnTrace(ctx, &maybeSent), http.MethodPost, "http://"+address+"/v1/generate", body)
	if err != nil {
		return nil, &CallError{Address: address, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &CallError{Address: address, MaybeSent: maybeSent.Load(), Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(address, response)
	}
	stream := NewStream(response.Body)
	stream.Facts = factsOf(response)
	return stream, nil
}

// Gone reports whether the engine at the address ended: it refuses a connection, or
// breaks it without an answer. An engine that doesn't answer in time is not gone. It
// blocks until the answer or the end of ctx.
func (c *Client) Gone(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath, nil)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err == nil {
		response.Body.Close()
		return false
	}
	for _, broken := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

func statusError(address string, response *http.Response) error {
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &CallError{Address: address, MaybeSent: true, Status: response.StatusCode, Facts: factsOf(response), Err: fmt.Errorf("refused: %s", bytes.TrimSpace(text))}
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Memory limits what the answer takes; nil means no limit but MaxAnswerBytes.
	Memory AnswerMemory
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Facts  Facts
}

// Call sends a request to a service endpoint over a new connection and reads the
// whole answer. Errors are *CallError. With an error, the answer has only the facts,
// if its head came.
func (c *Client) Call(ctx context.Context, address string, r ServiceRequest) (ServiceAnswer, error) {
	var maybeSent atomic.Bool
	request, err := newSingleUseRequest(withConnTrace(ctx, &maybeSent), r.Method, "http://"+address+r.Path, r.Body)
	if err != nil {
		return ServiceAnswer{}, &CallError{Address: address, Err: err}
	}
	request.Header = r.Header.Clone()
	response, err := c.single.Do(request)
	if err != nil {
		return ServiceAnswer{}, &CallError{Address: address, MaybeSent: maybeSent.Load(), Err: err}
	}
	defer response.Body.Close()
	facts := factsOf(response)
	memory := r.Memory
	if memory == nil {
		memory = unlimitedMemory{}
	}
	body, err := readWhole(response.Body, MaxAnswerBytes, memory)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return ServiceAnswer{Facts: facts}, &CallError{Address: address, MaybeSent: true, Err: fmt.Errorf("read the answer: %w", err)}
	}
	return ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body, Facts: facts}, nil
}
