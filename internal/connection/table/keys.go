package table

import "fmt"

// Key prefixes and keys of the system's rows.
const (
	// KeyHead is the key of the row with the latest configuration revision.
	KeyHead = "config/head"
	// PrefixLog is for the accepted configuration revisions, one row each.
	PrefixLog = "config/log/"
	// PrefixObject is for the declared objects.
	PrefixObject = "object/"
	// PrefixPlacement is for the placements of replica groups.
	PrefixPlacement = "placement/"
	// PrefixHost is for the claims of replica groups on hosts, one row for each host.
	PrefixHost = "host/"
	// PrefixSession is for the leased session rows, one for each node.
	PrefixSession = "session/"
	// PrefixOwnership is for the owner and epoch of each controller role.
	PrefixOwnership = "ownership/"
	// PrefixShare is for the cap shares of each client account.
	PrefixShare = "share/"
	// PrefixClaim is for the claims of non-idempotent requests.
	PrefixClaim = "claim/"
)

// revisionDigits is the width to which revisions are zero-padded, so that log
// keys sort in revision order.
const revisionDigits = 16

// LogKey returns the row key of a configuration revision.
func LogKey(revision int64) string {
	return fmt.Sprintf("%s%0*d", PrefixLog, revisionDigits, revision)
}
