package callerapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// Load of the benchmark.
const (
	streamCount     = 200
	tokensPerStream = 60
	tokenInterval   = 20 * time.Millisecond
)

// Limits that follow from the load that one entry node must support: as many
// streams as its listener accepts, at 50 tokens a second each.
const (
	nodeStreams     = 4096
	nodeMemoryBytes = 1 << 30
	// maxStreamBytes lets all streams of a node fit into nodeMemoryBytes.
	maxStreamBytes = nodeMemoryBytes / nodeStreams
	// allocationTime is the approximate time of one small allocation with its
	// share of garbage collection.
	allocationTime = 100 * time.Nanosecond
	// maxChunkAllocations keeps the allocations for all streams of a node within
	// the time of one core.
	maxChunkAllocations = float64(time.Second) / (nodeStreams * 50) / float64(allocationTime)
)

// clockEngine is a fake engine that streams tokens at a fixed interval. The text
// of each token is its send time in nanoseconds of the Unix epoch.
func clockEngine(w http.ResponseWriter, r *http.Request) {
	var request endpoint.GenerateRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	ticker := time.NewTicker(tokenInterval)
	defer ticker.Stop()
	for i := range request.MaxTokens {
		text := strconv.FormatInt(time.Now().UnixNano(), 10) + " "
		fmt.Fprintf(w, "data: {\"requestID\":%q,\"index\":%d,\"text\":%q}\n\n", request.RequestID, i, text)
		if control.Flush() != nil {
			return
		}
		<-ticker.C
	}
	fmt.Fprintf(w, "data: {\"requestID\":%q,\"index\":%d,\"finish\":\"length\"}\n\ndata: [DONE]\n\n", request.RequestID, request.MaxTokens)
}

// timings are the times that callers measure in one phase.
type timings struct {
	mu     sync.Mutex
	first  []time.Duration // from the call to its first token
	tokens []time.Duration // from the engine to the caller, for each later token
	failed int
}

// quantile returns the q-quantile in milliseconds.
func quantile(samples []time.Duration, q float64) float64 {
	slices.Sort(samples)
	return float64(samples[int(q*float64(len(samples)-1))]) / float64(time.Millisecond)
}

// phase is one run of all streams.
type phase struct {
	timings
	allocations uint64
	// streamBytes is the memory in use while all streams are open.
	streamBytes uint64
}

// memoryUsage returns the number of allocations so far and the bytes in use.
func memoryUsage() (allocations, inUse uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.Mallocs, stats.HeapAlloc + stats.StackInuse
}

// runPhase opens all streams, spread over one token interval, and reads them to
// their end.
func runPhase(send func(i int) (*http.Response, error), textOf func([]byte) string) *phase {
	p := &phase{}
	allocated, idle := memoryUsage()
	var streams sync.WaitGroup
	for i := range streamCount {
		time.Sleep(tokenInterval / streamCount)
		streams.Go(func() { p.read(i, send, textOf) })
	}
	time.Sleep(tokensPerStream / 2 * tokenInterval)
	_, busy := memoryUsage()
	streams.Wait()
	p.streamBytes = (max(busy, idle) - idle) / streamCount
	after, _ := memoryUsage()
	p.allocations = after - allocated
	return p
}

func (t *timings) read(i int, send func(int) (*http.Response, error), textOf func([]byte) string) {
	started := time.Now()
	response, err := send(i)
	if err != nil {
		t.fail()
		return
	}
	defer response.Body.Close()
	reader := endpoint.NewEventReader(response.Body)
	var first time.Duration
	var later []time.Duration
	for {
		data, err := reader.Next(nil)
		if err != nil {
			t.add(first, later, errors.Is(err, io.EOF))
			return
		}
		sent, err := strconv.ParseInt(strings.TrimSpace(textOf(data)), 10, 64)
		switch {
		case err != nil:
		case first == 0:
			first = time.Since(started)
		default:
			later = append(later, time.Since(time.Unix(0, sent)))
		}
	}
}

