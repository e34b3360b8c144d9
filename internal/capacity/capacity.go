// Package capacity defines the fleet size that the system is designed for and
// the resource limits that benchmarks check. docs/CAPACITY.md explains how the
// limits add up. Only tests import it.
package capacity

// Size and load of the fleet that the system is designed for.
const (
	Nodes          = 330
	Regions        = 7
	FailureDomains = 17
	Groups         = 350
	GroupMembers   = 4
	Hosts          = Groups * GroupMembers
	Accounts       = 500
	// Models is the number of models that the groups serve.
	Models = 5
	// ChangesPerDay is the number of accepted configuration changes.
	ChangesPerDay = 2_500
	// HostChangesPerDay is the number of changes of the host list: 330 restarts
	// or replacements and 19 failures, each with one removal and one return.
	HostChangesPerDay = 2 * (330 + 19)
	// RequestsPerSecond is the peak request rate of the fleet.
	RequestsPerSecond = 4_400
)

// NodesPerRegion is the number of nodes in the largest region.
const NodesPerRegion = (Nodes + Regions - 1) / Regions

// FleetSizes lists the numbers of nodes at which benchmarks measure how a cost
// grows with the size of the fleet.
var FleetSizes = []int{7, 33, 100, Nodes}

// Limits of what the control plane may use on one node.
const (
	// BytesPerSecond limits the bytes sent plus received.
	BytesPerSecond = 10_000
	// MemoryBytes limits the heap.
	MemoryBytes = 32_000_000
	// CPUShare limits the CPU time, as a share of one core.
	CPUShare = 0.041
)

// Request rates that the table service offers to the whole fleet.
const (
	TableReadsPerSecond  = 2_000
	TableWritesPerSecond = 400
)

// Limits by purpose. Their sum is BytesPerSecond.
const (
	MembershipBytesPerSecond = 7_800
	HostListBytesPerSecond   = 500
	LeaseBytesPerSecond      = 700
	ConfigBytesPerSecond     = 500
	ShareBytesPerSecond      = 300
	ProbeBytesPerSecond      = 200
)

// Region returns the index of the region of node i in a fleet of n nodes.
func Region(i, n int) int {
	return i % regionCount(n)
}

// regionCount returns the number of regions of a fleet of n nodes. Small fleets
// have fewer regions.
func regionCount(n int) int {
	return max(1, min(Regions, (n+NodesPerRegion-1)/NodesPerRegion))
}
