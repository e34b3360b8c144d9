package node

import (
	"testing"
	"time"
)

// TestNodeListKeepsLiveSessions verifies that a node that no longer answers
// probes counts as live until its session lapses, since it may still serve.
func TestNodeListKeepsLiveSessions(t *testing.T) {
	inFleet(t, 2, 1, func(f *fleet) {
		live := func() (found, live bool) {
			for _, n := range (nodeList{f.nodes[nodeName(0)].node}).Nodes() {
				if n.Name == nodeName(1) {
					return true, n.Status.Live
				}
			}
			return false, false
		}
		f.kill(nodeName(1))
		time.Sleep(2500 * time.Millisecond)
		if found, live := live(); !found || !live {
			t.Errorf("node without a digest, 2.5s after its loss, session TTL 4s: got found %t, live %t, want true, true", found, live)
		}
		time.Sleep(time.Minute)
		if _, live := live(); live {
			t.Error("killed node a minute later: got live, want not live")
		}
	})
}
