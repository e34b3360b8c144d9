package groupcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/version/placement"
)

// maxSteps bounds the steps of one key that follow each other in one sync.
const maxSteps = 8

// Controller keeps the replica groups of one failure domain. Explain is safe
// for concurrent use; Run must be called once.
type Controller struct {
	failureDomain string
	duty          string
	options       Options
	prober        *health.Prober
	recorder      *recorder
	steps         tally.Scope
	failures      tally.Counter

	// The fields below belong to the goroutine of Run.
	detector *placement.Detector
	rows     rows
	epoch    int64
	owned    time.Time
}

// New returns a controller of the failure domain that does nothing until Run.
func New(failureDomain string, options Options) *Controller {
	scope := options.Scope.Tagged(map[string]string{"failure_domain": failureDomain})
	return &Controller{
		failureDomain: failureDomain,
		duty:          Duty(failureDomain),
		options:       options,
		prober:        health.NewProber(options.Health, options.Probe, scope.SubScope("controller")),
		recorder:      newRecorder(),
		steps:         scope,
		failures:      scope.Counter("group_steps_failed"),
		detector:      placement.NewDetector(),
	}
}

// Run acquires the duty when this node is to hold it, and syncs the groups
// while it does. It ends with ctx.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.options.Period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if o, ok := c.acquire(ctx); ok {
			c.own(ctx, o, ticker)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (c *Controller) acquire(ctx context.Context) (lease.Ownership, bool) {
	now := time.Now()
	if o, ok := c.options.Leases.Owned(c.duty, now); ok {
		return o, true
	}
	if !c.options.Leases.Prefers(c.duty, now) {
		return lease.Ownership{}, false
	}
	o, ok, err := c.options.Leases.Acquire(ctx, c.duty)
	if err != nil {
		c.fail(c.duty, err)
	}
	return o, ok && err == nil
}

// own syncs the groups until the ownership ends.
func (c *Controller) own(ctx context.Context, o lease.Ownership, ticker *time.Ticker) {
	ctx, cancel := context.WithCancel(ctx)
	var probing sync.WaitGroup
	defer probing.Wait()
	defer cancel()
	c.takeOver(o)
	changes := c.prober.Subscribe()
	defer changes.Close()
	probing.Go(func() { c.prober.Run(ctx) })
	for ctx.Err() == nil {
		held, ok := c.options.Leases.Owned(c.duty, time.Now())
		if !ok || held.Epoch != c.epoch {
			return
		}
		c.prober.SetHosts(c.engines())
		c.round(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changes.C:
			changes.Take()
		case <-c.options.View.Changed():
		}
	}
}

// takeOver forgets what was known under an earlier ownership.
func (c *Controller) takeOver(o lease.Ownership) {
	c.rows = rows{}
	if c.epoch != o.Epoch {
		c.epoch = o.Epoch
		c.owned = time.Now()
	}
}

// round plans the failure domain and syncs every group that has a step.
func (c *Controller) round(ctx context.Context) {
	if c.options.Hosts.LastRead().IsZero() {
		return
	}
	if !c.rows.loaded {
		if err := c.rows.load(ctx, c.options.Store); err != nil {
			c.fail(c.duty, err)
			return
		}
	}
	if len(c.rows.claims) > 0 && len(c.engines()) == 0 {
		// A list without any host of the failure domain is taken for a fault
		// of the list, not for the loss of every host.
		return
	}
	queue := newQueue()
	for _, step := range placement.Plan(c.input(c.epoch, time.Now())) {
		queue.add(step.Group)
	}
	for ctx.Err() == nil && c.rows.loaded {
		key, ok := queue.next()
		if !ok {
			return
		}
		c.sync(ctx, key)
	}
}

// sync plans anew and carries out the steps of one group, until one waits,
// fails or goes out to hosts.
func (c *Controller) sync(ctx context.Context, key string) {
	for range maxSteps {
		again := false
		for _, step := range placement.Plan(c.input(c.epoch, time.Now())) {
			if step.Group != key {
				continue
			}
			committed, err := c.execute(ctx, &step)
			if err != nil {
				c.fail(key, err)
				return
			}
			if committed {
				again = true
				break
			}
		}
		if !again {
			return
		}
	}
}

func (c *Controller) record(step *placement.Step) {
	c.recorder.add(step.Group, peer.Step{
		Time:    time.Now(),
		Node:    c.options.Node,
		Reason:  string(step.Kind) + ": " + step.Reason,
		Message: step.Message,
	})
	if step.Kind != placement.KindWait {
		c.steps.Tagged(map[string]string{"kind": string(step.Kind)}).Counter("group_steps").Inc(1)
		c.options.Events.Log(eventlog.GroupStep, eventlog.Fields{"group": step.Group, "step": step.Kind, "reason": step.Reason, "message": step.Message})
	}
}

func (c *Controller) fail(key string, err error) {
	c.failures.Inc(1)
	c.options.Events.Log(eventlog.GroupStepFailed, eventlog.Fields{"group": key, "error": err.Error()})
	c.recorder.add(key, peer.Step{Time: time.Now(), Node: c.options.Node, Reason: "StepFailed", Message: err.Error()})
}

// Explain returns the decisions recorded about a group, the oldest first.
func (c *Controller) Explain(group string) []peer.Step { return c.recorder.get(group) }
