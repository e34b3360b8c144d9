package health

import (
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// IsOpen reports whether a group may accept new requests at now: its placement is
// in phase serving, and every member was seen ready for exactly this placement
// within the last maxAge, with no failed probe since. If not, reason is the first
// reason. observe returns the last observation of a host; the zero value means
// none.
func IsOpen(placement *object.Placement, observe func(host string) Observation, maxAge time.Duration, now time.Time) (open bool, reason string) {
	if placement == nil {
		return false, "the group has no placement"
	}
	if placement.Phase != object.PhaseServing {
		return false, fmt.Sprintf("the placement of group %s is in phase %s", placement.Group, placement.Phase)
	}
	if len(placement.Members) == 0 {
		return false, fmt.Sprintf("the placement of group %s has no members", placement.Group)
	}
	for _, member := range placement.Members {
		if reason := MemberFault(placement, member, observe(member), maxAge, now); reason != "" {
			return false, reason
		}
	}
	return true, ""
}

// MemberFault returns why a member keeps its group closed, or "" if the member
// was seen ready for the placement within the last maxAge.
func MemberFault(placement *object.Placement, member string, seen Observation, maxAge time.Duration, now time.Time) string {
	switch {
	case seen.SeenAt.IsZero():
		return fmt.Sprintf("member %s was not seen yet", member)
	case !seen.FailingSince.IsZero() || seen.Err != nil:
		return fmt.Sprintf("member %s failed a probe: %v", member, seen.Err)
	case now.Sub(seen.SeenAt) > maxAge:
		return fmt.Sprintf("member %s was last seen %s ago, over the bound of %s", member, now.Sub(seen.SeenAt).Round(time.Millisecond), maxAge)
	case seen.State.State != endpoint.EngineReady:
		return fmt.Sprintf("member %s is %s", member, seen.State.State)
	case seen.State.Group != placement.Group || seen.State.Generation != placement.Generation:
		return fmt.Sprintf("member %s holds group %q generation %d instead of %q generation %d",
			member, seen.State.Group, seen.State.Generation, placement.Group, placement.Generation)
	case seen.State.Model != placement.Model || seen.State.ModelVersion != placement.ModelVersion:
		return fmt.Sprintf("member %s holds model %s version %s instead of %s version %s",
			member, seen.State.Model, seen.State.ModelVersion, placement.Model, placement.ModelVersion)
	default:
		return ""
	}
}
