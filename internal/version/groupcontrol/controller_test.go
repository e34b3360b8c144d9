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

// TestGroupIsFormedRepairedAndDeleted verifies that groups are formed, that a
// crashed and a leaving member are replaced, and that a deleted group releases
// its placement.
func TestGroupIsFormedRepairedAndDeleted(t *testing.T) {
	runHarness(t, 6, func(h *harness) {
		h.declare("a", "b")
		h.addNode("n1", nil)
		groups := []string{"a", "b"}
		h.awaitOpen(groups, time.Minute)
		crashed := h.placements()["a"].Members[1]
		h.engines[crashed].Crash()
		time.Sleep(time.Second)
		if took := h.awaitOpen(groups, time.Minute); took > 2*testLoadTime {
			t.Errorf("repair took %s, want at most %s", took, 2*testLoadTime)
		}
		if slices.Contains(h.placements()["a"].Members, crashed) {
			t.Errorf("group a still has the crashed member %s, want it replaced", crashed)
		}
		leaving := h.placements()["b"].Members[0]
		h.hosts.setState(leaving, hostlist.StateLeaving)
		time.Sleep(2 * testInterval)
		if open, _ := h.open(h.placements()["b"]); open {
			t.Error("gate of group b with a leaving member is open, want closed")
		}
		h.awaitOpen(groups, time.Minute)
		h.declare("b")
		time.Sleep(time.Minute)
		if p := h.placements()["a"]; p != nil {
			t.Errorf("deleted group a has placement %+v, want none", p)
		}
		if steps := h.nodes[0].manager.Explain("a"); len(steps) == 0 {
			t.Error("got no recorded decision about group a, want at least one")
		}
	})
}

// TestAdapterAndVersionChange verifies that a serving group loads new adapters
// in place and moves to the free hosts for a new model version.
func TestAdapterAndVersionChange(t *testing.T) {
	runHarness(t, 3, func(h *harness) {
		spec := object.ReplicaGroupSpec{Model: "m", ModelVersion: "1", FailureDomain: testDomain, Members: 3, Worth: 1}
		h.declareSpec(spec, "a")
		h.addNode("n1", nil)
		h.awaitOpen([]string{"a"}, time.Minute)
		before := h.placements()["a"]
		spec.Adapters = []string{"fr", "nl"}
		h.declareSpec(spec, "a")
		time.Sleep(2 * testInterval)
		h.awaitOpen([]string{"a"}, testInterval)
		for _, member := range before.Members {
			if state := h.engines[member].State(); !slices.Equal(state.Adapters, spec.Adapters) || state.Generation != before.Generation {
				t.Errorf("host %s: got state %+v, want adapters %v at generation %d", member, state, spec.Adapters, before.Generation)
			}
		}
		spec.ModelVersion = "2"
		h.declareSpec(spec, "a")
		time.Sleep(2 * testLoadTime)
		h.awaitOpen([]string{"a"}, testLoadTime)
		after := h.placements()["a"]
		if after.ModelVersion != "2" || slices.Equal(after.Members, before.Members) {
			t.Errorf("got placement %+v, want version 2 on the free hosts", after)
		}
	})
}

// TestInvariantHostExclusive runs the controllers of three nodes against each
// other while nodes are paused, answers of the table service are lost, the
// platform is down, and engines crash, pause and restart. No host is ever a
// member of two groups, epochs never decrease, engines that check fencing tokens
// carry out no stale order, and every group is open after the faults have ended.
func TestInvariantHostExclusive(t *testing.T) {
	for seed := range uint64(4) {
		runHarness(t, 6, func(h *harness) {
			groups := []string{"a", "b", "c"}
			h.declare(groups...)
			for _, name := range []string{"n1", "n2", "n3"} {
				h.addNode(name, nil)
			}
			random := rand.New(rand.NewPCG(seed, 1))
			for range 100 {
				h.injectFault(random)
				time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
			}
			h.clearFaults()
			const minOwners = 3
			h.checkLog(minOwners)
			h.awaitOpen(groups, 3*time.Minute)
			for _, v := range h.audit.violations {
				t.Error(v)
			}
		})
	}
}

// injectFault starts or ends one random fault.
func (h *harness) injectFault(random *rand.Rand) {
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
	case 10:
		e.SetFaults(engine.Faults{Pause: random.IntN(2) == 0})
	}
}

