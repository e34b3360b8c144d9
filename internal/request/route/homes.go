// Package route chooses, at the entry node of a request, the home node whose
// queue the request joins. Every function is pure: nodes with the same inputs
// compute the same result.
package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a live entry node that can be a home.
type Node struct {
	Name   string
	Region string
}

// Home is a node that queues the requests for some groups of a model.
type Home struct {
	Node string
	// Groups is sorted by name.
	Groups []string
}

// Homes assigns each group of a model in a region to exactly one home. Groups
// are packed into ceil(len(groups)/groupsPerHome) pools, and each pool is
// assigned to one node. Only nodes of the region are used, or nodes of any region
// where it has none. The result is sorted by node and does not depend on the
// order of the arguments. When a node joins or leaves, pools move to or from
// that node and hardly any others; when a group is added or removed, few other
// groups change pools unless the number of pools changes.
func Homes(model, region string, groups []string, nodes []Node, groupsPerHome int) []Home {
	candidates := candidateNames(region, nodes)
	if len(groups) == 0 || len(candidates) == 0 {
		return nil
	}
	pools := packPools(model, region, groups, max(groupsPerHome, 1))
	owners := poolOwners(model, region, len(pools), candidates)
	byNode := make(map[string][]string, len(pools))
	for pool, node := range owners {
		byNode[node] = append(byNode[node], pools[pool]...)
	}
	homes := make([]Home, 0, len(byNode))
	for node, owned := range byNode {
		if len(owned) == 0 {
			continue
		}
		slices.Sort(owned)
		homes = append(homes, Home{Node: node, Groups: owned})
	}
	slices.SortFunc(homes, func(a, b Home) int { return cmp.Compare(a.Node, b.Node) })
	return homes
}

// candidateNames returns the sorted, distinct names of the nodes that may be
// homes in the region.
func candidateNames(region string, nodes []Node) []string {
	local := make([]string, 0, len(nodes))
	all := make([]string, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, n.Name)
		if n.Region == region {
			local = append(local, n.Name)
		}
	}
	names := local
	if len(local) == 0 {
		names = all
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// packPools distributes the groups over pools of at most groupsPerHome groups
// by rendezvous hashing with bounded load.
func packPools(model, region string, groups []string, groupsPerHome int) [][]string {
	ordered := slices.Clone(groups)
	slices.Sort(ordered)
	ordered = slices.Compact(ordered)
	count := (len(ordered) + groupsPerHome - 1) / groupsPerHome
	pairs := scoredPairs(model, region, count, ordered)
	capacity := (len(ordered) + count - 1) / count
	pools := make([][]string, count)
	placed := make([]bool, len(ordered))
	for _, p := range pairs {
		if placed[p.name] || len(pools[p.pool]) == capacity {
			continue
		}
		placed[p.name] = true
		pools[p.pool] = append(pools[p.pool], ordered[p.name])
	}
	return pools
}

// poolOwners returns the owning node of each pool. Every node owns one pool
// before any owns two.
func poolOwners(model, region string, pools int, nodes []string) []string {
	pairs := scoredPairs(model, region, pools, nodes)
	owners := make([]string, pools)
	owned := make([]int, len(nodes))
	for unowned, limit := pools, 1; unowned > 0; limit++ {
		for _, p := range pairs {
			if owners[p.pool] != "" || owned[p.name] == limit {
				continue
			}
			owners[p.pool] = nodes[p.name]
			owned[p.name]++
			unowned--
		}
	}
	return owners
}

// scoredPair is the rendezvous score of one pool and one name, both by index.
type scoredPair struct {
	score      uint64
	pool, name int
}

// scoredPairs returns all pairs of pools and names, the highest score first.
func scoredPairs(model, region string, pools int, names []string) []scoredPair {
	pairs := make([]scoredPair, 0, pools*len(names))
	for pool := range pools {
		seed := poolSeed(model, region, pool)
		for i, name := range names {
			pairs = append(pairs, scoredPair{score: score(seed, name), pool: pool, name: i})
		}
	}
	slices.SortFunc(pairs, func(a, b scoredPair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.pool, b.pool), cmp.Compare(a.name, b.name))
	})
	return pairs
}

func poolSeed(model, region string, pool int) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(region)
	_, _ = d.Write([]byte{0, byte(pool), byte(pool >> 8), byte(pool >> 16)})
	return d.Sum64()
}

// score is the rendezvous score of a name under a seed.
func score(seed uint64, name string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
