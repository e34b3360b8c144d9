package experiment

import (
	"time"

	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// coordination is the part of a node that asks other nodes for groups, and chooses for
// them. The nodes exchange messages with the delay of a link.
type coordination struct {
	tracker *coordinate.Tracker
	ledger  *coordinate.Ledger
	targets *coordinate.Targets
}

func newCoordination(n *node) *coordination {
	return &coordination{coordinate.NewTracker(n.name, n.time()), coordinate.NewLedger(n.board), coordinate.NewTargets()}
}

// coordinates reports whether the nodes of the sheet ask each other for groups.
func (sim *simulation) coordinates() bool {
	longestPause := time.Duration(0)
	for _, k := range sim.sheet.Kinds {
		longestPause = max(longestPause, k.EventGapTarget)
	}
	return sim.policy.coordinates && sim.sheet.Run.Nodes > place.MaxDirectNodes && coordinate.Matters(sim.service.Engine, longestPause)
}

// coordinators returns the nodes that may coordinate a key, the preferred first.
func (sim *simulation) coordinators(key coordinate.Key) []string {
	if order := sim.orders[key]; order != nil {
		return order
	}
	var nodes []coordinate.Node
	for _, n := range sim.nodes {
		nodes = append(nodes, coordinate.Node{Name: n.name, Share: 1})
	}
	sim.orders[key] = coordinate.Order(key, nodes)
	return sim.orders[key]
}

func (sim *simulation) nodeNamed(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// reportUsages sends what the nodes have in flight to the coordinators.
func (sim *simulation) reportUsages() {
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, usage := range n.coordination.tracker.Due(sim.time()) {
			for _, name := range n.coordination.targets.Reported(sim.coordinators(usage.Key), sim.time()) {
				to := sim.nodeNamed(name)
				sim.after(sim.sheet.Run.LinkDelay, func() {
					if to.alive {
						to.coordination.ledger.Observe(usage, sim.service, sim.time())
					}
				})
			}
		}
	}
}

func (c *call) key() coordinate.Key { return coordinate.Key{Service: serviceName, Model: c.kind.Model} }

// expectedTokens is what the node expects that a call needs of a group's memory.
func (c *call) expectedTokens() int { return c.promptTokens + int(c.kind.MeanAnswerTokens) }

// askCoordinator asks for a group and then starts the first attempt of a call.
func (n *node) askCoordinator(c *call, start func(preferred string, full bool)) {
	own, key, now := n.coordination, c.key(), n.time()
	name := own.targets.Asked(n.coordinators(key), now)
	if name == "" {
		start("", false)
		return
	}
	id := own.tracker.OpenAsk(key)
	ask := coordinate.Ask{ID: id, Rank: c.kind.Rank, PromptTokens: c.promptTokens, Tokens: c.expectedTokens()}
	usage, open := own.tracker.Usage(key, now), true
	finish := func(preferred string, full bool) {
		if open && n.alive && !c.done {
			start(preferred, full)
		}
		open = false
		own.tracker.CloseAsk(key, id)
	}
	to, delay := n.nodeNamed(name), n.sheet.Run.LinkDelay
	if to == n {
		delay = 0
	}
	n.after(delay, func() {
		if !to.alive {
			return
		}
		answer := to.coordination.ledger.Place(usage, ask, n.service, to.view, n.time())
		n.after(delay, func() {
			own.targets.Answered(name)
			finish(answer.Host, answer.Full)
		})
	})
	n.after(coordinate.AskTimeout, func() {
		if open {
			own.targets.TimedOut(name, n.time())
			finish("", false)
		}
	})
}

// begin counts an attempt for the coordinators.
func (n *node) begin(c *call, host *fleet.Host) *coordinate.Use {
	if !n.coordinated {
		return nil
	}
	return n.coordination.tracker.Begin(c.key(), host.ID, c.promptTokens, c.expectedTokens())
}
