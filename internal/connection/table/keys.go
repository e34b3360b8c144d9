package table

import "fmt"

// Key prefixes and keys of the system's rows.
const (
	// KeyHead is the row with the latest configuration revision.
	KeyHead = "config/head"
	// PrefixLog has one row for each accepted configuration revision.
	PrefixLog = "config/log/"
	// PrefixObject has the declared objects.
	PrefixObject = "object/"
	// PrefixPlacement has the placements of replica groups.
	PrefixPlacement = "placement/"
	// PrefixHost has the claim of a replica group on each host.
	PrefixHost = "host/"
	// PrefixSession has one leased row for each node.
	PrefixSession = "session/"
	// PrefixOwnership has the owner and epoch of each controller role.
	PrefixOwnership = "ownership/"
	// PrefixShare has the cap shares of each client account.
	PrefixShare = "share/"
	// PrefixClaim has the claims of non-idempotent requests.
	PrefixClaim = "claim/"
)

// revisionDigits is the width to which revisions are zero-padded, so that log
// keys sort in revision order.
const revisionDigits = 16

// LogKey returns the row key of a configuration revision.
func LogKey(revision int64) string {
	return fmt.Sprintf("%s%0*d", PrefixLog, revisionDigits, revision)
}
