package groupcontrol

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/standin/engine"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
)

// TestGroupsFormRepairAndStop takes one group through its life: it forms, a
// member crashes and is replaced, another leaves, the group is deleted.
func TestGroupsFormRepairAndStop(t *testing.T) {
	inHall(t, 6, func(h *hall) {
		h.declare("a", "b")
		h.addNode("n1", nil)
		groups := []string{"a", "b"}
		h.awaitOpen(groups, time.Minute)
		crashed := h.placements()["a"].Members[1]
		h.engines[crashed].Crash()
		time.Sleep(time.Second)
		if took := h.awaitOpen(groups, time.Minute); took > 2*testLoad {
			t.Errorf("repair took %s, over %s", took, 2*testLoad)
		}
		if slices.Contains(h.placements()["a"].Members, crashed) {
			t.Errorf("group a still has the crashed member %s", crashed)
		}
		leaving := h.placements()["b"].Members[0]
		h.hosts.setState(leaving, hostlist.StateLeaving)
		time.Sleep(2 * testPeriod)
		if open, _ := h.open(h.placements()["b"]); open {
			t.Error("a group with a leaving member takes new work")
		}
		h.awaitOpen(groups, time.Minute)
		h.declare("b")
		time.Sleep(time.Minute)
		if p := h.placements()["a"]; p != nil {
			t.Errorf("deleted group a still has a placement: %+v", p)
		}
		if steps := h.nodes[0].manager.Explain("a"); len(steps) == 0 {
			t.Error("no decision about group a was recorded")
		}
	})
}

// TestAdaptersAndVersionsChange changes first the adapters and then the version
// of a group that serves.
func TestAdaptersAndVersionsChange(t *testing.T) {
	inHall(t, 3, func(h *hall) {
		spec := object.ReplicaGroupSpec{Model: "m", ModelVersion: "1", FailureDomain: testDomain, Members: 3, Worth: 1}
		h.declareSpec(spec, "a")
		h.addNode("n1", nil)
		h.awaitOpen([]string{"a"}, time.Minute)
		before := h.placements()["a"]
		spec.Adapters = []string{"fr", "nl"}
		h.declareSpec(spec, "a")
		time.Sleep(2 * testPeriod)
		h.awaitOpen([]string{"a"}, testPeriod)
		for _, member := range before.Members {
			if state := h.engines[member].State(); !slices.Equal(state.Adapters, spec.Adapters) || state.Generation != before.Generation {
				t.Errorf("host %s holds %+v, want adapters %v at generation %d", member, state, spec.Adapters, before.Generation)
			}
		}
		spec.ModelVersion = "2"
		h.declareSpec(spec, "a")
		time.Sleep(2 * testLoad)
		h.awaitOpen([]string{"a"}, testLoad)
		after := h.placements()["a"]
		if after.ModelVersion != "2" || slices.Equal(after.Members, before.Members) {
			t.Errorf("placement %+v, want version 2 on the free hosts", after)
		}
	})
}

// TestInvariantHostExclusive runs three racing controllers under paused nodes,
// lost answers, outages, and crashing, silent and restarting engines. No host
// is ever a member of two groups, epochs never fall, engines that check
// fencing carry out no stale order, and in the end every group is open.
func TestInvariantHostExclusive(t *testing.T) {
	for seed := range uint64(4) {
		inHall(t, 6, func(h *hall) {
			groups := []string{"a", "b", "c"}
			h.declare(groups...)
			for _, name := range []string{"n1", "n2", "n3"} {
				h.addNode(name, nil)
			}
			random := rand.New(rand.NewPCG(seed, 1))
			for range 100 {
				h.disturb(random)
				time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
			}
			h.heal()
			const leastOwners = 3
			h.checkLog(leastOwners)
			h.awaitOpen(groups, 3*time.Minute)
			for _, v := range h.audit.violations {
				t.Error(v)
			}
		})
	}
}

// disturb brings or ends one fault.
func (h *hall) disturb(random *rand.Rand) {
	name := h.names[random.IntN(len(h.names))]
	e, node := h.engines[name], h.nodes[random.IntN(len(h.nodes))]
	switch random.IntN(11) {
	case 0, 1:
		node.gate.Set(true, 0)
	case 2, 3, 4:
		node.gate.Set(false, 0)
	case 5:
		node.pauseAtOrder.Store(true)
	case 6:
		node.pauseAtCommit.Store(true)
	case 7:
		h.platform.SetFaults(platform.Faults{LoseEvery: random.IntN(4), Outage: random.IntN(6) == 0})
	case 8:
		e.Crash()
	case 9:
		e.Restart()
		h.audit.forget(name)
	case 10:
		e.SetFaults(engine.Faults{Pause: random.IntN(2) == 0})
	}
}

func (h *hall) heal() {
	for _, n := range h.nodes {
		n.pauseAtOrder.Store(false)
		n.pauseAtCommit.Store(false)
		n.gate.Set(false, 0)
	}
	h.platform.SetFaults(platform.Faults{})
	for name, e := range h.engines {
		e.SetFaults(engine.Faults{})
		if !e.Alive() {
			e.Restart()
			h.audit.forget(name)
		}
	}
}

// checkLog replays the accepted revisions, which at least the given number of
// owners wrote.
func (h *hall) checkLog(leastOwners int64) {
	log, err := h.platform.Table.List(h.t.Context(), table.Range{Prefix: table.PrefixLog})
	if err != nil {
		h.t.Fatal(err)
	}
	placements := map[string]*object.Placement{}
	epoch := int64(0)
	for _, row := range log {
		var record object.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			h.t.Fatal(err)
		}
		for _, change := range record.Changes {
			if p := change.Placement; p != nil {
				placements[p.Group] = p
				if p.Epoch < epoch {
					h.t.Errorf("revision %d was written under epoch %d after epoch %d", record.Revision, p.Epoch, epoch)
				}
				epoch = max(epoch, p.Epoch)
			}
		}
		h.checkExclusive(record.Revision, placements)
	}
	if epoch < leastOwners {
		h.t.Errorf("only %d owners, want %d for the test to mean something", epoch, leastOwners)
	}
}

func (h *hall) checkExclusive(revision int64, placements map[string]*object.Placement) {
	holder := map[string]string{}
	for group, p := range placements {
		for _, member := range p.Members {
			if other, taken := holder[member]; taken {
				h.t.Errorf("revision %d: host %s belongs to %s", revision, member, strings.Join([]string{other, group}, " and "))
			}
			holder[member] = group
		}
	}
}

// TestPausedCommitTakesNoHost pauses an owner whose commit of a new group is
// about to leave. When it wakes, another owner has given the hosts to another
// group.
func TestPausedCommitTakesNoHost(t *testing.T) {
	inHall(t, 3, func(h *hall) {
		h.declare()
		old := h.addNode("n1", nil)
		time.Sleep(2 * testPeriod)
		h.addNode("n2", nil)
		time.Sleep(2 * testPeriod)
		old.pauseAtCommit.Store(true)
		h.declare("a")
		time.Sleep(2 * testPeriod)
		h.declare("b")
		h.awaitOpen([]string{"b"}, longPause)
		time.Sleep(2 * longPause)
		h.checkLog(2)
		h.awaitOpen([]string{"b"}, testPeriod)
	})
}

// TestStaleOrdersDoNoHarm pauses an owner whose orders are about to leave.
// When it wakes, another one has given the hosts to another group: hosts that
// check fencing refuse the orders, and where they are obeyed the gate closes
// and the owner puts the host right.
func TestStaleOrdersDoNoHarm(t *testing.T) {
	inHall(t, 3, func(h *hall) {
		h.declare()
		old := h.addNode("n1", nil)
		time.Sleep(2 * testOrderTimeout)
		h.addNode("n2", nil)
		old.pauseAtOrder.Store(true)
		h.declare("a")
		time.Sleep(longPause / 2)
		former := h.placements()["a"].Members
		h.declare()
		time.Sleep(longPause / 6)
		h.declare("b")
		h.awaitOpen([]string{"b"}, longPause/3)
		if !slices.Equal(former, h.placements()["b"].Members) {
			t.Fatalf("group b has other hosts than group a had: %v, %v", h.placements()["b"].Members, former)
		}
		closed := false
		for range 10 * int(longPause/testPeriod) {
			time.Sleep(testPeriod / 10)
			if open, _ := h.open(h.placements()["b"]); !open {
				closed = true
			}
		}
		if h.audit.refused == 0 || h.audit.obeyed == 0 || !closed {
			t.Errorf("%d stale orders refused, %d obeyed, gate closed %t: the test shows nothing", h.audit.refused, h.audit.obeyed, closed)
		}
		for _, v := range h.audit.violations {
			t.Error(v)
		}
		h.awaitOpen([]string{"b"}, time.Minute)
	})
}

// TestNewOwnerWaitsForOldOrders lets the orders of an owner that loses the
// store take almost the order timeout on their way: none of them may reach a
// host that does not check fencing after an order of the next owner.
func TestNewOwnerWaitsForOldOrders(t *testing.T) {
	inHall(t, 3, func(h *hall) {
		h.declare("a")
		slow := func() time.Duration { return testOrderTimeout - 100*time.Millisecond }
		first := h.addNode("n1", slow)
		time.Sleep(2 * testPeriod)
		first.keeper.Release(t.Context())
		h.addNode("n2", nil)
		h.awaitOpen([]string{"a"}, time.Minute)
		if h.audit.obeyed != 0 {
			t.Errorf("%d stale orders reached engines that do not check fencing", h.audit.obeyed)
		}
		if h.audit.refused == 0 {
			t.Error("no stale order was under way, the test shows nothing")
		}
	})
}
