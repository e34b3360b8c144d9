// Package groupcontrol runs the controllers of replica groups, one for each
// failure domain. A controller works only under its ownership of the duty
// groups/<failure domain>; every commit asserts that ownership and the host
// rows that it read, so that no host can belong to two groups. It is level
// triggered: each sync plans anew from what is read.
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

// dutyPrefix precedes the failure domain in the name of a duty.
const dutyPrefix = "groups/"

// Duty returns the name of the controller duty of a failure domain.
func Duty(failureDomain string) string { return dutyPrefix + failureDomain }

// Leases grants controller duties. *lease.Keeper implements it.
type Leases interface {
	Owned(duty string, now time.Time) (lease.Ownership, bool)
	Acquire(ctx context.Context, duty string) (lease.Ownership, bool, error)
	Prefers(duty string, now time.Time) bool
}

// Hosts is the platform's list as last read. *roster.Roster implements it.
type Hosts interface {
	Hosts() map[string]hostlist.Host
	LastRead() time.Time
}

// Orders reaches engines. *endpoint.OrderClient implements it.
type Orders interface {
	State(ctx context.Context, address string) (endpoint.State, error)
	Send(ctx context.Context, address string, order endpoint.Order) (endpoint.State, error)
}

// Options are the parts that a controller works with.
type Options struct {
	// Node names this node as author of its commits.
	Node   string
	Store  table.Store
	Log    configlog.Log
	View   configlog.View
	Leases Leases
	Hosts  Hosts
	Orders Orders
	// Probe reads the state of a host for the controller's own prober.
	Probe  health.ProbeFunc
	Health health.Options
	Policy placement.Policy
	// Period is the time between two looks at every group.
	Period time.Duration
	// OrderTimeout bounds one order. A new owner waits it out before its first
	// order to a host that does not check fencing.
	OrderTimeout time.Duration
	Events       *eventlog.Logger
	Scope        tally.Scope
}
