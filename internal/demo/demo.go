// Package demo runs a small but complete fleet in one process: platform, engines,
// a plain service and entry nodes. It applies load, injects failures and checks
// every promise of the system. The demo command calls Run.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/standin/service"
	"currantladder.example/currantladder/internal/version/object"
)

// Timing of the demonstration. The delay before the first step starts with the
// load, that before each further step when the previous step has ended.
const (
	formTimeout           = 20 * time.Second
	delayBeforeCrash      = 1500 * time.Millisecond
	delayBeforeKill       = 1500 * time.Millisecond
	delayBeforeOutage     = 1 * time.Second
	outageDuration        = 1 * time.Second
	delayBeforeLeaving    = 1500 * time.Millisecond
	delayBeforeStop       = 1 * time.Second
	loadDurationAfterStop = 4500 * time.Millisecond
	progressInterval      = time.Second
	// serviceLosesEvery makes the service cut the connection of every n-th call
	// after the call ran.
	serviceLosesEvery = 7
)

// ErrBroken reports that a promise was broken or not exercised.
var ErrBroken = errors.New("not every promise was kept")

// demonstration runs the scenario and writes its progress to out.
type demonstration struct {
	out      io.Writer
	fleet    *fleet
	load     *loadGenerator
	promises *promises
	sampler  *sampler
	started  time.Time
}

// Run runs the demonstration and writes its report to out. It returns an error
// that wraps ErrBroken if a promise was not kept. It blocks until the
// demonstration has ended.
func Run(ctx context.Context, out io.Writer) error {
	f, err := newFleet()
	defer f.close()
	if err != nil {
		return err
	}
	d := &demonstration{out: out, fleet: f, load: newLoadGenerator(f), promises: newPromises()}
	d.sampler = newSampler(f, d.promises)
	if err := d.formGroups(ctx); err != nil {
		return err
	}
	elapsed, err := d.runUnderLoad(ctx)
	if err != nil {
		return err
	}
	results := d.load.finished()
	d.promises.checkResults(f, results, elapsed)
	d.promises.checkBookings(f)
	writeReport(out, results, d.sampler, d.promises, elapsed)
	return promiseError(d.promises)
}

// promiseError returns an error that wraps ErrBroken and names the promises that
// were not kept, or nil.
func promiseError(p *promises) error {
	var failed []string
	for _, checked := range p.all() {
		if !checked.kept() {
			failed = append(failed, checked.name)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrBroken, strings.Join(failed, "; "))
}

func (d *demonstration) logf(format string, args ...any) {
	elapsed := time.Duration(0)
	if !d.started.IsZero() {
		elapsed = time.Since(d.started)
	}
	fmt.Fprintf(d.out, "%6.1fs  %s\n", elapsed.Seconds(), fmt.Sprintf(format, args...))
}

func (d *demonstration) operatorClient() *operatorClient {
	return newOperatorClient(d.fleet.runningNodes()[0].node.Addresses().Operators)
}

// formGroups applies all objects and waits until the groups serve.
func (d *demonstration) formGroups(ctx context.Context) error {
	op := d.operatorClient()
	if err := retryUntil(ctx, formTimeout, func() error { return op.apply(ctx, declaredObjects()) }); err != nil {
		return fmt.Errorf("apply objects: %w", err)
	}
	for i := range groupCount {
		key := object.Key{Kind: object.KindReplicaGroup, Name: fmt.Sprintf("advice-%d", i+1)}
		for _, condition := range []object.ConditionType{object.ConditionInForce, object.ConditionServing} {
			took, err := op.waitForCondition(ctx, key, condition, formTimeout)
			if err != nil {
				return err
			}
			d.logf("%s is %s after %v", key, condition, took.Round(time.Millisecond))
		}
	}
	return d.waitForOpenGroups(ctx)
}

// waitForOpenGroups waits until the running nodes report at least groupCount open
// groups in total.
func (d *demonstration) waitForOpenGroups(ctx context.Context) error {
	return retryUntil(ctx, formTimeout, func() error {
		open := 0
		for _, n := range d.fleet.runningNodes() {
			open += len(n.node.OpenGroups())
		}
		if open < groupCount {
			return fmt.Errorf("%d of %d groups are open", open, groupCount)
		}
		return nil
	})
}

// retryUntil calls try until it succeeds, the timeout has passed or ctx ends, and
// returns its last error.
func retryUntil(ctx context.Context, timeout time.Duration, try func() error) error {
	const retryBackoff = 50 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(retryBackoff)
	}
}

