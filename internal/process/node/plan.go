package node

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/dispatch"
	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/route"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// groupsPerHome is the number of replica groups that share the queue of one home
// node. More groups behind one queue shorten the wait for a free slot.
const groupsPerHome = 7

// planInput is everything that a route plan depends on.
type planInput struct {
	snapshot *snapshot.Snapshot
	hosts    map[string]hostlist.Host
	// hostsVersion changes with the content of hosts.
	hostsVersion int64
	// nodes are the live nodes of this node's region.
	nodes []peer.Digest
	// sessionNodes are the nodes with a session row; other regions' homes are
	// chosen from them.
	sessionNodes []route.Node
	// regions are the summaries of other regions.
	regions []peer.RegionSummary
	self    peer.Digest
}

// routePlan lists the homes of each model by region. It is immutable.
type routePlan struct {
	models map[string]modelPlan
	// owned lists the groups that this node is home for, by model.
	owned map[string][]string
	// entryNodes is the number of nodes in this node's region that are ready and
	// not leaving. All of them choose homes by the same load reports.
	entryNodes int
}

// modelPlan lists the homes of one model: this node's region first, then the
// other regions in order of load.
type modelPlan struct{ regions [][]route.HomeLoad }

// planner assigns every placed group to its home node. It caches what depends on
// configuration, hosts and nodes until one of them changes, because load changes
// much more often than they do. It is not safe for concurrent use.
type planner struct {
	inputs homeInputs
	groups map[string]map[string][]string // model -> region -> groups
	homes  map[homesKey][]route.Home
}

// homeInputs is the part of planInput that the homes of groups depend on. Cached
// homes are valid while it is unchanged.
type homeInputs struct {
	snapshot     *snapshot.Snapshot
	hostsVersion int64
	candidates   []route.Node
	sessionNodes []route.Node
}

// homesKey identifies the homes of one model in one region.
type homesKey struct{ model, region string }

func (i homeInputs) equal(o homeInputs) bool {
	return i.snapshot == o.snapshot && i.hostsVersion == o.hostsVersion &&
		slices.Equal(i.candidates, o.candidates) && slices.Equal(i.sessionNodes, o.sessionNodes)
}

// plan returns the route plan for the input.
func (p *planner) plan(in planInput) *routePlan {
	inputs := homeInputs{snapshot: in.snapshot, hostsVersion: in.hostsVersion, candidates: homeCandidates(in.nodes), sessionNodes: in.sessionNodes}
	if p.groups == nil || !inputs.equal(p.inputs) {
		p.inputs = inputs
		p.groups = groupsByModel(in)
		p.homes = make(map[homesKey][]route.Home)
	}
	plan := &routePlan{models: make(map[string]modelPlan), owned: make(map[string][]string), entryNodes: p.entryNodes(in.self.Region)}
	for model := range p.groups {
		plan.models[model] = p.modelPlan(in, model)
		for _, home := range p.homesOf(in, model, in.self.Region) {
			if home.Node == in.self.Node {
				plan.owned[model] = home.Groups
			}
		}
	}
	return plan
}

func (p *planner) entryNodes(region string) int {
	count := 0
	for _, node := range p.inputs.candidates {
		if node.Region == region {
			count++
		}
	}
	return count
}

// homesOf returns the homes of a model in a region. They are chosen from the
// ready nodes in this node's own region and from the session rows in others.
func (p *planner) homesOf(in planInput, model, region string) []route.Home {
	key := homesKey{model, region}
	homes, known := p.homes[key]
	if known {
		return homes
	}
	nodes := p.inputs.candidates
	if region != in.self.Region {
		nodes = nodesInRegion(in.sessionNodes, region)
	}
	homes = route.Homes(model, region, p.groups[model][region], nodes, groupsPerHome)
	p.homes[key] = homes
	return homes
}

// groupsByModel returns model -> region -> names of placed groups.
func groupsByModel(in planInput) map[string]map[string][]string {
	models := make(map[string]map[string][]string)
	for _, group := range in.snapshot.Groups() {
		if group.Placement == nil || len(group.Placement.Members) == 0 {
			continue
		}
		region := in.hosts[group.Placement.Members[0]].Region
		if models[group.Spec.Model] == nil {
			models[group.Spec.Model] = make(map[string][]string)
		}
		models[group.Spec.Model][region] = append(models[group.Spec.Model][region], group.Name)
	}
	return models
}

func homeCandidates(nodes []peer.Digest) []route.Node {
	var candidates []route.Node
	for _, digest := range nodes {
		if digest.Ready && !digest.Leaving {
			candidates = append(candidates, route.Node{Name: digest.Node, Region: digest.Region})
		}
	}
	return candidates
}

func (p *planner) modelPlan(in planInput, model string) modelPlan {
	var plan modelPlan
	if local := p.homesOf(in, model, in.self.Region); len(local) > 0 {
		plan.regions = append(plan.regions, localLoads(local, in.nodes, model))
	}
	for _, region := range remoteRegions(in, model) {
		if remote := p.homesOf(in, model, region); len(remote) > 0 {
			plan.regions = append(plan.regions, idleLoads(remote))
		}
	}
	return plan
}

