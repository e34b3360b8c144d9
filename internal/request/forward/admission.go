package forward

import (
	"time"

	"currantladder.example/currantladder/internal/request/admission"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
)

// recordServed tells admission, once for each request to an engine service, whether it was
// answered on time.
func (s *requestState) recordServed(onTime bool) {
	if s.judged || s.service == nil || s.service.Engine == nil {
		return
	}
	s.judged = true
	model := admission.Model{Service: s.service.Name, Name: s.request.Model}
	s.Board.Admission().Ended(model, s.rank, onTime, time.Now())
}

// recordRefused tells admission of a request that was refused because of the load or
// because no endpoint could run it. Faults of the request itself do not count.
func (s *requestState) recordRefused(e *refusal.Error) {
	switch e.Kind {
	case refusal.KindOverloaded, refusal.KindNoEndpoint, refusal.KindDeadline, refusal.KindIncomplete:
		s.recordServed(false)
	}
}

// countAdmission counts a refusal for lack of room by whether the caller was promised a
// time.
func (s *requestState) countAdmission(none *place.Refusal) {
	if none.AdmittedShare < 1 {
		s.Metrics.Counter("place_refused_by_admission").Inc(1)
	}
	if none.Promised {
		s.Metrics.Counter("place_returns_promised").Inc(1)
	}
}

// isLate reports whether a stream has missed a target of its route so far.
func (s *streamState) isLate() bool {
	return s.route.LatencyTarget > 0 && s.firstEventLatency > s.route.LatencyTarget || s.route.PauseTarget > 0 && s.longestPause > s.route.PauseTarget
}
