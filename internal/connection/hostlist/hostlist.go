// Package hostlist reads the platform's lagging list of endpoint hosts and
// entry nodes: GET /hosts -> 200 List.
//
// An answer may carry an ETag of the hosts. A read that names it in
// If-None-Match is answered with 304 while the hosts are the same, and in both
// cases the header As-Of tells the list's time. A service that knows neither
// header sends the whole list each time.
package hostlist

import "time"

// State is a host's state in the list.
type State string

// Host states. A dead host is dropped from the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// HeaderAsOf carries List.AsOf, in the format time.RFC3339Nano.
const HeaderAsOf = "As-Of"

// Role tells what runs on a host.
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
}

// List is the platform's answer. It may lag behind the truth.
type List struct {
	Hosts []Host    `json:"hosts"`
	AsOf  time.Time `json:"asOf"`
}
