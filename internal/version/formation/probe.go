package formation

import (
	"context"
	"errors"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// probeTarget is a host to probe, and the minimum time since its last probe.
type probeTarget struct {
	host     *fleet.Host
	interval time.Duration
}

// probeSuspects probes the members of stalled groups, hosts that are silent, lost or
// slow, members whose registration lapsed, and hosts that are registered for one place
// in a group.
func (c *Controller) probeSuspects(ctx context.Context, view *fleet.View, now time.Time) {
	targets := map[string]probeTarget{}
	for _, id := range c.StalledHeads() {
		head := view.Host(id)
		if head == nil || head.Group.Name == "" {
			continue
		}
		for _, h := range view.ServiceHosts(head.Service) {
			if h.Group.Name == head.Group.Name {
				targets[h.ID] = probeTarget{h, suspectReprobeInterval}
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ids := range c.contested {
		for _, id := range ids {
			if h := view.Host(id); h != nil {
				targets[id] = probeTarget{h, reprobeInterval}
			}
		}
	}
	for id, condition := range c.conditions {
		h := view.Host(id)
		if h == nil {
			delete(c.conditions, id)
			continue
		}
		targets[id] = probeTarget{h, reprobeInterval}
		if condition.Silent {
			targets[id] = probeTarget{h, silentReprobeInterval}
		}
	}
	for id, h := range c.members {
		if view.Host(id) == nil {
			targets[id] = probeTarget{h, reprobeInterval}
		}
	}
	for id, target := range targets {
		if now.Sub(c.lastProbed[id]) < target.interval {
			continue
		}
		c.lastProbed[id] = now
		go c.probe(ctx, target.host)
	}
}

// probe probes a host until it answers or counts as silent or lost, unless a probe of
// the host is under way. It blocks until there is a slot, and then for a quarter of a
// second, or longer while many hosts fail.
func (c *Controller) probe(ctx context.Context, host *fleet.Host) {
	c.mu.Lock()
	underWay := c.probing[host.ID]
	c.probing[host.ID] = true
	c.mu.Unlock()
	if underWay {
		return
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.probing, host.ID)
	}()
	select {
	case <-ctx.Done():
		return
	case c.probeSlots <- struct{}{}:
		defer func() { <-c.probeSlots }()
	}
	started := time.Now()
	err := c.probeRepeatedly(ctx, host, probeAttempts, probeTimeout)
	if err != nil && ctx.Err() == nil && c.isOneOfMany(host, time.Now()) {
		err = c.probeRepeatedly(ctx, host, confirmAttempts, confirmTimeout)
	}
	if err != nil && ctx.Err() == nil {
		c.recordUnanswered(host, started, err)
	}
}

// probeRepeatedly probes a host and records its reply. It returns the last error after
// the given number of probes without an answer.
func (c *Controller) probeRepeatedly(ctx context.Context, host *fleet.Host, attempts int, timeout time.Duration) error {
	unanswered := 0
	for tries := 0; ; tries++ {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		timeFactor, err := c.Orderer.Probe(callCtx, host.Address, host.ID)
		cancel()
		if err == nil {
			c.recordProbeReply(host, timeFactor)
			return nil
		}
		if time.Since(started) <= timeout+maxProbeDelay || tries >= maxProbeTries {
			unanswered++
		}
		if unanswered >= attempts || ctx.Err() != nil {
			return err
		}
	}
}

// probeFailure is a host that answered no probe.
type probeFailure struct {
	at           time.Time
	hostID       string
	fabricDomain string
}

// isOneOfMany records that a host failed its probes, and reports whether at least
// manyLosses hosts in more than one fabric domain did so within lossWindow.
func (c *Controller) isOneOfMany(host *fleet.Host, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.conditions[host.ID]; known.Lost || known.Silent {
		return false
	}
	c.failures = slices.DeleteFunc(c.failures, func(f probeFailure) bool {
		return now.Sub(f.at) > lossWindow || f.hostID == host.ID
	})
	c.failures = append(c.failures, probeFailure{now, host.ID, host.FabricDomain})
	severalDomains := slices.ContainsFunc(c.failures, func(f probeFailure) bool { return f.fabricDomain != host.FabricDomain })
	return len(c.failures) >= manyLosses && severalDomains
}

// recordUnanswered updates the condition of a host that answered no probe since
// started, and logs a change. The last probe ended with err.
func (c *Controller) recordUnanswered(host *fleet.Host, started time.Time, err error) {
	now := time.Now()
	registered := c.View.Load().Host(host.ID) != nil
	c.mu.Lock()
	previous := c.conditions[host.ID]
	next := previous
	switch {
	case previous.Lost:
	case errors.Is(err, ErrUnreachable) || !registered || previous.Silent && now.Sub(previous.Since) >= SilenceGracePeriod:
		next = Condition{Lost: true, Since: now}
	case !previous.Silent:
		next = Condition{Silent: true, Since: started}
	}
	c.conditions[host.ID] = next
	c.mu.Unlock()
	if next == previous {
		return
	}
	event, fields := eventlog.MemberSilent, eventlog.Fields{"host": host.ID, "group": host.Group.Name, "epoch": host.Group.Epoch, "error": err.Error()}
	if next.Lost {
		event = eventlog.MemberLost
		if previous.Silent {
			started = previous.Since
		}
		fields["silent_ms"] = now.Sub(started).Milliseconds()
	}
	c.Log.Log(event, fields)
	c.Wake()
}

// recordProbeReply updates the condition of a host that answered a probe and
// logs a change.
func (c *Controller) recordProbeReply(host *fleet.Host, timeFactor float64) {
	slow := timeFactor >= SlowTimeFactor
	c.mu.Lock()
	previous, known := c.conditions[host.ID]
	if slow {
		c.conditions[host.ID] = Condition{Slow: true, Since: time.Now()}
	} else {
		delete(c.conditions, host.ID)
	}
	c.mu.Unlock()
	if slow && !previous.Slow {
		c.Log.Log(eventlog.MemberSlow, eventlog.Fields{"host": host.ID, "group": host.Group.Name, "pace": timeFactor})
		c.Wake()
	}
	if known && !slow {
		c.Log.Log(eventlog.MemberAnswers, eventlog.Fields{"host": host.ID, "group": host.Group.Name})
		c.Wake()
	}
}