// runUnderLoad runs the scenario under load and returns how long the load ran.
func (d *demonstration) runUnderLoad(ctx context.Context) (time.Duration, error) {
	ctx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	d.started = time.Now()
	d.fleet.service.SetFaults(service.Faults{LoseEvery: serviceLosesEvery})
	var observers sync.WaitGroup
	samplerCtx, endSampler := context.WithCancel(context.Background())
	defer endSampler()
	observers.Go(func() { d.sampler.run(samplerCtx) })
	observers.Go(func() { d.progress(samplerCtx) })
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		d.load.run(ctx)
	}()
	d.logf("load of %d ranks and %d accounts starts", len(rankNames), len(accounts()))
	err := d.runScenario(ctx)
	endLoad()
	<-loadDone
	elapsed := time.Since(d.started)
	endSampler()
	observers.Wait()
	return elapsed, err
}

// runScenario runs the failures and changes one after another.
func (d *demonstration) runScenario(ctx context.Context) error {
	time.Sleep(delayBeforeCrash)
	crashed := d.memberOf("advice-1", 2)
	d.logf("%s, a member of advice-1, crashes", crashed.name)
	d.fleet.crash(crashed)
	time.Sleep(delayBeforeKill)
	killed := d.fleet.runningNodes()[nodeCount-1]
	d.logf("%s is killed", killed.name)
	d.fleet.kill(killed)
	time.Sleep(delayBeforeOutage)
	d.logf("the table service is unavailable for %v", outageDuration)
	d.fleet.platform.SetFaults(platform.Faults{Outage: true})
	time.Sleep(outageDuration)
	d.fleet.platform.SetFaults(platform.Faults{})
	if err := d.changeConfiguration(ctx); err != nil {
		return err
	}
	time.Sleep(delayBeforeLeaving)
	leaving, markedAt := d.markLeaving("advice-2")
	time.Sleep(delayBeforeStop)
	stopped := d.fleet.runningNodes()[1]
	stopRequestedAt := time.Now()
	d.logf("%s is asked to stop", stopped.name)
	d.fleet.stopNode(stopped)
	d.logf("%s has stopped after %v", stopped.name, time.Since(stopRequestedAt).Round(time.Millisecond))
	time.Sleep(loadDurationAfterStop)
	d.promises.checkStop(stopped, stopRequestedAt, d.load.finished())
	d.promises.checkLeaving(leaving, markedAt, time.Now())
	return nil
}

// memberOf returns the engine of one member of a group's placement. If the
// member cannot be determined, it returns the engine with this index.
func (d *demonstration) memberOf(group string, index int) *engineHost {
	got, err := d.operatorClient().get(context.Background(), object.Key{Kind: object.KindReplicaGroup, Name: group})
	if err == nil && got.Status != nil && got.Status.Placement != nil && index < len(got.Status.Placement.Members) {
		for _, host := range d.fleet.engines {
			if host.name == got.Status.Placement.Members[index] {
				return host
			}
		}
	}
	return d.fleet.engines[index]
}

// markLeaving marks the leader of a group as leaving in the host list.
func (d *demonstration) markLeaving(group string) (*engineHost, time.Time) {
	host := d.memberOf(group, 0)
	for _, entry := range d.fleet.platform.Hosts().Hosts {
		if entry.Name == host.name {
			entry.State = hostlist.StateLeaving
			d.fleet.platform.ChangeHost(platform.HostChange{Host: &entry})
		}
	}
	d.logf("%s, the leader of %s, is leaving", host.name, group)
	return host, time.Now()
}

// changeConfiguration changes a rank and checks that the change is in force
// within inForceTimeout.
func (d *demonstration) changeConfiguration(ctx context.Context) error {
	changed := &object.Object{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: rankSpec(2, 40_000, 0.1, true)}
	op := d.operatorClient()
	if err := retryUntil(ctx, inForceTimeout, func() error { return op.apply(ctx, []*object.Object{changed}) }); err != nil {
		return fmt.Errorf("change rank batch: %w", err)
	}
	took, err := op.waitForCondition(ctx, changed.Key(), object.ConditionInForce, inForceTimeout)
	d.promises.configInForce.check(err == nil, "the change of rank batch is not in force: %v", err)
	d.logf("the change of rank batch is in force after %v", took.Round(time.Millisecond))
	return nil
}

// progress writes a line every progressInterval until ctx ends.
func (d *demonstration) progress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.logProgress()
		}
	}
}

func (d *demonstration) logProgress() {
	counts := make(map[outcome]int)
	for _, r := range d.load.finished() {
		counts[r.outcome]++
	}
	open := make(map[string]bool)
	for _, n := range d.fleet.runningNodes() {
		for _, group := range n.node.OpenGroups() {
			open[group.Group] = true
		}
	}
	d.logf("served %d, refused %d, unknown %d; groups open: %d of %d; nodes: %d", counts[outcomeServed], counts[outcomeRefused], counts[outcomeUnknown], len(open), groupCount, len(d.fleet.runningNodes()))
}
