package forward

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Coordinator chooses groups for this node together with the others.
type Coordinator interface {
	// Serves reports whether the requests for the service are coordinated.
	Serves(service *fleet.Service) bool
	// Choose asks for a group. It blocks for coordinate.AskTimeout at most, and returns
	// the zero answer if this node is to choose alone. release must be called after the
	// attempt was counted with Begin.
	Choose(ctx context.Context, key coordinate.Key, ask coordinate.Ask) (answer coordinate.Answer, release func())
	// Begin counts an attempt.
	Begin(key coordinate.Key, host string, promptTokens, tokens int) *coordinate.Use
}

// coordinated reports whether other nodes have a say in where the request runs.
func (s *requestState) coordinated() bool {
	return s.Coordinator != nil && s.service.Engine != nil && s.Coordinator.Serves(s.service)
}

func (s *requestState) coordinationKey() coordinate.Key {
	return coordinate.Key{Service: s.service.Name, Model: s.request.Model}
}

// tokenCounts returns the prompt tokens of the request and those with its answer, as
// far as the caller says; otherwise the mean ones. An answer counts as no longer than
// a slot's part of the group's memory: hints are often far off, and a wrong one must not
// keep others out of a group.
func (s *requestState) tokenCounts() (prompt, all int) {
	engine := s.service.Engine
	prompt, answer, mean := s.request.PromptTokens, s.request.MaxOutputTokens, int(engine.MeanAnswerTokens)
	if prompt <= 0 {
		prompt = int(engine.MeanPromptTokens)
	}
	if answer <= 0 {
		answer = mean
	}
	if engine.MemoryTokens > 0 {
		answer = min(answer, max(mean, engine.MemoryTokens/max(engine.Slots, 1)))
	}
	return prompt, prompt + answer
}

// coordinate sets the preferred host of a first attempt. Later attempts do not wait for
// another node. It returns the refusal of a request for which no group has room.
func (s *requestState) coordinate(ctx context.Context) (release func(), refused *refusal.Error) {
	s.preferredHost = ""
	if !s.coordinated() || len(s.triedHosts) > 0 {
		return func() {}, nil
	}
	prompt, tokens := s.tokenCounts()
	answer, release := s.Coordinator.Choose(ctx, s.coordinationKey(), coordinate.Ask{Rank: s.rank, PromptTokens: prompt, Tokens: tokens, FailureDomain: s.FailureDomain})
	s.preferredHost = answer.Host
	if !answer.Full {
		return release, nil
	}
	view, query := s.View.Load(), s.query()
	none := s.Board.RetryAfter(view, query, time.Now())
	if none.Candidates == 0 {
		return release, nil // this node sees another reason
	}
	return release, s.notPlaced(view, query, none)
}

// beginUse counts an attempt for the coordinators.
func (s *requestState) beginUse(choice place.Choice) *coordinate.Use {
	if !s.coordinated() {
		return nil
	}
	prompt, tokens := s.tokenCounts()
	return s.Coordinator.Begin(s.coordinationKey(), choice.Host.ID, prompt, tokens)
}
