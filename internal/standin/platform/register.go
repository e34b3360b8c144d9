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

// Timing of changes to the host list.
const (
	hostEntryRenewInterval = time.Second
	hostEntryTTL           = 5 * time.Second
	hostChangeTimeout      = 2 * time.Second
)

// PostHostChange sends one change of the host list to a platform stand-in. It
// blocks for at most hostChangeTimeout.
func PostHostChange(ctx context.Context, client *http.Client, baseURL string, change HostChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, hostChangeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(baseURL, "/")+"/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("change host list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("change host list: unexpected status %d", response.StatusCode)
	}
	return nil
}

// KeepHostListed keeps a host in the list of a platform stand-in while alive
// returns true. It blocks until ctx ends and then drops the host. If the
// process dies, the entry of its host expires after hostEntryTTL.
func KeepHostListed(ctx context.Context, client *http.Client, baseURL string, host hostlist.Host, alive func() bool) {
	for ctx.Err() == nil {
		if alive() {
			_ = PostHostChange(ctx, client, baseURL, HostChange{Host: &host, TTLMillis: hostEntryTTL.Milliseconds(), KeepState: true})
		}
		_ = fault.Sleep(ctx, hostEntryRenewInterval)
	}
	_ = PostHostChange(context.WithoutCancel(ctx), client, baseURL, HostChange{Drop: host.Name})
}
