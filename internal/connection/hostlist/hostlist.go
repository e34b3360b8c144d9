// Package hostlist reads the platform's list of endpoint hosts and entry nodes,
// which may lag: GET /hosts -> 200 List. Nodes call Client.List periodically; it
// blocks until the answer.
//
// An answer may carry an ETag of the hosts. A request with this tag in
// If-None-Match is answered with 304 while the hosts are the same. The header
// As-Of of either answer is the time of the list. A service that supports neither
// header sends the whole list each time.
package hostlist

import "time"

// State is a host's state in the list.
type State string

// Host states. A failed host is removed from the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// HeaderAsOf carries List.AsOf, in the format time.RFC3339Nano.
const HeaderAsOf = "As-Of"

// Role is what runs on a host.
type Role string

// Roles of hosts in the list.
const (
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleNode    Role = "node"
)

// Host is one entry of the list.
type Host struct {
	Name string `json:"name"`
	// Address is host:port of the endpoint, or of a node's peer listener.
	Address       string `json:"address"`
	Role          Role   `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	FabricDomain  string `json:"fabricDomain,omitempty"`
	State         State  `json:"state"`
	// BootID changes with every start of the host's process. It is empty if the
	// platform does not tell; a restart at the same address is not noticed then.
	BootID string `json:"bootID,omitempty"`
}

// List is the platform's answer. It may lag behind the actual state.
type List struct {
	Hosts []Host `json:"hosts"`
	// AsOf is the time at which the platform had these hosts.
	AsOf time.Time `json:"asOf"`
}
