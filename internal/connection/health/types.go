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
	// Seen is when that answer was received; zero before the first.
	Seen time.Time
	// Err is the error of the last probe, nil if it succeeded.
	Err error
	// Failed is when the first probe failed since the last success; zero
	// while probes succeed.
	Failed time.Time
}
