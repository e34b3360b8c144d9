// Package coordinate lets one node choose the groups for the requests of a model
// that all nodes get. Where digests are older than a pass of a group lasts, nodes
// that choose alone fill some groups while others have room. Each node therefore
// tells two nodes at once what it has in flight, and asks the first of them for a
// group before it sends a request. A node that gets no answer in time chooses alone.
// Nothing in the package blocks except on a mutex; callers pass in the time and
// carry the messages.
package coordinate

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// AskTimeout is how long a request waits for the choice of the coordinator. It is
	// a tenth of the strictest latency target for which passes matter.
	AskTimeout = 20 * time.Millisecond
	// minReportInterval is the least time between two reports of a node. With n nodes it
	// is n/nodesPerInterval times that, rounded down, so that what the reports cost a
	// coordinator does not grow with the nodes.
	minReportInterval = 20 * time.Millisecond
	nodesPerInterval  = 50
	// refreshInterval is the time after which a report without changes is repeated, and
	// usageTTL the time for which one is used.
	refreshInterval = 500 * time.Millisecond
	usageTTL        = 2 * time.Second
	// maxQuiet is the time after which an event says nothing about a group any more.
	maxQuiet = time.Second
	// maxCandidates is the number of nodes, those with the largest share of a processor
	// core, among which the coordinators of all models are found.
	maxCandidates = 8
)

// ReportInterval is the time between two reports of a node in a fleet of the given size.
func ReportInterval(nodes int) time.Duration {
	return minReportInterval * time.Duration(max(nodes/nodesPerInterval, 1))
}

// Key names the requests that one coordinator places.
type Key struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

// Load is what is in flight at a group.
type Load struct {
	Requests int `json:"n"`
	// PrefillTokens counts prompt tokens of requests without a first event.
	PrefillTokens int `json:"prefill,omitempty"`
	// Tokens counts the tokens of prompts and expected answers.
	Tokens int `json:"tokens,omitempty"`
}

func (l Load) plus(other Load, sign int) Load {
	return Load{l.Requests + sign*other.Requests, l.PrefillTokens + sign*other.PrefillTokens, l.Tokens + sign*other.Tokens}
}

// Usage is what a node has in flight for a key. It replaces the former report of the
// node's life, so that a lost one does no harm.
type Usage struct {
	Key
	Node string `json:"from"`
	// Life increases with each start of the node, Sequence with each report.
	Life     int64  `json:"life"`
	Sequence uint64 `json:"seq"`
	// Groups is the load by head host.
	Groups map[string]Load `json:"groups,omitempty"`
	// Quiet is the time in ms since the node's last event from each group that sent one
	// lately.
	Quiet map[string]int64 `json:"quiet,omitempty"`
	// Open are the asks whose answer the node awaits.
	Open []uint64 `json:"open,omitempty"`
}

// Ask is a request for which a group is wanted.
type Ask struct {
	ID            uint64   `json:"id"`
	Rank          int      `json:"rank"`
	PromptTokens  int      `json:"prompt"`
	Tokens        int      `json:"tokens"`
	FailureDomain string   `json:"domain,omitempty"`
	Exclude       []string `json:"exclude,omitempty"`
}

// Answer is the choice for an ask.
type Answer struct {
	ID uint64 `json:"id"`
	// Host is the head of the chosen group, or "". Full is true if no group has room
	// for the request; without both the asking node chooses alone.
	Host string `json:"host,omitempty"`
	Full bool   `json:"full,omitempty"`
}

// Matters reports whether long prompts can delay the streams of the engine beyond
// what any route allows: a pass that prefills its chunks in full is longer than
// longestPause.
func Matters(engine *fleet.Engine, longestPause time.Duration) bool {
	if engine == nil || longestPause <= 0 {
		return false
	}
	return slices.ContainsFunc(engine.Models, func(m fleet.Model) bool { return engine.PassTime(&m, engine.StepsPerPass) > longestPause })
}

// LongestPause returns the longest pause target of the routes to the service, or 0.
func LongestPause(c *fleet.Configuration, service string) time.Duration {
	longest := time.Duration(0)
	for _, r := range c.Routes {
		if slices.ContainsFunc(r.Targets, func(t fleet.WeightedService) bool { return t.Service == service }) {
			longest = max(longest, r.PauseTarget)
		}
	}
	return longest
}

// Node is a node that may coordinate.
type Node struct {
	Name string
	// Share is its share of a processor core.
	Share float64
}

// Order returns the nodes that may coordinate the key, the preferred first. All nodes
// that know the same nodes get the same order. It reorders nodes.
func Order(key Key, nodes []Node) []string {
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name)) })
	nodes = nodes[:min(len(nodes), maxCandidates)]
	weight := func(n Node) uint64 {
		h := fnv.New64a()
		for _, part := range []string{key.Service, key.Model, n.Name} {
			_, _ = h.Write([]byte(part)) // a hash never fails
			_, _ = h.Write([]byte{0})
		}
		return mix(h.Sum64())
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name)) })
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	return names
}

// mix spreads the last bytes of a hash over all bits, since names often differ only
// there.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// query is the query of the ask, for the rules of package place.
func (a Ask) query(service *fleet.Service, model string) place.Query {
	return place.Query{Service: service, Model: model, Rank: a.Rank, Exclude: a.Exclude, FailureDomain: a.FailureDomain, TrustsGroups: true}
}
