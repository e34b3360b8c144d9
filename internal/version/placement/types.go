// Package placement plans the replica groups of one failure domain. Plan is a
// pure function of what a controller has read and the time; it returns typed
// steps, each with a reason and a message that tells what was weighed.
//
// A group whose member is missing is repaired by loading a spare host beside
// the wait for the member: the spare is claimed under the next generation
// while the placement keeps its members. Whichever is ready first decides:
// the member returns and the spare is released, or the spare is loaded and
// takes the member's position.
package placement

import (
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// Claim is the value of a host row: the group that holds the host. A claim
// under the generation after the placement's belongs to a replacement that
// loads.
type Claim struct {
	Group      string `json:"group"`
	Generation int64  `json:"generation"`
	// Position is the index of the host among the members.
	Position int `json:"position"`
}

// Host is what the controller knows of one engine host of its failure domain.
type Host struct {
	Name string
	// Address is host:port of the engine.
	Address      string
	FabricDomain string
	// Listed is true while the platform's list has the host.
	Listed  bool
	Leaving bool
	Drain   bool
	// Observed is true once the host has answered a probe.
	Observed bool
	// State is the last state read, which may be old where Failed is set.
	State endpoint.State
	// Failed is when the first probe failed since the last success.
	Failed time.Time
	// Refused is true where the last probe was refused by the host itself,
	// so that the engine process is not running.
	Refused bool
	// SlowSince is when the host began to be much slower than its peers;
	// zero while it is not.
	SlowSince time.Time
	// Claim is zero on a host that no group holds.
	Claim Claim
}

// Group is one declared replica group with its placement. Spec is nil where
// the group was deleted and its placement is left.
type Group struct {
	Name      string
	Spec      *object.ReplicaGroupSpec
	Placement *object.Placement
}

// Input is everything that a plan depends on.
type Input struct {
	FailureDomain string
	Groups        []Group
	Hosts         []Host
	Policy        Policy
	// Epoch is the fencing token of the controller.
	Epoch int64
	Now   time.Time
}

// ReturnModel describes how hosts of one symptom come back: with the chance
// Chance after an exponentially distributed time of the given mean, else never.
type ReturnModel struct {
	Chance float64
	Mean   time.Duration
}

// Policy holds the constants that a plan weighs with.
type Policy struct {
	// LoadTime is the expected time to load one group's weights.
	LoadTime time.Duration
	// ConcurrentLoads is the number of groups that may load from the weight
	// store at the same time.
	ConcurrentLoads int
	// Grace is how long a member may be silent before anything is done.
	Grace time.Duration
	// Drain is how long a group that is stopped on purpose may finish work.
	Drain time.Duration
	// StragglerAfter is how long a member must be slow to count as missing.
	StragglerAfter time.Duration
	// StragglerPause is how long a placement must be unchanged before a slow
	// member is replaced, so that a leader that is slow under load does not
	// use up spare after spare.
	StragglerPause time.Duration
	// StuckLoads is the number of load times after which a member that is
	// not ready counts as missing.
	StuckLoads int
	// Silent and Dark model hosts that stopped to answer: alone, or together
	// with at least DarkShare of their fabric domain.
	Silent    ReturnModel
	Dark      ReturnModel
	DarkShare float64
	// RepairTime is how long a host that does not return by itself is away.
	RepairTime time.Duration
	// LoadWaste is the cost of a load that turns out to be needless, as a
	// share of the load time, when no other group waits for the store.
	LoadWaste float64
}

// DefaultPolicy returns the policy of a weight store that loads a group in
// loadTime and serves the given number of loads at once.
func DefaultPolicy(loadTime time.Duration, concurrentLoads int) Policy {
	return Policy{
		LoadTime:        loadTime,
		ConcurrentLoads: max(1, concurrentLoads),
		Grace:           time.Second,
		Drain:           15 * time.Second,
		StragglerAfter:  20 * time.Second,
		StragglerPause:  5 * time.Minute,
		StuckLoads:      3,
		Silent:          ReturnModel{Chance: 0.6, Mean: 15 * time.Second},
		Dark:            ReturnModel{Chance: 0.8, Mean: 2 * time.Minute},
		DarkShare:       0.5,
		RepairTime:      30 * time.Minute,
		LoadWaste:       0.02,
	}
}

// Kind tells what a step does.
type Kind string

// The kinds of steps.
const (
	// KindForm claims spares for a group that has no members.
	KindForm Kind = "Form"
	// KindLoad orders hosts to load what they are claimed for.
	KindLoad Kind = "Load"
	// KindReload lets members that are back load in place.
	KindReload Kind = "Reload"
	// KindOpen lets a group serve whose members are all ready.
	KindOpen Kind = "Open"
	// KindMarkBroken closes a group.
	KindMarkBroken Kind = "MarkBroken"
	// KindWait does nothing until a member returns or a time has come.
	KindWait Kind = "Wait"
	// KindPrepare claims spares that load beside the wait for a member.
	KindPrepare Kind = "Prepare"
	// KindReplace puts loaded spares in place of missing members.
	KindReplace Kind = "Replace"
	// KindJoin takes the hosts of another broken group.
	KindJoin Kind = "Join"
	// KindGiveUp stops a group of lower worth for its hosts.
	KindGiveUp Kind = "GiveUp"
	// KindRelease frees hosts that a group no longer needs.
	KindRelease Kind = "Release"
	// KindUnload orders free hosts to drop what they hold.
	KindUnload Kind = "Unload"
)

// HostClaim is a claim to be written to a host row.
type HostClaim struct {
	Host  string
	Claim Claim
}

// HostOrder is an order to one host.
type HostOrder struct {
	Host  string
	Order endpoint.Order
}

// Step is one decision about a group. Placements, claims and releases of a
// step are committed in one transaction; orders go out after it.
type Step struct {
	Kind  Kind
	Group string
	// Placements are written; the step's own group comes first.
	Placements []*object.Placement
	// DeletePlacement is true where the group's placement is to be deleted.
	DeletePlacement bool
	Claims          []HostClaim
	Releases        []string
	Orders          []HostOrder
	// Until is when a wait ends by itself; zero means never.
	Until   time.Time
	Reason  string
	Message string
}
