package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/standin/fault"
)

// Intervals of KeepListed.
const (
	listInterval = time.Second
	listTTL      = 5 * time.Second
	listTimeout  = 2 * time.Second
)

// PostHostChange sends one change of the host list to a platform stand-in.
func PostHostChange(ctx context.Context, client *http.Client, baseURL string, change HostChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(baseURL, "/")+"/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("host list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("host list: status %d", response.StatusCode)
	}
	return nil
}

// KeepListed keeps a host in the list of a platform stand-in while alive
// reports true, and drops it when ctx ends. It blocks until then. A host whose
// process dies leaves the list after a few seconds.
func KeepListed(ctx context.Context, client *http.Client, baseURL string, host hostlist.Host, alive func() bool) {
	for ctx.Err() == nil {
		if alive() {
			_ = PostHostChange(ctx, client, baseURL, HostChange{Host: &host, TTLMillis: listTTL.Milliseconds(), KeepState: true})
		}
		_ = fault.Sleep(ctx, listInterval)
	}
	_ = PostHostChange(context.WithoutCancel(ctx), client, baseURL, HostChange{Drop: host.Name})
}
