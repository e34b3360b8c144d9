package groupcontrol

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/placement"
)

// maxConcurrentOrders limits how many hosts are called concurrently for one
// step.
const maxConcurrentOrders = 16

// errNotOwner ends a step when the controller has lost its ownership. Its text is
// shown to operators by explain.
var errNotOwner = errors.New("the controller duty is no longer held")

// execute carries out one step. committed is true if rows were changed, which
// requires a new plan.
func (c *Controller) execute(ctx context.Context, step *placement.Step) (committed bool, err error) {
	switch step.Kind {
	case placement.KindWait:
		c.recordStep(step)
		return false, nil
	case placement.KindLoad, placement.KindUnload:
		return false, c.sendOrders(ctx, step)
	case placement.KindOpen:
		if err := c.verifyMembersReady(ctx, step.Placements[0]); err != nil {
			return false, err
		}
	}
	if err := c.commit(ctx, step); err != nil {
		return false, err
	}
	c.recordStep(step)
	return true, nil
}

// commit writes the step's placements and host rows in one transaction that
// asserts the ownership. After a failed read or write of the table service all
// rows are loaded again.
func (c *Controller) commit(ctx context.Context, step *placement.Step) error {
	o, ok := c.options.Leases.Owned(c.role, time.Now())
	if !ok || o.Epoch != c.epoch {
		return errNotOwner
	}
	err := c.write(ctx, step, o)
	if err == nil {
		err = c.rows.applyStep(ctx, c.options.Store, step)
	}
	if err != nil {
		c.rows.loaded = false
		return fmt.Errorf("%s of group %s: %w", step.Kind, step.Group, err)
	}
	return nil
}

// write commits placements through the configuration log, and a step without
// placements directly to the table service.
func (c *Controller) write(ctx context.Context, step *placement.Step, o lease.Ownership) error {
	checks := []table.Check{o.FencingCheck}
	writes := c.rows.hostWrites(step)
	if len(step.Placements) == 0 && !step.DeletePlacement {
		return c.options.Store.Commit(ctx, table.Txn{Nonce: rand.Text(), Checks: checks, Writes: writes})
	}
	proposal := configlog.Proposal{Author: "controller " + c.options.Node, Checks: checks, Writes: writes}
	for _, p := range step.Placements {
		proposal.Changes = append(proposal.Changes, object.Change{Placement: p})
	}
	if step.DeletePlacement {
		proposal.Changes = append(proposal.Changes, object.Change{DeletedPlacement: step.Group})
	}
	_, err := c.options.ConfigLog.Propose(ctx, proposal)
	return err
}

// verifyMembersReady reads the state of every member again and fails unless
// each is ready for the placement.
func (c *Controller) verifyMembersReady(ctx context.Context, p *object.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	hosts := c.options.Hosts.Hosts()
	errs := make([]error, len(p.Members))
	c.forEachConcurrently(len(p.Members), func(i int) {
		sent := time.Now()
		state, err := c.options.Orders.State(ctx, hosts[p.Members[i]].Address)
		seen := health.Observation{State: state, SeenAt: sent, Err: err}
		if reason := health.MemberFault(p, p.Members[i], seen, c.options.OrderTimeout, time.Now()); reason != "" {
			errs[i] = fmt.Errorf("group %s stays closed: %s", p.Group, reason)
		}
	})
	return errors.Join(errs...)
}

// sendOrders sends the step's orders. Hosts that do not check fencing tokens
// get no order until all orders of the former owner have timed out.
func (c *Controller) sendOrders(ctx context.Context, step *placement.Step) error {
	view := c.options.View.Current()
	formerOrdersExpire := c.ownedSince.Add(c.options.OrderTimeout)
	orders := slices.DeleteFunc(slices.Clone(step.Orders), func(o placement.HostOrder) bool {
		return !view.Host(o.Host).ChecksFencing && time.Now().Before(formerOrdersExpire)
	})
	if len(orders) == 0 {
		return nil
	}
	errs := make([]error, len(orders))
	sent := make([]bool, len(orders))
	c.forEachConcurrently(len(orders), func(i int) { sent[i], errs[i] = c.sendOrder(ctx, orders[i]) })
	if slices.Contains(sent, true) {
		c.recordStep(step)
	}
	return errors.Join(errs...)
}

// sendOrder sends one order and reports whether it was sent. It reads the
// host's state first and skips an order that is already carried out. The
// deadline is set before the ownership is checked, so that the order of a
// process that is paused in between has timed out.
func (c *Controller) sendOrder(ctx context.Context, o placement.HostOrder) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	host, ok := c.options.Hosts.Hosts()[o.Host]
	if !ok {
		return false, fmt.Errorf("order to host %s: it is gone from the host list", o.Host)
	}
	state, err := c.options.Orders.State(ctx, host.Address)
	if err != nil {
		return false, fmt.Errorf("order to host %s: read state: %w", o.Host, err)
	}
	if carriedOut(state, o.Order) {
		return false, nil
	}
	held, ok := c.options.Leases.Owned(c.role, time.Now())
	if !ok || held.Epoch != o.Order.Epoch {
		return false, errNotOwner
	}
	_, err = c.options.Orders.Send(ctx, host.Address, o.Order)
	var stale *endpoint.StaleOrderError
	switch {
	case errors.As(err, &stale):
		c.options.Events.Log(eventlog.OrderStale, eventlog.Fields{"host": o.Host, "epoch": o.Order.Epoch, "highest": stale.HighestEpoch})
	case err != nil:
		c.options.Events.Log(eventlog.OrderFailed, eventlog.Fields{"host": o.Host, "error": err.Error()})
	}
	return true, err
}

// carriedOut reports whether an engine in state s has carried out order o.
func carriedOut(s endpoint.State, o endpoint.Order) bool {
	if o.Action == endpoint.ActionUnload {
		return s.Group != o.Group || s.Generation != o.Generation
	}
	return s.State != endpoint.EngineIdle &&
		s.Group == o.Group && s.Generation == o.Generation &&
		s.Model == o.Model && s.ModelVersion == o.ModelVersion &&
		slices.Equal(s.Members, o.Members) && slices.Equal(s.Adapters, o.Adapters)
}

// forEachConcurrently calls f for 0 to n-1, at most maxConcurrentOrders at a
// time, and returns after all calls have ended.
func (c *Controller) forEachConcurrently(n int, f func(i int)) {
	slots := make(chan struct{}, maxConcurrentOrders)
	var running sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	running.Wait()
}
