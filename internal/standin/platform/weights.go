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

// weightStep is the interval in which a reader takes its part of the rate.
const weightStep = 20 * time.Millisecond

// weightRetryAfter is the hint, in seconds, to a reader beyond the limit.
const weightRetryAfter = 1

// Weights is the answer of the weight store. The stand-in sends no tensors.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// weights is the weight store, whose rate is shared by concurrent readers.
type weights struct {
	size       int64
	rate       int64 // bytes a second
	maxReaders int
	faults     *faultSwitch

	mu      sync.Mutex
	readers int
}

// join counts a reader in; it reports whether there is room.
func (s *weights) join() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers >= s.maxReaders {
		return false
	}
	s.readers++
	return true
}

func (s *weights) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
}

// share returns the bytes that one reader gets in a step.
func (s *weights) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.rate) * weightStep.Seconds() / float64(s.readers)
}

// read blocks until the weights would have been transferred.
func (s *weights) read(ctx context.Context) error {
	left := float64(s.size)
	for left > 0 {
		part := s.share()
		pause := time.Duration(min(1, left/part) * float64(weightStep))
		if err := fault.Sleep(ctx, pause); err != nil {
			return err
		}
		left -= part
	}
	return nil
}

func (s *weights) handleGet(w http.ResponseWriter, r *http.Request) {
	if s.faults.get().WeightsOutage {
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if !s.join() {
		w.Header().Set("Retry-After", strconv.Itoa(weightRetryAfter))
		jsonhttp.Fail(w, http.StatusTooManyRequests, "too many readers of weights; retry later")
		return
	}
	defer s.leave()
	if err := s.read(r.Context()); err != nil {
		jsonhttp.Abort()
	}
	jsonhttp.Write(w, http.StatusOK, Weights{Model: r.PathValue("model"), Version: r.PathValue("version"), Bytes: s.size})
}
