package table

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// maxResponseBytes is the maximum size of a response of the table service.
const maxResponseBytes = 64 << 20

// maxErrorBytes is the maximum length of the response text that an error
// includes.
const maxErrorBytes = 512

// Client is a Store over the table service's HTTP protocol. It is safe for
// concurrent use.
type Client struct {
	calls httpStore
}

// NewClient returns a client of the service at baseURL, such as
// "http://127.0.0.1:7000". A nil httpClient means http.DefaultClient.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{calls: httpStore{base: strings.TrimSuffix(baseURL, "/"), http: httpClient}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	return c.calls.Get(ctx, key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, r Range) ([]Row, error) {
	return ListAll(ctx, c.calls, r)
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	return CommitWithRetry(ctx, c.calls, txn)
}

// httpStore implements SingleCallStore over the HTTP protocol of the package
// comment.
type httpStore struct {
	base string
	http *http.Client
}

// Get implements SingleCallStore.
func (h httpStore) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	query := url.Values{"key": {key}}
	err := h.read(ctx, "/table/row?"+query.Encode(), &row)
	if err == nil && row.Key != key {
		err = fmt.Errorf("%w: the answer is for row %q, asked for %q", ErrUnavailable, row.Key, key)
	}
	if err != nil {
		return Row{}, fmt.Errorf("row %s: %w", key, err)
	}
	return row, nil
}

// Rows implements SingleCallStore.
func (h httpStore) Rows(ctx context.Context, r Range) (RowList, error) {
	query := url.Values{"prefix": {r.Prefix}, "from": {r.From}, "to": {r.To}, "limit": {strconv.Itoa(r.Limit)}}
	var list RowList
	if err := h.read(ctx, "/table/rows?"+query.Encode(), &list); err != nil {
		return RowList{}, fmt.Errorf("rows %s: %w", r.Prefix, err)
	}
	return list, nil
}

// read sends a GET request for path and decodes the response into target. A
// read has no effect, so a call without a valid response is ErrUnavailable.
func (h httpStore) read(ctx context.Context, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return err
	}
	response, err := h.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	if err := decode(response.Body, target); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// TryCommit implements SingleCallStore.
func (h httpStore) TryCommit(ctx context.Context, txn Txn) (CommitResult, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+"/table/commit", bytes.NewReader(body))
	if err != nil {
		return CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.http.Do(request)
	if err != nil {
		return CommitResult{}, fmt.Errorf("transaction %s: %w: %w", txn.Nonce, ErrUnknown, err)
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return CommitResult{}, fmt.Errorf("transaction %s: %w", txn.Nonce, commitStatusError(response))
	}
	var result CommitResult
	if err := decode(response.Body, &result); err != nil {
		return CommitResult{}, fmt.Errorf("transaction %s: %w: %w", txn.Nonce, ErrUnknown, err)
	}
	if !result.Committed && len(result.Conflicts) == 0 {
		return CommitResult{}, fmt.Errorf("transaction %s: %w: the answer names no conflict", txn.Nonce, ErrUnknown)
	}
	return result, nil
}

// commitStatusError converts a response to a commit whose status is not 200.
// After a status of 500 or above other than 503 the transaction may have been
// applied, which is ErrUnknown; any other status means that it was not.
func commitStatusError(response *http.Response) error {
	status := response.StatusCode
	if status >= 500 && status != http.StatusServiceUnavailable {
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
	return statusError(response)
}

// statusError converts a response whose status is not 200 and whose call had no
// effect. A status below 500 other than 429 means that the call is invalid, so
// the error is permanent and not ErrUnavailable.
func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	message := strings.TrimSpace(string(text))
	status := response.StatusCode
	if status >= 500 || status == http.StatusTooManyRequests {
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, status, message)
	}
	return fmt.Errorf("table service refused the call: status %d: %s", status, message)
}

// decode decodes a response that consists of a single JSON value.
func decode(body io.Reader, target any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

// drainAndClose reads a short remainder of the body before it closes it, so
// that the connection can be reused.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
}
