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

// Steps of the demonstration, as times after the load has started.
const (
	formTimeout     = 20 * time.Second
	crashAfter      = 1500 * time.Millisecond
	killAfter       = 1500 * time.Millisecond
	outageAfter     = 1 * time.Second
	outageLength    = 1 * time.Second
	leaveAfter      = 1500 * time.Millisecond
	stopAfter       = 1 * time.Second
	loadAfterStop   = 4500 * time.Millisecond
	progressPeriod  = time.Second
	serviceLossRate = 7
)

// ErrBroken reports a promise that was broken or not exercised.
var ErrBroken = errors.New("not every promise was kept")

// director runs the script and writes progress.
type director struct {
	out      io.Writer
	fleet    *fleet
	load     *load
	promises *promises
	sampler  *sampler
	started  time.Time
}

// Run runs the demonstration, writes its report to out and returns ErrBroken,
// wrapped, where a promise was not kept.
func Run(ctx context.Context, out io.Writer) error {
	f, err := newFleet()
	defer f.close()
	if err != nil {
		return err
	}
	d := &director{out: out, fleet: f, load: newLoad(f), promises: newPromises()}
	d.sampler = newSampler(f, d.promises)
	if err := d.form(ctx); err != nil {
		return err
	}
	elapsed, err := d.perform(ctx)
	if err != nil {
		return err
	}
	results := d.load.finished()
	d.promises.checkResults(f, results, elapsed)
	d.promises.checkLedger(f)
	report(out, results, d.sampler, d.promises, elapsed)
	return verdict(d.promises)
}

func verdict(p *promises) error {
	var failed []string
	for _, one := range p.all() {
		if !one.kept() {
			failed = append(failed, one.name)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrBroken, strings.Join(failed, "; "))
}

func (d *director) say(format string, args ...any) {
	elapsed := time.Duration(0)
	if !d.started.IsZero() {
		elapsed = time.Since(d.started)
	}
	fmt.Fprintf(d.out, "%6.1fs  %s\n", elapsed.Seconds(), fmt.Sprintf(format, args...))
}

func (d *director) operator() *operator {
	return newOperator(d.fleet.live()[0].node.Addresses().Operators)
}

// form declares all objects and waits until the groups serve.
func (d *director) form(ctx context.Context) error {
	op := d.operator()
	if err := retryUntil(ctx, formTimeout, func() error { return op.apply(ctx, declared()) }); err != nil {
		return fmt.Errorf("apply objects: %w", err)
	}
	for i := range groupCount {
		key := object.Key{Kind: object.KindReplicaGroup, Name: fmt.Sprintf("advice-%d", i+1)}
		for _, condition := range []object.ConditionType{object.ConditionInForce, object.ConditionServing} {
			took, err := op.wait(ctx, key, condition, formTimeout)
			if err != nil {
				return err
			}
			d.say("%s is %s after %v", key, condition, took.Round(time.Millisecond))
		}
	}
	return d.awaitOpen(ctx)
}

// awaitOpen waits until some node serves each group.
func (d *director) awaitOpen(ctx context.Context) error {
	return retryUntil(ctx, formTimeout, func() error {
		open := 0
		for _, n := range d.fleet.live() {
			open += len(n.node.OpenGroups())
		}
		if open < groupCount {
			return fmt.Errorf("%d of %d groups are open", open, groupCount)
		}
		return nil
	})
}

func retryUntil(ctx context.Context, timeout time.Duration, try func() error) error {
	const pause = 50 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pause)
	}
}

// perform drives the load and the failures.
func (d *director) perform(ctx context.Context) (time.Duration, error) {
	ctx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	d.started = time.Now()
	d.fleet.service.SetFaults(service.Faults{LoseEvery: serviceLossRate})
	var duties sync.WaitGroup
	samplerCtx, endSampler := context.WithCancel(context.Background())
	defer endSampler()
	duties.Go(func() { d.sampler.run(samplerCtx) })
	duties.Go(func() { d.progress(samplerCtx) })
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		d.load.run(ctx)
	}()
	d.say("load of %d ranks and %d accounts starts", len(rankNames), len(accounts()))
	err := d.script(ctx)
	endLoad()
	<-loadDone
	elapsed := time.Since(d.started)
	endSampler()
	duties.Wait()
	return elapsed, err
}

// script runs the failures one after another.
func (d *director) script(ctx context.Context) error {
	time.Sleep(crashAfter)
	victim := d.memberOf("advice-1", 2)
	d.say("%s, a member of advice-1, dies", victim.name)
	d.fleet.crash(victim)
	time.Sleep(killAfter)
	killed := d.fleet.live()[nodeCount-1]
	d.say("%s is killed", killed.name)
	d.fleet.kill(killed)
	time.Sleep(outageAfter)
	d.say("the table service is out for %v", outageLength)
	d.fleet.platform.SetFaults(platform.Faults{Outage: true})
	time.Sleep(outageLength)
	d.fleet.platform.SetFaults(platform.Faults{})
	if err := d.changeConfiguration(ctx); err != nil {
		return err
	}
	time.Sleep(leaveAfter)
	leaving, marked := d.markLeaving("advice-2")
	time.Sleep(stopAfter)
	stopped := d.fleet.live()[1]
	asked := time.Now()
	d.say("%s is asked to stop", stopped.name)
	d.fleet.stopNode(stopped)
	d.say("%s has stopped after %v", stopped.name, time.Since(asked).Round(time.Millisecond))
	time.Sleep(loadAfterStop)
	d.promises.checkStop(stopped, asked, d.load.finished())
	d.promises.checkLeaving(leaving, marked, time.Now())
	return nil
}

// memberOf returns the engine of one member of a group's placement.
func (d *director) memberOf(group string, index int) *engineHost {
	got, err := d.operator().get(context.Background(), object.Key{Kind: object.KindReplicaGroup, Name: group})
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
func (d *director) markLeaving(group string) (*engineHost, time.Time) {
	host := d.memberOf(group, 0)
	for _, entry := range d.fleet.platform.Hosts().Hosts {
		if entry.Name == host.name {
			entry.State = hostlist.StateLeaving
			d.fleet.platform.ChangeHost(platform.HostChange{Host: &entry})
		}
	}
	d.say("%s, the leader of %s, is leaving", host.name, group)
	return host, time.Now()
}

// changeConfiguration changes a rank and checks that the change is in force in
// time.
func (d *director) changeConfiguration(ctx context.Context) error {
	changed := &object.Object{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: rankSpec(2, 40_000, 0.1, true)}
	op := d.operator()
	if err := retryUntil(ctx, inForceBound, func() error { return op.apply(ctx, []*object.Object{changed}) }); err != nil {
		return fmt.Errorf("change rank batch: %w", err)
	}
	took, err := op.wait(ctx, changed.Key(), object.ConditionInForce, inForceBound)
	d.promises.configInForce.check(err == nil, "the change of rank batch is not in force: %v", err)
	d.say("the change of rank batch is in force after %v", took.Round(time.Millisecond))
	return nil
}

// progress prints one line a period.
func (d *director) progress(ctx context.Context) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.progressLine()
		}
	}
}

func (d *director) progressLine() {
	counts := make(map[outcome]int)
	for _, r := range d.load.finished() {
		counts[r.outcome]++
	}
	open := make(map[string]bool)
	for _, n := range d.fleet.live() {
		for _, group := range n.node.OpenGroups() {
			open[group.Group] = true
		}
	}
	d.say("served %d, refused %d, unknown %d; groups open: %d of %d; nodes: %d", counts[served], counts[refused], counts[unknown], len(open), groupCount, len(d.fleet.live()))
}
