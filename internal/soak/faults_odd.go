package soak

import (
	"fmt"
	"math/rand"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

const (
	oddRegistrations = "odd registrations"
	// oddChanges is how often odd registrations are changed, on average every
	// oddChangeInterval.
	oddChanges        = 5
	oddChangeInterval = 200 * time.Millisecond
)

// oddKeyFormats are the keys of odd registrations.
var oddKeyFormats = []string{"odd%d", "\x01\"odd\n%d", "m%d-odd"}

var oddFaults = []fault{
	{oddRegistrations, func(s *Soak, r *rand.Rand) { s.registerOddEntries(r)() }},
	{"nodes start beside odd registrations", func(s *Soak, r *rand.Rand) {
		defer s.registerOddEntries(r)()
		s.restartAll(r)
		sleepFaultDuration(r)
	}},
}

// registerOddEntries writes odd registrations beside the real ones and changes them several
// times. The returned function removes them.
func (s *Soak) registerOddEntries(r *rand.Rand) (remove func()) {
	var keys []string
	for range oddChanges {
		entries := s.oddEntries(r)
		for len(keys) < len(entries) {
			keys = append(keys, fmt.Sprintf(oddKeyFormats[r.Intn(len(oddKeyFormats))], r.Int63()))
		}
		for i, entry := range entries {
			s.store.PutBytes("servers", keys[i], entry)
		}
		time.Sleep(time.Duration(r.Int63n(int64(2 * oddChangeInterval))))
	}
	return func() {
		for _, key := range keys {
			s.store.Drop("servers", key)
		}
	}
}

// oddEntries returns the odd registrations that resemble a random host of each service, in
// random order.
func (s *Soak) oddEntries(r *rand.Rand) [][]byte {
	var entries [][]byte
	for _, service := range []string{"models", "plain", spareService} {
		hosts := s.hostsThat(func(h *standin.Host) bool { return h.Service == service })
		host := hosts[r.Intn(len(hosts))]
		entries = append(entries, standin.OddEntries(service, host.Address())...)
	}
	r.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}