// remoteRegions returns the other regions with slots for the model, the lowest
// load per slot first.
func remoteRegions(in planInput, model string) []string {
	type candidate struct {
		region string
		load   float64
	}
	var candidates []candidate
	for _, summary := range in.regions {
		for _, line := range summary.Load {
			if line.Model == model && line.Slots > 0 {
				candidates = append(candidates, candidate{summary.Region, float64(line.Running+line.Queued) / float64(line.Slots)})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.load < b.load {
			return -1
		}
		return 1
	})
	var regions []string
	for _, c := range candidates {
		regions = append(regions, c.region)
	}
	return regions
}

func nodesInRegion(all []route.Node, region string) []route.Node {
	var nodes []route.Node
	for _, node := range all {
		if node.Region == region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// localLoads returns the homes with the load in their digests. A home that has
// not reported load yet counts as idle with one slot per group.
func localLoads(homes []route.Home, nodes []peer.Digest, model string) []route.HomeLoad {
	loads := idleLoads(homes)
	for i := range loads {
		for _, digest := range nodes {
			if digest.Node != loads[i].Node {
				continue
			}
			for _, line := range digest.Load {
				if line.Model == model && line.Slots > 0 {
					loads[i] = route.HomeLoad{Node: digest.Node, Report: digest.Seq, Slots: line.Slots, Running: line.Running, Queued: line.Queued}
				}
			}
		}
	}
	return loads
}

// idleLoads returns the homes as idle, with one slot per group. It is used for
// homes without a load report, such as those of other regions.
func idleLoads(homes []route.Home) []route.HomeLoad {
	loads := make([]route.HomeLoad, 0, len(homes))
	for _, home := range homes {
		loads = append(loads, route.HomeLoad{Node: home.Node, Slots: len(home.Groups)})
	}
	return loads
}

// router implements relay.Router with the current plan.
type router struct {
	plan   atomic.Pointer[routePlan]
	recent route.RecentRequests
}

// ChooseHome implements relay.Router.
func (r *router) ChooseHome(model string, prefix []uint64, avoid map[string]bool) (string, bool) {
	plan := r.plan.Load()
	if plan == nil {
		return "", false
	}
	for _, homes := range plan.models[model].regions {
		usable := slices.DeleteFunc(slices.Clone(homes), func(h route.HomeLoad) bool { return avoid[h.Node] })
		r.recent.Adjust(model, usable, plan.entryNodes)
		seed := uint64(time.Now().UnixNano())
		if i := route.Choose(usable, prefix, xxhash.Sum64(littleEndian(seed))); i >= 0 {
			r.recent.CountSent(model, usable[i])
			return usable[i].Node, true
		}
	}
	return "", false
}

// littleEndian returns the 8 bytes of n, the lowest first.
func littleEndian(n uint64) []byte {
	const uint64Bytes = 8
	var b [uint64Bytes]byte
	for i := range b {
		b[i] = byte(n >> (uint64Bytes * i))
	}
	return b[:]
}

// targetsOf returns the dispatch targets of the groups that this node is home
// for, by model. Health observations older than maxAge do not count. A target
// has no slots while its group is not serving or not open. It is draining while a
// member of its group is leaving.
func targetsOf(plan *routePlan, snap *snapshot.Snapshot, hosts map[string]hostlist.Host, observe func(string) health.Observation, maxAge time.Duration, now time.Time) map[string][]dispatch.Target {
	targets := make(map[string][]dispatch.Target, len(plan.owned))
	for model, groups := range plan.owned {
		for _, name := range groups {
			placement := snap.Placements[name]
			if placement == nil {
				continue
			}
			targets[model] = append(targets[model], targetOf(placement, snap, hosts, observe, maxAge, now))
		}
	}
	return targets
}

func targetOf(placement *object.Placement, snap *snapshot.Snapshot, hosts map[string]hostlist.Host, observe func(string) health.Observation, maxAge time.Duration, now time.Time) dispatch.Target {
	target := dispatch.Target{Group: placement.Group, Generation: placement.Generation, Address: hosts[placement.Members[0]].Address, Host: placement.Members[0]}
	if placement.Phase != object.PhaseServing {
		target.ClosedReason = "phase " + string(placement.Phase) + ": " + placement.Message
		return target
	}
	open, reason := health.IsOpen(placement, observe, maxAge, now)
	if !open {
		target.ClosedReason = reason
		return target
	}
	leader := observe(placement.Members[0]).State
	target.Slots, target.BootID = leader.Slots, leader.BootID
	for _, member := range placement.Members {
		if hosts[member].State != hostlist.StateLive || snap.Host(member).Drain || observe(member).State.Leaving {
			target.Draining = true
			target.ClosedReason = "member " + member + " is leaving"
		}
	}
	return target
}

// queueRanks converts declared ranks to the parameters of the scheduler.
func queueRanks(ranks []*snapshot.Rank) []queue.Rank {
	converted := make([]queue.Rank, 0, len(ranks))
	for _, rank := range ranks {
		converted = append(converted, queue.Rank{
			Name:             rank.Name,
			Priority:         rank.Priority,
			FirstTokenTarget: rank.FirstTokenTarget(),
			FloorShare:       rank.FloorShare,
			QueueBound:       rank.QueueBound,
			Preemptible:      rank.Preemptible,
		})
	}
	return converted
}
