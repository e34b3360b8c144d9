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

// maxConcurrentOrders bounds the orders of one step that are under way.
const maxConcurrentOrders = 16

// errNotOwned ends a step of a controller whose ownership ended meanwhile.
var errNotOwned = errors.New("the controller duty is no longer held")

// execute carries out one step. committed is true where rows were changed, so
// that the plan must be made again.
func (c *Controller) execute(ctx context.Context, step *placement.Step) (committed bool, err error) {
	switch step.Kind {
	case placement.KindWait:
		c.record(step)
		return false, nil
	case placement.KindLoad, placement.KindUnload:
		return false, c.sendOrders(ctx, step)
	case placement.KindOpen:
		if err := c.readBack(ctx, step.Placements[0]); err != nil {
			return false, err
		}
	}
	if err := c.commit(ctx, step); err != nil {
		return false, err
	}
	c.record(step)
	return true, nil
}

// commit writes the step's placements and host rows in one transaction that
// asserts the ownership. After any error the rows are read again.
func (c *Controller) commit(ctx context.Context, step *placement.Step) error {
	o, ok := c.options.Leases.Owned(c.duty, time.Now())
	if !ok || o.Epoch != c.epoch {
		return errNotOwned
	}
	err := c.write(ctx, step, o)
	if err == nil {
		err = c.rows.committed(ctx, c.options.Store, step)
	}
	if err != nil {
		c.rows.loaded = false
		return fmt.Errorf("%s of group %s: %w", step.Kind, step.Group, err)
	}
	return nil
}

func (c *Controller) write(ctx context.Context, step *placement.Step, o lease.Ownership) error {
	checks := []table.Check{o.Assertion}
	writes := c.rows.writes(step)
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
	_, err := c.options.Log.Propose(ctx, proposal)
	return err
}

// readBack reads every member again and fails unless each is ready for the
// placement.
func (c *Controller) readBack(ctx context.Context, p *object.Placement) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	hosts := c.options.Hosts.Hosts()
	errs := make([]error, len(p.Members))
	c.concurrently(len(p.Members), func(i int) {
		sent := time.Now()
		state, err := c.options.Orders.State(ctx, hosts[p.Members[i]].Address)
		seen := health.Observation{State: state, Seen: sent, Err: err}
		if why := health.MemberFault(p, p.Members[i], seen, c.options.OrderTimeout, time.Now()); why != "" {
			errs[i] = fmt.Errorf("group %s stays closed: %s", p.Group, why)
		}
	})
	return errors.Join(errs...)
}

// sendOrders sends the step's orders. Hosts that do not check fencing get none
// until orders of the former owner have timed out.
func (c *Controller) sendOrders(ctx context.Context, step *placement.Step) error {
	view := c.options.View.Current()
	settled := c.owned.Add(c.options.OrderTimeout)
	orders := slices.DeleteFunc(slices.Clone(step.Orders), func(o placement.HostOrder) bool {
		return !view.Host(o.Host).ChecksFencing && time.Now().Before(settled)
	})
	if len(orders) == 0 {
		return nil
	}
	errs := make([]error, len(orders))
	sent := make([]bool, len(orders))
	c.concurrently(len(orders), func(i int) { sent[i], errs[i] = c.sendOrder(ctx, orders[i]) })
	if slices.Contains(sent, true) {
		c.record(step)
	}
	return errors.Join(errs...)
}

// sendOrder reads the state back before the order, so that one that was
// carried out is not sent again; it reports whether it was sent. The deadline is set before the ownership is
// checked: a process that is paused in between finds its order timed out.
func (c *Controller) sendOrder(ctx context.Context, o placement.HostOrder) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	host, ok := c.options.Hosts.Hosts()[o.Host]
	if !ok {
		return false, fmt.Errorf("order to host %s: it is gone from the host list", o.Host)
	}
	before, err := c.options.Orders.State(ctx, host.Address)
	if err != nil {
		return false, fmt.Errorf("order to host %s: read state: %w", o.Host, err)
	}
	if carriedOut(before, o.Order) {
		return false, nil
	}
	held, ok := c.options.Leases.Owned(c.duty, time.Now())
	if !ok || held.Epoch != o.Order.Epoch {
		return false, errNotOwned
	}
	_, err = c.options.Orders.Send(ctx, host.Address, o.Order)
	var stale *endpoint.StaleOrderError
	switch {
	case errors.As(err, &stale):
		c.options.Events.Log(eventlog.OrderStale, eventlog.Fields{"host": o.Host, "epoch": o.Order.Epoch, "highest": stale.Highest})
	case err != nil:
		c.options.Events.Log(eventlog.OrderFailed, eventlog.Fields{"host": o.Host, "error": err.Error()})
	}
	return true, err
}

// carriedOut reports whether the state is what the order asks for.
func carriedOut(s endpoint.State, o endpoint.Order) bool {
	if o.Action == endpoint.ActionUnload {
		return s.Group != o.Group || s.Generation != o.Generation
	}
	return s.State != endpoint.EngineIdle &&
		s.Group == o.Group && s.Generation == o.Generation &&
		s.Model == o.Model && s.ModelVersion == o.ModelVersion &&
		slices.Equal(s.Members, o.Members) && slices.Equal(s.Adapters, o.Adapters)
}

// concurrently calls f for 0 to n-1 and returns after the last has ended.
func (c *Controller) concurrently(n int, f func(i int)) {
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
