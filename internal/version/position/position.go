// Package position orders the states of a store that may come back from an older copy
// and then gives out versions again.
package position

import "cmp"

// Position is a state of the store: a version within an era. The era rises each time
// the store comes back from a copy; versions of different eras say nothing about each
// other. The zero value comes before all others.
type Position struct {
	Era     int64 `json:"era,omitempty"`
	Version int64 `json:"version"`
}

// Compare returns -1 if p is older than other, 1 if it is newer, and 0 if both are the
// same state.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Version, other.Version))
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }
