package formation

import (
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// answered records an order that the host confirmed a given time before now.
func answered(h *fleet.Host, o Order, ago time.Duration) SentOrder {
	return SentOrder{Order: o, Sent: now.Add(-ago), Instance: h.Instance(), Answered: true}
}

// groupOrder returns an order to the host about its present group.
func groupOrder(op Operation, h *fleet.Host) Order {
	return Order{Operation: op, HostID: h.ID, Group: h.Group.Name, Epoch: h.Group.Epoch, Model: h.LoadedModel}
}

// staleHeadGroup returns a group of four and three spares. The head was ordered to
// open, but its reports still say ready, because it is partitioned from the store.
func staleHeadGroup() (group, all []*fleet.Host) {
	group = openGroup("d", "big", 7, 4)
	group[0].Group.State = fleet.MemberReady
	return group, append(slices.Clone(group), spare("s1", "d", "big"), spare("s2", "d", "big"), spare("s3", "d", "big"))
}

// checkOnlyLeave verifies that a plan sends no join and exactly one leave, to the
// given host.
func checkOnlyLeave(t *testing.T, plan Plan, host *fleet.Host) {
	t.Helper()
	if joins := orders(plan, OpJoin); len(joins) != 0 {
		t.Errorf("got joins for %v, want none while the head may be open", joins)
	}
	if leaves := orders(plan, OpLeave); !slices.Equal(leaves, []string{host.ID}) {
		t.Errorf("got leave orders to %v, want one to %s", leaves, host.ID)
	}
}

// TestMembersOfOpenHeadWithStaleReportStay guards against a past failure: a head
// that was ordered to open was partitioned from the store, so that it was still
// listed as ready. When the registration of another member lapsed, the group
// counted as never opened, and its hosts joined another group at once.
func TestMembersOfOpenHeadWithStaleReportStay(t *testing.T) {
	group, hosts := staleHeadGroup()
	hosts = slices.DeleteFunc(hosts, func(h *fleet.Host) bool { return h == group[3] })
	in := input(hosts...)
	in.LastOrders[group[0].ID] = answered(group[0], groupOrder(OpOpen, group[0]), time.Minute)
	plan := MakePlan(in)
	checkOnlyLeave(t, plan, group[0])

	leave := plan.Orders[0]
	in.LastOrders[group[0].ID] = SentOrder{Order: leave, Sent: now, Instance: group[0].Instance()}
	if plan := MakePlan(in); len(plan.Orders) != 0 {
		t.Errorf("got orders %v while the leave is unanswered, want none", plan.Orders)
	}
	in.LastOrders[group[0].ID] = answered(group[0], leave, time.Minute)
	if joins := orders(MakePlan(in), OpJoin); len(joins) != 4 {
		t.Errorf("got %d joins after the head has left, want 4", len(joins))
	}
}

// TestGroupOfFormerLeaderMayBeOpen verifies that a leader without memory of the
// orders treats a ready head like one that was ordered to open.
func TestGroupOfFormerLeaderMayBeOpen(t *testing.T) {
	group, hosts := staleHeadGroup()
	hosts = slices.DeleteFunc(hosts, func(h *fleet.Host) bool { return h == group[3] })
	checkOnlyLeave(t, MakePlan(input(hosts...)), group[0])
}

// TestHostsOfUnopenedGroupAreReusedAtOnce verifies that a group that this leader
// never ordered to open needs no leave before its survivors join another one.
func TestHostsOfUnopenedGroupAreReusedAtOnce(t *testing.T) {
	group, hosts := staleHeadGroup()
	hosts = slices.DeleteFunc(hosts, func(h *fleet.Host) bool { return h == group[3] })
	in := input(hosts...)
	in.Unopened = map[string]bool{group[0].Group.Name: true}
	plan := MakePlan(in)
	if leaves := orders(plan, OpLeave); len(leaves) != 0 {
		t.Errorf("got leave orders to %v, want none", leaves)
	}
	if joins := orders(plan, OpJoin); len(joins) != 4 {
		t.Errorf("got %d joins, want 4", len(joins))
	}
}

// TestLeavingMemberOfOpenHeadWithStaleReportStays guards against the same failure
// where a member leaves as planned instead of being lost.
func TestLeavingMemberOfOpenHeadWithStaleReportStays(t *testing.T) {
	group, hosts := staleHeadGroup()
	group[3].State = fleet.HostLeaving
	in := input(hosts...)
	in.LastOrders[group[0].ID] = answered(group[0], groupOrder(OpOpen, group[0]), time.Minute)
	checkOnlyLeave(t, MakePlan(in), group[0])
}

// TestClosedHeadLeavesBeforeItsMembersJoin guards against an open order that is
// carried out late: it reopens a head that was closed in the meantime, unless the
// head has left the group.
func TestClosedHeadLeavesBeforeItsMembersJoin(t *testing.T) {
	group, hosts := staleHeadGroup()
	in := input(hosts...)
	in.LastOrders[group[0].ID] = answered(group[0], groupOrder(OpClose, group[0]), time.Second)
	checkOnlyLeave(t, MakePlan(in), group[0])
}

// TestMembersOfUnreachableRegisteredHeadLeaveFirst guards against a leader that
// cannot reach a head which its members and callers still reach: after six seconds
// the members joined another group while the head was open.
func TestMembersOfUnreachableRegisteredHeadLeaveFirst(t *testing.T) {
	group, hosts := staleHeadGroup()
	group[0].Group.State = fleet.MemberOpen
	in := input(hosts...)
	in.Conditions[group[0].ID] = Condition{Lost: true, Since: now.Add(-6 * time.Second)}
	plan := MakePlan(in)
	if joins := orders(plan, OpJoin); len(joins) != 0 {
		t.Errorf("got joins for %v, want none before the members have left", joins)
	}
	if leaves := orders(plan, OpLeave); len(leaves) != 3 {
		t.Errorf("got leave orders to %v, want one to each of the three members", leaves)
	}
}

// TestLostLeaveToClosingHeadIsRepeated guards against a head that closes forever:
// the leave that follows closeTimeout was never sent again when it was lost.
func TestLostLeaveToClosingHeadIsRepeated(t *testing.T) {
	group, hosts := staleHeadGroup()
	group[0].Group.State = fleet.MemberClosing
	group[3].State = fleet.HostLeaving
	in := input(hosts...)
	in.LastOrders[group[0].ID] = SentOrder{Order: groupOrder(OpLeave, group[0]), Sent: now.Add(-2 * orderEffectTimeout), Instance: group[0].Instance()}
	checkOnlyLeave(t, MakePlan(in), group[0])
}

// TestSilentHeadThatMayOpenKeepsItsMembers guards against a head that opens without its
// members: it carried out the open order only when it went on after they had left.
func TestSilentHeadThatMayOpenKeepsItsMembers(t *testing.T) {
	group, hosts := staleHeadGroup()
	in := input(hosts...)
	in.LastOrders[group[0].ID] = SentOrder{Order: groupOrder(OpOpen, group[0]), Sent: now.Add(-orderCallTimeout), Instance: group[0].Instance()}
	in.Conditions[group[0].ID] = Condition{Silent: true, Since: now.Add(-time.Second)}
	if plan := MakePlan(in); len(orders(plan, OpLeave)) != 0 {
		t.Errorf("got orders %v while the head is silent, want no leave", plan.Orders)
	}
	in.Conditions[group[0].ID] = Condition{Lost: true, Since: now}
	if leaves := orders(MakePlan(in), OpLeave); len(leaves) != 3 {
		t.Errorf("got leave orders to %v once the head is lost, want one to each of the three members", leaves)
	}
}

// TestIdleGroupWithSilentMemberRefusesBeforeItEnds guards against a stream that is cut
// because it reached the head of an idle group while the leader ended it: a member had
// been silent for less than a second, and nodes did not know yet that the group ends.
func TestIdleGroupWithSilentMemberRefusesBeforeItEnds(t *testing.T) {
	group := openGroup("d", "big", 7, 4)
	in := input(append(slices.Clone(group), spare("s1", "d", "big"))...)
	in.Conditions[group[2].ID] = Condition{Silent: true, Since: now.Add(-300 * time.Millisecond)}
	plan := MakePlan(in)
	if closes := orders(plan, OpClose); !slices.Equal(closes, []string{group[0].ID}) || len(orders(plan, OpLeave)) > 0 {
		t.Errorf("got orders %v, want only the head to close", plan.Orders)
	}
	in.LastOrders[group[0].ID] = answered(group[0], groupOrder(OpClose, group[0]), 100*time.Millisecond)
	if plan := MakePlan(in); len(orders(plan, OpLeave))+len(orders(plan, OpJoin)) > 0 {
		t.Errorf("got orders %v before the head has finished, want none", plan.Orders)
	}
	closed := *group[0]
	closed.Group.State = fleet.MemberReady
	in.Hosts[slices.Index(in.Hosts, group[0])] = &closed
	checkOnlyLeave(t, MakePlan(in), &closed)
	in.Conditions[group[2].ID] = Condition{Lost: true, Since: now}
	in.Hosts[slices.Index(in.Hosts, &closed)] = group[0]
	delete(in.LastOrders, group[0].ID)
	checkOnlyLeave(t, MakePlan(in), group[0])
}