func (t *timings) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
}

func (t *timings) add(first time.Duration, later []time.Duration, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !complete || len(later) != tokensPerStream-1 {
		t.failed++
		return
	}
	t.first = append(t.first, first)
	t.tokens = append(t.tokens, later...)
}

// BenchmarkDataPath compares streams through one node, over loopback, with the
// same streams read from the engine directly. It limits memory and allocations.
// Times are only reported because they depend on the other load of the machine.
func BenchmarkDataPath(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(clockEngine))
	defer engine.Close()
	ctx, cancel := context.WithCancel(context.Background())
	client := endpoint.NewClient()
	defer client.Close()
	n := newTestNode(ctx, client, engine.Listener.Addr().String(), "", streamCount)
	defer n.home.Wait()
	defer cancel()
	server := httptest.NewServer(n.handler)
	defer server.Close()
	callers := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCount}}
	defer callers.CloseIdleConnections()
	for b.Loop() {
		// The first phases open the connections.
		runPhase(directSend(callers, engine.URL), directText)
		runPhase(nodeSend(callers, server.URL), nodeText)
		direct := runPhase(directSend(callers, engine.URL), directText)
		through := runPhase(nodeSend(callers, server.URL), nodeText)
		if direct.failed+through.failed > 0 {
			b.Fatalf("got %d failed streams directly and %d through the node, want none", direct.failed, through.failed)
		}
		report(b, direct, through)
	}
}

func report(b *testing.B, direct, through *phase) {
	b.Helper()
	for _, q := range []struct {
		name  string
		value float64
	}{{"p50", 0.50}, {"p99", 0.99}} {
		b.ReportMetric(quantile(direct.first, q.value), "direct-first-"+q.name+"-ms")
		b.ReportMetric(quantile(through.first, q.value)-quantile(direct.first, q.value), "added-first-"+q.name+"-ms")
		b.ReportMetric(quantile(direct.tokens, q.value), "direct-token-"+q.name+"-ms")
		b.ReportMetric(quantile(through.tokens, q.value)-quantile(direct.tokens, q.value), "added-token-"+q.name+"-ms")
	}
	allocations := (float64(through.allocations) - float64(direct.allocations)) / (streamCount * tokensPerStream)
	bytes := float64(through.streamBytes) - float64(direct.streamBytes)
	b.ReportMetric(allocations, "allocs/chunk")
	b.ReportMetric(bytes, "B/stream")
	b.ReportMetric(nodeMemoryBytes/bytes, "streams/GiB")
	if allocations > maxChunkAllocations {
		b.Fatalf("got %.1f allocations per chunk, want at most %.1f", allocations, maxChunkAllocations)
	}
	if bytes > maxStreamBytes {
		b.Fatalf("got %.0f bytes per stream, want at most %d", bytes, maxStreamBytes)
	}
}

func directSend(client *http.Client, url string) func(int) (*http.Response, error) {
	return func(i int) (*http.Response, error) {
		body, _ := json.Marshal(endpoint.GenerateRequest{RequestID: strconv.Itoa(i), Prompt: "a prompt", MaxTokens: tokensPerStream})
		return client.Post(url+"/v1/generate", "application/json", bytes.NewReader(body))
	}
}

func directText(data []byte) string {
	var chunk endpoint.Chunk
	_ = json.Unmarshal(data, &chunk)
	return chunk.Text
}

func nodeSend(client *http.Client, url string) func(int) (*http.Response, error) {
	return func(i int) (*http.Response, error) {
		body := fmt.Sprintf(`{"model":%q,"prompt":"a prompt %d","max_tokens":%d,"stream":true}`, testModel, i, tokensPerStream)
		request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+testKey)
		return client.Do(request)
	}
}

func nodeText(data []byte) string {
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Text
}
