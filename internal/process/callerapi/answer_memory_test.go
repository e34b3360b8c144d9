package callerapi_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

const (
	// unfinishedCalls are the calls that a faulty service leaves unfinished at once.
	unfinishedCalls = 60
	// maxHeldBytes is what a node may hold of all answers together: 32 MB, one more answer
	// and its copy, and less than 100 KB for each call.
	maxHeldBytes = 32<<20 + 2*endpoint.MaxAnswerBytes + unfinishedCalls*100<<10
)

// callService sends one call of a service to the node.
func callService(node *testNode, method string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/services/booking/1", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Rank", "urgent")
	w := httptest.NewRecorder()
	node.handler.ServeHTTP(w, r)
	return w
}

// TestUnfinishedServiceAnswersAreBoundedTogether guards against a node that runs out of
// memory because a faulty service sends nearly all of many answers and then nothing.
func TestUnfinishedServiceAnswersAreBoundedTogether(t *testing.T) {
	block := bytes.Repeat([]byte("x"), 64<<10)
	ended := make(chan struct{})
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent := len(block); sent < endpoint.MaxAnswerBytes; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
		<-ended
	}))
	defer service.Close()
	client := endpoint.NewClient()
	defer client.Close()
	node := newTestNode(t.Context(), client, "", service.Listener.Addr().String(), 1)

	before := heldBytes()
	var calls sync.WaitGroup
	for range unfinishedCalls {
		calls.Go(func() {
			if got := callService(node, http.MethodPost).Code; got != http.StatusBadGateway {
				t.Errorf("got status %d for an unfinished answer, want 502", got)
			}
		})
	}
	go func() { calls.Wait(); close(ended) }()
	most := int64(0)
	for ticker := time.NewTicker(50 * time.Millisecond); ; {
		select {
		case <-ticker.C:
			most = max(most, heldBytes()-before)
			continue
		case <-ended:
			ticker.Stop()
		}
		break
	}
	if most > maxHeldBytes {
		t.Errorf("got %d bytes of answers in memory, want at most %d", most, int64(maxHeldBytes))
	}
}

// TestLargeServiceAnswersArriveWhole guards against sound answers that are cut or refused
// because all of them together are limited.
func TestLargeServiceAnswersArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, endpoint.MinChunkBytes, endpoint.MinChunkBytes + 1, endpoint.MaxAnswerBytes} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			content := bytes.Repeat([]byte("y"), size)
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(content) }))
			defer service.Close()
			client := endpoint.NewClient()
			defer client.Close()
			node := newTestNode(context.Background(), client, "", service.Listener.Addr().String(), 1)
			for range 12 { // more than the limit, one after the other
				answer := callService(node, http.MethodPost)
				if answer.Code != http.StatusOK || !bytes.Equal(answer.Body.Bytes(), content) {
					t.Fatalf("got status %d and %d bytes, want 200 and all %d", answer.Code, answer.Body.Len(), size)
				}
			}
		})
	}
}

// TestTooLargeServiceAnswerIsNotPassedOn guards against a part of an answer that looks whole.
func TestTooLargeServiceAnswerIsNotPassedOn(t *testing.T) {
	content := bytes.Repeat([]byte("z"), endpoint.MaxAnswerBytes+1)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(content) }))
	defer service.Close()
	client := endpoint.NewClient()
	defer client.Close()
	node := newTestNode(context.Background(), client, "", service.Listener.Addr().String(), 1)
	if got := callService(node, http.MethodPost).Code; got != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", got)
	}
}

// heldBytes returns the bytes of live memory.
func heldBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
