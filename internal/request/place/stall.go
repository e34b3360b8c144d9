package place

import (
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// passTimeFactor and passTimeSlack turn the modelled duration of a pass into
	// the silence after which a group is suspected or stalled. Actual passes end
	// within tens of milliseconds of the model. The slack covers the network and
	// scheduling delays on a busy node.
	passTimeFactor = 1.15
	passTimeSlack  = 100 * time.Millisecond
	// firstEventSlack is added until the first event of an attempt. Engines need
	// a fixed time before the first token, which they do not declare.
	firstEventSlack = 300 * time.Millisecond
	// singleStreamFactor times the stall threshold is the silence after which a
	// stream moves although its group makes progress. Such a stream was
	// preempted, or its connection is broken.
	singleStreamFactor = 3
)

// StallThresholds holds the thresholds for the time without events of a stream
// and its group.
type StallThresholds struct {
	// Suspect is longer than most passes. A group silent for this long gets no
	// new request until it sends something.
	Suspect time.Duration
	// Stalled is longer than any pass of a healthy group. Streams move away from
	// a group silent for this long.
	Stalled time.Duration
	// First replaces Stalled until the first event of an attempt.
	First time.Duration
}

// EngineStallThresholds returns the thresholds for a stream at a group of the
// model. The group processes the given number of prompt tokens before the first
// event.
func EngineStallThresholds(engine *fleet.Engine, model *fleet.Model, promptTokens int) StallThresholds {
	scaled := func(chunks int) time.Duration {
		return time.Duration(passTimeFactor*float64(engine.PassTime(model, chunks))) + passTimeSlack
	}
	stalled := scaled(engine.StepsPerPass)
	return StallThresholds{scaled(1), stalled, stalled + firstEventSlack + engine.PrefillTime(model, promptTokens)}
}

// PlainStallThresholds returns the thresholds for a stream of a plain service.
// target is the latency target of the first event, pauseTarget that of the longest
// pause between events.
func PlainStallThresholds(target, pauseTarget time.Duration) StallThresholds {
	stalled := pauseTarget + passTimeSlack
	return StallThresholds{stalled, stalled, stalled + target}
}

// SilentFor is how long a stream and its group have sent nothing.
type SilentFor struct {
	Own, Group time.Duration
	// Began is true once the stream has had an event from this endpoint.
	Began bool
	// Suspected is true if the group is suspected already.
	Suspected bool
}

// Evaluate reports whether the group must be marked as suspected, and whether the
// stream should move to another group.
func (s StallThresholds) Evaluate(silent SilentFor) (suspect, move bool) {
	if silent.Own < s.Suspect {
		return false, false
	}
	suspect = silent.Began && silent.Group >= s.Suspect || silent.Group >= s.First
	threshold := s.Stalled
	if !silent.Began && !suspect && !silent.Suspected {
		threshold = s.First
	}
	return suspect, silent.Group >= threshold || silent.Own >= singleStreamFactor*threshold
}
