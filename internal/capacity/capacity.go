// Package capacity names the size that the system is planned for and the
// bounds that benchmarks hold the parts of a node to. docs/CAPACITY.md tells
// how the bounds add up. Only tests import it.
package capacity

// Size of the fleet that the system is planned for.
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
	// ChangesPerDay counts accepted changes of configuration.
	ChangesPerDay = 2_500
	// HostChangesPerDay counts changes of the host list: 330 restarts or
	// replacements and 19 failures, each a leaving and a return.
	HostChangesPerDay = 2 * (330 + 19)
	// RequestsPerSecond is the peak of the fleet.
	RequestsPerSecond = 4_400
)

// NodesPerRegion is the size of the largest region.
const NodesPerRegion = (Nodes + Regions - 1) / Regions

// Sizes lists the numbers of nodes over which slopes are measured.
var Sizes = []int{7, 33, 100, Nodes}

// What control may cost one node.
const (
	// BytesPerSecond bounds what a node sends and receives.
	BytesPerSecond = 10_000
	// MemoryBytes bounds the heap.
	MemoryBytes = 32_000_000
	// CPUShare bounds the part of one core.
	CPUShare = 0.041
)

// What the table service gives the whole fleet.
const (
	TableReadsPerSecond  = 2_000
	TableWritesPerSecond = 400
)

// Parts of BytesPerSecond, which add up to the whole.
const (
	MembershipBytesPerSecond = 7_800
	HostListBytesPerSecond   = 500
	LeaseBytesPerSecond      = 700
	ConfigBytesPerSecond     = 500
	ShareBytesPerSecond      = 300
	ProbeBytesPerSecond      = 200
)

// Region returns the region of the i-th of n nodes.
func Region(i, n int) int {
	return i % regionsOf(n)
}

// regionsOf spreads small fleets over fewer regions.
func regionsOf(n int) int {
	return max(1, min(Regions, (n+NodesPerRegion-1)/NodesPerRegion))
}
