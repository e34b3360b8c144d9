// Package groupcontrol runs the controllers of replica groups, one for each
// failure domain. Every node runs a Manager. A controller acts only while its
// node owns the role groups/<failure domain>. Every commit asserts that
// ownership and the versions of the host rows it was planned from, so that no
// host can belong to two groups. The controller is level triggered: each
// reconciliation plans from the current state. Run blocks until its context
// ends; Explain reads local memory only.
package groupcontrol

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/placement"
)

// rolePrefix precedes the failure domain in the name of a controller role.
const rolePrefix = "groups/"

// RoleName returns the name of the controller role of a failure domain, which
// is owned through a lease.
func RoleName(failureDomain string) string { return rolePrefix + failureDomain }

// Leases grants controller roles to this node. *lease.Keeper implements it.
type Leases interface {
	Owned(role string, now time.Time) (lease.Ownership, bool)
	Acquire(ctx context.Context, role string) (lease.Ownership, bool, error)
	ShouldAcquire(role string, now time.Time) bool
}

// Hosts is the platform's host list as last read. *roster.Roster implements it.
type Hosts interface {
	Hosts() map[string]hostlist.Host
	LastRead() time.Time
}

// Orders reads the state of engines and sends them orders. *endpoint.OrderClient
// implements it.
type Orders interface {
	State(ctx context.Context, address string) (endpoint.State, error)
	Send(ctx context.Context, address string, order endpoint.Order) (endpoint.State, error)
}

// Options configures a Manager and its controllers.
type Options struct {
	// Node is the name of this node, recorded as the author of its commits.
	Node      string
	Store     table.Store
	ConfigLog configlog.Log
	View      configlog.View
	Leases    Leases
	Hosts     Hosts
	Orders    Orders
	// Probe reads the state of a host for the controller's own prober.
	Probe  health.ProbeFunc
	Health health.Options
	Policy placement.Policy
	// ReconcileInterval is the time between two reconciliations of every group.
	ReconcileInterval time.Duration
	// OrderTimeout is how long one order may take. A new owner waits this long
	// before its first order to a host that does not check fencing tokens.
	OrderTimeout time.Duration
	Events       *eventlog.Logger
	Scope        tally.Scope
}