// clearFaults ends all faults and restarts crashed engines.
func (h *harness) clearFaults() {
	for _, n := range h.nodes {
		n.pauseAtOrder.Store(false)
		n.pauseAtCommit.Store(false)
		n.gate.Set(false, 0)
	}
	h.platform.SetFaults(platform.Faults{})
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{})
		if !e.Alive() {
			e.Restart()
		}
	}
}

// checkLog replays the configuration log. It verifies that no host is a member of
// two groups, that epochs do not decrease, and that the last epoch is at least
// minOwners: each new owner raises the epoch.
func (h *harness) checkLog(minOwners int64) {
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
					h.t.Errorf("revision %d has epoch %d, want at least %d", record.Revision, p.Epoch, epoch)
				}
				epoch = max(epoch, p.Epoch)
			}
		}
		h.checkExclusive(record.Revision, placements)
	}
	if epoch < minOwners {
		h.t.Errorf("got epoch %d at the end of the log, want at least %d: too few changes of owner to test takeover", epoch, minOwners)
	}
}

// checkExclusive verifies that no host is a member of two groups.
func (h *harness) checkExclusive(revision int64, placements map[string]*object.Placement) {
	groupOf := map[string]string{}
	for group, p := range placements {
		for _, member := range p.Members {
			if other, found := groupOf[member]; found {
				h.t.Errorf("revision %d: host %s belongs to %s, want one group", revision, member, strings.Join([]string{other, group}, " and "))
			}
			groupOf[member] = group
		}
	}
}

// TestPausedCommitClaimsNoHost guards against a late commit that claims hosts of
// another group. It pauses an owner just before it commits a new group. When the
// process resumes, a new owner has assigned the hosts to another group.
func TestPausedCommitClaimsNoHost(t *testing.T) {
	runHarness(t, 3, func(h *harness) {
		h.declare()
		old := h.addNode("n1", nil)
		time.Sleep(2 * testInterval)
		h.addNode("n2", nil)
		time.Sleep(2 * testInterval)
		old.pauseAtCommit.Store(true)
		h.declare("a")
		time.Sleep(2 * testInterval)
		h.declare("b")
		h.awaitOpen([]string{"b"}, longPause)
		time.Sleep(2 * longPause)
		h.checkLog(2)
		h.awaitOpen([]string{"b"}, testInterval)
	})
}

// TestStaleOrdersAreRefusedOrRepaired pauses an owner just before it sends orders.
// When the process resumes, a new owner has assigned the hosts to another group.
// Hosts that check fencing tokens refuse the stale orders. Where a host without
// the check carries one out, the gate of the group closes and the new owner
// restores the host.
func TestStaleOrdersAreRefusedOrRepaired(t *testing.T) {
	runHarness(t, 3, func(h *harness) {
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
			t.Fatalf("group b has hosts %v, want those of the former group a, %v", h.placements()["b"].Members, former)
		}
		closed := false
		for range 10 * int(longPause/testInterval) {
			time.Sleep(testInterval / 10)
			if open, _ := h.open(h.placements()["b"]); !open {
				closed = true
			}
		}
		if h.audit.staleRefused == 0 || h.audit.staleUnchecked == 0 || !closed {
			t.Errorf("got %d stale orders refused, %d sent to hosts without the check, gate closed %t; want at least one of each and a closed gate", h.audit.staleRefused, h.audit.staleUnchecked, closed)
		}
		for _, v := range h.audit.violations {
			t.Error(v)
		}
		h.awaitOpen([]string{"b"}, time.Minute)
	})
}

// TestNewOwnerWaitsForOldOrders delays the orders of an owner that releases its
// lease by almost the order timeout. None of them may reach a host that does not
// check fencing tokens after an order of the new owner.
func TestNewOwnerWaitsForOldOrders(t *testing.T) {
	runHarness(t, 3, func(h *harness) {
		h.declare("a")
		orderDelay := func() time.Duration { return testOrderTimeout - 100*time.Millisecond }
		first := h.addNode("n1", orderDelay)
		time.Sleep(2 * testInterval)
		first.keeper.Release(t.Context())
		h.addNode("n2", nil)
		h.awaitOpen([]string{"a"}, time.Minute)
		if h.audit.staleUnchecked != 0 {
			t.Errorf("got %d stale orders at engines that do not check fencing tokens, want 0", h.audit.staleUnchecked)
		}
		if h.audit.staleRefused == 0 {
			t.Error("got no stale order in flight at the change of owner, want at least one refused")
		}
	})
}
