package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/wellformed"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// Timeouts and limits of peer connections.
const (
	dialTimeout         = 500 * time.Millisecond
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 256
	// heartbeatInterval is the time between two comments in a streamed answer.
	heartbeatInterval = 500 * time.Millisecond
	// streamIdleTimeout is how long a streamed answer may carry neither a frame
	// nor a heartbeat before the home counts as failed.
	streamIdleTimeout = 2 * time.Second
	// maxProbeBytes limits the size of a probe after decompression.
	maxProbeBytes = 4 << 20
	// maxAnswerBytes limits the size of a peer answer that is not streamed.
	maxAnswerBytes = 64 << 20
)

// LinkError reports a failed call to a peer.
type LinkError struct {
	Address string
	// MaybeSent is false only if no byte was passed to a connection, or if the
	// peer declared that it refused a Generate call before it was queued.
	MaybeSent bool
	Err       error
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("peer %s: handed=%t: %v", e.Address, e.MaybeSent, e.Err)
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Err }

var errStreamIdle = errors.New("no frame and no heartbeat within the timeout")

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	key    string
	scheme string
}

// NewClient returns a client that presents the shared peer key. tlsConfig is
// nil for plain HTTP.
func NewClient(key string, tlsConfig *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientOver(key, tlsConfig, dialer.DialContext)
}

// NewClientOver returns a client that opens its connections with dial.
func NewClientOver(key string, tlsConfig *tls.Config, dial endpoint.DialFunc) *Client {
	transport := wellformed.NewTransport(&http.Transport{
		DialContext:         dial,
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Client{http: &http.Client{Transport: transport}, key: key, scheme: scheme}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) request(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	return c.rawRequest(ctx, method, address, path, reader)
}

// rawRequest returns a request that carries the peer key.
func (c *Client) rawRequest(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// call sends one request and decodes the JSON answer.
func (c *Client) call(ctx context.Context, method, address, path string, body, answer any) error {
	request, err := c.request(ctx, method, address, path, body)
	if err != nil {
		return &LinkError{Address: address, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &LinkError{Address: address, MaybeSent: true, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &LinkError{Address: address, MaybeSent: true, Err: fmt.Errorf("%s %s: %s", method, path, response.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return &LinkError{Address: address, MaybeSent: true, Err: err}
	}
	return nil
}

// Probe exchanges digests with a peer.
func (c *Client) Probe(ctx context.Context, address string, probe Probe) (Probe, error) {
	data, err := EncodeProbe(probe)
	if err != nil {
		return Probe{}, &LinkError{Address: address, Err: err}
	}
	request, err := c.rawRequest(ctx, http.MethodPost, address, "/peer/probe", bytes.NewReader(data))
	if err != nil {
		return Probe{}, &LinkError{Address: address, Err: err}
	}
	request.Header.Set("Content-Encoding", encodingGzip)
	response, err := c.http.Do(request)
	if err != nil {
		return Probe{}, &LinkError{Address: address, MaybeSent: true, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Probe{}, &LinkError{Address: address, MaybeSent: true, Err: fmt.Errorf("probe: %s", response.Status)}
	}
	reply, err := DecodeProbe(response.Body)
	if err != nil {
		return Probe{}, &LinkError{Address: address, MaybeSent: true, Err: err}
	}
	return reply, nil
}

// Log returns the records after a revision from the peer's log.
func (c *Client) Log(ctx context.Context, address string, after int64) ([]object.Record, error) {
	var records []object.Record
	err := c.call(ctx, http.MethodGet, address, "/peer/log?after="+strconv.FormatInt(after, 10), nil, &records)
	return records, err
}

// Snapshot returns the peer's whole configuration.
func (c *Client) Snapshot(ctx context.Context, address string) (SnapshotBody, error) {
	var body SnapshotBody
	err := c.call(ctx, http.MethodGet, address, "/peer/snapshot", nil, &body)
	return body, err
}

// Release asks a peer to transfer part of its share of a cap.
func (c *Client) Release(ctx context.Context, address string, r ReleaseRequest) (ReleaseReply, error) {
	var reply ReleaseReply
	err := c.call(ctx, http.MethodPost, address, "/peer/shares/release", r, &reply)
	return reply, err
}

// ExplainRequest returns the peer's recorded steps of a request.
func (c *Client) ExplainRequest(ctx context.Context, address, requestID string) ([]Step, error) {
	return c.explain(ctx, address, url.Values{"request": {requestID}})
}

// ExplainGroup returns the steps of a replica group that the peer's
// controllers have taken.
func (c *Client) ExplainGroup(ctx context.Context, address, group string) ([]Step, error) {
	return c.explain(ctx, address, url.Values{"group": {group}})
}

func (c *Client) explain(ctx context.Context, address string, query url.Values) ([]Step, error) {
	var steps []Step
	err := c.call(ctx, http.MethodGet, address, "/peer/explain?"+query.Encode(), nil, &steps)
	return steps, err
}

// Burn returns the peer's statistics of the requests that it answered.
func (c *Client) Burn(ctx context.Context, address string) (BurnDigest, error) {
	var digest BurnDigest
	err := c.call(ctx, http.MethodGet, address, "/peer/burn", nil, &digest)
	return digest, err
}

// Generate runs a request at a home node and passes its frames to sink. It
// blocks until the answer has ended and returns the error of sink or a
// *LinkError.
func (c *Client) Generate(ctx context.Context, address string, r HomeRequest, sink func(Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamIdleTimeout, func() { cancel(errStreamIdle) })
	defer watchdog.Stop()
	var maybeSent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
	})
	request, err := c.request(traced, http.MethodPost, address, "/peer/generate", r)
	if err != nil {
		return &LinkError{Address: address, Err: err}
	}
	// Keeps the transport from sending the request a second time.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return &LinkError{Address: address, MaybeSent: maybeSent.Load(), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(address, response)
	}
	return readFrames(address, response.Body, watchdog, sink)
}

// statusError returns the error for a status other than 200. The status alone does not show
// that the peer refused the request before it was queued; a refusal in the body that says so
// does.
func statusError(address string, response *http.Response) error {
	var body refusal.Body
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&body); err != nil || body.Error == nil {
		return &LinkError{Address: address, MaybeSent: true, Err: fmt.Errorf("refused: %s", response.Status)}
	}
	return &LinkError{Address: address, MaybeSent: body.Error.Ran != refusal.RanNo, Err: body.Error}
}

// readFrames passes the frames of a streamed answer to sink until the stream
// ends. It resets watchdog on each frame and heartbeat.
func readFrames(address string, body io.Reader, watchdog *time.Timer, sink func(Frame) error) error {
	reader := endpoint.NewEventReader(body)
	heartbeat := func() { watchdog.Reset(streamIdleTimeout) }
	for {
		data, err := reader.Next(heartbeat)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &LinkError{Address: address, MaybeSent: true, Err: err}
		}
		watchdog.Reset(streamIdleTimeout)
		frame, err := decodeFrame(data)
		if err != nil {
			return &LinkError{Address: address, MaybeSent: true, Err: fmt.Errorf("frame is not valid JSON: %w", err)}
		}
		if frame.End != nil {
			frame.End.restoreRefusal()
		}
		if err := sink(frame); err != nil {
			return err
		}
	}
}
