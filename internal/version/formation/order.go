// Package formation decides how many replica groups of each model run on which
// hosts of a managed deployment, and sends the hosts the orders to form, close
// and repair those groups. Members may be lost every few seconds: groups are
// formed again from survivors and from spares that already have the weights,
// without waiting for the weight store.
//
// The gateway runs a Controller on every node; it acts only while its node
// leads. Planning does not block: orders and probes run in goroutines of their
// own.
//
// MakePlan is a pure function of the host reports, the recent orders and the
// time. It is level-triggered: beyond the reports, state is kept only for as
// long as an order takes, for a minute which groups were never opened, and which
// join was sent to each host last. A new leader continues from the reports,
// treats each group as one that may serve, and opens no group of another leader.
package formation

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Operation is the kind of an order.
type Operation int

// Operations.
const (
	// OpJoin makes the host a member of a group, in place of any other one.
	OpJoin Operation = iota
	// OpOpen makes a ready head serve.
	OpOpen
	// OpClose lets a head finish its work and then stop serving.
	OpClose
	// OpLeave ends a membership immediately.
	OpLeave
	// OpStage loads a model's weights onto the host while it does other work.
	OpStage
)

// String returns the name used in logs and metrics.
func (o Operation) String() string {
	return [...]string{"join", "open", "close", "leave", "stage"}[o]
}

// Order is a command to one host. Join, open, close and leave name a group and
// its epoch and have no effect on any other group or epoch.
type Order struct {
	Operation Operation
	HostID    string
	Group     string
	Epoch     int64
	Model     string
	// Members are the host IDs of the group in rank order, the head first and ""
	// where missing. They are set in a join and in a leave that ends a group at its
	// head.
	Members []string
	// Reason appears in logs only.
	Reason string
}

// ErrOrderRefused reports an order that does not fit the host's state and was
// not carried out.
var ErrOrderRefused = errors.New("order refused")

// ErrUnreachable reports a host that cannot be connected to, or at whose address another
// one answers. The kernel of a host whose process is suspended accepts connections.
var ErrUnreachable = errors.New("host is unreachable")

// Orderer sends orders and probes to hosts. Implementations are safe for
// concurrent use.
type Orderer interface {
	// Order returns nil if the host has begun the order or is already in the
	// ordered state, and a wrapped ErrOrderRefused if the host refuses it. After
	// any other error the order may still be carried out, even seconds later.
	Order(ctx context.Context, address string, o Order) error
	// Probe returns how many times slower than usual the host works: 1 for a
	// healthy host. Without a connection to the host it returns a wrapped ErrUnreachable.
	Probe(ctx context.Context, address, hostID string) (float64, error)
}

// groupName returns "MODEL.EPOCH". The name contains the model so that a leader
// that did not form the group can tell what it serves.
func groupName(model string, epoch int64) string {
	return model + "." + strconv.FormatInt(epoch, 10)
}

// groupModel returns the model of a group named by groupName. It returns nil
// for other names and for models that the engine does not have.
func groupModel(engine *fleet.Engine, group string) *fleet.Model {
	if at := strings.LastIndexByte(group, '.'); at > 0 {
		return engine.Model(group[:at])
	}
	return nil
}

// groupEpoch returns the epoch of a group named by groupName, or false for other names.
func groupEpoch(group string) (int64, bool) {
	epoch, err := strconv.ParseInt(group[strings.LastIndexByte(group, '.')+1:], 10, 64)
	return epoch, err == nil && epoch >= 0 && epoch <= MaxEpoch
}

// hasWeights reports whether the host can start the model without the weight
// store.
func hasWeights(h *fleet.Host, model string) bool {
	return h.LoadedModel == model || slices.Contains(h.StagedModels, model)
}
