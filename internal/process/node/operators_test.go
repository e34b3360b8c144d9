package node

import (
	"testing"
	"time"
)

// TestNodesKeepsLiveSessions: a node that is no longer heard of may still
// serve, so it counts as live until its session has lapsed.
func TestNodesKeepsLiveSessions(t *testing.T) {
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
			t.Errorf("unheard node with a session of 4s: found %t, live %t after 2.5s, want it live", found, live)
		}
		time.Sleep(time.Minute)
		if _, live := live(); live {
			t.Error("dead node is still live a minute later")
		}
	})
}
