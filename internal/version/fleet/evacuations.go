package fleet

import (
	"maps"
	"slices"
	"time"
)

// lostEvacuationTTL is how long an evacuation stays in force whose request is missing
// after the store came back from an older copy. The operator can repeat or withdraw it
// within that time.
const lostEvacuationTTL = 30 * time.Second

// Evacuations records the failure domains whose evacuation the operator has requested.
// It is not safe for concurrent use.
type Evacuations struct {
	// requested contains the domains whose request is in the store, and lost when the
	// evacuation of others ends whose request is missing in an older copy.
	requested map[string]bool
	lost      map[string]time.Time
}

// NewEvacuations returns a record without any evacuation.
func NewEvacuations() *Evacuations {
	return &Evacuations{requested: map[string]bool{}, lost: map[string]time.Time{}}
}

// Request records the request to evacuate a failure domain.
func (e *Evacuations) Request(domain string) {
	e.requested[domain] = true
	delete(e.lost, domain)
}

// Withdraw records that the request was deleted.
func (e *Evacuations) Withdraw(domain string) {
	delete(e.requested, domain)
	delete(e.lost, domain)
}

// Restore records the requests that are in the store after it came back from an older
// copy. The other evacuations stay in force for lostEvacuationTTL. It returns these,
// sorted.
func (e *Evacuations) Restore(requested []string, now time.Time) (lost []string) {
	former := e.Domains()
	e.requested = map[string]bool{}
	for _, domain := range requested {
		e.Request(domain)
	}
	for _, domain := range former {
		if !e.requested[domain] {
			e.lost[domain] = now.Add(lostEvacuationTTL)
			lost = append(lost, domain)
		}
	}
	return lost
}

// Expire ends the evacuations whose request has been missing for lostEvacuationTTL.
func (e *Evacuations) Expire(now time.Time) {
	maps.DeleteFunc(e.lost, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// InForce reports whether a failure domain is evacuated.
func (e *Evacuations) InForce(domain string) bool {
	_, lost := e.lost[domain]
	return lost || e.requested[domain]
}

// Domains returns the evacuated failure domains, sorted.
func (e *Evacuations) Domains() []string {
	domains := slices.AppendSeq(slices.Collect(maps.Keys(e.requested)), maps.Keys(e.lost))
	slices.Sort(domains)
	return domains
}
