package table

import "fmt"

// Key prefixes and keys of the system's rows.
const (
	// KeyHead holds the latest configuration revision.
	KeyHead = "config/head"
	// PrefixLog holds one row for each accepted revision.
	PrefixLog = "config/log/"
	// PrefixObject holds the declared objects.
	PrefixObject = "object/"
	// PrefixPlacement holds the placements of replica groups.
	PrefixPlacement = "placement/"
	// PrefixHost holds the claim of a replica group on each host.
	PrefixHost = "host/"
	// PrefixSession holds one leased row for each node.
	PrefixSession = "session/"
	// PrefixOwnership holds the owner and epoch of each controller duty.
	PrefixOwnership = "ownership/"
	// PrefixShare holds the cap shares of each client account.
	PrefixShare = "share/"
	// PrefixClaim holds claims of non-idempotent requests.
	PrefixClaim = "claim/"
)

// revisionDigits keeps log keys in revision order.
const revisionDigits = 16

// LogKey returns the row key of a configuration revision.
func LogKey(revision int64) string {
	return fmt.Sprintf("%s%0*d", PrefixLog, revisionDigits, revision)
}
