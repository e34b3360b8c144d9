// Package formation decides how many replica groups of which model stand on
// which hosts of a managed deployment, and gives hosts the orders that bring
// this about. It answers the load in which members are lost every few seconds:
// groups are formed again from survivors and from spares that hold the
// weights, without waiting for the weight store.
//
// Plan is a pure function of what the hosts report, what was ordered and the
// time. It is level-triggered: nothing but the reports is remembered for
// longer than an order takes, so that a new leader goes on where the former
// one ended.
package formation

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Operation is what an order asks of a host.
type Operation int

// Operations.
const (
	// OpJoin makes the host a member of a group, in place of any other one.
	OpJoin Operation = iota
	// OpOpen makes a ready head serve.
	OpOpen
	// OpClose lets a head finish its work and then stop serving.
	OpClose
	// OpLeave ends a membership at once.
	OpLeave
	// OpStage loads a model's weights onto the host, beside other work.
	OpStage
)

// String returns the name that logs use.
func (o Operation) String() string {
	return [...]string{"join", "open", "close", "leave", "stage"}[o]
}

// Order is one order to one host. Join, open, close and leave name a group and
// its epoch and have no effect on any other.
type Order struct {
	Operation Operation
	HostID    string
	Group     string
	Epoch     int64
	Model     string
	// Members are the host IDs of a join, the head first.
	Members []string
	// Reason is for logs.
	Reason string
}

// ErrOrderRefused reports an order that does not fit the host's state. It was
// not carried out.
var ErrOrderRefused = errors.New("order refused")

// Orderer reaches hosts. Implementations are safe for concurrent use.
type Orderer interface {
	// Order returns nil where the order has begun or its state already holds,
	// and ErrOrderRefused, wrapped, where the host refuses it. After any other
	// error the order may be carried out, even seconds later.
	Order(ctx context.Context, address string, o Order) error
	// Probe asks the host for its load and returns how many times slower than
	// usual it works, 1 for a healthy host.
	Probe(ctx context.Context, address, hostID string) (float64, error)
}

// groupName names a group after its model, so that a leader that did not form
// it knows what it serves.
func groupName(model string, epoch int64) string {
	return model + "." + strconv.FormatInt(epoch, 10)
}

// groupModel returns the model of a group that groupName named, or nil.
func groupModel(engine *fleet.Engine, group string) *fleet.Model {
	if at := strings.LastIndexByte(group, '.'); at > 0 {
		return engine.Model(group[:at])
	}
	return nil
}

// holds reports whether the host can start the model without the weight store.
func holds(h *fleet.Host, model string) bool {
	return h.LoadedModel == model || slices.Contains(h.StagedModels, model)
}
