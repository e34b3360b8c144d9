package burn

import (
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// verdict tells how a request counts against its rank's objective.
type verdict int

const (
	// verdictGood: the whole answer came within the targets.
	verdictGood verdict = iota
	// verdictBad: the system did not give what the objective promises.
	verdictBad
	// verdictExcluded: the request says nothing about the system.
	verdictExcluded
)

// Causes of bad requests that were not refused.
const (
	causeSlowFirstToken = "slow_first_token"
	causeSlowToken      = "slow_inter_token"
	// causeUndeclaredRank marks requests of a rank that has no targets.
	causeUndeclaredRank = "undeclared_rank"
	// causeCallerLeft marks requests whose caller closed the connection.
	causeCallerLeft = "caller_left"
	// causeOther stands for kinds beyond the bound of a bucket.
	causeOther = "other"
)

// callerKinds are the refusals for a caller's fault or for the account's own
// cap. They are not counted against the objective, provided that the request
// did not run. Every other kind is counted:
//
//   - overloaded, no_endpoint, node_stopping, node_isolated,
//     store_unavailable and retries_exhausted, because the system had no
//     capacity or was broken;
//   - deadline, because the system did not serve within the time that the
//     caller gave, which load decides more often than the caller;
//   - incomplete_answer and already_claimed, and every refusal whose request
//     may have run, because the caller does not know what became of it.
var callerKinds = map[refusal.Kind]bool{
	refusal.KindBadRequest:     true,
	refusal.KindBodyTooLarge:   true,
	refusal.KindUnauthorized:   true,
	refusal.KindUnknownModel:   true,
	refusal.KindUnknownRank:    true,
	refusal.KindUnknownService: true,
	refusal.KindRankNotAllowed: true,
	refusal.KindCapExceeded:    true,
	// A request that was in flight at several dying endpoints is kept away
	// from the others on purpose.
	refusal.KindCrashSuspect: true,
}

// judge decides how a sample counts. rank is nil where the request named no
// declared rank. The cause is empty for a good request.
func judge(s callerapi.Sample, rank *snapshot.Rank) (verdict, string) {
	switch s.Outcome {
	case callerapi.OutcomeRefused:
		if callerKinds[s.Kind] {
			return verdictExcluded, string(s.Kind)
		}
		return verdictBad, string(s.Kind)
	case callerapi.OutcomeWhole:
		return judgeTimes(s, rank)
	case callerapi.OutcomeLeft:
		if kept, cause := judgeTimes(s, rank); kept == verdictBad {
			return verdictBad, cause
		}
		return verdictExcluded, causeCallerLeft
	default:
		return verdictBad, string(s.Kind)
	}
}

// judgeTimes compares the times of an answer with the rank's targets.
func judgeTimes(s callerapi.Sample, rank *snapshot.Rank) (verdict, string) {
	switch {
	case rank == nil:
		return verdictExcluded, causeUndeclaredRank
	case max(s.FirstToken, s.Waited) > rank.FirstTokenTarget():
		return verdictBad, causeSlowFirstToken
	case s.MaxInterToken > rank.InterTokenTarget():
		return verdictBad, causeSlowToken
	default:
		return verdictGood, ""
	}
}
