// Package health probes endpoint hosts and keeps the last observation of each.
// A replica group is open for new requests only while every member was seen
// ready, at the placement's generation, within a maximum age. Only Prober.Run
// and the probe functions block on I/O.
package health

import (
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// Observation is the result of the latest probes of one host.
type Observation struct {
	// State is the last state read from the host.
	State endpoint.State
	// SeenAt is when the probe that read State was sent; zero before the first
	// successful probe.
	SeenAt time.Time
	// Latency is the moving average of the duration of successful probes.
	Latency time.Duration
	// Err is the error of the last probe, nil if it succeeded.
	Err error
	// FailingSince is when the first probe after the last successful one failed; zero
	// while probes succeed.
	FailingSince time.Time
}
