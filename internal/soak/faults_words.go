package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

const (
	// leavingSaidTime is how long a host says that it leaves before its registration does.
	leavingSaidTime = 6 * time.Second
	// maxRefusalWait is the longest time, in whole seconds, for which a refusing host wants no
	// requests, unless its values are odd.
	maxRefusalWait = 3 * time.Second
)

// oddRetryAfters are values of Retry-After that a host should not write.
var oddRetryAfters = []string{"", "-1", "-1e300", "0", "soon", "NaN", "Inf", "1e300", "1e400", "3600", "9223372036854775808", "1,5", "2 s"}

// wordFaults are faults of hosts that say in their answers that they want no requests.
var wordFaults = []fault{
	{"host says that it leaves", func(s *Soak, r *rand.Rand) { s.letHostSayLeaving(r) }},
	{"host refuses for a time", func(s *Soak, r *rand.Rand) {
		text := strconv.Itoa(1 + r.Intn(int(maxRefusalWait/time.Second)))
		s.letHostRefuse(r, func() string { return text })
	}},
	{"host refuses without a time", func(s *Soak, r *rand.Rand) { s.letHostRefuse(r, func() string { return "" }) }},
	{"host refuses with odd times", func(s *Soak, r *rand.Rand) {
		values := rand.New(rand.NewSource(r.Int63()))
		s.letHostRefuse(r, func() string { return oddRetryAfters[values.Intn(len(oddRetryAfters))] })
	}},
}

// beginSpeaking returns a random host among those that get requests, heads of open groups and
// plain hosts, and that no other fault makes speak; nil if there is none.
func (s *Soak) beginSpeaking(r *rand.Rand) *standin.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []*standin.Host
	for _, h := range s.hosts {
		if !s.speaking[h.host] && (h.host.Service == "plain" || h.host.OpenGroup() != nil) {
			hosts = append(hosts, h.host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	host := hosts[r.Intn(len(hosts))]
	s.speaking[host] = true
	return host
}

// endSpeaking makes the host available to other faults again.
func (s *Soak) endSpeaking(host *standin.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.speaking, host)
}

// letHostSayLeaving makes a host say in its answers that it leaves and go on serving, and
// verifies that the nodes heed it. Then the host leaves, and another one takes its place.
func (s *Soak) letHostSayLeaving(r *rand.Rand) {
	host := s.beginSpeaking(r)
	if host == nil {
		return
	}
	host.SayLeaving()
	time.Sleep(leavingSaidTime)
	s.judgeLeaving(host)
	s.replaceLeaving(host)
}

// letHostRefuse makes a host turn requests away for the duration of one fault, and verifies
// that the nodes heed the times that it asks for. A host that asked for a very long one is
// replaced.
func (s *Soak) letHostRefuse(r *rand.Rand, retryAfter func() string) {
	host := s.beginSpeaking(r)
	if host == nil {
		return
	}
	defer s.endSpeaking(host)
	host.RefuseWith(retryAfter)
	sleepFaultDuration(r)
	host.RefuseWith(nil)
	time.Sleep(maxRefusalWait)
	s.judgeWaits(host)
	if slices.ContainsFunc(host.Arrivals(), func(a standin.Arrival) bool { return requestedWait(a.RetryAfter) > maxRefusalWait }) {
		s.replaceLeaving(host)
	}
}

// replaceLeaving registers a host as leaving, ends it later, and adds another one in its
// place, unless another fault has replaced it.
func (s *Soak) replaceLeaving(old *standin.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.hosts, func(h *soakHost) bool { return h.host == old })
	if i < 0 {
		return
	}
	s.modelHostsAdded++
	replacement, err := s.addHost(fmt.Sprintf("%s%d", old.ID[:1], s.modelHostsAdded), old.Service, old.Zone, old.Domain)
	s.recordHarnessError(err)
	if err != nil {
		return
	}
	s.hosts[i] = replacement
	old.Drain()
	time.AfterFunc(maxFaultDuration, func() {
		s.disturbances.begin(old.ID)
		old.Kill(0)
	})
}
