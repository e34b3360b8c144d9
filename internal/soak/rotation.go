package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// readinessInterval is how often the platform asks a node whether it is ready; a node that
	// missesUntilOut questions in a row find not ready gets no new connections.
	readinessInterval = time.Second
	missesUntilOut    = 2
)

// rotation tells which nodes get new connections, as the platform decides it.
type rotation struct {
	out []atomic.Bool
}

// newRotation asks the nodes until ctx ends.
func newRotation(ctx context.Context, nodes []*node) *rotation {
	r := &rotation{out: make([]atomic.Bool, len(nodes))}
	for i, n := range nodes {
		go r.watch(ctx, i, "http://"+n.readyAddress+"/readyz")
	}
	return r
}

func (r *rotation) watch(ctx context.Context, i int, url string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readinessInterval}
	misses := 0
	for ctx.Err() == nil {
		response, err := client.Get(url)
		if err == nil {
			response.Body.Close()
		}
		if misses++; err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		}
		r.out[i].Store(misses >= missesUntilOut)
		select {
		case <-time.After(readinessInterval):
		case <-ctx.Done():
		}
	}
}

// gets reports whether a node gets new connections: all do if fewer than half are ready.
func (r *rotation) gets(node int) bool {
	in := 0
	for i := range r.out {
		if !r.out[i].Load() {
			in++
		}
	}
	return !r.out[node].Load() || 2*in < len(r.out)
}
