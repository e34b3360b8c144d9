// Package placement plans the replica groups of one failure domain. Plan is a
// pure function of the rows and observations that a controller has read and of
// the time; it returns typed steps, each with a reason and a message that
// explains the decision. The package performs no I/O; the controllers of
// internal/version/groupcontrol call it and carry out the steps.
//
// A group with a missing member is repaired by loading a spare host while the
// group waits for the member: the spare is claimed under the next generation and
// the placement keeps its members. Whichever is ready first is used: if the
// member returns, the spare is released; if the spare has loaded, it takes the
// member's position.
package placement

import (
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// Claim is the value of a host row: the group to which the host is assigned. A
// claim under the generation after the placement's belongs to a replacement that
// is loading.
type Claim struct {
	Group      string `json:"group"`
	Generation int64  `json:"generation"`
	// Position is the index of the host among the members. The group leader has
	// position 0.
	Position int `json:"position"`
}

// Host is the last observed state of one engine host of the controller's failure
// domain.
type Host struct {
	Name string
	// Address is host:port of the engine.
	Address      string
	FabricDomain string
	// Listed is true while the platform's host list contains the host.
	Listed bool
	// Leaving is true if the platform's host list shows the host as leaving.
	Leaving bool
	// Drain is true if an operator has declared that the host is drained.
	Drain bool
	// Observed is true once the host has answered a probe.
	Observed bool
	// State is the last state read, which may be outdated while probes fail.
	State endpoint.State
	// FailingSince is the time of the first failed probe since the last successful
	// one; zero if the last probe succeeded.
	FailingSince time.Time
	// EngineDown is true if the host itself refused or cut the last probe, which
	// means that the engine process is not running.
	EngineDown bool
	// SlowSince is when the host became much slower than its peers; zero if it
	// is not.
	SlowSince time.Time
	// Claim is the zero value if no group claims the host.
	Claim Claim
}

// Group is one declared replica group with its placement. Spec is nil if the
// group was deleted but its placement remains.
type Group struct {
	Name      string
	Spec      *object.ReplicaGroupSpec
	Placement *object.Placement
}

// Input is the complete input of Plan.
type Input struct {
	FailureDomain string
	Groups        []Group
	Hosts         []Host
	Policy        Policy
	// Epoch is the fencing token of the controller.
	Epoch int64
	Now   time.Time
}

// ReturnModel describes how hosts with one symptom return: with the given
// probability after an exponentially distributed time of the given mean,
// otherwise never.
type ReturnModel struct {
	// Probability is the probability, 0 to 1, that the host returns at all.
	Probability float64
	Mean        time.Duration
}

// Policy holds the parameters of a plan.
type Policy struct {
	// LoadTime is the expected time to load one group's weights.
	LoadTime time.Duration
	// ConcurrentLoads is the number of groups that may load from the weight
	// store at the same time.
	ConcurrentLoads int
	// SilenceGracePeriod is how long a member may be silent before its group
	// is closed and repaired.
	SilenceGracePeriod time.Duration
	// DrainTimeout is how long the streams of a group or host that is taken out of
	// service on purpose may continue.
	DrainTimeout time.Duration
	// StragglerMinDuration is how long a member must be slow to count as a
	// straggler.
	StragglerMinDuration time.Duration
	// StragglerCooldown is how long a placement must be unchanged before a
	// straggler is replaced. Without it, a group leader that is slow under
	// load would use up one spare after another.
	StragglerCooldown time.Duration
	// LoadTimeoutFactor times LoadTime is the time after which a member that
	// is not ready counts as lost.
	LoadTimeoutFactor int
	// SilentReturn models hosts that stop answering alone.
	SilentReturn ReturnModel
	// DomainOutageReturn models hosts that stop answering together with at
	// least DomainOutageShare, 0 to 1, of their fabric domain.
	DomainOutageReturn ReturnModel
	DomainOutageShare  float64
	// RepairTime is how long a host stays away if it does not return without a
	// repair.
	RepairTime time.Duration
	// WastedLoadCostShare is the cost of a load that turns out to be needless,
	// as a share of the load time, when no other group waits for the store.
	WastedLoadCostShare float64
}

// DefaultPolicy returns the policy of a weight store that loads a group in
// loadTime and serves the given number of loads at once.
func DefaultPolicy(loadTime time.Duration, concurrentLoads int) Policy {
	return Policy{
		LoadTime:             loadTime,
		ConcurrentLoads:      max(1, concurrentLoads),
		SilenceGracePeriod:   time.Second,
		DrainTimeout:         15 * time.Second,
		StragglerMinDuration: 20 * time.Second,
		StragglerCooldown:    5 * time.Minute,
		LoadTimeoutFactor:    3,
		SilentReturn:         ReturnModel{Probability: 0.6, Mean: 15 * time.Second},
		DomainOutageReturn:   ReturnModel{Probability: 0.8, Mean: 2 * time.Minute},
		DomainOutageShare:    0.5,
		RepairTime:           30 * time.Minute,
		WastedLoadCostShare:  0.02,
	}
}

// Kind is the type of a step.
type Kind string

// The kinds of steps.
const (
	// KindForm claims spares for a group that has no members.
	KindForm Kind = "Form"
	// KindLoad sends load orders to hosts for the placement that claims them.
	KindLoad Kind = "Load"
	// KindReload lets members that have returned load again.
	KindReload Kind = "Reload"
	// KindOpen lets a group whose members are all ready serve.
	KindOpen Kind = "Open"
	// KindMarkBroken closes a group.
	KindMarkBroken Kind = "MarkBroken"
	// KindWait does nothing until a member returns or Step.Until has passed.
	KindWait Kind = "Wait"
	// KindPrepare claims spares that load while a group waits for a member or
	// still serves.
	KindPrepare Kind = "Prepare"
	// KindReplace changes the members to the loaded spares, or the model or
	// version on the same members.
	KindReplace Kind = "Replace"
	// KindJoin takes over the hosts of another broken group.
	KindJoin Kind = "Join"
	// KindGiveUp closes a group of lower worth so that another group gets its
	// hosts.
	KindGiveUp Kind = "GiveUp"
	// KindRelease frees hosts that a group no longer needs.
	KindRelease Kind = "Release"
	// KindUnload orders free hosts to unload the group that they still have.
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
// step are committed in one transaction; orders are sent afterwards.
type Step struct {
	Kind  Kind
	Group string
	// Placements are the placements to be written, that of Group first.
	Placements []*object.Placement
	// DeletePlacement is true if the group's placement is to be deleted.
	DeletePlacement bool
	Claims          []HostClaim
	// Releases are the hosts whose claims are removed.
	Releases []string
	Orders   []HostOrder
	// Until is when a wait ends even if nothing changes; zero means never.
	Until   time.Time
	Reason  string
	Message string
}
