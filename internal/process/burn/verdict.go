package burn

import (
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// verdict is how a request counts against the objective of its rank.
type verdict int

const (
	// verdictGood: the answer is complete and met the latency targets.
	verdictGood verdict = iota
	// verdictBad: the system did not serve the request as the objective
	// requires.
	verdictBad
	// verdictExcluded: the outcome says nothing about the service level, so the
	// request is not counted.
	verdictExcluded
)

// Causes of bad requests that were not refused.
const (
	causeSlowFirstToken = "slow_first_token"
	causeSlowInterToken = "slow_inter_token"
	// causeUndeclaredRank marks requests of a rank that has no targets.
	causeUndeclaredRank = "undeclared_rank"
	// causeCallerLeft marks requests whose caller closed the connection.
	causeCallerLeft = "caller_left"
	// causeOther replaces further causes once a bucket has maxCauses.
	causeOther = "other"
)

// excludedKinds are the refusals that a caller's error, the account's own cap or
// crash protection causes. They are not counted against the objective, provided
// that the request did not run. Every other kind is counted:
//
//   - overloaded, no_endpoint, node_stopping, node_isolated,
//     store_unavailable and retries_exhausted, because the system had no
//     capacity or had failed;
//   - deadline, because the system did not serve the request within the
//     caller's time limit, and load causes this more often than a limit that is
//     too short;
//   - incomplete_answer and already_claimed, and every refusal whose request
//     may have run, because its outcome is unknown to the caller.
var excludedKinds = map[refusal.Kind]bool{
	refusal.KindBadRequest:     true,
	refusal.KindBodyTooLarge:   true,
	refusal.KindBodyTooSlow:    true,
	refusal.KindUnauthorized:   true,
	refusal.KindUnknownModel:   true,
	refusal.KindUnknownRank:    true,
	refusal.KindUnknownService: true,
	refusal.KindRankNotAllowed: true,
	refusal.KindCapExceeded:    true,
	// A request that was in flight at several endpoints when they crashed is
	// deliberately not sent to other endpoints.
	refusal.KindCrashSuspect: true,
}

// evaluate returns the verdict and the cause of a sample. rank is nil where the
// request named no declared rank. The cause is empty for a good request.
func evaluate(s callerapi.Sample, rank *snapshot.Rank) (verdict, string) {
	switch s.Outcome {
	case callerapi.OutcomeRefused:
		if excludedKinds[s.Kind] {
			return verdictExcluded, string(s.Kind)
		}
		return verdictBad, string(s.Kind)
	case callerapi.OutcomeComplete:
		return evaluateLatency(s, rank)
	case callerapi.OutcomeCallerLeft:
		if latency, cause := evaluateLatency(s, rank); latency == verdictBad {
			return verdictBad, cause
		}
		return verdictExcluded, causeCallerLeft
	default:
		return verdictBad, string(s.Kind)
	}
}

// evaluateLatency compares the latencies of an answer with the rank's targets.
func evaluateLatency(s callerapi.Sample, rank *snapshot.Rank) (verdict, string) {
	switch {
	case rank == nil:
		return verdictExcluded, causeUndeclaredRank
	case max(s.FirstToken, s.Waited) > rank.FirstTokenTarget():
		return verdictBad, causeSlowFirstToken
	case s.MaxInterToken > rank.InterTokenTarget():
		return verdictBad, causeSlowInterToken
	default:
		return verdictGood, ""
	}
}
