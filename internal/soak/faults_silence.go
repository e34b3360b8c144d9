package soak

import (
	"math/rand"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// A host that falls silent goes on after a time between minSilence and maxSilence.
const (
	minSilence = 300 * time.Millisecond
	maxSilence = 2 * time.Second
	// silencesInARow is how often a host falls silent in one fault; between two silences it
	// runs for at most maxTimeBetweenSilences.
	silencesInARow         = 4
	maxTimeBetweenSilences = 500 * time.Millisecond
)

var silenceFaults = []fault{
	{"host falls silent", func(s *Soak, r *rand.Rand) { silence(r, []*standin.Host{s.randomHost(r).host}) }},
	{"host falls silent again and again", func(s *Soak, r *rand.Rand) {
		host := s.randomHost(r).host
		for range silencesInARow {
			silence(r, []*standin.Host{host})
			time.Sleep(time.Duration(r.Int63n(int64(maxTimeBetweenSilences))))
		}
	}},
	{"group falls silent", func(s *Soak, r *rand.Rand) { silence(r, s.randomGroup(r)) }},
	{"service falls silent", func(s *Soak, r *rand.Rand) {
		service := []string{"models", "plain"}[r.Intn(2)]
		silence(r, s.hostsThat(func(h *standin.Host) bool { return h.Service == service }))
	}},
}

// silence makes hosts fall silent at the same moment, each for its own time, and blocks until
// all go on. The whole host is silent, or its answers only.
func silence(r *rand.Rand, hosts []*standin.Host) {
	wholeHost := r.Intn(2) == 0
	var silent sync.WaitGroup
	defer silent.Wait()
	for _, host := range hosts {
		duration := minSilence + time.Duration(r.Int63n(int64(maxSilence-minSilence)))
		if wholeHost {
			host.Pause(duration)
		} else {
			host.PauseAnswers(duration)
		}
		silent.Go(func() { time.Sleep(duration) })
	}
}

// hostsThat returns the hosts that match.
func (s *Soak) hostsThat(match func(*standin.Host) bool) []*standin.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []*standin.Host
	for _, h := range s.hosts {
		if match(h.host) {
			hosts = append(hosts, h.host)
		}
	}
	return hosts
}

// randomGroup returns the members of an open group, or a random host if none is open.
func (s *Soak) randomGroup(r *rand.Rand) []*standin.Host {
	heads := s.hostsThat(func(h *standin.Host) bool { return h.OpenGroup() != nil })
	if len(heads) == 0 {
		return []*standin.Host{s.randomHost(r).host}
	}
	members := heads[r.Intn(len(heads))].OpenGroup()
	return s.hostsThat(func(h *standin.Host) bool { return slices.Contains(members, h.ID) })
}
