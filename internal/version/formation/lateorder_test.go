package formation

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestGroupOpensOnlyAsTheLatestJoinOfItsMembers guards against a past failure: the leader gave up a join without an answer
// after joinTimeout, found an earlier group complete and opened it. Then a member carried out the later join, and the
// streams of the group were cut.
func TestGroupOpensOnlyAsTheLatestJoinOfItsMembers(t *testing.T) {
	opened := playLateFleet(t, "two joins without an answer", pairEngine(), []int{2}, 1, 30*time.Second, func(f *lateFleet) {
		f.lateness = lateJoins(map[string][]time.Duration{"h00": {0, 10 * time.Second}, "h01": {5 * time.Second, 12 * time.Second}})
	})
	if opened == 0 {
		t.Error("no group was opened, want one")
	}
}

// TestGroupOfFormerLeaderIsFormedAgainBeforeItOpens guards against a past failure: a new leader opened a group that its
// members reported as complete, while one of them still had a join of the former leader to carry out.
func TestGroupOfFormerLeaderIsFormedAgainBeforeItOpens(t *testing.T) {
	for _, electAfter := range []time.Duration{4100 * time.Millisecond, 4500 * time.Millisecond, 4900 * time.Millisecond, 5500 * time.Millisecond} {
		name := fmt.Sprintf("new leader after %s", electAfter)
		opened := playLateFleet(t, name, pairEngine(), []int{2}, 2, 30*time.Second, func(f *lateFleet) {
			f.lateness = lateJoins(map[string][]time.Duration{"h00": {0, 3500 * time.Millisecond}, "h01": {5 * time.Second, 7 * time.Second}})
			time.AfterFunc(electAfter, func() { f.elect(1) })
		})
		if opened == 0 {
			t.Errorf("%s: no group was opened, want one", name)
		}
	}
}

// TestGroupThatAMemberMayLeaveIsNotOpened guards against a past failure: the leader ordered the members of a group to leave,
// as its head did not join. The head joined late, before the members carried out the order, and the leader opened the group.
// Then they left, and its streams were cut.
func TestGroupThatAMemberMayLeaveIsNotOpened(t *testing.T) {
	opened := playLateFleet(t, "leave without an answer", pairEngine(), []int{2}, 1, 30*time.Second, func(f *lateFleet) {
		joins := lateJoins(map[string][]time.Duration{"h00": {4500 * time.Millisecond}})
		first := true
		f.lateness = func(o Order) time.Duration {
			if o.Operation == OpLeave && first {
				first = false
				return 10 * time.Second
			}
			return joins(o)
		}
	})
	if opened == 0 {
		t.Error("no group was opened, want one")
	}
}

// TestLeaderDoesNotRelyOnJoinsOfItsFormerTerm guards against a leader that opens a group of its former term, while a member
// still has a join of the leader between both terms to carry out.
func TestLeaderDoesNotRelyOnJoinsOfItsFormerTerm(t *testing.T) {
	playLateFleet(t, "two terms of one node", pairEngine(), []int{3}, 2, 30*time.Second, func(f *lateFleet) {
		joins := lateJoins(map[string][]time.Duration{"h01": {3500 * time.Millisecond, 12 * time.Second}})
		f.lateness = func(o Order) time.Duration {
			if o.Operation == OpLeave && o.HostID == "h00" {
				return 20 * time.Second
			}
			return joins(o)
		}
		time.AfterFunc(time.Second, func() { f.elect(1) })
		time.AfterFunc(2*time.Second, func() { f.elect(0) })
	})
}

// TestLeaderDoesNotRelyOnProbesOfItsFormerTerm guards against a past failure: a host that a leader had found lost started
// again while another node led. When the first one led again, it ended the group that the host served in by then.
func TestLeaderDoesNotRelyOnProbesOfItsFormerTerm(t *testing.T) {
	for _, lost := range []string{"h00", "h01"} {
		var f *lateFleet
		playLateFleet(t, "lost host "+lost, pairEngine(), []int{2}, 2, 20*time.Second, func(fleet *lateFleet) {
			f = fleet
			time.AfterFunc(3*time.Second, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.restart(f.hosts[lost])
			})
			time.AfterFunc(5*time.Second, func() { f.elect(1) })
			time.AfterFunc(15*time.Second, func() { f.elect(0) })
		})
		log := strings.Join(f.log, "\n")
		if _, after, _ := strings.Cut(log, "leads in term 3"); f.opened != 2 || strings.Contains(after, " leave ") {
			t.Errorf("lost host %s: %d groups were opened, want 2, the second of which stays open:\n%s", lost, f.opened, log)
		}
	}
}

// TestNewLeaderKeepsAGroupThatIsOpening guards against a new leader that ends a group because its reports do not show yet
// that the former leader has opened it.
func TestNewLeaderKeepsAGroupThatIsOpening(t *testing.T) {
	var f *lateFleet
	playLateFleet(t, "new leader while a group opens", pairEngine(), []int{2}, 2, 10*time.Second, func(fleet *lateFleet) {
		f = fleet
		time.AfterFunc(700*time.Millisecond, func() { f.elect(1) })
	})
	if log := strings.Join(f.log, "\n"); f.opened != 1 || strings.Contains(log, " leave ") {
		t.Errorf("%d groups were opened, want one that stays open:\n%s", f.opened, log)
	}
}

// TestLateOrdersEndNoServingGroup verifies that no host joins another group while the head of its group serves, with orders
// of all kinds that are carried out late, changes of leader, and hosts that start again.
func TestLateOrdersEndNoServingGroup(t *testing.T) {
	const seeds = 300
	opened := 0
	for seed := range int64(seeds) {
		fleetEngine := []*fleet.Engine{engine(), pairEngine(), sparesEngine()}[seed%3]
		opened += playLateFleet(t, fmt.Sprintf("seed %d", seed), fleetEngine, []int{6, 4}, 2, 45*time.Second, func(f *lateFleet) {
			random := rand.New(rand.NewSource(seed))
			f.lateness = func(Order) time.Duration {
				switch random.Intn(5) {
				case 0, 1:
					return 0
				case 2:
					return time.Millisecond // only the answer is lost
				}
				return 2*time.Second + time.Duration(random.Int63n(int64(10*time.Second)))
			}
			go f.disturb(random, 30*time.Second)
		})
	}
	if opened < seeds {
		t.Errorf("%d groups were opened, want at least %d", opened, seeds)
	}
}
