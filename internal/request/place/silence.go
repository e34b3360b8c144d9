package place

import (
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Limits of silence.
const (
	// stallFactor and stallSlack turn the length of a pass into the silence
	// after which a group is suspect or stalled. Passes end within tens of
	// milliseconds of the engine's model; the slack covers the network and
	// the schedule of a busy node.
	stallFactor = 1.15
	stallSlack  = 100 * time.Millisecond
	// firstEventSlack is added while an attempt has given nothing: engines take
	// a fixed time before the first token, which they do not declare.
	firstEventSlack = 300 * time.Millisecond
	// lonelyFactor is the silence of one stream, in multiples of that of a
	// stalled group, after which it moves although the group goes on: it was
	// preempted or its connection is dead.
	lonelyFactor = 3
)

// Silence holds the times after which the silence of a stream has a meaning.
type Silence struct {
	// Suspect: most passes are shorter; the group takes no new request until
	// it gives a sign.
	Suspect time.Duration
	// Stalled: no pass of a healthy group is longer; its streams move.
	Stalled time.Duration
	// First is Stalled for an attempt that has given nothing yet.
	First time.Duration
}

// EngineSilence returns the limits for a stream at a group of the model that
// reads the given prompt first.
func EngineSilence(engine *fleet.Engine, model *fleet.Model, promptTokens int) Silence {
	scaled := func(pieces int) time.Duration {
		return time.Duration(stallFactor*float64(engine.PassTime(model, pieces))) + stallSlack
	}
	stalled := scaled(engine.StepsPerPass)
	return Silence{scaled(1), stalled, stalled + firstEventSlack + engine.ReadTime(model, promptTokens)}
}

// PlainSilence returns the limits for a stream of a plain service.
func PlainSilence(target, pauseTarget time.Duration) Silence {
	stalled := pauseTarget + stallSlack
	return Silence{stalled, stalled, stalled + target}
}

// Silent is how long a stream and its group have given nothing.
type Silent struct {
	Own, Group time.Duration
	// Began is true once the stream has had an event from this endpoint.
	Began bool
	// Suspected is true where the group is under suspicion already.
	Suspected bool
}

// Judge reports whether the group is suspect, and whether the stream should go
// on at another group.
func (s Silence) Judge(silent Silent) (suspect, move bool) {
	if silent.Own < s.Suspect {
		return false, false
	}
	suspect = silent.Began && silent.Group >= s.Suspect || silent.Group >= s.First
	limit := s.Stalled
	if !silent.Began && !suspect && !silent.Suspected {
		limit = s.First
	}
	return suspect, silent.Group >= limit || silent.Own >= lonelyFactor*limit
}
