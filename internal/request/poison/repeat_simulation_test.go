package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newPlainSimulation returns a plain service whose prompts have no parts, with 13
// requests a second of which one crashes its host.
func newPlainSimulation(t *testing.T, seed uint64, nodes, hosts int) *simulation {
	s := newSimulation(t, seed, nodes, hosts, 13)
	s.sound = func(*rand.Rand) []string { return nil }
	s.poisonous, s.repeated, s.poisonShare = s.sound, true, 1.0/13
	return s
}

// TestRepeatedRequestIsRefusedWithinBound verifies that one request that crashes the
// hosts of a plain service is refused in time, whatever else the nodes know.
func TestRepeatedRequestIsRefusedWithinBound(t *testing.T) {
	const crashesBeforeBound = 3
	for _, hosts := range []int{3, 6, 48} {
		for name, prepare := range map[string]func(s *simulation){
			"just started":             func(*simulation) {},
			"after answers":            func(s *simulation) { s.poisonShare = 0; s.run(10 * time.Second); s.poisonShare = 1.0 / 13 },
			"attempts given up before": func(s *simulation) { s.giveUpLead = 20 * time.Millisecond },
			"request was answered before": func(s *simulation) {
				for _, n := range s.nodes {
					n.Began(identify(nil, 0), s.now, s.now)
				}
				s.now = s.now.Add(time.Second)
			},
			"few different requests": func(s *simulation) { s.distinctSound = 4 },
			"many requests":          func(s *simulation) { s.requestsPerSecond, s.poisonShare = 130, 1.0/130 },
		} {
			for seed := range uint64(simulatedSeeds) {
				t.Run(fmt.Sprint(hosts, " hosts/", name, "/", seed), func(t *testing.T) {
					t.Parallel()
					s := newPlainSimulation(t, seed, 6, hosts)
					prepare(s)
					s.soundRefused = 0
					s.run(25 * time.Second)
					if n := s.arrivalsAfterBound(crashesBeforeBound, testStable); n > maxAfterBound {
						t.Errorf("%d crashing requests after the bound, want at most %d; %d hosts crashed", n, maxAfterBound, len(s.crashes))
					}
					if len(s.crashes) < crashesBeforeBound {
						t.Errorf("%d hosts crashed, want at least %d", len(s.crashes), crashesBeforeBound)
					}
					if s.soundRefused > 0 {
						t.Errorf("%d of %d sound requests were refused", s.soundRefused, s.soundSent)
					}
				})
			}
		}
	}
}

// TestRepeatedRequestIsRefusedAlthoughNodesRestart verifies the bound while one node
// after the other starts without knowledge between the crashes.
func TestRepeatedRequestIsRefusedAlthoughNodesRestart(t *testing.T) {
	for seed := range uint64(simulatedSeeds) {
		s := newPlainSimulation(t, seed, 6, 3)
		for i := range 20 {
			s.run(time.Second)
			s.nodes[i%len(s.nodes)] = New()
		}
		if n := s.arrivalsAfterBound(3, testStable); n > maxAfterBound {
			t.Errorf("seed %d: %d crashing requests after the bound, want at most %d; %d hosts crashed", seed, n, maxAfterBound, len(s.crashes))
		}
	}
}

// TestCrashesOfASmallServiceBlameNoPopularRequest guards against the refusal of a sound request that was at each crashed host.
func TestCrashesOfASmallServiceBlameNoPopularRequest(t *testing.T) {
	crashAll := func(interval time.Duration) func(s *simulation) {
		return func(s *simulation) {
			for range 8 {
				s.run(8 * time.Second)
				for i := range s.hosts {
					s.crash(i)
					s.run(interval)
				}
			}
		}
	}
	for name, scenario := range map[string]func(s *simulation){
		"all at once":         crashAll(0),
		"one after the other": crashAll(150 * time.Millisecond),
		"one a second": func(s *simulation) {
			for range 60 {
				s.run(time.Second)
				s.crash(s.random.IntN(len(s.hosts)))
			}
		},
	} {
		for _, hosts := range []int{3, 6} {
			for _, distinct := range []int{1, 2, 4} {
				for seed := range uint64(simulatedSeeds) {
					t.Run(fmt.Sprint(name, "/", hosts, " hosts, ", distinct, " requests/", seed), func(t *testing.T) {
						t.Parallel()
						s := newPlainSimulation(t, seed, 6, hosts)
						s.poisonShare, s.distinctSound = 0, distinct
						s.run(10 * time.Second)
						scenario(s)
						s.run(5 * time.Second)
						s.checkConvicted()
						if s.soundRefused > 0 {
							t.Errorf("%d of %d sound requests were refused", s.soundRefused, s.soundSent)
						}
					})
				}
			}
		}
	}
}
