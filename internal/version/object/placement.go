package object

import "time"

// Phase is the state of a replica group's placement.
type Phase string

// The phases of a placement.
const (
	// PhaseForming: the group has no complete set of members.
	PhaseForming Phase = "Forming"
	// PhaseLoading: members are claimed and load the model.
	PhaseLoading Phase = "Loading"
	// PhaseServing: every member reported ready at this generation.
	PhaseServing Phase = "Serving"
	// PhaseBroken: the group does not serve. Either a member is missing, and the
	// group waits for it or for a replacement, or the group is being stopped or
	// changed.
	PhaseBroken Phase = "Broken"
)

// Placement binds a replica group to hosts. Controllers write placements to
// the same log as the configuration, so all nodes apply both in one order.
type Placement struct {
	Group string `json:"group"`
	// Generation increases with every change of members, model or version.
	Generation int64 `json:"generation"`
	// Members are host names; the first is the leader, which receives requests.
	Members       []string `json:"members"`
	FailureDomain string   `json:"failureDomain"`
	FabricDomain  string   `json:"fabricDomain"`
	Model         string   `json:"model"`
	ModelVersion  string   `json:"modelVersion"`
	Phase         Phase    `json:"phase"`
	// Epoch is the fencing token of the controller that wrote the placement.
	Epoch   int64  `json:"epoch"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// Changed is the time of the last change of the placement.
	Changed time.Time `json:"changed"`
}

// Change is one entry of a log record: an object or a placement that was
// written or deleted. Exactly one of Object, Placement, Deleted and
// DeletedPlacement is set.
type Change struct {
	Object           *Object    `json:"object,omitempty"`
	Placement        *Placement `json:"placement,omitempty"`
	Deleted          *Key       `json:"deleted,omitempty"`
	DeletedPlacement string     `json:"deletedPlacement,omitempty"`
	// ResourceVersion, for a proposed deletion of an object, is the version
	// that must still be current; 0 deletes any version.
	ResourceVersion int64 `json:"resourceVersion,omitempty"`
}

// Record is one accepted revision of the configuration log.
type Record struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Changes  []Change  `json:"changes"`
}
