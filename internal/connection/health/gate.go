package health

import (
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// Open reports whether a group may accept new requests at now: its placement is
// in phase serving, and every member was seen ready for exactly this placement
// within the last maxAge, with no failed probe since. If not, why is the first
// reason. observe returns the last observation of a host; the zero value means
// none.
func Open(placement *object.Placement, observe func(host string) Observation, maxAge time.Duration, now time.Time) (open bool, why string) {
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
		if why := MemberFault(placement, member, observe(member), maxAge, now); why != "" {
			return false, why
		}
	}
	return true, ""
}

// MemberFault returns why a member keeps its group closed, or "" if the member
// was seen ready for the placement within the last maxAge.
func MemberFault(placement *object.Placement, member string, seen Observation, maxAge time.Duration, now time.Time) string {
	switch {
	case seen.Seen.IsZero():
		return fmt.Sprintf("member %s was not seen yet", member)
	case !seen.Failed.IsZero() || seen.Err != nil:
		return fmt.Sprintf("member %s failed a probe: %v", member, seen.Err)
	case now.Sub(seen.Seen) > maxAge:
		return fmt.Sprintf("member %s was last seen %s ago, over the bound of %s", member, now.Sub(seen.Seen).Round(time.Millisecond), maxAge)
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
