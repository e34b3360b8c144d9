package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// transferStep is the interval at which a reader recomputes its share of the
// bandwidth.
const transferStep = 20 * time.Millisecond

// weightRetryAfterSeconds is the Retry-After value for a reader beyond the limit.
const weightRetryAfterSeconds = 1

// Weights is the response body of the weight store. The stand-in sends no
// tensors.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// weightStore simulates transfers of weights. Concurrent readers share its
// bandwidth equally.
type weightStore struct {
	totalBytes     int64
	bytesPerSecond int64
	maxReaders     int
	faults         *faultState

	mu      sync.Mutex
	readers int
}

// addReader admits a reader; it returns false if the limit is reached.
func (s *weightStore) addReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers >= s.maxReaders {
		return false
	}
	s.readers++
	return true
}

func (s *weightStore) removeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
}

// bytesPerStep returns the number of bytes that one reader gets in transferStep.
func (s *weightStore) bytesPerStep() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.bytesPerSecond) * transferStep.Seconds() / float64(s.readers)
}

// read blocks for the time that the transfer of the weights takes.
func (s *weightStore) read(ctx context.Context) error {
	remaining := float64(s.totalBytes)
	for remaining > 0 {
		stepBytes := s.bytesPerStep()
		wait := time.Duration(min(1, remaining/stepBytes) * float64(transferStep))
		if err := fault.Sleep(ctx, wait); err != nil {
			return err
		}
		remaining -= stepBytes
	}
	return nil
}

func (s *weightStore) handleGet(w http.ResponseWriter, r *http.Request) {
	if s.faults.get().WeightsOutage {
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if !s.addReader() {
		w.Header().Set("Retry-After", strconv.Itoa(weightRetryAfterSeconds))
		jsonhttp.Fail(w, http.StatusTooManyRequests, "too many readers of weights; retry later")
		return
	}
	defer s.removeReader()
	if err := s.read(r.Context()); err != nil {
		jsonhttp.Abort()
	}
	jsonhttp.Write(w, http.StatusOK, Weights{Model: r.PathValue("model"), Version: r.PathValue("version"), Bytes: s.totalBytes})
}
