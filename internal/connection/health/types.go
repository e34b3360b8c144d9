// Package health probes endpoint hosts and keeps the last observation of
// each. A replica group is open only while every member was seen ready, at
// the placement's generation, within a named bound.
package health

import (
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// Observation is the last result of probing one host.
type Observation struct {
	// State is the last state read from the host.
	State endpoint.State
	// Seen is when the probe that read State was sent; zero before the first.
	Seen time.Time
	// Latency is the moving mean of the duration of successful probes.
	Latency time.Duration
	// Err is the error of the last probe, nil if it succeeded.
	Err error
	// Failed is when the first probe failed since the last success; zero
	// while probes succeed.
	Failed time.Time
}
