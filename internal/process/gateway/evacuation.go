package gateway

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// applyEvacuations applies the requests to evacuate failure domains that are among the
// changes of the configuration feed, whether or not a configuration is in force.
func (b *viewBuilder) applyEvacuations(changed []feed.Record, restored bool, now time.Time) {
	var requested, withdrawn []string
	for _, r := range changed {
		domain, ok := b.decode.evacuation(r)
		switch {
		case !ok:
		case r.Deleted:
			withdrawn = append(withdrawn, domain)
		default:
			requested = append(requested, domain)
		}
	}
	if !restored && len(requested)+len(withdrawn) == 0 {
		return
	}
	b.changeEvacuations(now, func() {
		if restored {
			for _, domain := range b.evacuations.Restore(requested, now) {
				b.log.Log(eventlog.EvacuationLost, eventlog.Fields{"domain": domain})
			}
			return
		}
		for _, domain := range requested {
			b.evacuations.Request(domain)
		}
		for _, domain := range withdrawn {
			b.evacuations.Withdraw(domain)
		}
	})
}

// expireEvacuations ends the evacuations that were only kept for a time after the store
// came back from an older copy. It returns the number of those in force.
func (b *viewBuilder) expireEvacuations(now time.Time) int {
	return b.changeEvacuations(now, func() { b.evacuations.Expire(now) })
}

// changeEvacuations applies a change of the evacuations to the hosts and publishes a view
// if the evacuated domains are others than before. It returns their number.
func (b *viewBuilder) changeEvacuations(now time.Time, change func()) int {
	b.mu.Lock()
	former := b.evacuations.Domains()
	change()
	current := b.evacuations.Domains()
	changed := !slices.Equal(former, current)
	if changed {
		for _, domain := range current {
			if !slices.Contains(former, domain) {
				b.log.Log(eventlog.EvacuationInForce, eventlog.Fields{"domain": domain, "hosts": b.evacuate(domain, true, now)})
			}
		}
		for _, domain := range former {
			if !slices.Contains(current, domain) {
				b.log.Log(eventlog.EvacuationEnded, eventlog.Fields{"domain": domain, "hosts": b.evacuate(domain, false, now)})
			}
		}
		b.publish()
	}
	b.mu.Unlock()
	if changed {
		b.onChange()
	}
	return len(current)
}

// evacuate marks the hosts of a failure domain as evacuated or not, and returns their
// number. Those that are not evacuated any more have just begun to take requests. The
// caller must hold mu.
func (b *viewBuilder) evacuate(domain string, evacuated bool, now time.Time) int {
	count := 0
	for id, host := range b.hosts {
		if host.FailureDomain != domain {
			continue
		}
		count++
		changed := *host
		changed.Evacuated = evacuated
		if !evacuated {
			changed.ServingSince = now
		}
		b.hosts[id] = &changed
	}
	return count
}

// logUnknownEvacuations logs once each evacuated domain that no host is in. It changes
// nothing until a host of that name registers. The caller must hold mu.
func (b *viewBuilder) logUnknownEvacuations(hosts []*fleet.Host) {
	domains := b.evacuations.Domains()
	if !b.hostsKnown || len(domains) == 0 && len(b.unknownDomains) == 0 {
		return
	}
	unknown := map[string]bool{}
	for _, domain := range domains {
		if slices.ContainsFunc(hosts, func(h *fleet.Host) bool { return h.FailureDomain == domain }) {
			continue
		}
		unknown[domain] = true
		if !b.unknownDomains[domain] {
			b.log.Log(eventlog.EvacuationUnknown, eventlog.Fields{"domain": domain})
		}
	}
	b.unknownDomains = unknown
}

// evacuation decodes a record of the configuration feed. A platform without evacuations
// has no decoder for them.
func (d Decoder) evacuation(r feed.Record) (domain string, ok bool) {
	if d.Evacuation == nil {
		return "", false
	}
	return d.Evacuation(r)
}
