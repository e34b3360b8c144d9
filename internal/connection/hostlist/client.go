package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxListBytes bounds one answer of the host list.
const maxListBytes = 16 << 20

// Client reads the host list over HTTP. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the list at baseURL + "/hosts". A nil
// httpClient means http.DefaultClient.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{url: strings.TrimSuffix(baseURL, "/") + "/hosts", http: httpClient}
}

// List reads the list. It blocks until the answer or the end of ctx.
func (c *Client) List(ctx context.Context) (List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, fmt.Errorf("host list: %w", err)
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
	if response.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("host list: status %d; keep the last list and retry", response.StatusCode)
	}
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return List{}, fmt.Errorf("host list: %w; keep the last list and retry", err)
	}
	return list, nil
}
