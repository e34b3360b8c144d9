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

// maxStepsPerReconcile limits the steps committed for one group in one
// reconciliation.
const maxStepsPerReconcile = 8

// Controller reconciles the replica groups of one failure domain. Explain is safe
// for concurrent use; Run must be called once.
type Controller struct {
	failureDomain string
	role          string // name of the leased role
	options       Options
	prober        *health.Prober
	recorder      *decisionRecorder
	scope         tally.Scope
	failedSteps   tally.Counter

	// Only the goroutine of Run uses the fields below.
	detector   *placement.StragglerDetector
	rows       rows
	epoch      int64
	ownedSince time.Time
}

// New returns a controller of the failure domain. It does nothing until Run.
func New(failureDomain string, options Options) *Controller {
	scope := options.Scope.Tagged(map[string]string{"failure_domain": failureDomain})
	return &Controller{
		failureDomain: failureDomain,
		role:          RoleName(failureDomain),
		options:       options,
		prober:        health.NewProber(options.Health, options.Probe, scope.SubScope("controller")),
		recorder:      newDecisionRecorder(),
		scope:         scope,
		failedSteps:   scope.Counter("group_steps_failed"),
		detector:      placement.NewStragglerDetector(),
	}
}

// Run acquires the role when it is this node's turn and reconciles the groups
// while this node owns the role. It blocks until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.options.ReconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if o, ok := c.acquire(ctx); ok {
			c.runAsOwner(ctx, o, ticker)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// acquire returns the ownership of the role. It returns false while another node
// owns the role, before it is this node's turn to acquire it, and when acquiring
// it fails.
func (c *Controller) acquire(ctx context.Context) (lease.Ownership, bool) {
	now := time.Now()
	if o, ok := c.options.Leases.Owned(c.role, now); ok {
		return o, true
	}
	if !c.options.Leases.ShouldAcquire(c.role, now) {
		return lease.Ownership{}, false
	}
	o, ok, err := c.options.Leases.Acquire(ctx, c.role)
	if err != nil {
		c.recordFailure(c.role, err)
	}
	return o, ok && err == nil
}

// runAsOwner reconciles the groups until the ownership or ctx ends.
func (c *Controller) runAsOwner(ctx context.Context, o lease.Ownership, ticker *time.Ticker) {
	ctx, cancel := context.WithCancel(ctx)
	var probing sync.WaitGroup
	defer probing.Wait()
	defer cancel()
	c.startOwnership(o)
	changes := c.prober.Subscribe()
	defer changes.Close()
	probing.Go(func() { c.prober.Run(ctx) })
	for ctx.Err() == nil {
		held, ok := c.options.Leases.Owned(c.role, time.Now())
		if !ok || held.Epoch != c.epoch {
			return
		}
		c.prober.SetHosts(c.engineHosts())
		c.reconcileAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-changes.C:
			changes.Take()
		case <-c.options.View.Changed():
		}
	}
}

// startOwnership discards the rows read under an earlier ownership.
func (c *Controller) startOwnership(o lease.Ownership) {
	c.rows = rows{}
	if c.epoch != o.Epoch {
		c.epoch = o.Epoch
		c.ownedSince = time.Now()
	}
}

// reconcileAll plans the failure domain and reconciles every group that has a
// step.
func (c *Controller) reconcileAll(ctx context.Context) {
	if c.options.Hosts.LastRead().IsZero() {
		return
	}
	if !c.rows.loaded {
		if err := c.rows.load(ctx, c.options.Store); err != nil {
			c.recordFailure(c.role, err)
			return
		}
	}
	if len(c.rows.claims) > 0 && len(c.engineHosts()) == 0 {
		// A host list without any host of the failure domain is treated as a
		// fault of the list, not as the loss of every host.
		return
	}
	queue := newQueue()
	for _, step := range placement.Plan(c.planInput(c.epoch, time.Now())) {
		queue.add(step.Group)
	}
	for ctx.Err() == nil && c.rows.loaded {
		group, ok := queue.next()
		if !ok {
			return
		}
		c.reconcile(ctx, group)
	}
}

// reconcile plans and executes the steps of one group. It plans again after
// each committed step. It ends when a plan commits nothing, because its steps
// only wait or send orders to hosts, or when a step fails.
func (c *Controller) reconcile(ctx context.Context, group string) {
	for range maxStepsPerReconcile {
		replan := false
		for _, step := range placement.Plan(c.planInput(c.epoch, time.Now())) {
			if step.Group != group {
				continue
			}
			committed, err := c.execute(ctx, &step)
			if err != nil {
				c.recordFailure(group, err)
				return
			}
			if committed {
				replan = true
				break
			}
		}
		if !replan {
			return
		}
	}
}

// recordStep records a decision. Waits are neither counted nor logged.
func (c *Controller) recordStep(step *placement.Step) {
	c.recorder.add(step.Group, peer.Step{
		Time:    time.Now(),
		Node:    c.options.Node,
		Reason:  string(step.Kind) + ": " + step.Reason,
		Message: step.Message,
	})
	if step.Kind != placement.KindWait {
		c.scope.Tagged(map[string]string{"kind": string(step.Kind)}).Counter("group_steps").Inc(1)
		c.options.Events.Log(eventlog.GroupStep, eventlog.Fields{"group": step.Group, "step": step.Kind, "reason": step.Reason, "message": step.Message})
	}
}

// recordFailure counts, logs and records an error. subject is the name of a
// group, or of the role where the error concerns all groups.
func (c *Controller) recordFailure(subject string, err error) {
	c.failedSteps.Inc(1)
	c.options.Events.Log(eventlog.GroupStepFailed, eventlog.Fields{"group": subject, "error": err.Error()})
	c.recorder.add(subject, peer.Step{Time: time.Now(), Node: c.options.Node, Reason: "StepFailed", Message: err.Error()})
}

// Explain returns the decisions recorded about a group, the oldest first.
func (c *Controller) Explain(group string) []peer.Step { return c.recorder.get(group) }
