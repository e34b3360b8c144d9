package share

import (
	"context"
	"testing"
	"testing/synctest"

	"currantladder.example/currantladder/internal/connection/peer"
)

// total sums what is in force at all nodes.
func total(nodes []*node) Holding {
	var sum Holding
	for _, n := range nodes {
		n.manager.mu.Lock()
		sum = sum.plus(n.manager.ledgers[testAccount].inForce())
		n.manager.mu.Unlock()
	}
	return sum
}

// TestReleaseOfUnknownOutcome loses the answer of a release's transaction. The
// loser must stay lowered while the gainer has read the row.
func TestReleaseOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, nodes := startFleet(t, 3, testCap)
		defer f.stop()
		loser, gainer := nodes[0].manager, nodes[1].manager
		f.mu.Lock()
		f.loseEvery = 1
		f.mu.Unlock()
		request := peer.ReleaseRequest{Account: testAccount, Gainer: "n1", Holder: gainer.holder, TokensPerSecond: 2000, InFlight: 20, Needed: true}
		if reply := loser.Release(context.Background(), request); reply != (peer.ReleaseReply{}) {
			t.Errorf("an unsettled release answered %+v", reply)
		}
		if err := gainer.readRow(context.Background(), testAccount); err != nil {
			t.Fatal(err)
		}
		if sum := total(nodes); sum.Rate > Whole || sum.Burst > Whole || sum.InFlight > Whole {
			t.Errorf("in force at all nodes: %+v, want at most %d each", sum, Whole)
		}
	})
}
