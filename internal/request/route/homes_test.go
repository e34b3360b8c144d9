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
				t.Fatalf("home %s is local: %v, the region has nodes: %v", home.Node, local, hasLocal)
			}
		}
		slices.Sort(assigned)
		if diff := cmp.Diff(groups, assigned); diff != "" {
			t.Fatalf("assigned groups differ: %s", diff)
		}
		pools := (len(groups) + perHome - 1) / perHome
		if candidates := len(candidateNames("near", nodes)); len(homes) != min(pools, candidates) {
			t.Fatalf("%d homes of %d pools and %d nodes", len(homes), pools, candidates)
		}
		shuffled := rapid.Permutation(nodes).Draw(t, "nodes")
		if diff := cmp.Diff(homes, Homes("model", "near", rapid.Permutation(groups).Draw(t, "order"), shuffled, perHome)); diff != "" {
			t.Fatalf("the order of the arguments changed the homes: %s", diff)
		}
	})
}

// TestHomesMoveLittle bounds the groups that move when one of n nodes leaves:
// all of its own, and on average at most as many others.
func TestHomesMoveLittle(t *testing.T) {
	const perHome = 7
	groups, nodes := names("group", 350), nodesIn("near", 60)
	before := ownersOf(Homes("model", "near", groups, nodes, perHome))
	moved := 0
	for i := range nodes {
		left := slices.Delete(slices.Clone(nodes), i, i+1)
		for group, node := range ownersOf(Homes("model", "near", groups, left, perHome)) {
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
		t.Errorf("chose %q with its load above the bound", homes[next].Node)
	}
	if got := ChooseByAffinity(nil, prefix, 1); got != -1 {
		t.Errorf("chose %d of no homes", got)
	}
}

func TestPrefixBlocksAreCumulative(t *testing.T) {
	long := PrefixBlocks(fmt.Sprintf("%0200d", 1))
	if len(long) != 3 {
		t.Fatalf("%d blocks of 200 bytes, want 3", len(long))
	}
	other := PrefixBlocks(fmt.Sprintf("%0128d", 0) + fmt.Sprintf("%072d", 9))
	if diff := cmp.Diff(long[:2], other[:2]); diff != "" {
		t.Errorf("equal leading blocks hash differently: %s", diff)
	}
	if long[2] != PrefixBlocks(fmt.Sprintf("%0200d", 1))[2] {
		t.Error("the same prompt hashes differently")
	}
}
