package route

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%03d", prefix, i)
	}
	return list
}

func nodesIn(region string, n int) []Node {
	var nodes []Node
	for _, name := range names(region, n) {
		nodes = append(nodes, Node{Name: name, Region: region})
	}
	return nodes
}

func ownersOf(homes []Home) map[string]string {
	owners := map[string]string{}
	for _, home := range homes {
		for _, group := range home.Groups {
			owners[group] = home.Node
		}
	}
	return owners
}

func TestHomesAssignEveryGroupOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := names("group", rapid.IntRange(1, 60).Draw(t, "groups"))
		nodes := append(nodesIn("near", rapid.IntRange(0, 12).Draw(t, "near")), nodesIn("far", 3)...)
		perHome := rapid.IntRange(1, 9).Draw(t, "groupsPerHome")
		homes := Homes("model", "near", groups, nodes, perHome)

		var assigned []string
		for _, home := range homes {
			assigned = append(assigned, home.Groups...)
			local := slices.Contains(nodes, Node{Name: home.Node, Region: "near"})
			if hasLocal := nodes[0].Region == "near"; hasLocal != local {
				t.Fatalf("home %s is local: got %v, want %v", home.Node, local, hasLocal)
			}
		}
		slices.Sort(assigned)
		if diff := cmp.Diff(groups, assigned); diff != "" {
			t.Fatalf("assigned groups (-want +got): %s", diff)
		}
		pools := (len(groups) + perHome - 1) / perHome
		if candidates := len(candidateNames("near", nodes)); len(homes) != min(pools, candidates) {
			t.Fatalf("got %d homes for %d pools and %d nodes, want the smaller number", len(homes), pools, candidates)
		}
		shuffled := rapid.Permutation(nodes).Draw(t, "nodes")
		if diff := cmp.Diff(homes, Homes("model", "near", rapid.Permutation(groups).Draw(t, "order"), shuffled, perHome)); diff != "" {
			t.Fatalf("homes depend on the order of the arguments (-want +got): %s", diff)
		}
	})
}

// TestHomesMoveFewGroups verifies that when one of n nodes leaves, its own
// groups move and on average at most as many others.
func TestHomesMoveFewGroups(t *testing.T) {
	const perHome = 7
	groups, nodes := names("group", 350), nodesIn("near", 60)
	before := ownersOf(Homes("model", "near", groups, nodes, perHome))
	moved := 0
	for i := range nodes {
		remaining := slices.Delete(slices.Clone(nodes), i, i+1)
		for group, node := range ownersOf(Homes("model", "near", groups, remaining, perHome)) {
			if before[group] != node {
				moved++
			}
		}
	}
	mean := float64(moved) / float64(len(nodes))
	t.Logf("a node that leaves moves %.1f of %d groups on average; it owns %.1f", mean, len(groups), float64(len(groups))/float64(len(nodes)))
	if bound := 2 * float64(len(groups)) / float64(len(nodes)); mean > bound {
		t.Errorf("a node that leaves moves %.1f groups on average, want at most %.1f", mean, bound)
	}
}

func TestChooseLeavesLoadedHome(t *testing.T) {
	homes := []HomeLoad{{Node: "a", Slots: 8}, {Node: "b", Slots: 8}, {Node: "c", Slots: 8}, {Node: "closed"}}
	prefix := PrefixBlocks(fmt.Sprintf("%0256d", 7))
	preferred := ChooseByAffinity(homes, prefix, 1)
	homes[preferred].Queued = 9
	next := ChooseByAffinity(homes, prefix, 1)
	if next == preferred || homes[next].Slots == 0 {
		t.Errorf("chose %q, want an open home with a load below the limit", homes[next].Node)
	}
	if got := ChooseByAffinity(nil, prefix, 1); got != -1 {
		t.Errorf("without homes: got index %d, want -1", got)
	}
}

func TestPrefixBlocksAreCumulative(t *testing.T) {
	long := PrefixBlocks(fmt.Sprintf("%0200d", 1))
	if len(long) != 3 {
		t.Fatalf("got %d blocks for 200 bytes, want 3", len(long))
	}
	other := PrefixBlocks(fmt.Sprintf("%0128d", 0) + fmt.Sprintf("%072d", 9))
	if diff := cmp.Diff(long[:2], other[:2]); diff != "" {
		t.Errorf("hashes of equal leading blocks differ: %s", diff)
	}
	if long[2] != PrefixBlocks(fmt.Sprintf("%0200d", 1))[2] {
		t.Error("hashes of the same prompt differ")
	}
}
