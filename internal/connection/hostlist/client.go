package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// maxListBytes limits one answer of the host list.
const maxListBytes = 16 << 20

// Client reads the host list over HTTP. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
	// last is the list of the last answer with status 200; nil before the first.
	last atomic.Pointer[taggedList]
}

// taggedList is a list with its ETag; tag is "" if the service sent none.
type taggedList struct {
	list List
	tag  string
}

// NewClient returns a client of the list at baseURL + "/hosts". A nil
// httpClient means http.DefaultClient.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{url: strings.TrimSuffix(baseURL, "/") + "/hosts", http: httpClient}
}

// List reads the list. It blocks until the answer or the end of ctx. Calls share
// the hosts of the result, which must not be modified.
func (c *Client) List(ctx context.Context) (List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, fmt.Errorf("host list: %w", err)
	}
	last := c.last.Load()
	if last != nil && last.tag != "" {
		request.Header.Set("If-None-Match", last.tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return List{}, fmt.Errorf("host list: %w; keep the last list and retry", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return List{}, fmt.Errorf("host list: %w; keep the last list and retry", err)
	}
	if response.StatusCode == http.StatusNotModified && last != nil {
		return last.unchanged(response.Header), nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("host list: status %d; keep the last list and retry", response.StatusCode)
	}
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return List{}, fmt.Errorf("host list: %w; keep the last list and retry", err)
	}
	c.last.Store(&taggedList{list: list, tag: response.Header.Get("ETag")})
	return list, nil
}

// unchanged returns the list with the time in the header of a 304 answer.
func (l *taggedList) unchanged(header http.Header) List {
	list := l.list
	if asOf, err := time.Parse(time.RFC3339Nano, header.Get(HeaderAsOf)); err == nil {
		list.AsOf = asOf
	}
	return list
}
