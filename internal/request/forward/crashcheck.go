package forward

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// firstCrashCheckDelay is how long after an attempt was given up its host is
	// checked, and lastCrashCheckDelay when it is checked for the last time.
	firstCrashCheckDelay = 100 * time.Millisecond
	lastCrashCheckDelay  = 400 * time.Millisecond
	// crashCheckInterval is the time between two checks of one host.
	crashCheckInterval = 300 * time.Millisecond
	// maxWaitingCrashChecks limits the hosts that wait to be taken up by
	// RunCrashChecks. Beyond it a host is not checked.
	maxWaitingCrashChecks = 64
)

// giveUp records that an attempt was ended before the host began to answer, so that a
// crash of the host within moments is held against the request. If check is true, the
// host is checked; otherwise its other connections have to show the crash.
func (s *requestState) giveUp(host *fleet.Host, check bool) {
	s.Poison.GaveUp(s.identity, hostLife(host), time.Now())
	if current := s.View.Load().Host(host.ID); !check || current != nil && current.State == fleet.HostLeaving {
		return
	}
	select {
	case s.crashChecks <- host:
	default:
		s.Metrics.Counter("forward_crash_checks_dropped").Inc(1)
	}
}

// crashCheckSchedule holds the scheduled checks by life of the host.
type crashCheckSchedule map[string]*scheduledCheck

type scheduledCheck struct {
	host       *fleet.Host
	next, last time.Time
}

// add schedules the checks of a host at which an attempt was given up.
func (c crashCheckSchedule) add(host *fleet.Host, now time.Time) {
	life := hostLife(host)
	if c[life] == nil {
		c[life] = &scheduledCheck{host: host, next: now.Add(firstCrashCheckDelay)}
	}
	c[life].last = now.Add(lastCrashCheckDelay)
}

// due returns the hosts to check now and schedules their next checks.
func (c crashCheckSchedule) due(now time.Time) []*fleet.Host {
	var hosts []*fleet.Host
	for life, check := range c {
		if now.Before(check.next) {
			continue
		}
		hosts = append(hosts, check.host)
		check.next = now.Add(crashCheckInterval)
		if check.next.After(check.last) {
			delete(c, life)
		}
	}
	return hosts
}

// untilNext returns the time until the next check, or false if none is scheduled.
func (c crashCheckSchedule) untilNext(now time.Time) (time.Duration, bool) {
	var wait time.Duration
	for _, check := range c {
		if left := max(check.next.Sub(now), 0); wait == 0 || left < wait {
			wait = max(left, time.Millisecond)
		}
	}
	return wait, len(c) > 0
}

// RunCrashChecks checks the hosts at which attempts were given up, until ctx ends.
func (c *Core) RunCrashChecks(ctx context.Context) {
	schedule := crashCheckSchedule{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-c.crashChecks:
			schedule.add(host, time.Now())
		case <-timer.C:
			c.checkHosts(ctx, schedule.due(time.Now()))
		}
		if wait, any := schedule.untilNext(time.Now()); any {
			timer.Reset(wait)
		}
	}
}

// crashedSince reports whether the process of a host has ended that worked moments ago.
// The process of a host that leaves runs on after its registration was removed. It
// blocks while the host is checked.
func (c *Core) crashedSince(ctx context.Context, host *fleet.Host) bool {
	if c.View.Load().Host(host.ID) == nil {
		return c.Endpoint.Gone(ctx, host.Address)
	}
	return c.crashed(ctx, host)
}

// checkHosts checks hosts at the same time and blocks until all are checked.
func (c *Core) checkHosts(ctx context.Context, hosts []*fleet.Host) {
	var checks sync.WaitGroup
	for _, host := range hosts {
		checks.Go(func() {
			c.Metrics.Counter("forward_crash_checks").Inc(1)
			if !c.crashedSince(ctx, host) {
				return
			}
			findings, suspected := c.Poison.Crashed(hostLife(host), time.Now())
			if !suspected {
				return
			}
			c.Log.Log(eventlog.HostCrashedAfterGiveUp, eventlog.Fields{"host": host.ID, "group": host.Group.Name})
			for _, f := range findings {
				c.Metrics.Counter("poison_verdicts").Inc(1)
				LogPoisonFinding(c.Log, f, "")
			}
			c.ShareEvidence()
		})
	}
	checks.Wait()
}
