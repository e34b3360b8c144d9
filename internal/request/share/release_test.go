package share

import (
	"context"
	"testing"
	"testing/synctest"

	"currantladder.example/currantladder/internal/connection/peer"
)

// totalInForce sums the holdings in force at all nodes.
func totalInForce(nodes []*node) Holding {
	var sum Holding
	for _, n := range nodes {
		n.manager.mu.Lock()
		sum = sum.plus(n.manager.ledgers[testAccount].inForce())
		n.manager.mu.Unlock()
	}
	return sum
}

// TestReleaseOfUnknownOutcome loses the answer to a release's transaction, which
// was applied. The recipient reads the row, so the donor must keep the amount
// out of force, or the sum of all holdings would exceed the cap.
func TestReleaseOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startFleet(t, 3, testCap)
		defer f.stop()
		donor, recipient := nodes[0].manager, nodes[1].manager
		f.mu.Lock()
		f.loseOneIn = 1
		f.mu.Unlock()
		request := peer.ReleaseRequest{Account: testAccount, Recipient: "n1", Holder: recipient.holder, TokensPerSecond: 2000, InFlight: 20, Needed: true}
		if reply := donor.Release(context.Background(), request); reply != (peer.ReleaseReply{}) {
			t.Errorf("reply to a release of unknown outcome: got %+v, want an empty reply", reply)
		}
		if err := recipient.readRow(context.Background(), testAccount); err != nil {
			t.Fatal(err)
		}
		if sum := totalInForce(nodes); sum.Rate > WholeCap || sum.Burst > WholeCap || sum.InFlight > WholeCap {
			t.Errorf("sum in force at all nodes: got %+v, want at most %d each", sum, WholeCap)
		}
	})
}
